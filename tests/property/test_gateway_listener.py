"""The listener of the gateway, and signals at the end of its process."""

import contextlib
import pathlib
import signal
import socket
import tempfile

import anyio

from primrosereel.gateway import _listener as listener
from primrosereel.routing import _model as model
from primrosereel.standin import _metadata_store as metadata_store
from primrosereel.standin import _operator_config as operator_config
from tests import gateway_fleet
from tests.soak import processes

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


def test_second_signal_does_not_end_a_process_that_stops():
    """Guards against a stop with the status of a repeated signal.

    The handlers are removed shortly before the process ends, and the default
    action of a signal that came then was to kill it.
    """

    async def main(folder):
        store = metadata_store.MetadataStore()
        store.put('op/config', operator_config.configuration())
        async with anyio.create_task_group() as tasks:
            await tasks.start(store.server.serve)
            process = processes.GatewayProcess(
                0, folder, store.server.port, gateway_fleet.free_port()
            )
            await tasks.start(process.store_link.serve)
            process.write_settings()
            process.start()
            with anyio.fail_after(20.0):
                await stop_with_many_signals(process)
            tasks.cancel_scope.cancel()

    async def stop_with_many_signals(process):
        while b'configuration in force' not in process.log.read_bytes():
            await anyio.sleep(0.05)
        process.ask_to_stop()
        while process.popen.poll() is None:
            process.signal(signal.SIGTERM)
            process.signal(signal.SIGHUP)
            await anyio.sleep(0.0002)
        assert process.popen.returncode == 0

    with tempfile.TemporaryDirectory() as name:
        anyio.run(main, pathlib.Path(name))
