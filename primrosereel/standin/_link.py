"""A link that transfers one KV cache at a time, and the weight store."""

import heapq
import math

__all__ = ['Link', 'WeightStore']


class Link:
    """Runs transfers one at a time, by priority and then by arrival.

    While the link is stalled, the current transfer stays current but makes no
    progress.
    """

    def __init__(self, bytes_s: float) -> None:
        self._bytes_s = bytes_s
        self._waiting: list[tuple[int, int, str, int]] = []
        self._arrivals: dict[str, int] = {}
        self._sequence = 0
        self._current: str | None = None
        self._remaining_s = 0.0
        self._progress_time = 0.0
        self._stalled = False

    @property
    def busy(self) -> int:
        """Number of transfers, current and waiting."""
        return len(self._arrivals)

    def add(self, key: str, size: int, priority: int, now: float) -> None:
        """Queue a transfer of ``size`` bytes."""
        self._sequence += 1
        self._arrivals[key] = self._sequence
        entry = (-priority, self._sequence, key, size)
        heapq.heappush(self._waiting, entry)
        if self._current is None:
            self._start(now)

    def remove(self, key: str, now: float) -> None:
        """Abandon a transfer; if it was the current one, start the next."""
        if self._arrivals.pop(key, None) is None:
            return
        if self._current == key:
            self._start(now)

    def stall(self, stalled: bool, now: float) -> None:
        """Stop or continue all transfers."""
        if stalled == self._stalled:
            return
        if stalled:
            self._remaining_s -= now - self._progress_time
        self._progress_time = now
        self._stalled = stalled

    def next_time(self) -> float:
        """Return when the current transfer ends, or infinity."""
        if self._current is None or self._stalled:
            return math.inf
        return self._progress_time + self._remaining_s

    def advance(self, now: float) -> str | None:
        """Return the key of the transfer that ended by ``now``, if any."""
        if self.next_time() > now:
            return None
        key = self._current
        if key is not None:
            del self._arrivals[key]
            self._start(now)
        return key

    def clear(self) -> None:
        """Abandon every transfer."""
        self._waiting.clear()
        self._arrivals.clear()
        self._current = None

    def _start(self, now: float) -> None:
        self._current = None
        while self._waiting:
            _, sequence, key, size = heapq.heappop(self._waiting)
            if self._arrivals.get(key) == sequence:
                self._current = key
                self._remaining_s = size / self._bytes_s
                self._progress_time = now
                return


class WeightStore:
    """A store of model weights whose bandwidth all engines share.

    Loads are served one at a time, in order of arrival.
    """

    def __init__(self, bytes_s: float) -> None:
        self._bytes_s = bytes_s
        self._free_at = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Queue a load of ``size`` bytes and return when it ends."""
        self._free_at = max(self._free_at, now) + size / self._bytes_s
        return self._free_at
