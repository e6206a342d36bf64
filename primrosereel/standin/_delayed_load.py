"""Load reports that lag behind the state of the engine."""

from typing import NamedTuple

__all__ = ['DelayedLoad', 'LoadSample']


class LoadSample(NamedTuple):
    """Load of an engine at one point in time."""

    busy: int
    queued: int
    free_pieces: int
    backlog_tokens: int


class DelayedLoad:
    """Takes two samples per lag and reports the one before the latest.

    The age of the reported load is between half the lag and the whole lag.
    """

    def __init__(self, lag_s: float, now: float, initial: LoadSample) -> None:
        self._interval_s = lag_s / 2
        self._sample_number = self._sample_number_at(now)
        self._latest = self._previous = initial

    def due(self, now: float) -> bool:
        """Tell whether a sample is due."""
        return self._sample_number_at(now) > self._sample_number

    def sample(self, now: float, load: LoadSample) -> None:
        """Record the samples due; call it before a change at ``now``.

        If several samples are due, they are equal, because the load has not
        changed since the previous call.
        """
        number = self._sample_number_at(now)
        consecutive = number == self._sample_number + 1
        self._previous = self._latest if consecutive else load
        self._latest = load
        self._sample_number = number

    def reported(
        self, current: LoadSample, now: float
    ) -> tuple[LoadSample, float]:
        """Return the reported load and its age in seconds."""
        if self._interval_s == 0:
            return current, 0.0
        return self._previous, now - (
            self._sample_number - 1
        ) * self._interval_s

    def _sample_number_at(self, now: float) -> int:
        return int(now / self._interval_s) if self._interval_s else 0
