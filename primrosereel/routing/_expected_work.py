"""Chooses runners by expected time: outstanding work, speed, and cost.

Pattern: shortest expected completion with bounded regret. The expected time
of a plain call is its own cost and the work that is queued before it, at the
runner's speed. Work that lasts longer than predicted counts with what is
known of requests that have lasted as long. Predictions only choose among the
runners that the rule without predictions finds almost as good as the best.
"""

from collections.abc import Collection
import math
import random as random_module

from primrosereel import _ids as ids
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _placement as placement
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _runner as runner_module
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners

__all__ = [
    'WorkDecodePlaces',
    'WorkPlacement',
    'expected_call_s',
    'has_free_slot',
    'observe_call',
]

# How much worse than the best a runner may be by the rule without predictions,
# in units of one typical service time.
MAX_REGRET = 8.0
# A prediction counts as at most this multiple of the usual cost, and as at
# least one part of as many.
MAX_COST_FACTOR = 8.0
# Weight of a call in the moving average of the usual cost.
USUAL_SAMPLE_WEIGHT = 0.02
# Minimum variance of the number of requests at a runner that are not in its
# last report.
MIN_REQUEST_VARIANCE = 10.0
# Cost of the usual output at the usual speed, where a runner whose whole
# memory is in use costs 1.0; and the range of a request's expected output,
# relative to the usual one.
OUTPUT_COST = 0.1
MAX_OUTPUT_FACTOR = 4.0


class WorkDecodePlaces(decode_places.DecodePlaces):
    """Prefers the fast decode runners for requests with a long output."""

    def _cost(
        self,
        runner: runners.Runner,
        ticket: decode_places.Ticket,
        now: float,
    ) -> float:
        factor = min(
            max(ticket.output_factor, 1.0 / MAX_OUTPUT_FACTOR),
            MAX_OUTPUT_FACTOR,
        )
        return (
            super()._cost(runner, ticket, now)
            + OUTPUT_COST * factor * runner.decode_slowness
        )


class WorkPlacement(placement.Placement):
    """Chooses the runner of a plain call with the least expected time.

    Example::

        runner = placement.choose(service, (), now, cost)
        runner.calls.append(request_costs.CallInProgress(now, cost))
    """

    def __init__(
        self,
        table: runners.RunnerTable,
        availability_zone: ids.AvailabilityZone,
        random: random_module.Random,
    ) -> None:
        super().__init__(table, availability_zone, random)
        self._usual_costs: dict[ids.ServiceId, float] = {}

    def choose(
        self,
        service: ids.ServiceId,
        excluded: Collection[ids.RunnerId],
        now: float,
        cost: request_costs.Cost | None = None,
    ) -> runners.Runner | None:
        """Return the runner with the least expected time.

        Without any observation of such requests, the rule without predictions
        decides.
        """
        candidates = self._candidates(service, excluded, now)
        if cost is None or not cost.samples or len(candidates) < 2:
            return super().choose(service, excluded, now, cost)
        fastest = placement.fastest_s(candidates)
        costs = [self._cost(runner, fastest, now) for runner in candidates]
        limit = min(costs) + MAX_REGRET
        usual_s = self._usual_s(service, cost.mean)
        return min(
            (
                runner
                for runner, known in zip(candidates, costs, strict=True)
                if known <= limit
            ),
            key=lambda runner: (
                expected_call_s(runner, cost, usual_s, now) / usual_s
                + self._penalty(runner, now)
            ),
        )

    def _usual_s(self, service: ids.ServiceId, mean_s: float) -> float:
        """Return the moving average of a service's expected costs."""
        usual_s = self._usual_costs.get(service, mean_s)
        usual_s += USUAL_SAMPLE_WEIGHT * (mean_s - usual_s)
        self._usual_costs[service] = usual_s
        return usual_s


def expected_call_s(
    runner: runners.Runner,
    cost: request_costs.Cost,
    usual_s: float,
    now: float,
) -> float:
    """Return the expected time of a call at a runner, with its wait."""
    load = Load(runner, now)
    slots = max(1, runner.listing.slots)
    waiting = load.expected_excess(slots - 1)
    wait_s = 0.0
    if waiting > 0.0:
        rest_s = sum(
            _bounded(
                call.cost.rest((now - call.started_at) / runner.slowness),
                usual_s,
            )
            for call in runner.calls
        )
        own = len(runner.calls)
        mean_rest_s = (rest_s + load.others * usual_s + usual_s) / (
            own + load.others + 1.0
        )
        wait_s = waiting * mean_rest_s / slots
    return runner.slowness * (_bounded(cost.mean, usual_s) + wait_s)


class Load:
    """The number of requests at a runner, as far as it is known.

    The older the report, the more the mean of all reports counts.
    """

    def __init__(self, runner: runners.Runner, now: float) -> None:
        age_s = max(0.0, now - runner.reported_at)
        known = 0.5 ** (age_s / runner_module.PLAIN_REPORT_HALF_LIFE_S)
        mean = runner.mean_peer_requests
        self.others = known * runner.peer_requests + (1.0 - known) * mean
        self._requests = runner.in_flight + self.others
        # A runner with few slots would never count as free otherwise.
        least = min(MIN_REQUEST_VARIANCE, runner.listing.slots / 2)
        self._variance = least + (1.0 - known) * mean

    @property
    def at_most(self) -> float:
        """The number of requests, with a deviation above what is known."""
        return self._requests + math.sqrt(self._variance)

    def expected_excess(self, count: float) -> float:
        """Return the expected number of requests beyond a count.

        The number of requests is taken as normally distributed.
        """
        deviation = math.sqrt(self._variance)
        beyond = self._requests - count
        distance = beyond / deviation
        if distance < -4.0:
            return 0.0
        density = math.exp(-0.5 * distance**2) / math.sqrt(2 * math.pi)
        share = 0.5 * (1.0 + math.erf(distance / math.sqrt(2)))
        return deviation * density + beyond * share


def _bounded(cost_s: float, usual_s: float) -> float:
    return min(
        max(cost_s, usual_s / MAX_COST_FACTOR), usual_s * MAX_COST_FACTOR
    )


def has_free_slot(runner: runners.Runner, now: float) -> bool:
    """Tell whether a call that is sent now will hardly have to wait."""
    return Load(runner, now).at_most <= runner.listing.slots - 1


def observe_call(
    costs: request_costs.RequestCosts,
    speeds: runner_speeds.RunnerSpeeds,
    runner: runners.Runner,
    key: request_costs.CostKey,
    seconds: float,
    now: float,
) -> None:
    """Learn from a call that did not wait at its runner."""
    expected = costs.expected(key, now)
    if expected.samples:
        speeds.observe(
            runner.runner_id,
            runner_speeds.Phase.PLAIN,
            expected.typical,
            seconds,
            now,
        )
    costs.observe(key, seconds, now)
