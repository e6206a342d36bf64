"""Runners that send bytes without end, until the gateway closes."""

import itertools
import socket

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
CHUNK = b'x' * 16384
SIGNED_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Signature: bad\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
# What a connection may take in before the gateway gives it up: the largest
# body of a plain call that fits in the memory for responses, and what the
# socket buffers of loopback hold.
MAX_SENT_BYTES = 16_000_000 + 8_000_000
CALL_LIMIT_MS = 10_000
SEND_BUFFER_BYTES = 64 * 1024
SLOW_BYTES = 50_000
SLOW_KINDS = ('slow head', 'slow body', 'slow event', 'slow error')
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


def chunked(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def endless_parts(kind, request_id):
    """Return the beginning of a response, and the part that is repeated."""
    if kind == 'head':
        return b'HTTP/1.1 200 OK\r\nX-Long: ', CHUNK
    if kind == 'no answer':
        return b'', CHUNK
    if kind == 'informational':
        return b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100
    if kind == 'other request':
        return SIGNED_HEAD % b'other', chunked(CHUNK)
    if kind in SLOW_KINDS:
        slow = b'x' * SLOW_BYTES
        starts = {
            'slow head': b'HTTP/1.1 200 OK\r\nX-Long: ' + slow,
            'slow body': SIGNED_HEAD % request_id + chunked(slow),
            'slow event': SIGNED_HEAD % request_id
            + chunked(b'id: 1\ndata: ' + slow),
            'slow error': SIGNED_HEAD.replace(b'200 OK', b'500 Error')
            % request_id
            + chunked(slow),
        }
        return starts[kind], b''
    if kind == 'fields':
        return b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 100
    if kind == 'small parts':
        return SIGNED_HEAD % request_id, b'1\r\nx\r\n' * 1000
    return SIGNED_HEAD % request_id, chunked(CHUNK)


def numbered_event(number):
    """Return a large event as a chunk."""
    return chunked(b'id: %d\ndata: %s\n\n' % (number, CHUNK))


class EndlessRunner:
    """Answers every request with bytes that never end.

    Of a slow kind only the first ``SLOW_BYTES`` come.
    """

    def __init__(self, kind):
        self._kind = kind
        self.sent_bytes = 0
        self.open_connections = 0
        self.port = 0

    async def serve(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        async with listener:
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream):
        self.open_connections += 1
        # What counts is what the gateway and its sockets take in.
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        try:
            async with stream:
                request = await stream.receive()
                lines = request.split(b'\r\n')
                [request_id] = [
                    line.partition(b': ')[2]
                    for line in lines
                    if line.lower().startswith(b'request-id:')
                ]
                start, repeated = endless_parts(self._kind, request_id)
                parts = itertools.repeat(repeated)
                if self._kind == 'events':
                    parts = map(numbered_event, itertools.count(1))
                for part in itertools.chain([start], parts):
                    if part:
                        await stream.send(part)
                    self.sent_bytes += len(part)
                    if self._kind in SLOW_KINDS:
                        await stream.receive()
        except (anyio.BrokenResourceError, anyio.EndOfStream, OSError):
            pass
        finally:
            self.open_connections -= 1


run = gateway_fleet.run_scenario


async def replace_runner(fleet, name, kind):
    """Let an endless runner take the place of a listed one."""
    endless = EndlessRunner(kind)
    await fleet.tasks.start(endless.serve)
    entry = fleet.runners[name].entry()
    entry['address'] = f'127.0.0.1:{endless.port}'
    entry['born'] += 1
    fleet.store.put(f'servers/{name}', entry)
    table = fleet.gateway._context.runners
    await fleet.wait_for(
        lambda: table.get(name).listing.address.port == endless.port
    )
    return endless


KINDS = [
    'head',
    'no answer',
    'informational',
    'other request',
    'body',
    'small parts',
    'fields',
]


@pytest.mark.parametrize('kind', KINDS)
def test_endless_response_to_a_call_is_given_up(kind):
    """Guards against a runner that keeps a call until its deadline.

    The bytes also took memory or processor time for as long.
    """

    async def scenario(fleet):
        endless = await replace_runner(fleet, 's1', kind)
        fleet.list_runner('s2', 'draining')
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get('s2').listing.leaving)
        await fleet.ask('/file/1', 'r1', method='POST')
        await fleet.wait_for(lambda: not endless.open_connections)
        assert endless.sent_bytes <= MAX_SENT_BYTES
        assert fleet.gateway._context.response_memory.reserved == 0

    run(scenario)


