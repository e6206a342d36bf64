"""The pool system: passes messages, timers and polls to the owned groups."""

import heapq
import math

from primrosereel import _ids as ids
from primrosereel import _registry as registry
from primrosereel import _states as states
from primrosereel.core import _group_owner as group_owner
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['NaivePoolSystem', 'PoolSystem']

SURVEY_INTERVAL_S = 1.0
# Each runner is polled in every second survey: a poll costs about 2 ms of
# processor time, and the ledger is exact between polls. A leaving runner is
# still noticed within 3 s.
SURVEYS_PER_POLL = 2
# After a longer pause of this process another instance may have granted places
# in its groups, so the live grants are collected again.
MAX_PROCESS_PAUSE_S = 1.0
# An instance that receives requests for a group which, by its own view, it
# does not own keeps the state of that group for this long after the last one.
ACTING_OWNER_TTL_S = 5.0
RETRY_AFTER_S = 1.0


class PoolSystem:
    """Owns groups: grants places in them and polls their runners.

    A message or a timer only causes work for the groups that it concerns. A
    survey each second checks all groups, to determine which ones are owned.
    """

    inputs: tuple[type, ...] = (
        messages.GrantRequest,
        messages.Progress,
        messages.LiveGrants,
        messages.LoadReported,
        messages.CacheEventsReceived,
        messages.TextChanged,
        messages.PeerFailed,
    )
    policy = 'reserving'

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._policy = registry.load('placement', self.policy)()
        self._groups: dict[ids.GroupId, group_owner.GroupOwner] = {}
        self._owned: set[ids.GroupId] = set()
        self._dirty_groups: dict[ids.GroupId, None] = {}
        self._timers: list[tuple[float, ids.GroupId]] = []
        self._scheduled: dict[ids.GroupId, float] = {}
        self._survey_at = -math.inf
        self._surveys = 0
        self._last_ran_at = math.inf
        self._listing_revision = 0
        self._listed_incarnations: dict[ids.InstanceId, ids.Incarnation] = {}

    def receive(self, message, now: float) -> None:
        """Pass a message to the groups that it concerns."""
        self._detect_process_pause(now)
        if isinstance(message, messages.FromPeer):
            self._receive_from_peer(message, now)
        elif isinstance(message, messages.LoadReported):
            group = self._group_of(message.runner)
            if group is not None:
                group.apply_report(message.runner, message.report, now)
                self._dirty_groups[group.group] = None
        elif isinstance(message, messages.CacheEventsReceived):
            self._apply_cache_events(message, now)
        elif isinstance(message, messages.TextChanged):
            self._apply_text(now)
        elif isinstance(message, messages.PeerFailed):
            self._handle_delivery_failure(message, now)

    def run(self, now: float) -> None:
        """Dispatch the groups that have changed or whose timer is due."""
        self._detect_process_pause(now)
        if self._listing_revision != self._world.listing.revision:
            self._release_removed_entries(now)
        if now >= self._survey_at:
            self._survey(now)
        while self._timers and self._timers[0][0] <= now:
            when, name = heapq.heappop(self._timers)
            if self._scheduled.get(name) == when:
                del self._scheduled[name]
                self._dirty_groups[name] = None
        dirty_groups, self._dirty_groups = self._dirty_groups, {}
        for name in dirty_groups:
            group = self._groups.get(name)
            if group is not None:
                group.dispatch(now)
                self._schedule(group)
        self._world.wake_at(self._survey_at)
        if self._timers:
            self._world.wake_at(self._timers[0][0])

    def gauges(self) -> dict[str, float]:
        """Return the queue length and the reservations of each open group."""
        gauges: dict[str, float] = {}
        for name, group in self._groups.items():
            prefix = f'group.{name.replace("/", ".")}'
            decode_runners = group.ledger.decode_runners.values()
            gauges[f'{prefix}.queue'] = len(group.queue)
            gauges[f'{prefix}.paused'] = len(group.ledger.suspended)
            gauges[f'{prefix}.places'] = sum(
                len(runner.occupants) for runner in decode_runners
            )
            gauges[f'{prefix}.pieces'] = sum(
                runner.used_pieces for runner in decode_runners
            )
        return gauges

    def _detect_process_pause(self, now: float) -> None:
        """Collect live grants again after a pause of this process.

        If this is the only instance of the region, no other one can have
        granted anything meanwhile, and the ledger is still valid.
        """
        pause_s = now - self._last_ran_at
        self._last_ran_at = now
        if pause_s <= MAX_PROCESS_PAUSE_S:
            return
        for group in self._groups.values():
            region = self._world.group_regions.get(group.group)
            if region is None:
                continue
            if len(ownership.live_instances(self._world, region)) > 1:
                group.collect_live_grants(now)
                self._dirty_groups[group.group] = None

    def _receive_from_peer(
        self, message: messages.FromPeer, now: float
    ) -> None:
        inner = message.message
        if isinstance(inner, messages.GrantRequest):
            self._receive_grant_request(message, inner, now)
            return
        if not isinstance(inner, messages.Progress | messages.LiveGrants):
            return
        group = self._groups.get(inner.group)
        if group is None:
            return
        if isinstance(inner, messages.Progress):
            group.apply_progress(inner, now)
        else:
            group.add_live_grants(
                inner.grants, message.sender, message.incarnation, now
            )
        self._dirty_groups[inner.group] = None

    def _receive_grant_request(
        self,
        message: messages.FromPeer,
        request: messages.GrantRequest,
        now: float,
    ) -> None:
        # A request handed over by the former owner names its entry.
        holder = ids.holder_of(request.request_id)
        entry = holder or ids.Holder(message.sender, message.incarnation)
        group = self._open_group(request.group, now)
        if group is None:
            self._world.count('pool.refused.no_runner')
            self._world.send(
                entry.instance,
                messages.GrantRefused(
                    request.request_id,
                    request.attempt,
                    states.RefusalReason.NO_RUNNER,
                    RETRY_AFTER_S,
                ),
            )
            return
        group.request_grant(request, entry.instance, entry.incarnation, now)
        self._dirty_groups[request.group] = None

    def _open_group(
        self, name: ids.GroupId, now: float
    ) -> group_owner.GroupOwner | None:
        """Return the state of a group; a new one first collects grants."""
        group = self._groups.get(name)
        if group is not None:
            return group
        service = self._service_of(name)
        if service is None or service.kind is not states.ServiceKind.LLM:
            return None
        group = group_owner.GroupOwner(
            self._world, name, service, self._policy, now
        )
        group.collect_live_grants(now)
        self._groups[name] = group
        self._dirty_groups[name] = None
        return group

    def _service_of(self, name: ids.GroupId):
        runners = self._world.groups.get(name)
        if not runners or self._world.text is None:
            return None
        service = self._world.runners[runners[0]].service
        return self._world.text.services.get(service)

    def _group_of(self, runner: ids.RunnerId) -> group_owner.GroupOwner | None:
        row = self._world.runners.get(runner)
        return None if row is None else self._groups.get(row.group)

    def _apply_cache_events(
        self, events: messages.CacheEventsReceived, now: float
    ) -> None:
        group = self._group_of(events.runner)
        prefill_runner = group and group.ledger.prefill_runners.get(
            events.runner
        )
        if prefill_runner:
            prefill_runner.cache.apply_events(events, now)

    def _apply_text(self, now: float) -> None:
        for name in list(self._groups):
            service = self._service_of(name)
            if service is None or service.kind is not states.ServiceKind.LLM:
                self._groups.pop(name).refuse_all(now)
            else:
                self._groups[name].apply_text(service, now)
                self._dirty_groups[name] = None
        self._survey_at = now

    def _handle_delivery_failure(
        self, failure: messages.PeerFailed, now: float
    ) -> None:
        for message in failure.messages:
            if isinstance(message, messages.Grant):
                for group in self._groups.values():
                    group.handle_delivery_failure(failure.peer, message, now)

    def _release_removed_entries(self, now: float) -> None:
        """Release the reservations of instances that are no longer listed."""
        listing = self._world.listing
        current_incarnations = {
            row.instance: row.incarnation for row in listing.instances.values()
        }
        for entry, incarnation in self._listed_incarnations.items():
            if current_incarnations.get(entry) != incarnation:
                for group in self._groups.values():
                    group.release_entry(entry, incarnation, now)
                    self._dirty_groups[group.group] = None
        self._listed_incarnations = current_incarnations
        self._listing_revision = listing.revision

    def _survey(self, now: float) -> None:
        """Determine which groups are owned; poll their runners."""
        # Delays of ticks do not accumulate, and missed surveys are skipped.
        self._survey_at = max(
            self._survey_at + SURVEY_INTERVAL_S, now + SURVEY_INTERVAL_S / 2
        )
        self._surveys += 1
        identity = self._world.identity
        # Groups of other regions cannot be owned here; hashing is skipped.
        owned = {
            name
            for name, region in self._world.group_regions.items()
            if region == identity.region
            and ownership.group_owner(self._world, name) == identity.instance
        }
        for name in self._owned - owned:
            self._close_group(name, now)
        self._owned = owned
        for name in sorted(owned):
            self._open_group(name, now)
            self._poll_runners(name)
            self._dirty_groups[name] = None
        for name in self._groups.keys() - owned:
            if now > self._groups[name].requested_at + ACTING_OWNER_TTL_S:
                self._close_group(name, now)

    def _close_group(self, name: ids.GroupId, now: float) -> None:
        group = self._groups.pop(name, None)
        successor = ownership.group_owner(self._world, name)
        if group is not None and successor is not None:
            group.hand_over(successor, now)

    def _poll_runners(self, name: ids.GroupId) -> None:
        group = self._groups.get(name)
        for number, runner in enumerate(self._world.groups[name]):
            if (number + self._surveys) % SURVEYS_PER_POLL:
                continue
            self._world.emit(messages.PollLoad(runner))
            prefill_runner = group and group.ledger.prefill_runners.get(runner)
            if prefill_runner:
                self._world.emit(
                    messages.PollCacheEvents(
                        runner, prefill_runner.cache.next_event
                    )
                )

    def _schedule(self, group: group_owner.GroupOwner) -> None:
        due_at = group.next_due()
        if due_at < self._scheduled.get(group.group, math.inf):
            self._scheduled[group.group] = due_at
            heapq.heappush(self._timers, (due_at, group.group))


class NaivePoolSystem(PoolSystem):
    """The pool system with random placement, a baseline for measurements."""

    policy = 'naive'
