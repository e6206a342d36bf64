"""A retry budget that instances share without messages.

Pattern: token-bucket-like retry budget over a sliding window. The bound holds
for all instances together: second sends to a service in any window stay below
a ratio of its requests plus a slack. Each instance spends the ratio of its own
requests, and a fixed part of the slack. A restart forgets what was spent, so
only half of the slack is divided: one restart per window and instance may
spend its part again.
"""

import collections
import dataclasses

from primrosereel import _ids as ids

__all__ = ['BudgetBounds', 'RetryBudget']

# The part of the slack that is divided; the rest covers restarts.
DIVIDED_SLACK_SHARE = 0.5
# The part of the ratio that is spent: sends that the bound's window counts
# later than their request's window would otherwise exceed it.
USABLE_RATIO_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The bound on second sends, and how many instances share it."""

    ratio: float
    slack: float
    window_s: float
    instances: int


class RetryBudget:
    """Counts requests and repeated sends of each service.

    Example::

        budget.count_request(service, now)
        if budget.try_spend(service, now):
            ...  # send to a second runner
    """

    def __init__(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._sends: dict[ids.ServiceId, collections.deque[float]] = {}

    def set_instances(self, instances: int) -> None:
        """Divide the slack by another number of instances."""
        self._bounds = dataclasses.replace(
            self._bounds, instances=max(1, instances)
        )

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Put other bounds in force; what was spent still counts."""
        self._bounds = dataclasses.replace(
            self._bounds, ratio=ratio, slack=slack, window_s=window_s
        )

    def count_request(self, service: ids.ServiceId, now: float) -> None:
        """Count a caller's request."""
        self._window(self._requests, service, now).append(now)

    def remaining(self, service: ids.ServiceId, now: float) -> float:
        """Return how many repeated sends are allowed now."""
        bounds = self._bounds
        requests = len(self._window(self._requests, service, now))
        sends = len(self._window(self._sends, service, now))
        slack = bounds.slack * DIVIDED_SLACK_SHARE / bounds.instances
        return USABLE_RATIO_SHARE * bounds.ratio * requests + slack - sends

    def try_spend(self, service: ids.ServiceId, now: float) -> bool:
        """Take one repeated send; False when the budget is spent."""
        if self.remaining(service, now) < 1:
            return False
        self._window(self._sends, service, now).append(now)
        return True

    def _window(self, table, service, now) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        oldest = now - self._bounds.window_s
        while times and times[0] <= oldest:
            times.popleft()
        return times
