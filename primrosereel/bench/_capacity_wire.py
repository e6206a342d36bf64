"""Measures the bytes and processor time of calls between processes.

A relay on loopback counts the bytes of a connection in both directions, which
excludes other traffic of the machine. The relay and both ends of gRPC calls
run in this process; the engine stand-in is a process of its own.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import statistics
import sys
import time
from typing import Any

import anyio
import anyio.abc
import httpx

from primrosereel import _ids as ids
from primrosereel.bench import _fleet as fleet
from primrosereel.bench import _ports as ports
from primrosereel.core import _messages as messages
from primrosereel.daemon import _clock as clock
from primrosereel.daemon import _engine as engine
from primrosereel.daemon import _peers as peers

__all__ = ['CountingRelay', 'measure_grpc_calls', 'measure_http_calls']

CALLS_PER_RUN = 100
READ_CHUNK_BYTES = 65536
# Bytes of the message bodies of an Exchange call, both directions together.
BODY_SIZES = (64, 256, 1024, 4096)
RUNS = 3
HEADERS = {'accept-encoding': 'identity', 'user-agent': 'primrosereel'}


class CountingRelay:
    """Forwards connections to an address and counts their bytes."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self.byte_count = 0
        self._target = (host, int(port))
        self.address = f'{fleet.HOST}:{ports.free_port()}'

    async def serve(self, *, task_status: Any) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        await listener.serve(self._handle_connection)

    async def _handle_connection(
        self, client_stream: anyio.abc.SocketStream
    ) -> None:
        server_stream = await anyio.connect_tcp(*self._target)
        async with (
            client_stream,
            server_stream,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._forward, client_stream, server_stream)
            group.start_soon(self._forward, server_stream, client_stream)

    async def _forward(self, source: Any, target: Any) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(READ_CHUNK_BYTES)
                self.byte_count += len(data)
                await target.send(data)


async def _measure_call(
    relay: CountingRelay | None, call: Callable[[], Awaitable[None]]
) -> tuple[float, float]:
    """Return the mean bytes and processor seconds of a call.

    The first call, which opens the connection, is not counted.
    """
    await call()
    bytes_before = relay.byte_count if relay else 0
    started = time.process_time()
    for _ in range(CALLS_PER_RUN):
        await call()
    cpu_s = time.process_time() - started
    bytes_after = relay.byte_count if relay else 0
    return (bytes_after - bytes_before) / CALLS_PER_RUN, cpu_s / CALLS_PER_RUN


async def measure_grpc_calls() -> dict[str, dict[float, list[float]]]:
    """Return bytes and processor seconds of Exchange calls by body size."""
    samples: dict[str, dict[float, list[float]]] = {'bytes': {}, 'seconds': {}}
    async with anyio.create_task_group() as group:
        server = peers.PeerServer(
            ids.InstanceId('b'), ids.Incarnation(1), lambda envelope: []
        )
        address = f'{fleet.HOST}:{ports.free_port()}'
        await server.start(address)
        relay = CountingRelay(address)
        await group.start(relay.serve)
        for size in BODY_SIZES:
            relayed = [
                await _measure_exchange(group, relay, size)
                for _ in range(RUNS)
            ]
            direct = [
                await _measure_exchange(group, None, size, address)
                for _ in range(RUNS)
            ]
            samples['bytes'][size] = [b for b, _ in relayed]
            samples['seconds'][size] = [s for _, s in direct]
        await server.stop(0)
        group.cancel_scope.cancel()
    return samples


async def _measure_exchange(group, relay, size: int, address: str = ''):
    body = b'x' * (size - 32)
    message = messages.TextDifference(
        ids.Revision(1), ids.Revision(2), body, 1 << 62
    )
    transport = peers.GrpcPeerTransport(
        ids.InstanceId('a'),
        ids.Incarnation(1),
        group,
        clock.SystemClock(),
        lambda _message: None,
    )
    target = relay.address if relay else address

    async def call() -> None:
        transport.send(ids.InstanceId('b'), target, (message,))
        connection = transport._connections[ids.InstanceId('b')]
        while connection.running_calls:
            await anyio.sleep(0)

    result = await _measure_call(relay, call)
    await transport.close()
    return result


async def measure_http_calls() -> dict[str, dict[str, float]]:
    """Return bytes and processor seconds of each call to an engine.

    The processor time excludes the engine, which is another process.
    """
    runner = ids.RunnerId('r')
    effects: dict[str, Any] = {
        'PollLoad': messages.PollLoad(runner),
        'PollCacheEvents': messages.PollCacheEvents(runner, 0),
        'ListRequests': messages.ListRequests(runner),
        'ReadRunnerState': messages.ReadRunnerState(runner),
    }
    costs = {}
    with _run_engine() as address:
        async with (
            httpx.AsyncClient(headers=HEADERS) as client,
            anyio.create_task_group() as group,
        ):
            relay = CountingRelay(address)
            await group.start(relay.serve)
            engine_client = engine.HttpEngineClient(
                client, client, clock.SystemClock()
            )
            for name, effect in effects.items():
                costs[name] = await _measure_control_call(
                    engine_client, effect, relay, address
                )
            group.cancel_scope.cancel()
    return costs


async def _measure_control_call(
    engine_client, effect, relay: CountingRelay, address: str
):
    sizes, cpu_s = [], []
    for _ in range(RUNS):
        size, _ = await _measure_call(
            relay, _bind_control_call(engine_client, effect, relay.address)
        )
        sizes.append(size)
        _, seconds = await _measure_call(
            None, _bind_control_call(engine_client, effect, address)
        )
        cpu_s.append(seconds)
    return {
        'bytes': statistics.median(sizes),
        'seconds': statistics.median(cpu_s),
        'spread': (max(cpu_s) - min(cpu_s)) / statistics.median(cpu_s),
    }


def _bind_control_call(
    engine_client, effect, address: str
) -> Callable[[], Awaitable[None]]:
    async def call() -> None:
        await engine_client.control(effect, address, lambda _message: None)

    return call


@contextlib.contextmanager
def _run_engine():
    """Run an engine stand-in and yield its address."""
    text: dict[str, Any] = {
        'models': {},
        'services': {},
        'client_accounts': {},
    }
    harness = fleet.Fleet(text, daemons=0)
    address = f'{fleet.HOST}:{ports.free_port()}'
    command = [
        sys.executable,
        '-m',
        'primrosereel.standin',
        'engine',
        '--listen',
        address,
        '--options',
        '{"runner": "r"}',
    ]
    try:
        process = harness.start_process('engine', command)
        harness.wait_for(
            lambda: httpx.get(f'http://{address}/v1/load'),
            'the engine answers',
        )
        harness.runners['r'] = process
        yield address
    finally:
        harness.stop()
