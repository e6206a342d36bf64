"""Tells other instances by datagrams what is under way at the engines.

A datagram holds the sender's whole use of the engines, so one that is lost is
made good by the next. Changes go to the instances of the own shard, and to
those of a shard whose engines are used here. Heartbeats go to the own shard;
each second a few members at random are also told which members are known, so
that all find each other from the seeds, and what room the shard has.
"""

from collections.abc import Iterable

import anyio
import anyio.abc
import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _ledger as ledger_module

__all__ = ['Peers']

HEARTBEAT_S = 1.0
# While no peer was heard after a start, seeds are asked this often.
SEARCH_INTERVAL_S = 0.1
SEARCH_S = 5.0
# How long an instance that started waits for what others have under way.
SETTLE_S = 0.3
# Changes within this time go out in one datagram.
COALESCE_S = 0.002
# Members that are told each second which members are known, and how many of
# these they are told at most; either keeps the bytes of a large fleet bounded.
GOSSIP_TARGETS = 3
GOSSIP_MEMBERS = 64
# The runners with the most room that other shards are told of.
GOSSIP_ROOMS = 16
# For how long another shard is told of changes after its engines were used.
FOREIGN_TOLD_S = 3.0
VERSION = 3


class _Datagram(msgspec.Struct, array_like=True):
    version: int
    instance: str
    availability_zone: str
    incarnation: int
    sequence: int
    # Runner, requests, tokens, and tokens of prompts that it reads itself.
    uses: list[tuple[str, int, int, int]]
    waiting_tokens: int
    # Service, late, priority and age in ms of the first waiting requests.
    heads: list[tuple[str, bool, int, int]]
    leaving: bool = False
    # By zone, some members' hosts and how long ago in ms each was heard.
    members: dict[str, list[tuple[str, int]]] = {}
    # Runners of the sender's shard and their free memory in tokens.
    rooms: list[tuple[str, int]] = []


