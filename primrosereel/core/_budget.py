"""A budget that keeps retries from amplifying an overload."""

import collections

__all__ = ['RetryBudget']

# Accepted requests of this period count; long enough to smooth bursts.
PERIOD_S = 10.0


class RetryBudget:
    """Allows retries up to a ratio of the accepted requests.

    ``minimum_per_s`` retries a second are allowed at any load, so that a
    nearly idle daemon can still retry::

        budget = RetryBudget(ratio=0.1, minimum_per_s=3.0)
        budget.accepted(now)
        if budget.take(now):
            ...
    """

    def __init__(self, ratio: float, minimum_per_s: float) -> None:
        self._ratio = ratio
        self._minimum = minimum_per_s * PERIOD_S
        self._accepted: collections.deque[float] = collections.deque()
        self._taken: collections.deque[float] = collections.deque()

    def accepted(self, now: float) -> None:
        """Count one accepted request."""
        self._forget(now)
        self._accepted.append(now)

    def take(self, now: float) -> bool:
        """Take one retry; return False when the budget is used up."""
        self._forget(now)
        allowed = max(self._minimum, self._ratio * len(self._accepted))
        if len(self._taken) >= allowed:
            return False
        self._taken.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._accepted, self._taken):
            while times and times[0] <= now - PERIOD_S:
                times.popleft()
