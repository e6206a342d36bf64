"""A retry budget that instances share without messages.

Pattern: retry budget over a sliding window. The bound holds for all instances
together: repeated sends to a service in any window stay below a ratio of its
requests plus a slack. Each instance may spend the ratio of its own requests
and a fixed part of the slack. A restart loses the count of what was spent, so
only half of the slack is divided: each instance may restart once in a window
and spend its part again.
"""

import collections
import dataclasses

from primrosereel import _ids as ids
from primrosereel.routing import _stream_claims as stream_claims

__all__ = ['BudgetBounds', 'RetryBudget']

# Share of the slack that is divided among instances; the rest covers restarts.
DIVIDED_SLACK_SHARE = 0.5
# Share of the ratio that is spent. A repeated send may fall into a later
# window than its request; without a margin such sends could exceed the bound.
USABLE_RATIO_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The bound on repeated sends, and how many instances share it."""

    ratio: float
    slack: float
    window_s: float
    instances: int


class RetryBudget:
    """Counts the requests and repeated sends of each service.

    Example::

        budget.count_request(service, now)
        if budget.try_spend(service, now):
            ...  # send to a second runner
    """

    def __init__(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._claims = stream_claims.StreamClaims()
        self._requests: dict[ids.ServiceId, collections.deque[float]] = {}
        self._sends: dict[ids.ServiceId, collections.deque[float]] = {}

    @property
    def claims(self) -> stream_claims.StreamClaims:
        """The streams that need the budget, and their order."""
        return self._claims

    def set_instances(self, instances: int) -> None:
        """Set the number of instances that share the slack."""
        self._bounds = dataclasses.replace(
            self._bounds, instances=max(1, instances)
        )

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Set new bounds; earlier sends still count."""
        self._bounds = dataclasses.replace(
            self._bounds, ratio=ratio, slack=slack, window_s=window_s
        )

    def count_request(self, service: ids.ServiceId, now: float) -> None:
        """Count a caller's request."""
        self._window(self._requests, service, now).append(now)

    def remaining(self, service: ids.ServiceId, now: float) -> float:
        """Return the number of repeated sends that are allowed now."""
        bounds = self._bounds
        requests = len(self._window(self._requests, service, now))
        sends = len(self._window(self._sends, service, now))
        slack = bounds.slack * DIVIDED_SLACK_SHARE / bounds.instances
        return USABLE_RATIO_SHARE * bounds.ratio * requests + slack - sends

    def try_spend(
        self,
        service: ids.ServiceId,
        now: float,
        claim: stream_claims.Claim | None = None,
    ) -> bool:
        """Count a repeated send; return False if the budget is exhausted.

        With a claim, the budget that claims before it need is left to them.
        """
        ahead = self._claims.ahead_of(claim) if claim is not None else 0
        if self.remaining(service, now) < 1 + ahead:
            if claim is not None:
                claim.waiting = True
                self._claims.add(claim)
            return False
        if claim is not None:
            self._claims.remove(claim)
        self._window(self._sends, service, now).append(now)
        return True

    def refund(self, service: ids.ServiceId, spent_at: float) -> None:
        """Take back what was spent at a time, as nothing was sent."""
        sends = self._sends.get(service)
        if sends and spent_at in sends:
            sends.remove(spent_at)

    def _window(self, table, service, now) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        oldest = now - self._bounds.window_s
        while times and times[0] <= oldest:
            times.popleft()
        return times
