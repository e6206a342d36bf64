"""The table of runners: the platform's listings and own observations."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import math
import random as random_module
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability_module
from primrosereel.routing import _model as model
from primrosereel.routing import _outages as outages_module
from primrosereel.routing import _runner_addresses as runner_addresses
from primrosereel.routing._runner import Runner

__all__ = ['Runner', 'RunnerTable']


class _Pool(NamedTuple):
    """The listed runners of a service with one role, and their zones."""

    runners: list[Runner]
    zones: frozenset[ids.AvailabilityZone]


class RunnerTable:
    """All runners of the platform's list by id.

    ``owns`` tells whether the engines of a zone belong to the own shard, and
    ``availability`` which runners take new requests. Runners that refuse
    connections are in ``outages``.
    """

    def __init__(
        self,
        owns: Callable[[ids.AvailabilityZone], bool] = lambda _: True,
        availability: availability_module.AvailabilityTable | None = None,
        outages: outages_module.Outages | None = None,
    ) -> None:
        self._owns = owns
        if availability is None:
            availability = availability_module.AvailabilityTable()
        self._availability = availability
        if outages is None:
            outages = outages_module.Outages(random_module.Random())
        self._outages = outages
        self._runners: dict[ids.RunnerId, Runner] = {}
        # Computed when first asked for after a runner was added or removed.
        self._pools: dict[tuple[ids.ServiceId, states.Role], _Pool] = {}
        self._addresses = runner_addresses.RunnerAddresses()

    def __len__(self) -> int:
        return len(self._runners)

    def __iter__(self) -> Iterator[Runner]:
        return iter(self._runners.values())

    @property
    def availability(self) -> availability_module.AvailabilityTable:
        """Which runners take new requests, and why others do not."""
        return self._availability

    @property
    def outages(self) -> outages_module.Outages:
        """Which runners refuse connections, and when they are tried."""
        return self._outages

    def get(self, runner_id: ids.RunnerId) -> Runner | None:
        """Return a runner; None if it is not listed."""
        return self._runners.get(runner_id)

    def put(
        self,
        listing: model.RunnerListing,
        now: float = 0.0,
        history: int | None = None,
    ) -> None:
        """Add or update a runner's listing; ignore one that is outdated.

        ``history`` is that of the store from which it was read.

        A runner that restarted under its id or moved to another address is a
        new one: observations of the old run are dropped.
        """
        version = availability_module.RunVersion(
            listing.born_ms, listing.sequence
        )
        if not self._availability.observe_entry(
            listing.runner, version, listing.leaving, now, history
        ):
            return
        for runner_id in self._addresses.at(listing.address):
            if _replaces(listing, self._runners[runner_id].listing):
                self.remove(
                    runner_id, now, source=availability_module.Source.ENTRY
                )
        self._addresses.put(listing.runner, listing.address)
        record = self._availability.record(listing.runner)
        runner = self._runners.get(listing.runner)
        if runner is None or _is_new_run(runner.listing, listing):
            self._runners[listing.runner] = Runner(listing, record)
            self._pools.clear()
            self._outages.observe_run(listing, now)
        else:
            if runner.listing.availability_zone != listing.availability_zone:
                self._pools.clear()
            runner.listing = listing
            self._outages.observe_entry(listing, now)
            runner.availability = record

    def remove(
        self,
        runner_id: ids.RunnerId,
        now: float = 0.0,
        missing_until: float = -math.inf,
        source: availability_module.Source = (
            availability_module.Source.REMOVAL
        ),
        history: int | None = None,
    ) -> None:
        """Remove a runner that is no longer listed.

        Until ``missing_until`` it may register again, and is kept as missing.
        """
        self._availability.observe_removal(
            runner_id, now, missing_until, source, history
        )
        if not now < missing_until:
            self._runners.pop(runner_id, None)
            self._pools.clear()
            self._addresses.remove(runner_id)

    def expire(self, now: float) -> list[ids.RunnerId]:
        """Remove missing runners that did not register again.

        Return the removed runners.
        """
        self._availability.expire(now)
        removed = sorted(
            runner.runner_id
            for runner in self._runners.values()
            if runner.availability.is_removed
        )
        for runner_id in removed:
            del self._runners[runner_id]
            self._pools.clear()
            self._addresses.remove(runner_id)
        return removed

    def accepting_count(self, now: float) -> int:
        """Return how many listed runners take new requests."""
        return sum(
            runner.availability.accepts(now)
            for runner in self._runners.values()
        )

    def preferred(self, candidates: list[Runner], now: float) -> list[Runner]:
        """Return the candidates to choose from; the others are spare.

        Spare are runners that refused a request of a peer, and after them
        those whose entry is missing. A runner that refused connections and is
        to be tried again goes before all others, as it is tried only once.
        """
        if self._availability.has_spare and candidates:
            best = min(
                runner.availability.preference(now) for runner in candidates
            )
            candidates = [
                runner
                for runner in candidates
                if runner.availability.preference(now) == best
            ]
        if not self._outages:
            return candidates
        due = [
            runner
            for runner in candidates
            if self._outages.is_due(runner.listing.address, now)
        ]
        return due or candidates

    def down_count(self) -> int:
        """Return how many listed runners refuse connections."""
        if not self._outages:
            return 0
        return sum(
            self.down_since(runner) is not None
            for runner in self._runners.values()
        )

    def down_since(self, runner: Runner) -> float | None:
        """Return since when a runner refuses connections; None if not."""
        return self._outages.since(runner.listing.address)

    def retry_after_s(
        self, service: ids.ServiceId, role: states.Role, now: float
    ) -> float | None:
        """Return when callers may return if no runner takes a request.

        None if a runner can be tried.
        """
        if self.ready(service, role, now):
            return None
        return self._outages.retry_after_s(service, role, now)

    def ready(
        self,
        service: ids.ServiceId,
        role: states.Role,
        now: float,
        excluded: Collection[ids.RunnerId] = (),
    ) -> list[Runner]:
        """Return the runners of a service that accept new requests.

        Engines of other shards are returned only if the own shard has none.
        """
        pool = self._pool(service, role)
        if role is states.Role.PLAIN:
            return self._accepting(pool.runners, now, excluded)
        owned = {zone for zone in pool.zones if self._owns(zone)}
        own_shard = [
            runner
            for runner in pool.runners
            if runner.listing.availability_zone in owned
        ]
        return self._accepting(own_shard, now, excluded) or self._accepting(
            pool.runners, now, excluded
        )

    def staying(
        self, service: ids.ServiceId, role: states.Role, now: float
    ) -> list[Runner]:
        """Return the runners of the own shard that do not leave.

        Those that back off for some time are among them.
        """
        return [
            runner
            for runner in self._pool(service, role).runners
            if runner.availability.accepts_from < math.inf
            and now < runner.availability.accepts_until
            and self.owned(runner)
        ]

    def barred(
        self, service: ids.ServiceId, role: states.Role, now: float
    ) -> list[Runner]:
        """Return the runners of a service that take no new requests."""
        return [
            runner
            for runner in self._pool(service, role).runners
            if not runner.availability.accepts(now)
        ]

    def foreign(
        self,
        service: ids.ServiceId,
        role: states.Role,
        now: float,
        excluded: Collection[ids.RunnerId] = (),
    ) -> list[Runner]:
        """Return the engines of other shards that accept new requests."""
        pool = self._pool(service, role)
        return [
            runner
            for runner in self._accepting(pool.runners, now, excluded)
            if not self.owned(runner)
        ]

    def owned(self, runner: Runner) -> bool:
        """Tell whether a runner belongs to the own shard."""
        return self._owns(runner.listing.availability_zone)

    def _pool(self, service: ids.ServiceId, role: states.Role) -> _Pool:
        """Return the listed runners of a service with a role."""
        pool = self._pools.get((service, role))
        if pool is None:
            listed = [
                runner
                for runner in self._runners.values()
                if runner.listing.service == service
                and runner.listing.role is role
            ]
            zones = {runner.listing.availability_zone for runner in listed}
            pool = _Pool(listed, frozenset(zones))
            self._pools[service, role] = pool
        return pool

    def _accepting(
        self,
        listed: list[Runner],
        now: float,
        excluded: Collection[ids.RunnerId],
    ) -> list[Runner]:
        accepting = [
            runner
            for runner in listed
            if runner.availability.accepts_from <= now
            and (not excluded or runner.runner_id not in excluded)
        ]
        if self._outages:
            accepting = [
                runner
                for runner in accepting
                if self._outages.may_connect(runner.listing.address, now)
            ]
        if not self._availability.has_spare:
            return accepting
        return [
            runner
            for runner in accepting
            if now < runner.availability.accepts_until
        ]


def _replaces(new: model.RunnerListing, old: model.RunnerListing) -> bool:
    """Tell whether a runner started at the address of one that ended.

    The entry of a crashed runner stays listed for some heartbeats.
    """
    return (
        new.runner != old.runner
        and new.address == old.address
        and new.service == old.service
        and new.born_ms > old.born_ms > 0
    )


def _is_new_run(old: model.RunnerListing, new: model.RunnerListing) -> bool:
    return (
        old.born_ms != new.born_ms
        or old.address != new.address
        or old.service != new.service
        or old.role is not new.role
    )
