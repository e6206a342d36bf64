"""The gRPC channels that a daemon keeps to its peers."""

import anyio

from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers


class FakeChannel:
    """A channel whose calls fail as if the peer sent something else."""

    def __init__(self):
        self.closed = False

    def unary_unary(self, _):
        async def call(body, timeout):
            return b''

        return call

    async def close(self, grace=None):
        self.closed = True


class FakeClock:
    def monotonic(self):
        return 0.0


def test_channel_to_former_address_is_closed(monkeypatch):
    """Guards against open connections to each earlier address of a peer."""
    channels = []

    def make_channel(*_):
        channels.append(FakeChannel())
        return channels[-1]

    monkeypatch.setattr(peers.GrpcPeerTransport, '_channel', make_channel)
    failed = []

    async def main():
        async with anyio.create_task_group() as tasks:
            transport = peers.GrpcPeerTransport(
                'n1', 1, tasks, FakeClock(), failed.append
            )
            message = messages.PeerMessage()
            for address in ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:2'):
                transport.send('n2', address, [message])
                await anyio.wait_all_tasks_blocked()

    anyio.run(main)
    assert [channel.closed for channel in channels] == [True, False]
    assert len(failed) == 3
