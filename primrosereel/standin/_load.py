"""Load reports that are late."""

from typing import NamedTuple

__all__ = ['LateLoad', 'Load']


class Load(NamedTuple):
    """Load of an engine at one time."""

    busy: int
    queued: int
    free_pieces: int
    backlog_tokens: int


class LateLoad:
    """Samples twice a lag and shows the sample before the last.

    The age of what is shown is from half of the lag to the whole lag.
    """

    def __init__(self, lag_s: float, now: float, first: Load) -> None:
        self._interval_s = lag_s / 2
        self._number = self._number_at(now)
        self._latest = self._before = first

    def due(self, now: float) -> bool:
        """Tell whether a sample is due."""
        return self._number_at(now) > self._number

    def sample(self, now: float, load: Load) -> None:
        """Take the samples due, before anything changes at ``now``.

        Nothing has changed since the sample before, so several that are due
        are equal.
        """
        number = self._number_at(now)
        following = number == self._number + 1
        self._before = self._latest if following else load
        self._latest = load
        self._number = number

    def shown(self, current: Load, now: float) -> tuple[Load, float]:
        """Return the load that readers see and its age in seconds."""
        if self._interval_s == 0:
            return current, 0.0
        return self._before, now - (self._number - 1) * self._interval_s

    def _number_at(self, now: float) -> int:
        return int(now / self._interval_s) if self._interval_s else 0