@pytest.mark.parametrize('kind', KINDS)
def test_stream_continues_at_another_runner(kind):
    """Guards against a caller that waits for a runner without an event."""

    async def scenario(fleet):
        endless = await replace_runner(fleet, 'd1', kind)
        fleet.gateway._context.runners.get('d2').failure_rate = 0.5
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert endless.sent_bytes
        assert (reply.status, reply.complete) == (200, True)
        assert b'xxxx' not in reply.body
        await fleet.wait_for(lambda: not endless.open_connections)
        assert endless.sent_bytes <= MAX_SENT_BYTES

    run(scenario)


def test_stream_that_sends_a_byte_now_and_then_is_stalled():
    """Guards against a stream that no timeout ends.

    Each byte of an event that never ends extended the timeout.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.event_s = 0.05
            fleet.runners[name].faults.append(Fault.TRICKLE)
        started_at = anyio.current_time()
        with anyio.move_on_after(3.0):
            await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        [line] = fleet.log.named('attempt failed')[:1]
        assert line['reason'] == 'stream_silent'
        assert line['detail'].endswith('no event in time')
        assert anyio.current_time() - started_at < 3.5

    run(scenario)


def test_many_endless_bodies_do_not_exceed_the_memory():
    """Guards against a process that is killed for its memory."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            await replace_runner(fleet, name, 'body')
        memory = fleet.gateway._context.response_memory
        largest = 0

        async def watch():
            nonlocal largest
            while True:
                largest = max(largest, memory.reserved)
                await anyio.sleep(0.001)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            async with anyio.create_task_group() as callers:
                for number in range(12):
                    callers.start_soon(fleet.ask, '/file/1', f'r{number}')
            tasks.cancel_scope.cancel()
        assert 0 < largest <= 128_000_000 / 8
        assert memory.reserved == 0

    run(scenario)


def test_small_parts_do_not_take_the_time_of_other_requests():
    """Guards against calls without an answer as a faulty runner floods.

    Parsing chunks of one byte kept the process from all other work, and the
    deadlines of other runners' calls passed.
    """

    async def scenario(fleet):
        change = gateway_fleet.configuration(2)
        for route in change['routes']:
            # Without the limit on parts no time limit is long enough.
            route['timeoutMs'] = CALL_LIMIT_MS
        fleet.store.put('op/config', change)
        await fleet.wait_for(
            lambda: len(fleet.log.named('configuration in force')) == 2
        )
        endless = await replace_runner(fleet, 's1', 'small parts')
        fleet.list_runner('s2', 'draining')
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get('s2').listing.leaving)
        replies = []

        async def flood(number):
            replies.append(
                await fleet.ask(f'/file/{number}', f'r{number}', method='POST')
            )

        async def stream():
            reply = await fleet.ask('/ask/1', 's1', method='POST', **STREAM)
            assert (reply.status, reply.complete) == (200, True)

        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(flood, number)
            tasks.start_soon(stream)
        assert [reply.status for reply in replies] == [502] * 20
        assert not endless.open_connections
        # What was parsed, and what the sockets of loopback hold.
        assert endless.sent_bytes / 20 <= 2_000_000

    run(scenario)


def test_sound_runner_is_used_beside_an_endless_one():
    """Guards against a fault that spreads to other runners' calls."""

    async def scenario(fleet):
        await replace_runner(fleet, 's1', 'head')
        for number in range(6):
            reply = await fleet.ask(f'/read/{number}', f'r{number}')
            assert reply.status == 200

    run(scenario)
