"""Chooses the runner of a plain call by least expected completion time.

Pattern: least expected completion time, from the instance's own counts and
the load reports in runners' responses. Ties are broken at random, so that
instances with the same information do not all choose the same runner.
"""

from collections.abc import Collection
import random as random_module
from typing import Protocol

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _runners as runners

__all__ = ['Placement', 'PlacementPolicy', 'RandomPlacement', 'fastest_s']

# Cost terms, in units of one typical service time.
OTHER_ZONE_COST = 0.15
SUSPECT_COST = 50.0
FULL_COST = 5.0
SILENT_COST = 5.0
FAILURE_COST = 4.0
COLD_COST = 1.0
TIE_BREAK_JITTER = 0.05


class PlacementPolicy(Protocol):
    """Chooses the runner of a plain call."""

    def choose(
        self,
        service: ids.ServiceId,
        excluded: Collection[ids.RunnerId],
        now: float,
        cost: request_costs.Cost | None = None,
    ) -> runners.Runner | None:
        """Return the runner for a request; None if no candidate remains.

        ``cost`` is what the request is expected to cost, if it is known.
        """


class Placement:
    """Chooses the ready runner with the least expected completion time."""

    def __init__(
        self,
        table: runners.RunnerTable,
        availability_zone: ids.AvailabilityZone,
        random: random_module.Random,
    ) -> None:
        self._table = table
        self._availability = table.availability
        self._availability_zone = availability_zone
        self._random = random

    def choose(
        self,
        service: ids.ServiceId,
        excluded: Collection[ids.RunnerId],
        now: float,
        cost: request_costs.Cost | None = None,
    ) -> runners.Runner | None:
        """Return the runner with the lowest cost."""
        candidates = self._candidates(service, excluded, now)
        fastest = fastest_s(candidates)
        return min(
            candidates,
            key=lambda runner: self._cost(runner, fastest, now),
            default=None,
        )

    def _candidates(
        self,
        service: ids.ServiceId,
        excluded: Collection[ids.RunnerId],
        now: float,
    ) -> list[runners.Runner]:
        candidates = self._table.ready(
            service, states.Role.PLAIN, now, excluded
        )
        if candidates and (
            self._availability.has_spare or self._table.outages
        ):
            return self._without_spare(candidates, now)
        return candidates

    def _without_spare(
        self, ready: list[runners.Runner], now: float
    ) -> list[runners.Runner]:
        """Leave out spare runners while another one is available."""
        preferred = self._table.preferred(ready, now)
        if any(runner.is_available(now) for runner in preferred):
            return preferred
        return ready

    def _cost(
        self, runner: runners.Runner, fastest: float | None, now: float
    ) -> float:
        cost = (runner.estimated_requests(now) + 1) / max(
            1, runner.listing.slots
        )
        if fastest and runner.latency_s:
            cost = (cost + 0.3) * min(runner.latency_s / fastest, 4.0)
        return cost + self._penalty(runner, now)

    def _penalty(self, runner: runners.Runner, now: float) -> float:
        """Return the cost of all but the load, and what breaks ties."""
        cost = 0.0
        if runner.report is not None:
            cost += max(0.0, runner.report.slowness - 1.0) * 0.5 ** (
                max(0.0, now - runner.reported_at) / 0.5
            )
        if runner.listing.availability_zone != self._availability_zone:
            cost += OTHER_ZONE_COST
        if runner.is_suspect(now):
            cost += SUSPECT_COST * (1 + runner.failures)
        if now < runner.full_until:
            cost += FULL_COST
        if now < runner.silent_until:
            cost += SILENT_COST
        if runner.listing.cold_s > 0:
            cost += COLD_COST
        cost += FAILURE_COST * runner.failure_rate
        return cost + TIE_BREAK_JITTER * self._random.random()


def fastest_s(candidates: list[runners.Runner]) -> float | None:
    """Return the latency of the fastest runner; None if none is known."""
    return min(
        (runner.latency_s for runner in candidates if runner.latency_s),
        default=None,
    )


class RandomPlacement:
    """Chooses a random ready runner; the baseline for comparisons."""

    def __init__(
        self,
        table: runners.RunnerTable,
        availability_zone: ids.AvailabilityZone,
        random: random_module.Random,
    ) -> None:
        self._table = table
        self._random = random

    def choose(
        self,
        service: ids.ServiceId,
        excluded: Collection[ids.RunnerId],
        now: float,
        cost: request_costs.Cost | None = None,
    ) -> runners.Runner | None:
        """Return a random ready runner."""
        candidates = self._table.ready(
            service, states.Role.PLAIN, now, excluded
        )
        return self._random.choice(candidates) if candidates else None
