"""Virtual time: calls in the order of their times; nothing sleeps."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ['Timeline']


class Timeline:
    """Runs calls at virtual times, those of one time in their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a call at a virtual time."""
        heapq.heappush(self._heap, (time, next(self._sequence), callback))

    def run(self, until: float) -> None:
        """Run everything up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
