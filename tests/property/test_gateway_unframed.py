"""Answers with neither a length nor chunks, which end with a connection."""

import contextlib
import time

import anyio
import anyio.abc
import anyio.lowlevel
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
        # Awaited between the request and its answer.
        self.before_answer = anyio.lowlevel.checkpoint

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
                await self.before_answer()
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
    return runner


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


@pytest.mark.parametrize(('drain_s', 'status'), [(9.0, 502), (0.0, 200)])
def test_answer_of_a_runner_that_crashes_as_it_leaves_is_not_whole(
    drain_s, status
):
    """Guards against the end of a leaving runner that counts as planned.

    It serves on for the drain time. Once that is over, it may have ended
    after a whole answer.
    """

    async def scenario(fleet):
        runner = await replace(fleet, 's1', PLAIN_BODY, crashes=True)
        row = fleet.gateway._context.runners.get('s1')

        async def leave():
            fleet.list_runner(
                's1', 'draining', address=f'127.0.0.1:{runner.port}'
            )
            await fleet.wait_for(lambda: row.listing.leaving)

        runner.before_answer = leave
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert (reply.status, reply.complete) == (status, True)

    gateway_fleet.run_scenario(scenario, runner_drain_s=drain_s)


@gateway_fleet.with_fleet
async def test_accepted_connection_does_not_prove_that_an_answer_is_whole(
    fleet,
):
    """Guards against a killed process whose port is closed last."""
    runner = await replace(fleet, 's1', PLAIN_BODY, crashes=False)

    async def close_the_next():
        runner.before_answer = end

    async def end():
        raise anyio.EndOfStream

    runner.before_answer = close_the_next
    reply = await fleet.ask('/file/1', 'r1', method='POST')
    assert (reply.status, reply.complete, reply.body) == (502, True, b'')


@pytest.mark.parametrize(('frozen_s', 'status'), [(1.5, 502), (0.0, 200)])
@gateway_fleet.with_fleet
async def test_answer_whose_end_is_noticed_late_is_not_whole(
    fleet, frozen_s, status
):
    """Guards against a new run that is taken for the one that answered.

    The runner crashed and was started again while this process was frozen.
    """
    await gateway_fleet.use_long_timeouts(fleet)
    runner = await replace(fleet, 's1', PLAIN_BODY, crashes=False)

    async def freeze():
        time.sleep(frozen_s)

    runner.before_answer = freeze
    reply = await fleet.ask('/file/1', 'r1', method='POST')
    assert (reply.status, reply.complete) == (status, True)


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
