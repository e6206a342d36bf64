"""The listener of the gateway."""

import contextlib
import socket

import anyio

from primrosereel.gateway import _listener as listener
from primrosereel.routing import _model as model
from tests import gateway_fleet

CONNECTIONS = 5


def test_connections_that_arrive_as_a_listener_stops_are_served():
    """Guards against connections that a cancelled accept takes and drops."""
    received = []

    async def serve(stream):
        async with stream:
            received.append(await stream.receive())

    async def main(address):
        async with (
            anyio.create_task_group() as connections,
            anyio.create_task_group() as listening,
        ):
            listening.start_soon(
                listener.Listener(address, serve, connections, print).run
            )
            await anyio.sleep(0.05)
            with contextlib.ExitStack() as stack:
                # The event loop gets no turn before it is cancelled.
                for _ in range(CONNECTIONS):
                    caller = socket.create_connection(address)
                    stack.enter_context(caller).sendall(b'x')
                listening.cancel_scope.cancel()
        assert received == [b'x'] * CONNECTIONS

    anyio.run(main, model.Address('127.0.0.1', gateway_fleet.free_port()))
