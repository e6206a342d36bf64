"""Answers with neither a length nor chunks, which end with a connection."""

import contextlib

import anyio
import anyio.abc
import pytest

from primrosereel.gateway import _http as http
from tests import gateway_fleet

STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 3000}
EVENTS = 5
PLAIN_BODY = b'the first half'
TWO_EVENTS = b'id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n'
INSIDE_AN_EVENT = TWO_EVENTS + b'id: 3\ndata: tok'
AT_A_LINE_END = TWO_EVENTS + b'id: 3\ndata: token 3\n'
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nInstance-Signature: x\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


class UnframedRunner:
    """Answers one request without a length and closes its connection.

    If it crashes, its port refuses connections from then on.
    """

    def __init__(self, body, crashes):
        self._body = body
        self._crashes = crashes
        self._listener = None
        self.port = 0

    async def serve(self, *, task_status):
        multi = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self._listener = multi.listeners[0]
        self.port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        async with anyio.create_task_group() as tasks:
            with contextlib.suppress(anyio.ClosedResourceError):
                await self._listener.serve(self._serve_connection, tasks)

    async def _serve_connection(self, stream):
        # The gateway also connects to see whether the runner lives.
        with contextlib.suppress(anyio.EndOfStream):
            async with stream:
                await stream.receive()
                if self._crashes:
                    await self._listener.aclose()
                await stream.send(HEAD + self._body)


async def replace(fleet, name, body, crashes):
    """Let an unframed runner answer at the place of another one."""
    runner = UnframedRunner(body, crashes)
    await fleet.tasks.start(runner.serve)
    fleet.list_runner(name, address=f'127.0.0.1:{runner.port}')
    row = fleet.gateway._context.runners.get
    await fleet.wait_for(lambda: row(name).listing.address.port == runner.port)
    row('d2' if name == 'd1' else 's2').in_flight = 3


@pytest.mark.parametrize(
    ('path', 'status', 'body'),
    [('/read/1', 200, b'answer to r1'), ('/file/1', 502, b'')],
)
@gateway_fleet.with_fleet
async def test_plain_answer_of_a_crashed_runner_is_not_whole(
    fleet, path, status, body
):
    """Guards against a part of an answer that looks complete."""
    await replace(fleet, 's1', PLAIN_BODY, crashes=True)
    reply = await fleet.ask(path, 'r1', method='POST')
    assert (reply.status, reply.complete, reply.body) == (status, True, body)


@gateway_fleet.with_fleet
async def test_plain_answer_may_end_with_its_connection(fleet):
    """Guards against a whole answer that counts as broken."""
    await replace(fleet, 's1', PLAIN_BODY, crashes=False)
    reply = await fleet.ask('/file/1', 'r1', method='POST')
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == PLAIN_BODY


@pytest.mark.parametrize(
    ('body', 'crashes'),
    [
        (TWO_EVENTS, True),
        (INSIDE_AN_EVENT, False),
        (AT_A_LINE_END, False),
    ],
)
@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
@gateway_fleet.with_fleet
async def test_stream_that_was_broken_off_is_not_whole(
    fleet, path, body, crashes
):
    """Guards against a stream that looks complete before its last event."""
    await replace(fleet, 'd1', body, crashes)
    reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
    resumed = path == '/ask/1'
    assert (reply.status, reply.complete) == (200, resumed)
    assert reply.body.count(b'\n\n') == (EVENTS if resumed else 2)


@gateway_fleet.with_fleet
async def test_connection_of_an_answer_that_is_not_whole_is_closed(
    fleet, monkeypatch
):
    """Guards against a file descriptor that is kept with each such answer."""
    connections = []
    connect = http.connect

    async def connect_and_keep(*arguments):
        connections.append(await connect(*arguments))
        return connections[-1]

    monkeypatch.setattr(http, 'connect', connect_and_keep)
    await replace(fleet, 's1', PLAIN_BODY, crashes=True)
    assert (await fleet.ask('/file/1', 'r1', method='POST')).status == 502
    (connection,) = connections
    raw = connection._stream.extra(anyio.abc.SocketAttribute.raw_socket)
    await fleet.wait_for(lambda: raw.fileno() < 0)
