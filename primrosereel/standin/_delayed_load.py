"""Load reports that lag behind the state of the engine."""

from typing import NamedTuple

__all__ = ['LateLoad', 'Load']


class Load(NamedTuple):
    """Load of an engine at one point in time."""

    busy: int
    queued: int
    free_pieces: int
    backlog_tokens: int


class LateLoad:
    """Takes two samples per lag and reports the one before the latest.

    The age of the reported load is between half the lag and the whole lag.
    """

    def __init__(self, lag_s: float, now: float, first: Load) -> None:
        self._interval_s = lag_s / 2
        self._number = self._number_at(now)
        self._latest = self._before = first

    def due(self, now: float) -> bool:
        """Tell whether a sample is due."""
        return self._number_at(now) > self._number

    def sample(self, now: float, load: Load) -> None:
        """Record the samples due; call it before a change at ``now``.

        If several samples are due, they are equal, because the load has not
        changed since the previous call.
        """
        number = self._number_at(now)
        following = number == self._number + 1
        self._before = self._latest if following else load
        self._latest = load
        self._number = number

    def shown(self, current: Load, now: float) -> tuple[Load, float]:
        """Return the reported load and its age in seconds."""
        if self._interval_s == 0:
            return current, 0.0
        return self._before, now - (self._number - 1) * self._interval_s

    def _number_at(self, now: float) -> int:
        return int(now / self._interval_s) if self._interval_s else 0