class Peers:
    """Sends and receives the datagrams of one instance."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._members = context.members
        self._changed = anyio.Event()
        self._incarnations: dict[str, int] = {}
        # Members that were found and have not been told anything yet.
        self._found: set[str] = set()
        self._greeting = anyio.Event()
        self._sequence = 0
        # anyio allows one sender at a time.
        self._sending = anyio.Lock()
        # Other shards' zones that hear of changes, and until when.
        self._foreign_until: dict[ids.AvailabilityZone, float] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Datagram)

    def changed(self) -> None:
        """Note that the own use of the engines changed."""
        self._changed.set()

    async def run(self) -> None:
        """Exchange datagrams until cancelled."""
        own = self._context.settings.peer
        if own is None:
            return
        async with (
            await anyio.create_udp_socket(
                local_host=own.host, local_port=own.port
            ) as socket,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, socket)
            tasks.start_soon(self._beat, socket)
            tasks.start_soon(self._greet, socket)
            while True:
                await self._changed.wait()
                await anyio.sleep(COALESCE_S)
                self._changed = anyio.Event()
                targets = self._shard_hosts() | self._foreign_hosts()
                await self._send(socket, targets)

    async def _beat(self, socket: anyio.abc.UDPSocket) -> None:
        context = self._context
        began = context.clock()
        if context.settings.seeds:
            context.places.suspend_until(began + SETTLE_S)
        while True:
            now = context.clock()
            self._members.expire(now)
            self._update_shards()
            shard = self._shard_hosts()
            known = {member.host for member in self._members}
            for host in self._incarnations.keys() - known:
                del self._incarnations[host]
            seeds = {seed.host for seed in context.settings.seeds}
            told = shard | self._foreign_hosts()
            await self._send(socket, told | seeds - known)
            await self._gossip(socket, now)
            searching = not known and now - began < SEARCH_S
            await anyio.sleep(SEARCH_INTERVAL_S if searching else HEARTBEAT_S)

    async def _gossip(self, socket: anyio.abc.UDPSocket, now: float) -> None:
        """Tell some members of others, and of the room in the shard."""
        context = self._context
        rooms: list[tuple[ids.RunnerId, int]] = []
        if context.shards.divided:
            rooms = context.places.free_memory(now)[:GOSSIP_ROOMS]
        await self._send(
            socket,
            self._members.sample(GOSSIP_TARGETS, context.random),
            self._told_members(now),
            rooms,
        )

    async def _greet(self, socket: anyio.abc.UDPSocket) -> None:
        """Tell members that were found at once what is known."""
        while True:
            await self._greeting.wait()
            await anyio.sleep(COALESCE_S)
            self._greeting = anyio.Event()
            found, self._found = self._found, set()
            self._update_shards()
            now = self._context.clock()
            await self._send(socket, found, self._told_members(now))

    def _update_shards(self) -> None:
        context = self._context
        zones = self._members.zones()
        own = context.settings.availability_zone
        # A zone without decode runners could place no request by itself.
        decode_zones = {
            row.listing.availability_zone
            for row in context.runners
            if row.listing.role is states.Role.DECODE
        }
        changed = context.shards.update(
            len(self._members) + 1, {own, *zones}, decode_zones
        )
        if changed:
            context.log.info(
                'shards changed',
                divided=context.shards.divided,
                zones=sorted(context.shards.zones(own)),
                members=len(self._members),
            )

    def _shard_hosts(self) -> set[str]:
        shards = self._context.shards
        return {
            member.host
            for member in self._members
            if shards.owns(member.availability_zone)
        }

    def _foreign_hosts(self) -> set[str]:
        """Return the instances of other shards whose engines are in use."""
        context = self._context
        if not context.shards.divided:
            return set()
        now = context.clock()
        for zone in context.foreign_zones():
            self._foreign_until[zone] = now + FOREIGN_TOLD_S
        zones: set[ids.AvailabilityZone] = set()
        for zone, until in list(self._foreign_until.items()):
            if now >= until:
                del self._foreign_until[zone]
            else:
                zones |= context.shards.zones(zone)
        return {
            member.host
            for member in self._members
            if member.availability_zone in zones
        }

    def _told_members(self, now: float) -> dict[str, list[tuple[str, int]]]:
        told: dict[str, list[tuple[str, int]]] = {}
        random = self._context.random
        for host in self._members.sample(GOSSIP_MEMBERS, random):
            member = self._members[host]
            age_ms = int(1000 * max(0.0, now - member.last_seen))
            hosts = told.setdefault(member.availability_zone, [])
            hosts.append((host, age_ms))
        return told

    async def _send(
        self,
        socket: anyio.abc.UDPSocket,
        targets: Iterable[str],
        members: dict[str, list[tuple[str, int]]] | None = None,
        rooms: Iterable[tuple[str, int]] = (),
    ) -> None:
        context = self._context
        own = context.settings.peer
        assert own is not None
        self._sequence += 1
        data = self._encoder.encode(
            _Datagram(
                VERSION,
                context.settings.instance,
                context.settings.availability_zone,
                context.incarnation,
                self._sequence,
                context.engine_uses(),
                context.places.waiting_tokens,
                [
                    (h.service, h.late, h.priority, int(1000 * h.age_s))
                    for h in context.places.queue_heads(context.clock())
                ],
                context.draining,
                members or {},
                list(rooms),
            )
        )
        for host in sorted(set(targets) - {own.host}):
            try:
                async with self._sending:
                    await socket.sendto(data, host, own.port)
            except (OSError, anyio.BrokenResourceError) as error:
                context.count('peers.send_failed')
                context.log.info(
                    'datagram not sent', host=host, detail=repr(error)
                )

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for data, (host, _) in socket:
            try:
                datagram = self._decoder.decode(data)
            except msgspec.DecodeError:
                self._context.count('peers.unreadable')
                continue
            if datagram.version == VERSION:
                self._take(host, datagram)

    def _take(self, host: str, datagram: _Datagram) -> None:
        context = self._context
        now = context.clock()
        if datagram.instance == context.settings.instance:
            return
        zone = ids.AvailabilityZone(datagram.availability_zone)
        self._members.observe(host, zone, now)
        if self._incarnations.get(host) != datagram.incarnation:
            # A process that started again knows nothing of before.
            self._incarnations[host] = datagram.incarnation
            context.log.info('peer found', peer=datagram.instance, host=host)
            self._welcome(host)
        for other_zone, hosts in datagram.members.items():
            for other, age_ms in hosts:
                last_seen = now - age_ms / 1000
                if self._members.observe(
                    other, ids.AvailabilityZone(other_zone), last_seen
                ):
                    self._welcome(other)
        context.places.learn_free_memory(
            ((ids.RunnerId(name), tokens) for name, tokens in datagram.rooms),
            now,
        )
        context.ledger.apply(_report(datagram), now)
        if context.places.waiting_count:
            context.places.admit(now)

    def _welcome(self, host: str) -> None:
        """Tell a member that was found what is known, in a moment."""
        self._found.add(host)
        self._greeting.set()


def _report(datagram: _Datagram) -> ledger_module.PeerReport:
    uses = {
        ids.RunnerId(runner): ledger_module.Use(requests, tokens, reading)
        for runner, requests, tokens, reading in datagram.uses
    }
    heads = tuple(
        ledger_module.QueueHead(
            ids.ServiceId(service), late, priority, age / 1000
        )
        for service, late, priority, age in datagram.heads
    )
    return ledger_module.PeerReport(
        ids.InstanceId(datagram.instance),
        datagram.incarnation,
        datagram.sequence,
        uses,
        datagram.waiting_tokens,
        heads,
        datagram.leaving,
        ids.AvailabilityZone(datagram.availability_zone),
    )
