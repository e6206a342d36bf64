"""The owner of one group: its state and the messages that change it."""

import collections
from collections.abc import Iterable
import math

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _group_scheduler as group_scheduler
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _preemption as preemption
from primrosereel.core import _prefill as prefill
from primrosereel.core import _queue as queue
from primrosereel.core import _tables as tables

__all__ = ['COLLECT_TIMEOUT_S', 'GroupOwner']

# How long a new owner waits for the live grants of the entries.
COLLECT_TIMEOUT_S = 0.3
# The lease of a grant that may not have reached its entry.
UNDELIVERED_GRANT_LEASE_S = 3.0
# Remembered to ignore late duplicates, which arrive within seconds.
MAX_REMEMBERED_RELEASES = 1024

Phase = capacity_ledger.Phase
Reason = states.RefusalReason
Stage = states.Stage


class GroupOwner:
    """Grants places in one group.

    Only ``dispatch`` makes decisions; the other methods record messages, so
    the order of messages that arrive at the same time does not matter.
    """

    def __init__(
        self,
        world: tables.World,
        group: ids.GroupId,
        service: text_module.Service,
        policy: placement.PlacementPolicy,
        now: float,
    ) -> None:
        self.group = group
        self.requested_at = -math.inf
        self.ledger = capacity_ledger.CapacityLedger()
        self.queue = queue.WaitingQueue(queue.Fairness(self._weight))
        self._world = world
        self._preemption = preemption.Preemption(world, self.ledger)
        view = self._make_view(service)
        self._scheduler = group_scheduler.GroupScheduler(
            world, policy, view, self.queue, self._preemption
        )
        self._released: collections.OrderedDict[ids.RequestId, int] = (
            collections.OrderedDict()
        )
        # Requests whose entries have got neither a grant nor GrantQueued yet.
        self._unacknowledged: list[queue.WaitingRequest] = []
        self._awaited_entries: set[ids.InstanceId] = set()
        self._collecting_until = -math.inf
        self._sequence = 0
        self.apply_text(service, now)

    def apply_text(self, service: text_module.Service, now: float) -> None:
        """Apply the text in force; grants are kept."""
        view = self._make_view(service)
        self._scheduler.view = view
        model, ledger = view.model, self.ledger
        runners = self._world.groups.get(self.group, ())
        for runner in runners:
            facts = self._world.runners[runner].facts
            if facts.role is states.Role.PREFILL:
                prefill_runner = ledger.prefill_runners.setdefault(
                    runner,
                    prefill.PrefillRunner(runner, model.prefill_tokens_s),
                )
                prefill_runner.tokens_per_s = model.prefill_tokens_s
            else:
                ledger.add_decode_runner(runner, facts, now)
        runner_tables: tuple[dict, ...] = (
            ledger.prefill_runners,
            ledger.decode_runners,
        )
        for table in runner_tables:
            for runner in table.keys() - set(runners):
                del table[runner]

    def collect_live_grants(self, now: float) -> None:
        """Rebuild the ledger from the live grants of the region's entries."""
        for key in list(self.ledger.reservations):
            self._release(key, now)
        # These releases did not happen and must not count in the rate.
        self._scheduler.release_rate = queue.ReleaseRate()
        self._awaited_entries = set()
        for instance in self._entries():
            self._world.send(instance, messages.LiveGrantsQuery(self.group))
            peer = self._world.peers.get(instance)
            if peer is None or peer.state is not states.PeerState.SUSPECT:
                self._awaited_entries.add(instance)
        self._awaited_entries.discard(self._world.identity.instance)
        self._collecting_until = now + COLLECT_TIMEOUT_S
        self._world.count('pool.collected')

    def request_grant(
        self,
        request: messages.GrantRequest,
        sender: ids.InstanceId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        """Queue a request for places; a repeated one changes nothing."""
        self.requested_at = now
        key, attempt = request.request_id, request.attempt
        if attempt <= self._released.get(key, -1):
            return
        reservation = self.ledger.reservations.get(key)
        if reservation is not None:
            if attempt == reservation.attempt:
                self._scheduler.send_grant(reservation)
            if attempt <= reservation.attempt:
                return
            self._release(key, now)
        waiting = self.queue.get(key)
        if waiting is not None and attempt <= waiting.request.attempt:
            if attempt == waiting.request.attempt:
                self._unacknowledged.append(waiting)
            return
        arrived = now if waiting is None else waiting.arrived
        self._sequence += 1
        added = queue.WaitingRequest(
            request,
            sender,
            incarnation,
            arrived,
            now + request.wait_s,
            self._sequence,
        )
        self.queue.add(added)
        self._unacknowledged.append(added)

    def apply_progress(self, progress: messages.Progress, now: float) -> None:
        """Apply the progress of a granted request; ignore unknown ones."""
        if progress.stage is Stage.RELEASED:
            self._apply_release(progress, now)
            return
        reservation = self.ledger.reservations.get(progress.request_id)
        if reservation is None or reservation.attempt != progress.attempt:
            return
        self.ledger.renew_lease(reservation, now)
        if progress.offset:
            reservation.tokens = reservation.prompt_tokens + progress.offset
        match progress.stage:
            case Stage.PREFILL_DONE:
                self.ledger.finish_prefill(
                    reservation, progress.cached_tokens, progress.speed, now
                )
            case Stage.DECODING:
                self.ledger.start_decoding(reservation, now)
            case Stage.RENEWED:
                self._observe_gap(reservation, progress, now)
            case Stage.PAUSED:
                self.ledger.confirm_paused(reservation, now)
                self._confirm_order(reservation, Phase.PAUSED)
            case Stage.RESUMED:
                self.ledger.confirm_resumed(reservation, now)
                self._confirm_order(reservation, Phase.DECODE)

    def add_live_grants(
        self,
        grants: Iterable[messages.LiveGrant],
        sender: ids.InstanceId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        """Add the live grants of an entry unless known or released."""
        self._awaited_entries.discard(sender)
        for grant in grants:
            key = grant.request_id
            if grant.attempt <= self._released.get(key, -1):
                continue
            waiting = self.queue.get(key)
            if waiting is not None:
                if grant.attempt < waiting.request.attempt:
                    continue
                self.queue.remove(key)
            reservation = self.ledger.reservations.get(key)
            if reservation is None or reservation.attempt < grant.attempt:
                self._adopt_live_grant(grant, sender, incarnation, now)

    def apply_report(
        self,
        runner: ids.RunnerId,
        report: messages.LoadReport,
        now: float,
    ) -> None:
        """Apply the load report of a runner."""
        prefill_runner = self.ledger.prefill_runners.get(runner)
        if prefill_runner is not None:
            prefill_runner.apply_report(report, now)
        decode_runner = self.ledger.decode_runners.get(runner)
        if decode_runner is not None:
            decode_runner.apply_report(report, now)

    def handle_delivery_failure(
        self, peer: ids.InstanceId, message: messages.PeerMessage, now: float
    ) -> None:
        """Shorten the lease of a grant that may not have reached its entry."""
        if not isinstance(message, messages.Grant):
            return
        reservation = self.ledger.reservations.get(message.request_id)
        if reservation is not None and reservation.entry == peer:
            self.ledger.shorten_lease(
                reservation, UNDELIVERED_GRANT_LEASE_S, now
            )

    def release_entry(
        self, entry: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> None:
        """Release all reservations of a lost incarnation of an entry."""
        for key in list(self.ledger.requests_by_entry.get(entry, ())):
            if self.ledger.reservations[key].incarnation == incarnation:
                self._release(key, now)
        for waiting in self.queue.in_order():
            if (waiting.entry, waiting.incarnation) == (entry, incarnation):
                self.queue.remove(waiting.request.request_id)

    def hand_over(self, successor: ids.InstanceId, now: float) -> None:
        """Forward the waiting requests to the next owner."""
        for waiting in self.queue.in_order():
            request = msgspec.structs.replace(
                waiting.request, wait_s=max(0.0, waiting.deadline - now)
            )
            self._world.send(successor, request)
            self.queue.remove(request.request_id)

    def refuse_all(self, now: float) -> None:
        """Refuse all waiting requests of a group without runners."""
        for waiting in self.queue.in_order():
            self._scheduler.refuse(waiting, Reason.NO_RUNNER, now)

    def dispatch(self, now: float) -> None:
        """Grant, resume and refuse what can be decided now."""
        for reservation in self.ledger.release_expired(now):
            self._world.count('pool.lease_expired')
            self._scheduler.release_rate.record(now)
            self._preemption.confirm_order(reservation.request_id)
        self._preemption.resend_unconfirmed(now)
        for waiting in self.queue.expired(now):
            self._scheduler.refuse(waiting, Reason.DEADLINE, now)
        if not self._awaited_entries or now >= self._collecting_until:
            self._awaited_entries.clear()
            self._scheduler.run(now)
        self._acknowledge()

    def next_due(self) -> float:
        """Return when ``dispatch`` is to run without a message."""
        collection_end = (
            self._collecting_until if self._awaited_entries else math.inf
        )
        return min(
            collection_end,
            self._scheduler.retry_at,
            self.queue.next_deadline,
            self.ledger.next_expiry,
            self._preemption.next_due,
        )

    def _acknowledge(self) -> None:
        """Tell the entries which of their requests have to wait.

        Otherwise an entry would assume that the owner is lost and place the
        request without it.
        """
        new, self._unacknowledged = self._unacknowledged, []
        for waiting in new:
            request = waiting.request
            if self.queue.get(request.request_id) is waiting:
                self._world.send(
                    waiting.entry,
                    messages.GrantQueued(request.request_id, request.attempt),
                )

    def _make_view(self, service: text_module.Service) -> placement.GroupView:
        text = self._world.text
        assert text is not None and service.model is not None
        model = text.models[service.model]
        return placement.GroupView(self._world, service, model, self.ledger)

    def _entries(self) -> list[ids.InstanceId]:
        """Return the instances that may hold grants, this one first.

        Leaving instances are included, since they complete their streams.
        Suspect ones are queried too, but their answer is not waited for.
        """
        own = self._world.identity.instance
        region = self._scheduler.view.service.region
        listed = self._world.listing.instances.values()
        others = [r.instance for r in listed if r.region == region]
        return [own, *(i for i in sorted(others) if i != own)]

    def _weight(self, client_account: ids.ClientAccountId) -> float:
        text = self._world.text
        facts = (
            text.client_accounts.get(client_account)
            if text is not None
            else None
        )
        return 1.0 if facts is None else facts.weight

    def _apply_release(self, progress: messages.Progress, now: float) -> None:
        key = progress.request_id
        known_attempt = self._released.pop(key, -1)
        self._released[key] = max(known_attempt, progress.attempt)
        if len(self._released) > MAX_REMEMBERED_RELEASES:
            self._released.popitem(last=False)
        reservation = self.ledger.reservations.get(key)
        if reservation is not None and reservation.attempt <= progress.attempt:
            self._release(key, now)
        waiting = self.queue.get(key)
        if waiting is not None and waiting.request.attempt <= progress.attempt:
            self.queue.remove(key)

    def _release(self, key: ids.RequestId, now: float) -> None:
        if self.ledger.release(key, now) is not None:
            self._scheduler.release_rate.record(now)
            self._preemption.confirm_order(key)

    def _confirm_order(
        self,
        reservation: capacity_ledger.Reservation,
        phase: capacity_ledger.Phase,
    ) -> None:
        if reservation.phase is phase:
            self._preemption.confirm_order(reservation.request_id)

    def _observe_gap(
        self,
        reservation: capacity_ledger.Reservation,
        progress: messages.Progress,
        now: float,
    ) -> None:
        runner = self.ledger.decode_runners.get(
            progress.runner or reservation.decode_runner
        )
        if runner is not None and progress.speed > 0 and reservation.has_place:
            runner.observe_gap(progress.speed, now)

    def _adopt_live_grant(
        self,
        grant: messages.LiveGrant,
        sender: ids.InstanceId,
        incarnation: ids.Incarnation,
        now: float,
    ) -> None:
        runner = self.ledger.decode_runners.get(grant.decode_runner)
        reservation = capacity_ledger.Reservation(
            grant.request_id,
            grant.attempt,
            sender,
            incarnation,
            grant.client_account,
            grant.priority,
            grant.prefill_runner,
            grant.decode_runner,
            1 if runner is None else runner.pieces_for(grant.tokens),
            grant.tokens,
            prompt_tokens=grant.tokens,
        )
        job = None
        if grant.paused:
            reservation.phase = Phase.PAUSED
            reservation.paused_at = now
        elif grant.decoding:
            reservation.phase = Phase.DECODE
        elif grant.prefill_runner is None:
            reservation.phase = Phase.TRANSFER
        elif grant.prefill_runner in self.ledger.prefill_runners:
            prefill_runner = self.ledger.prefill_runners[grant.prefill_runner]
            # The progress of the prefill is unknown; half of it is assumed.
            seconds = prefill_runner.prefill_seconds(grant.tokens, now) / 2
            job = prefill.PrefillJob(
                now, seconds, grant.tokens, grant.priority
            )
        self.ledger.reserve(reservation, now, job)
