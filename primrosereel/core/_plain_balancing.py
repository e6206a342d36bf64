"""Chooses runners for plain calls by the calls outstanding at each."""

import collections
import heapq
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _admission as admission
from primrosereel.core import _tables as tables

__all__ = ['Latencies', 'OutstandingCall', 'OutstandingCalls', 'choose_runner']

# A hedge needs this many observations of a service's latency.
MIN_HEDGE_OBSERVATIONS = 20
LATENCY_WINDOW_CALLS = 100
HEDGE_QUANTILE = 0.95


class OutstandingCall(NamedTuple):
    """One call that a runner has not answered yet."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class OutstandingCalls:
    """The calls this daemon has at each runner.

    Each has a time limit, after which its place counts as free even if the
    adapter reported no result.
    """

    def __init__(self) -> None:
        self._calls: dict[tuple[ids.RequestId, int], OutstandingCall] = {}
        self._counts: collections.Counter[ids.RunnerId] = collections.Counter()
        self._limits: list[tuple[float, ids.RequestId, int]] = []

    @property
    def next_at(self) -> float:
        """The earliest time at which a time limit passes."""
        return self._limits[0][0] if self._limits else math.inf

    def count_at(self, runner: ids.RunnerId) -> int:
        """Return the number of calls at a runner."""
        return self._counts[runner]

    def add(self, call: OutstandingCall, deadline: float) -> None:
        """Count a call that is sent now."""
        self._calls[call.request_id, call.attempt] = call
        self._counts[call.runner] += 1
        heapq.heappush(self._limits, (deadline, call.request_id, call.attempt))

    def remove(
        self, request_id: ids.RequestId, attempt: int
    ) -> OutstandingCall | None:
        """Remove and return a call that ended; None if it is not known."""
        call = self._calls.pop((request_id, attempt), None)
        if call is not None:
            self._counts[call.runner] -= 1
            if not self._counts[call.runner]:
                del self._counts[call.runner]
        return call

    def overdue(self, now: float) -> list[OutstandingCall]:
        """Return the calls whose time limit has passed."""
        overdue = []
        while self._limits and self._limits[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self._limits)
            call = self._calls.get((request_id, attempt))
            if call is not None:
                overdue.append(call)
        return overdue


class Latencies:
    """Recent latencies of each service, which set the hedge delay."""

    def __init__(self) -> None:
        self._seconds: dict[ids.ServiceId, collections.deque[float]] = {}

    def observe(self, service: ids.ServiceId, seconds: float) -> None:
        """Record the latency of one answered call."""
        recent = self._seconds.setdefault(
            service, collections.deque(maxlen=LATENCY_WINDOW_CALLS)
        )
        recent.append(seconds)

    def hedge_delay_s(self, service: ids.ServiceId) -> float:
        """Return the 95th percentile; infinite with too few observations."""
        recent = self._seconds.get(service, ())
        if len(recent) < MIN_HEDGE_OBSERVATIONS:
            return math.inf
        return sorted(recent)[int(HEDGE_QUANTILE * len(recent))]


def choose_runner(
    world: tables.World,
    service: ids.ServiceId,
    outstanding: OutstandingCalls,
    excluded: set[ids.RunnerId],
) -> ids.RunnerId | None:
    """Return the less busy of two random runners that have a place.

    Suspect runners are used only if no other is ready, ``excluded`` runners
    only if every ready one failed this call before.
    """
    if world.text is None or service not in world.text.services:
        return None
    ready = [
        runner
        for runner in world.text.services[service].runners
        if admission.is_ready(world, runner)
    ]
    unsuspected = [r for r in ready if not world.runners[r].suspect] or ready
    untried = [r for r in unsuspected if r not in excluded] or unsuspected
    free = [
        r
        for r in untried
        if outstanding.count_at(r) < world.runners[r].facts.places
    ]
    if not free:
        return None
    pair = world.random.sample(free, min(2, len(free)))
    return min(pair, key=outstanding.count_at)
