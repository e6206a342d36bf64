"""Closes of callers' connections by the gateway."""

import contextlib
import socket

import anyio
import h11
import pytest

from primrosereel.gateway import _lingering_close as lingering_close
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
# The parts of a body that a caller sends before it reads an answer.
PART = b'b' * 10_000
PARTS = 30
PART_PAUSE_S = 0.02
LONG_ANSWER_BYTES = 14_000
SMALL_BUFFER_BYTES = 4096
# From the change that closes a connection to the request that crosses it.
CROSSING_S = 0.9
GRACE_S = 1.0
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 3000}
HEAD = b'POST /file/1 HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: r1\r\n'
FRAMINGS = {
    'length': b'Content-Length: 300000\r\n\r\n',
    'chunked': b'Transfer-Encoding: chunked\r\n\r\n493e0\r\n',
    'both': b'Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n',
}

run = gateway_fleet.run_scenario


async def apply(fleet, version, **limits):
    """Put a configuration with other limits into force."""
    fleet.store.put(
        'op/config', gateway_fleet.configuration(version, **limits)
    )
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.table.version == version)


class RawStream:
    """A socket that nothing is read from but by ``receive``."""

    def __init__(self, address):
        self._raw = socket.socket()
        self._raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self._raw.connect(address)
        self._raw.setblocking(False)

    async def send(self, data):
        self._raw.sendall(data)

    async def receive(self):
        await anyio.wait_readable(self._raw)
        try:
            data = self._raw.recv(SMALL_BUFFER_BYTES)
        except OSError as error:
            raise anyio.BrokenResourceError from error
        if not data:
            raise anyio.EndOfStream
        return data

    async def aclose(self):
        self._raw.close()


class SlowClient(gateway_fleet.Client):
    """A caller whose kernel takes little of an answer before it is read."""

    async def __aenter__(self):
        self._stream = RawStream(self._address)
        self._parser = h11.Connection(h11.CLIENT)
        return self


async def send_parts(client, parts=PARTS):
    """Send parts of a body as a caller that does not read meanwhile."""
    with contextlib.suppress(anyio.BrokenResourceError):
        for _ in range(parts):
            await client.send_bytes(PART)
            await anyio.sleep(PART_PAUSE_S)


@pytest.mark.parametrize(
    ('framing', 'status'), [('length', 413), ('chunked', 413), ('both', 400)]
)
def test_refusal_reaches_a_caller_that_still_sends(framing, status):
    """Guards against a refusal that is lost as its connection is reset.

    The caller sends its whole body before it reads.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            client.encode('/file/1', 'r1', method='POST')
            await client.send_bytes(HEAD + FRAMINGS[framing])
            await send_parts(client)
            reply = await client.receive()
        assert (reply.status, reply.complete) == (status, True)
        assert not fleet.log.named('connection closed with unread bytes')

    run(scenario)


def test_late_body_is_told_of_its_refusal():
    """Guards against a 408 that is lost as the body goes on."""

    async def scenario(fleet):
        await apply(fleet, 2, idleTimeoutMs=200)
        async with fleet.client() as client:
            client.encode('/file/1', 'r1', method='POST')
            await client.send_bytes(HEAD + b'Content-Length: 90000\r\n\r\n')
            await client.send_bytes(PART)
            await anyio.sleep(0.4)
            await send_parts(client, 8)
            reply = await client.receive()
        assert (reply.status, reply.complete) == (408, True)

    run(scenario)


async def stop(fleet):
    fleet.gateway._stop_requested.set()


async def shorten_idle_limit(fleet):
    await apply(fleet, 3, idleTimeoutMs=100)


@pytest.mark.parametrize('close', [stop, shorten_idle_limit])
def test_answer_is_whole_though_a_request_crosses_the_close(close):
    """Guards against an answer that is cut as its connection is reset.

    The caller reads slowly and sends its next request meanwhile.
    """

    async def scenario(fleet):
        await apply(fleet, 2, idleTimeoutMs=400)
        for name in ('s1', 's2'):
            fleet.runners[name].options.answer_bytes = LONG_ANSWER_BYTES
        async with SlowClient(fleet.callers) as client:
            await client.send('/file/1', 'r1', method='POST')
            await fleet.wait_for(lambda: bool(fleet.log.named('served')))
            await close(fleet)
            await anyio.sleep(CROSSING_S)
            await client.send_bytes(HEAD)
            await anyio.sleep(0.1)
            reply = await client.receive()
        assert (reply.status, reply.complete) == (200, True)
        assert len(reply.body) == LONG_ANSWER_BYTES

    run(scenario)


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
def test_cut_answer_does_not_look_complete(version):
    """Guards against a cut stream that a caller takes for whole.

    An answer to HTTP/1.0 has no chunks; the end of its connection ends it.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        stream = RawStream(fleet.callers)
        await stream.send(
            b'POST /once/1 HTTP/%s\r\nHost: registry.example\r\n'
            b'Request-Id: r1\r\nToken-Usage: 400,40\r\n'
            b'Content-Length: 0\r\n\r\n' % version
        )
        answer = b''
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)) as (
            end
        ):
            while True:
                answer += await stream.receive()
        await stream.aclose()
        assert answer.startswith(b'HTTP/1.1 200')
        was_reset = end.type is anyio.BrokenResourceError
        unfinished = b'chunked' in answer and not answer.endswith(b'0\r\n\r\n')
        assert was_reset or unfinished

    run(scenario)


