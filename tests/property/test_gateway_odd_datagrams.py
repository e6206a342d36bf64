"""Numbers in a peer's datagram that no sound peer sends."""

import contextlib

import anyio
import msgspec
import pytest

from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.routing import _model as model
from tests import gateway_fleet

HOST = '127.0.0.1'
PEER = '127.0.0.2'
LARGEST = 2**64 - 1
LOWEST = -(2**63)
STREAM = {'method': 'POST', 'Token_Usage': '400,4', 'Model': 'm'}


def encoded(**changes):
    """Return a datagram of a peer in the fleet's zone, with changes."""
    datagram = peer_datagram.Datagram(
        peer_datagram.DATAGRAM_VERSION, 'i2', 'zone-a', 1, 1, [], 0, []
    )
    return msgspec.msgpack.encode(msgspec.structs.replace(datagram, **changes))


class Peer:
    """A second instance that the test plays."""

    def __init__(self, fleet, socket, port):
        self.fleet = fleet
        self._socket = socket
        self._port = port
        self._sequence = 1

    async def send(self, **changes):
        self._sequence += 1
        changes = {'sequence': self._sequence} | changes
        await self._socket.sendto(encoded(**changes), HOST, self._port)

    async def receive(self):
        """Return the next datagram of the fleet's instance."""
        with anyio.fail_after(3.0):
            data, _ = await self._socket.receive()
        return msgspec.msgpack.decode(data, type=peer_datagram.Datagram)

    async def expect_gossip(self):
        """Receive datagrams until one tells of members."""
        while not (await self.receive()).members:
            pass

    def counted(self, reason):
        body, _ = self.fleet.gateway._context.metrics.render()
        return f'peers_total{{reason="{reason}"}}'.encode() in body


def run_with_peer(scenario, **changes):
    """Run a scenario with a peer that has exchanged a datagram."""
    port = gateway_fleet.free_port()

    async def run(fleet):
        async with contextlib.AsyncExitStack() as stack:
            socket = await stack.enter_async_context(
                await anyio.create_udp_socket(local_host=PEER, local_port=port)
            )
            peer = Peer(fleet, socket, port)
            await peer.send()
            await peer.receive()
            await scenario(fleet, peer)

    gateway_fleet.run_scenario(run, peer=model.Address(HOST, port), **changes)


def crash(age_ms, answered_age_ms=None):
    return peer_datagram.Suspect('ab', [('d1', 1, age_ms)], answered_age_ms)


@pytest.mark.parametrize(
    'changes',
    [
        {'members': {'zone-a': [('127.0.0.3', LARGEST)]}},
        {'suspects': [crash(LARGEST)]},
        {'suspects': [crash(1, LARGEST)]},
        {'uses': [('d1', LARGEST, LARGEST, LARGEST)]},
        {'uses': [('d1', LOWEST, LOWEST, LOWEST)]},
        {'rooms': [('d1', LARGEST)]},
        {'runners': [('d1', LARGEST, 'leaving', LARGEST, LARGEST)]},
        {'runners': [('d1', LOWEST, 'leaving', LOWEST, LOWEST)]},
        {'store_in_touch_ms': LARGEST},
        {'speeds': [('d1', 1, 'decode', LARGEST, LARGEST, LARGEST)]},
        {'demands': [('llm', LARGEST, LARGEST)]},
        {'heads': [('llm', False, LOWEST, LARGEST)]},
        {'configuration_version': LARGEST},
    ],
)
def test_odd_number_of_a_peer_does_not_end_the_exchange(changes):
    """Guards against numbers that are told on and cannot be encoded.

    The rest of the datagram counts, and requests are served as before.
    """

    async def scenario(fleet, peer):
        rest = {'demands': [('other', 1, 1)]} | changes
        await peer.send(**rest)
        await fleet.wait_for(lambda: peer.counted('parts_unreadable'), 1.0)
        ledger = fleet.gateway._context.ledger
        assert ledger.peer_count(fleet.gateway._context.clock()) == 1
        await anyio.sleep(0.1)
        reply = await fleet.ask('/ask/1', 'r1', **STREAM)
        assert (reply.status, reply.complete) == (200, True)
        await peer.expect_gossip()
        assert not fleet.log.named('part failed')

    run_with_peer(scenario)


def test_member_seen_in_the_future_expires():
    """Guards against a member that is kept, and sent datagrams, forever."""

    async def scenario(fleet, peer):
        await peer.send(members={'zone-a': [('127.0.0.3', LOWEST)]})
        await fleet.wait_for(lambda: peer.counted('parts_unreadable'), 1.0)
        context = fleet.gateway._context
        assert all(m.last_seen <= context.clock() for m in context.members)

    run_with_peer(scenario)


@pytest.mark.parametrize('field', ['waiting_tokens', 'sequence'])
@pytest.mark.parametrize('number', [LARGEST, LOWEST])
def test_datagram_without_a_usable_total_is_left_out(field, number):
    """Guards against a report that no later one of the peer replaces."""

    async def scenario(fleet, peer):
        await peer.send(**{field: number})
        await fleet.wait_for(lambda: peer.counted('unreadable'), 1.0)
        await peer.send(uses=[('d1', 1, 7, 0)])
        ledger = fleet.gateway._context.ledger
        clock = fleet.gateway._context.clock
        await fleet.wait_for(lambda: ledger.peer_use('d1', clock()).tokens)

    run_with_peer(scenario)
