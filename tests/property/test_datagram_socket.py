"""Datagrams that cannot be sent at once, or not at all."""

import anyio
import pytest

from primrosereel.gateway import _datagram_socket as datagram_socket
from primrosereel.routing import _model as model
from tests import gateway_fleet

HOST = '127.0.0.1'
# An address that the system sends no datagrams to without an option.
BROADCAST = '255.255.255.255'


class FullOnce:
    """A socket without space for the first datagram."""

    def __init__(self, raw):
        self._raw = raw
        self.full = True

    def sendto(self, data, address):
        if self.full:
            self.full = False
            raise BlockingIOError
        return self._raw.sendto(data, address)


def test_datagram_waits_for_space():
    """Guards against a full buffer of the kernel that loses datagrams."""

    async def main():
        address = model.Address(HOST, gateway_fleet.free_port())
        with anyio.fail_after(5.0):
            async with datagram_socket.DatagramSocket(address) as socket:
                socket._raw = FullOnce(socket._raw)
                for data in (b'first', b'second'):
                    await socket.sendto(data, *address)
                received = [(await anext(aiter(socket)))[0] for _ in range(2)]
                assert received == [b'first', b'second']
                assert not socket._raw.full

    anyio.run(main)


@pytest.mark.parametrize('host', [BROADCAST, 'a' * 64, 'a\0b'])
def test_refused_datagram_is_logged_once(host):
    """Guards against a line per heartbeat for each host without a route.

    A name that is no address must not keep others from their datagrams.
    """
    port = gateway_fleet.free_port()
    own = model.Address(HOST, port)
    peer = model.Address('127.0.0.2', port)

    async def scenario(fleet):
        async with datagram_socket.DatagramSocket(peer) as socket:
            received = aiter(socket)
            for _ in range(10):
                await anext(received)
        refused = fleet.log.named('datagram not sent')
        assert [line['host'] for line in refused] == [host]

    gateway_fleet.run_scenario(
        scenario, peer=own, seeds=(model.Address(host, port), peer)
    )