@pytest.mark.parametrize('close', [stop, shorten_idle_limit])
def test_request_that_crosses_an_idle_close_is_not_read(close):
    """Guards against a request that is read, then neither run nor refused.

    A caller repeats one that may run once only if it was not read, which a
    reset of the connection tells it.
    """

    async def scenario(fleet):
        await apply(fleet, 2, idleTimeoutMs=400)
        async with fleet.client() as client:
            await client.ask('/file/1', 'r1', method='POST')
            await close(fleet)
            await fleet.wait_for(
                lambda: (
                    bool(fleet.log.named('idle connection closed'))
                    or fleet.gateway._server.lingering_connections
                )
            )
            await client.send_bytes(HEAD)
            await anyio.sleep(0.1)
            with pytest.raises(anyio.BrokenResourceError):
                await client.send_bytes(b'Content-Length: 0\r\n\r\n')
                await anyio.sleep(0.1)
                await client.send_bytes(HEAD)

    run(scenario)


def test_caller_that_never_closes_delays_no_stop():
    """Guards against a stop that waits for callers beyond its grace."""

    async def scenario(fleet):
        async with SlowClient(fleet.callers) as client:
            await client.send('/read/1', 'r1')
            await fleet.wait_for(lambda: bool(fleet.log.named('served')))
            started_at = anyio.current_time()
            await stop(fleet)
            await fleet.wait_for(lambda: bool(fleet.log.named('stopped')))
            assert anyio.current_time() - started_at < GRACE_S

    run(scenario, drain_limit_s=GRACE_S)


@pytest.mark.parametrize('limit', ['LINGER_S', 'MAX_DISCARDED_BYTES'])
def test_caller_that_floods_is_closed(limit, monkeypatch):
    """Guards against a file descriptor that a caller keeps for itself."""
    monkeypatch.setattr(lingering_close, limit, 0.1)

    async def scenario(fleet):
        server = fleet.gateway._server
        async with fleet.client() as client:
            client.encode('/file/1', 'r1', method='POST')
            await client.send_bytes(HEAD + FRAMINGS['length'] + 12 * PART)
            await fleet.wait_for(lambda: server.lingering_connections == 1)
            with pytest.raises(anyio.BrokenResourceError):
                for _ in range(PARTS):
                    await client.send_bytes(PART)
                    await anyio.sleep(PART_PAUSE_S)
            assert server.lingering_connections == 0

    run(scenario)


def test_many_callers_that_never_close_are_bounded(monkeypatch):
    """Guards against lingering closes that use up all file descriptors.

    The oldest one is closed first, and its place with an engine is free.
    """
    monkeypatch.setattr(lingering_close, 'MAX_LINGERING', 2)

    async def scenario(fleet):
        server = fleet.gateway._server
        async with contextlib.AsyncExitStack() as stack:
            for number in range(4):
                client = await stack.enter_async_context(fleet.client())
                # The caller keeps its connection open nevertheless.
                await client.ask(
                    '/ask/1',
                    f'r{number}',
                    'POST',
                    Connection='close',
                    **STREAM,
                )
            await fleet.wait_for(lambda: not server.open_connections)
            assert server.lingering_connections == 2
            engines = fleet.gateway.engine_uses()
            assert not any(requests for _, requests, *_ in engines)

    run(scenario)


def test_connections_that_a_change_closes_are_logged():
    """Guards against a change that closes connections without a trace."""

    async def scenario(fleet):
        async with fleet.client() as first, fleet.client() as second:
            for client in (first, second):
                assert (await client.ask('/read/1', 'r1')).complete
            await apply(fleet, 2, idleTimeoutMs=100)
            named = fleet.log.named
            # The limit of the wait that has begun is looked up at its end.
            await fleet.wait_for(
                lambda: len(named('idle connection closed')) == 2
            )
        line = named('idle connection closed')[-1]
        assert (line['version'], line['limit_s']) == (2, 0.1)
        assert line['open_connections'] == 0

    run(scenario)
