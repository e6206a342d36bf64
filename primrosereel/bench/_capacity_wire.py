"""Bytes and processor time of the calls between processes.

A relay on loopback counts every byte of a connection in both directions, so
other traffic of the machine has no part in the figures. Both ends and the
relay run in this process.
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
from primrosereel.core import _messages as messages
from primrosereel.daemon import _clock as clock
from primrosereel.daemon import _engine as engine
from primrosereel.daemon import _peers as peers

__all__ = ['Relay', 'grpc_calls', 'http_calls']

CALLS = 100
READ_BYTES = 65536
# Message bodies of this size in both directions together.
PAYLOADS = (64, 256, 1024, 4096)
RUNS = 3
HEADERS = {'accept-encoding': 'identity', 'user-agent': 'primrosereel'}


class Relay:
    """Passes connections on to an address and counts their bytes."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self.count = 0
        self._target = (host, int(port))
        self.address = f'{fleet.HOST}:{fleet.free_port()}'

    async def serve(self, *, task_status: Any) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        await listener.serve(self._connect)

    async def _connect(self, near: anyio.abc.SocketStream) -> None:
        far = await anyio.connect_tcp(*self._target)
        async with near, far, anyio.create_task_group() as group:
            group.start_soon(self._pass, near, far)
            group.start_soon(self._pass, far, near)

    async def _pass(self, source: Any, target: Any) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                part = await source.receive(READ_BYTES)
                self.count += len(part)
                await target.send(part)


async def _repeat(
    relay: Relay | None, call: Callable[[], Awaitable[None]]
) -> tuple[float, float]:
    """Return bytes and processor seconds of a call, after one to warm up."""
    await call()
    before = relay.count if relay else 0
    started = time.process_time()
    for _ in range(CALLS):
        await call()
    spent = time.process_time() - started
    after = relay.count if relay else 0
    return (after - before) / CALLS, spent / CALLS


async def grpc_calls() -> dict[str, dict[float, list[float]]]:
    """Return bytes and processor seconds of an Exchange call by body size."""
    found: dict[str, dict[float, list[float]]] = {'bytes': {}, 'seconds': {}}
    async with anyio.create_task_group() as group:
        server = peers.PeerServer(
            ids.InstanceId('b'), ids.Incarnation(1), lambda envelope: []
        )
        address = f'{fleet.HOST}:{fleet.free_port()}'
        await server.start(address)
        relay = Relay(address)
        await group.start(relay.serve)
        for size in PAYLOADS:
            counted = [
                await _exchange(group, relay, size) for _ in range(RUNS)
            ]
            direct = [
                await _exchange(group, None, size, address)
                for _ in range(RUNS)
            ]
            found['bytes'][size] = [b for b, _ in counted]
            found['seconds'][size] = [s for _, s in direct]
        await server.stop(0)
        group.cancel_scope.cancel()
    return found


async def _exchange(group, relay, size: int, address: str = ''):
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

    result = await _repeat(relay, call)
    await transport.close()
    return result


async def http_calls() -> dict[str, dict[str, float]]:
    """Return bytes and processor seconds of each call to an engine.

    The processor time is of the client alone.
    """
    runner = ids.RunnerId('r')
    effects: dict[str, Any] = {
        'PollLoad': messages.PollLoad(runner),
        'PollCacheEvents': messages.PollCacheEvents(runner, 0),
        'ListRequests': messages.ListRequests(runner),
        'ReadRunnerState': messages.ReadRunnerState(runner),
    }
    found = {}
    with _engine() as address:
        async with (
            httpx.AsyncClient(headers=HEADERS) as client,
            anyio.create_task_group() as group,
        ):
            relay = Relay(address)
            await group.start(relay.serve)
            source = engine.HttpEngineClient(
                client, client, clock.SystemClock()
            )
            for name, effect in effects.items():
                found[name] = await _control(source, effect, relay, address)
            group.cancel_scope.cancel()
    return found


async def _control(source, effect, relay: Relay, address: str):
    sizes, spent = [], []
    for _ in range(RUNS):
        size, _ = await _repeat(relay, _caller(source, effect, relay.address))
        sizes.append(size)
        _, seconds = await _repeat(None, _caller(source, effect, address))
        spent.append(seconds)
    return {
        'bytes': statistics.median(sizes),
        'seconds': statistics.median(spent),
        'spread': (max(spent) - min(spent)) / statistics.median(spent),
    }


def _caller(source, effect, address: str) -> Callable[[], Awaitable[None]]:
    async def call() -> None:
        await source.control(effect, address, lambda _message: None)

    return call


@contextlib.contextmanager
def _engine():
    """Run an engine stand-in and yield its address."""
    text: dict[str, Any] = {
        'models': {},
        'services': {},
        'client_accounts': {},
    }
    runners = fleet.Fleet(text, daemons=0)
    address = f'{fleet.HOST}:{fleet.free_port()}'
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
        process = runners.start_process('engine', command)
        runners.wait_for(
            lambda: httpx.get(f'http://{address}/v1/load'),
            'the engine answers',
        )
        runners.runners['r'] = process
        yield address
    finally:
        runners.stop()
