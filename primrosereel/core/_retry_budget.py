"""Retry budget: bounds retries to a share of the accepted requests.

Without a bound a fault that fails many requests at once would multiply the
load on the runners that still work.
"""

import collections
import dataclasses

__all__ = ['MAX_RETRIES_PER_REQUEST', 'RetryBudget']

# Placements of one request after the first.
MAX_RETRIES_PER_REQUEST = 4

RETRY_SHARE = 0.1
MIN_RETRIES_PER_S = 3.0
# Long enough that the loss of a runner with 20 streams fits in the minimum.
WINDOW_S = 10.0
SLOT_S = 1.0


@dataclasses.dataclass(slots=True)
class Slot:
    """Requests and retries of one second."""

    start: float
    accepted: int = 0
    retries: int = 0


class RetryBudget:
    """Counts accepted requests and retries in a sliding window.

    In a window of 10 s a daemon makes at most 10% as many retries as it
    accepted requests, or 30, whichever is more::

        if not world.retry_budget.take(now):
            ...  # give up
    """

    def __init__(self) -> None:
        self._slots: collections.deque[Slot] = collections.deque()
        self._accepted = 0
        self._retries = 0

    def count_accepted(self, now: float) -> None:
        """Count an accepted request."""
        self._current_slot(now).accepted += 1
        self._accepted += 1

    def remaining(self, now: float) -> int:
        """Return how many retries are allowed now; never negative."""
        self._current_slot(now)
        allowed = max(
            MIN_RETRIES_PER_S * WINDOW_S, RETRY_SHARE * self._accepted
        )
        return max(0, int(allowed) - self._retries)

    def take(self, now: float) -> bool:
        """Take one retry; False when the budget is empty."""
        if self.remaining(now) < 1:
            return False
        self._current_slot(now).retries += 1
        self._retries += 1
        return True

    def _current_slot(self, now: float) -> Slot:
        slots = self._slots
        # The last entry of a slot may be almost SLOT_S younger than its start.
        while slots and slots[0].start <= now - WINDOW_S - SLOT_S:
            old = slots.popleft()
            self._accepted -= old.accepted
            self._retries -= old.retries
        if not slots or slots[-1].start <= now - SLOT_S:
            slots.append(Slot(now))
        return slots[-1]
