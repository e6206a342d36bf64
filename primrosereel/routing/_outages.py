"""Runners that refuse connections: when one is tried, and for how long.

Pattern: circuit breaker with a single trial. A runner that refused a
connection gets no request until the interval is over; then one connect tries
it for all requests, and its success opens the runner for all.

An outage belongs to an address, as a runner that crashed registers again
under another id.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import random as random_module

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _model as model
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Outages']

# The interval between two connects to a runner that refuses connections;
# doubled with each refusal, and shortened by up to a share at random.
MIN_TRIAL_INTERVAL_S = 1.0
MAX_TRIAL_INTERVAL_S = 2.0
TRIAL_INTERVAL_JITTER = 0.25
# More refusals do not change the interval.
MAX_COUNTED_REFUSALS = 8

# How long an outage is expected to last before one was observed, and the
# bounds of what is expected later.
DEFAULT_OUTAGE_S = 2.0
MIN_OUTAGE_S = 0.5
MAX_OUTAGE_S = 10.0
# The longest of the last outages of a service is expected.
REMEMBERED_OUTAGES = 5
# An outage whose runner did not return is forgotten after this time.
FORGET_AFTER_S = 60.0

# A service without a runner counts as such until nobody has asked for it for
# this time.
ABSENCE_LAPSES_S = 5.0

# Refused callers return spread over this share of an outage's duration.
RETURN_SPREAD_SHARE = 0.5
MIN_RETURN_SPREAD_S = 0.25

ServiceRole = tuple[ids.ServiceId, states.Role]


@dataclasses.dataclass(slots=True)
class _Outage:
    """One runner that refuses connections."""

    service_role: ServiceRole
    since: float
    refusals: int
    retry_at: float
    # Whether a connect tries the runner now.
    in_trial: bool = False


@dataclasses.dataclass(slots=True)
class _Absence:
    """A service that has no runner, though none refuses connections."""

    since: float
    asked_at: float


class Outages:
    """The runners that refuse connections, and how long they did lately.

    Example::

        with outages.trial(address, now) as allowed:
            if allowed:
                ...  # connect, then observe_refusal or observe_return
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._outages: dict[model.Address, _Outage] = {}
        self._durations: dict[ServiceRole, collections.deque[float]] = {}
        self._absences: dict[ServiceRole, _Absence] = {}

    def __len__(self) -> int:
        return len(self._outages)

    def may_connect(self, address: model.Address, now: float) -> bool:
        """Tell whether a request may connect to a runner."""
        outage = self._outages.get(address)
        return outage is None or (
            not outage.in_trial and now >= outage.retry_at
        )

    def is_due(self, address: model.Address, now: float) -> bool:
        """Tell whether a runner that refused connections is to be tried."""
        return address in self._outages and self.may_connect(address, now)

    def since(self, address: model.Address) -> float | None:
        """Return when a runner's outage began; None if there is none."""
        outage = self._outages.get(address)
        return None if outage is None else outage.since

    @contextlib.contextmanager
    def trial(self, address: model.Address, now: float) -> Iterator[bool]:
        """Reserve the only trial of a runner while the block runs.

        Yields whether the block may connect.
        """
        outage = self._outages.get(address)
        if outage is None:
            yield True
            return
        if not self.may_connect(address, now):
            yield False
            return
        outage.in_trial = True
        try:
            yield True
        finally:
            outage.in_trial = False

    def observe_refusal(
        self, listing: model.RunnerListing, now: float
    ) -> bool:
        """Record that a connect was refused; return whether it is the first.

        Refusals of connects that were begun before the first one was known do
        not lengthen the interval.
        """
        outage = self._outages.get(listing.address)
        if outage is None:
            self._forget_old(now)
            outage = _Outage((listing.service, listing.role), now, 0, now)
            self._outages[listing.address] = outage
        elif not outage.in_trial:
            return False
        self._postpone(outage, now)
        return outage.refusals == 1

    def observe_timeout(self, address: model.Address, now: float) -> None:
        """Record that a runner's trial was not answered."""
        outage = self._outages.get(address)
        if outage is not None and outage.in_trial:
            self._postpone(outage, now)

    def observe_return(
        self, address: model.Address, now: float
    ) -> float | None:
        """End an outage: the runner answered, or another run registered.

        Returns how long it lasted; None if there was none.
        """
        outage = self._outages.pop(address, None)
        if outage is None:
            return None
        duration_s = now - outage.since
        self._durations.setdefault(
            outage.service_role, collections.deque(maxlen=REMEMBERED_OUTAGES)
        ).append(duration_s)
        return duration_s

    def observe_run(self, listing: model.RunnerListing, now: float) -> None:
        """Record that another run of a runner, or a new one, is listed."""
        self._absences.pop((listing.service, listing.role), None)
        self.observe_return(listing.address, now)

    def observe_entry(self, listing: model.RunnerListing, now: float) -> None:
        """Let a runner be tried at once, as it has written to its entry."""
        self._absences.pop((listing.service, listing.role), None)
        outage = self._outages.get(listing.address)
        if outage is not None:
            outage.retry_at = min(outage.retry_at, now)

    def expected_s(self, service: ids.ServiceId, role: states.Role) -> float:
        """Return how long an outage of a service's runner is expected."""
        durations = self._durations.get((service, role))
        if not durations:
            return DEFAULT_OUTAGE_S
        return min(max(MIN_OUTAGE_S, *durations), MAX_OUTAGE_S)

    def retry_after_s(
        self, service: ids.ServiceId, role: states.Role, now: float
    ) -> float:
        """Return when callers of a service without a runner may return.

        The first of its runners is expected back by then. Callers are spread,
        so that they do not all meet the one runner that is back.
        """
        expected_s = self.expected_s(service, role)
        began_at = [
            outage.since
            for outage in self._outages.values()
            if outage.service_role == (service, role)
        ]
        if not began_at:
            # When its runners went, and which it has, is not known.
            absent_s = now - self._absent_since((service, role), now)
            remaining_s = timeouts.outage_retry_after_s(absent_s)
            return remaining_s + MIN_RETURN_SPREAD_S * self._random.random()
        remaining_s = min(
            _remaining_s(now - since, expected_s) for since in began_at
        )
        spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * expected_s)
        return remaining_s + spread_s * self._random.random()

    def _absent_since(self, service_role: ServiceRole, now: float) -> float:
        absence = self._absences.get(service_role)
        if absence is None or now - absence.asked_at > ABSENCE_LAPSES_S:
            absence = self._absences[service_role] = _Absence(now, now)
        absence.asked_at = now
        return absence.since

    def _postpone(self, outage: _Outage, now: float) -> None:
        interval_s = min(
            MIN_TRIAL_INTERVAL_S * 2**outage.refusals, MAX_TRIAL_INTERVAL_S
        )
        jitter = TRIAL_INTERVAL_JITTER * self._random.random()
        outage.retry_at = now + interval_s * (1 - jitter)
        outage.refusals = min(outage.refusals + 1, MAX_COUNTED_REFUSALS)

    def _forget_old(self, now: float) -> None:
        for address, outage in list(self._outages.items()):
            if now - outage.since > FORGET_AFTER_S and not outage.in_trial:
                del self._outages[address]


def _remaining_s(lasted_s: float, expected_s: float) -> float:
    """Return how much longer an outage is expected to last.

    One that is overdue is expected to last as long again as it is overdue.
    """
    if lasted_s < expected_s:
        return expected_s - lasted_s
    return timeouts.outage_retry_after_s(lasted_s - expected_s)
