"""Exchanges each instance's use of the engines with its peers over UDP.

A datagram holds a full snapshot of the sender's use of the engines, so the
next one replaces one that was lost. Snapshots are sent after changes and as
heartbeats, to the instances of the own shard and of other shards whose
engines are used here. Each second a few random members also get a gossip
datagram with known members, so that all instances discover each other from
the seeds, and with the free memory of the shard's runners.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import functools

import anyio
import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _datagram_socket as datagram_socket
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.gateway import _peer_targets as peer_targets
from primrosereel.gateway import _quota_datagram as quota_datagram
from primrosereel.gateway import _quota_reports as quota_reports
from primrosereel.gateway import _runner_notices as runner_notices
from primrosereel.gateway import _store_reader as store_reader
from primrosereel.routing import _availability as availability
from primrosereel.routing import _quotas as quotas_module
from primrosereel.routing import _shared_watch as shared_watch

__all__ = ['Peers']

HEARTBEAT_INTERVAL_S = 1.0
# After a start, seeds are contacted at this interval until a peer responds,
# for at most the duration below.
SEARCH_INTERVAL_S = 0.1
SEARCH_DURATION_S = 5.0
# How long an instance that started waits for its peers' use of the engines
# before it admits requests to decode runners.
STARTUP_WAIT_S = 0.3
# Changes within this time are sent in one datagram.
COALESCE_DELAY_S = 0.002
# The number of members that get a gossip datagram each second, and of members
# that it lists at most. Both bound the traffic of a large fleet.
GOSSIP_TARGETS = 3
GOSSIP_MEMBERS = 64
# While accounts have quotas, each instance sends all others a datagram each
# second. Lists then only spread the news of members that are not known yet.
GOSSIP_MEMBERS_WITH_QUOTAS = 8
# The number of runners that a gossip datagram lists, those with the most free
# memory.
GOSSIP_RUNNERS = 16
# The peers that are logged one by one in each heartbeat interval. At a start
# of a large fleet each instance finds all others.
LOGGED_PEERS = 8
# Sources that only this instance has; an entry is read by all instances.
OWN_SOURCES = frozenset(
    {availability.Source.ANSWER, availability.Source.REFUSAL}
)


class Peers:
    """Sends and receives the datagrams of one instance."""

    def __init__(
        self,
        context: context_module.Context,
        reader: store_reader.StoreReader,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._context = context
        self._reader = reader
        self._crash_reports = crash_reports
        # Whether the next datagram goes to all members, with the evidence
        # about requests that crash runners.
        self._crash_evidence_unsent = False
        # Whether the next datagram tells what runners said of themselves, and
        # whether it goes to all members.
        self._runner_notices_unsent = False
        self._leaving_unsent = False
        # Content of the store that is sent with the next datagram.
        self._unsent_notice: shared_watch.Notice | None = None
        self._members = context.members
        self._changed = anyio.Event()
        self._incarnations: dict[str, int] = {}
        # Discovered members that have not been sent a datagram yet.
        self._new_members: set[str] = set()
        self._new_members_added = anyio.Event()
        self._sequence = 0
        # Peers that were found since the last heartbeat.
        self._found_count = 0
        # Hosts to which the last datagram was not sent.
        self._unreachable_hosts: set[str] = set()
        self._targets = peer_targets.PeerTargets(context)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = peer_datagram.DatagramDecoder()
        self._quota_reports = quota_reports.QuotaReports(
            context, self._next_sequence
        )

    def notify_uses_changed(self) -> None:
        """Schedule a datagram: this instance's use of the engines changed."""
        self._changed.set()

    def notify_quota_spent(self) -> None:
        """Schedule reports on quotas: this instance spent from one."""
        self._quota_reports.notify_spent()

    def send_store_notice(self, notice: shared_watch.Notice | None) -> None:
        """Schedule a datagram with what was read from the store."""
        self._unsent_notice = notice
        self._changed.set()

    def send_crash_evidence(self) -> None:
        """Schedule a datagram on requests that crash runners."""
        self._crash_evidence_unsent = True
        self._changed.set()

    def send_runner_notices(self, transition: availability.Transition) -> None:
        """Tell peers of a change of a runner's availability.

        What a runner said to this instance only is told at once: that it
        leaves to all instances, that it backs off to those that use the same
        runners. What the store said is told with the next datagram, for
        instances that are without the store.
        """
        if transition.source is availability.Source.PEER:
            return
        self._runner_notices_unsent = True
        if transition.source in OWN_SOURCES:
            if transition.new is availability.Availability.LEAVING:
                self._leaving_unsent = True
            self._changed.set()

    async def run(self) -> None:
        """Exchange datagrams until cancelled."""
        own_address = self._context.settings.peer
        if own_address is None:
            return
        async with (
            datagram_socket.DatagramSocket(own_address) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, socket)
            tasks.start_soon(self._send_heartbeats, socket)
            tasks.start_soon(self._update_new_members, socket)
            tasks.start_soon(self._quota_reports.run, self._sender(socket))
            while True:
                await self._changed.wait()
                await anyio.sleep(COALESCE_DELAY_S)
                self._changed = anyio.Event()
                targets = (
                    self._targets.shard_hosts()
                    | self._targets.other_shard_hosts()
                )
                notice, self._unsent_notice = self._unsent_notice, None
                tell_all, self._crash_evidence_unsent = (
                    self._crash_evidence_unsent,
                    False,
                )
                if tell_all or self._leaving_unsent:
                    targets |= {member.host for member in self._members}
                scope = runner_notices.Scope.NONE
                if self._runner_notices_unsent:
                    scope = runner_notices.Scope.NEW
                self._runner_notices_unsent = self._leaving_unsent = False
                await self._send(
                    socket,
                    targets,
                    notice=notice,
                    with_crash_evidence=tell_all,
                    scope=scope,
                )
                self._context.shard_told_at = self._context.clock()

    async def _send_heartbeats(
        self, socket: datagram_socket.DatagramSocket
    ) -> None:
        context = self._context
        started_at = context.clock()
        if context.settings.seeds:
            context.places.suspend_until(started_at + STARTUP_WAIT_S)
        while True:
            now = context.clock()
            self._log_more_found()
            self._members.expire(now)
            self._targets.update_shards()
            shard_hosts = self._targets.shard_hosts()
            known_hosts = {member.host for member in self._members}
            for host in self._incarnations.keys() - known_hosts:
                del self._incarnations[host]
            seed_hosts = {seed.host for seed in context.settings.seeds}
            self._unreachable_hosts &= known_hosts | seed_hosts
            targets = shard_hosts | self._targets.other_shard_hosts()
            reports = self._quota_reports.heartbeat_reports(now)
            # Encoded before other reports can be sent, as later datagrams
            # replace what earlier ones say.
            quota_data = self._quota_reports.encode(reports)
            await self._send(
                socket,
                targets | seed_hosts - known_hosts,
                scope=runner_notices.Scope.NEW,
                is_heartbeat=True,
                reports=reports,
            )
            await self._quota_reports.send_to_others(
                quota_data, targets, self._sender(socket)
            )
            await self._gossip(socket, now)
            searching = (
                not known_hosts and now - started_at < SEARCH_DURATION_S
            )
            await anyio.sleep(
                SEARCH_INTERVAL_S if searching else HEARTBEAT_INTERVAL_S
            )

    async def _gossip(
        self, socket: datagram_socket.DatagramSocket, now: float
    ) -> None:
        """Send some members a list of others and the shard's free memory."""
        context = self._context
        free_memory: list[tuple[ids.RunnerId, int]] = []
        if context.shards.divided:
            free_memory = context.places.free_memory(now)[:GOSSIP_RUNNERS]
        listed = GOSSIP_MEMBERS
        if context.quotas.active:
            listed = GOSSIP_MEMBERS_WITH_QUOTAS
        await self._send(
            socket,
            self._members.sample(GOSSIP_TARGETS, context.random),
            self._gossip_members(now, listed),
            free_memory,
            with_crash_evidence=True,
            scope=runner_notices.Scope.ALL,
        )

    async def _update_new_members(
        self, socket: datagram_socket.DatagramSocket
    ) -> None:
        """Send newly discovered members a snapshot without delay."""
        while True:
            await self._new_members_added.wait()
            await anyio.sleep(COALESCE_DELAY_S)
            self._new_members_added = anyio.Event()
            new_members, self._new_members = self._new_members, set()
            self._targets.update_shards()
            now = self._context.clock()
            await self._send(
                socket,
                new_members,
                self._gossip_members(now),
                with_crash_evidence=True,
                scope=runner_notices.Scope.ALL,
            )

    def _gossip_members(
        self, now: float, count: int = GOSSIP_MEMBERS
    ) -> dict[str, list[tuple[str, int]]]:
        sample: dict[str, list[tuple[str, int]]] = {}
        random = self._context.random
        for host in self._members.sample(count, random):
            member = self._members[host]
            age_ms = numbers.age_ms(now - member.last_seen)
            hosts = sample.setdefault(member.availability_zone, [])
            hosts.append((host, age_ms))
        return sample

    async def _send(
        self,
        socket: datagram_socket.DatagramSocket,
        targets: Iterable[str],
        members: dict[str, list[tuple[str, int]]] | None = None,
        free_memory: Iterable[tuple[str, int]] = (),
        notice: shared_watch.Notice | None = None,
        with_crash_evidence: bool = False,
        scope: runner_notices.Scope = runner_notices.Scope.NONE,
        is_heartbeat: bool = False,
        reports: Iterable[quotas_module.Report] = (),
    ) -> None:
        context = self._context
        now = context.clock()
        data = self._encoder.encode(
            peer_datagram.Datagram(
                peer_datagram.DATAGRAM_VERSION,
                context.settings.instance,
                context.settings.availability_zone,
                context.incarnation,
                self._next_sequence(),
                context.engine_uses(),
                context.places.waiting_tokens,
                [
                    (
                        head.service,
                        head.late,
                        head.priority,
                        numbers.age_ms(head.age_s),
                    )
                    for head in context.places.queue_heads(context.clock())
                ],
                context.draining,
                members or {},
                list(free_memory),
                self._demands(),
                peer_datagram.encode_notice(
                    notice or self._reader.notice(), context.clock()
                ),
                self._suspects() if with_crash_evidence else [],
                context.version,
                runner_notices.encode(
                    context.runners.availability, scope, now
                ),
                runner_notices.in_touch_ms(self._reader.in_touch_since, now),
                self._speeds(scope, is_heartbeat, now),
                quota_datagram.encode_reports(reports),
            )
        )
        await self._send_data(socket, data, targets)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _sender(
        self, socket: datagram_socket.DatagramSocket
    ) -> Callable[[bytes, Iterable[str]], Awaitable[None]]:
        return functools.partial(self._send_data, socket)

    async def _send_data(
        self,
        socket: datagram_socket.DatagramSocket,
        data: bytes,
        targets: Iterable[str],
    ) -> None:
        context = self._context
        own_address = context.settings.peer
        assert own_address is not None
        for host in sorted(set(targets) - {own_address.host}):
            try:
                await socket.sendto(data, host, own_address.port)
            except (
                OSError,
                TypeError,
                ValueError,
                anyio.BrokenResourceError,
            ) as error:
                self._record_send_failure(host, error)
            else:
                self._unreachable_hosts.discard(host)

    def _record_send_failure(self, host: str, error: Exception) -> None:
        """Count a datagram that was not sent; log the first to a host."""
        self._context.count('peers.send_failed')
        if host not in self._unreachable_hosts:
            self._unreachable_hosts.add(host)
            self._context.log.info(
                'datagram not sent', host=host, detail=repr(error)
            )

    def _suspects(self) -> list[peer_datagram.Suspect]:
        now = self._context.clock()
        return [
            peer_datagram.encode_evidence(evidence, now)
            for evidence in self._context.quarantine.evidence(now)
        ]

    def _speeds(
        self, scope: runner_notices.Scope, is_heartbeat: bool, now: float
    ) -> list[peer_datagram.SpeedNotice]:
        """Return the runners' speeds that a datagram tells.

        Gossip tells all that was observed here, a heartbeat what is new.
        Without contention the instances' own observations suffice.
        """
        with_all = scope is runner_notices.Scope.ALL
        if not self._context.contended:
            return []
        if not with_all and not is_heartbeat:
            return []
        return peer_datagram.encode_speeds(
            self._context.runner_speeds.told(now, with_all)
        )

    def _demands(self) -> list[tuple[str, int, int]]:
        context = self._context
        demands = context.demand.demands(
            context.places.stream_s, context.clock()
        )
        return [
            (
                service,
                numbers.whole(d.prompt_tokens_per_s),
                numbers.whole(d.kv_tokens),
            )
            for service, d in demands.items()
        ]

    async def _receive(self, socket: datagram_socket.DatagramSocket) -> None:
        async for data, (host, _) in socket:
            try:
                if quota_datagram.is_quota_datagram(data):
                    self._quota_reports.receive(host, data)
                    continue
                datagram, left_out = self._decoder.decode(data)
            except (msgspec.DecodeError, RecursionError):
                self._context.count('peers.unreadable')
                continue
            if left_out:
                self._context.count('peers.parts_unreadable')
            if datagram.version == peer_datagram.DATAGRAM_VERSION:
                self._apply_datagram(host, datagram)

    def _apply_datagram(
        self, host: str, datagram: peer_datagram.Datagram
    ) -> None:
        context = self._context
        now = context.clock()
        if datagram.instance == context.settings.instance:
            return
        zone = ids.AvailabilityZone(datagram.availability_zone)
        self._members.observe(host, zone, now)
        if self._incarnations.get(host) != datagram.incarnation:
            # A restarted process has lost what it was sent before.
            self._incarnations[host] = datagram.incarnation
            self._log_found(datagram.instance, host)
            self._add_new_member(host)
        for other_zone, hosts in datagram.members.items():
            for other, age_ms in hosts:
                last_seen = now - age_ms / 1000
                if self._members.observe(
                    other, ids.AvailabilityZone(other_zone), last_seen
                ):
                    self._add_new_member(other)
        context.places.learn_free_memory(
            ((ids.RunnerId(name), tokens) for name, tokens in datagram.rooms),
            now,
        )
        context.peer_versions.observe(
            host, datagram.configuration_version, now
        )
        if datagram.store is not None:
            self._reader.receive_notice(
                peer_datagram.decode_notice(datagram.store, now)
            )
        if datagram.suspects:
            self._receive_crash_evidence(datagram.suspects, now)
        self._receive_runner_notices(datagram, now)
        if datagram.speeds:
            context.runner_speeds.learn(
                ids.InstanceId(datagram.instance),
                peer_datagram.decode_speeds(datagram.speeds),
                now,
            )
        self._quota_reports.apply(
            host,
            datagram.incarnation,
            datagram.sequence,
            datagram.leaving,
            datagram.quotas,
        )
        context.ledger.apply(peer_datagram.peer_report(datagram), now)
        if context.places.waiting_count:
            context.places.admit(now)

    def _log_found(self, peer: str, host: str) -> None:
        """Log a peer that was found, unless there are many at a time."""
        self._found_count += 1
        if self._found_count <= LOGGED_PEERS:
            self._context.log.info('peer found', peer=peer, host=host)

    def _log_more_found(self) -> None:
        """Log how many peers were found since the last heartbeat."""
        more, self._found_count = self._found_count - LOGGED_PEERS, 0
        if more > 0:
            self._context.log.info('more peers found', count=more)

    def _receive_crash_evidence(
        self, suspects: list[peer_datagram.Suspect], now: float
    ) -> None:
        decoded = [peer_datagram.decode_evidence(s, now) for s in suspects]
        known = [evidence for evidence in decoded if evidence is not None]
        if len(known) < len(decoded):
            self._context.count('peers.unknown_causes')
        self._crash_reports.receive(known)

    def _receive_runner_notices(
        self, datagram: peer_datagram.Datagram, now: float
    ) -> None:
        if datagram.store_in_touch_ms is not None:
            self._reader.peer_in_touch(
                ids.InstanceId(datagram.instance),
                now - datagram.store_in_touch_ms / 1000,
            )
        notices, unknown = runner_notices.decode(datagram.runners)
        for notice in notices:
            self._context.runners.availability.receive(notice, now)
        if unknown:
            self._context.count('peers.unknown_runner_notices')

    def _add_new_member(self, host: str) -> None:
        """Schedule a datagram to a discovered or restarted member."""
        self._new_members.add(host)
        self._new_members_added.set()
