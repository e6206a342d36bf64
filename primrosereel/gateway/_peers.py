"""Tells other instances by datagrams what is under way at the engines.

A datagram holds the sender's whole use of the engines, so one that is lost is
made good by the next. Instances find each other from the seeds: a heartbeat
names the peers that its sender hears.
"""

import anyio
import anyio.abc
import msgspec

from primrosereel import _ids as ids
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
# A peer that was not heard for this long is only named by others.
FORGET_S = 10.0
VERSION = 2


class _Datagram(msgspec.Struct, array_like=True):
    version: int
    instance: str
    incarnation: int
    sequence: int
    # Runner, requests, tokens, and tokens of prompts that it reads itself.
    uses: list[tuple[str, int, int, int]]
    waiting_tokens: int
    # Service, late, priority and age in ms of the first waiting requests.
    heads: list[tuple[str, bool, int, int]]
    leaving: bool = False
    # Hosts that the sender hears; empty in datagrams between heartbeats.
    hosts: list[str] = []


class Peers:
    """Sends and receives the datagrams of one instance."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._changed = anyio.Event()
        # Set when a peer was found, which is told at once what is known.
        self._greeting = anyio.Event()
        self._sequence = 0
        # anyio allows one sender at a time.
        self._sending = anyio.Lock()
        self._heard: dict[str, float] = {}
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
            while True:
                await self._changed.wait()
                await anyio.sleep(COALESCE_S)
                self._changed = anyio.Event()
                await self._send(socket, self._peer_hosts(), ())

    async def _beat(self, socket: anyio.abc.UDPSocket) -> None:
        own = self._context.settings.peer
        began = self._context.clock()
        if self._context.settings.seeds:
            self._context.places.open_at(began + SETTLE_S)
        while True:
            now = self._context.clock()
            for host, heard_at in list(self._heard.items()):
                if now - heard_at > FORGET_S:
                    del self._heard[host]
            hosts = self._peer_hosts()
            seeds = {seed.host for seed in self._context.settings.seeds}
            targets = set(hosts) | seeds
            targets.discard(own.host if own else '')
            await self._send(socket, sorted(targets), hosts)
            self._greeting = anyio.Event()
            searching = not hosts and now - began < SEARCH_S
            interval_s = SEARCH_INTERVAL_S if searching else HEARTBEAT_S
            with anyio.move_on_after(interval_s):
                await self._greeting.wait()
                await anyio.sleep(COALESCE_S)

    def _peer_hosts(self) -> list[str]:
        return sorted(self._heard)

    async def _send(self, socket: anyio.abc.UDPSocket, targets, hosts) -> None:
        self._sequence += 1
        data = self._encoder.encode(
            _Datagram(
                VERSION,
                self._context.settings.instance,
                self._context.incarnation,
                self._sequence,
                self._context.engine_uses(),
                self._context.places.waiting_tokens,
                [
                    (h.service, h.late, h.priority, int(1000 * h.age_s))
                    for h in self._context.places.heads(self._context.clock())
                ],
                self._context.draining,
                list(hosts),
            )
        )
        own = self._context.settings.peer
        assert own is not None
        for host in targets:
            try:
                async with self._sending:
                    await socket.sendto(data, host, own.port)
            except (OSError, anyio.BrokenResourceError) as error:
                self._context.count('peers.send_failed')
                self._context.log.info(
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
        if host not in self._heard:
            context.log.info('peer found', peer=datagram.instance, host=host)
            self._greeting.set()
        self._heard[host] = now
        for other in datagram.hosts:
            own = context.settings.peer
            known = other in self._heard or (own and other == own.host)
            if not known:
                self._heard[other] = now
                self._greeting.set()
        uses = {
            ids.RunnerId(runner): ledger_module.Use(requests, tokens, reading)
            for runner, requests, tokens, reading in datagram.uses
        }
        context.ledger.apply(
            ledger_module.PeerReport(
                ids.InstanceId(datagram.instance),
                datagram.incarnation,
                datagram.sequence,
                uses,
                datagram.waiting_tokens,
                tuple(
                    ledger_module.Head(
                        ids.ServiceId(service), late, priority, age_ms / 1000
                    )
                    for service, late, priority, age_ms in datagram.heads
                ),
                datagram.leaving,
            ),
            now,
        )
        context.places.admit(now)
