"""Requests that were read must get a final and true answer."""

import contextlib
import os
import resource
import socket

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 3000}
# Large enough that the body is sent while the response is read.
LONG_BODY = b'b' * 40_000
# How many files a test opens at most to use up all descriptors.
FREE_DESCRIPTORS = 50

run = gateway_fleet.run_scenario


def run_count(fleet, request_id):
    return sum(r.runs[request_id] for r in fleet.runners.values())


@pytest.mark.parametrize(
    ('reason', 'path'), [('caller_gone', '/file/1'), ('stream_cut', '/once/1')]
)
def test_unanswered_request_is_logged_with_its_reason(reason, path):
    """Guards against a lost request that leaves no trace in the log."""

    async def scenario(fleet):
        fleet.runners['s1'].faults.append(Fault.SILENT)
        fleet.gateway._context.runners.get('s2').in_flight = 3
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        async with fleet.client() as client:
            await client.send(path, 'r1', method='POST', **STREAM)
            if reason == 'stream_cut':
                await client.receive()
            await anyio.sleep(0.2)
        named = fleet.log.named
        await fleet.wait_for(lambda: bool(named('request unanswered')))
        (line,) = named('request unanswered')
        assert (line['request'], line['reason']) == ('r1', reason)
        assert line['seconds'] > 0
        metrics, _ = fleet.gateway._context.metrics.render()
        assert f'unanswered_total{{reason="{reason}"}} 1.0' in metrics.decode()

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'fault', 'status', 'runs'),
    [
        ('/read/1', Fault.RESET_AFTER_RUN, 200, 2),
        ('/file/1', Fault.RESET_BEFORE_RUN, 502, 0),
        ('/file/1', Fault.RESET_AFTER_RUN, 502, 1),
        ('/file/1', Fault.CUT_HEAD, 502, 0),
    ],
)
def test_failed_runner_of_a_long_body_gives_an_answer(
    path, fault, status, runs
):
    """Guards against a closed connection where a runner resets a long body.

    The failure came out of a task group and was not recognized.
    """

    async def scenario(fleet):
        fleet.runners['s1'].faults.append(fault)
        fleet.gateway._context.runners.get('s2').in_flight = 3
        reply = await fleet.ask(path, 'r1', method='POST', body=LONG_BODY)
        assert (reply.status, reply.complete) == (status, True)
        assert run_count(fleet, 'r1') == runs

    run(scenario)


@pytest.mark.parametrize('names', [('p1',), ('d1', 'd2')])
def test_failed_engine_of_a_long_prompt_gives_an_answer(names):
    """Guards against a closed connection where an engine resets a long body.

    After a failed prefill the decode runner reads the prompt itself.
    """

    async def scenario(fleet):
        for name in names:
            fleet.runners[name].faults.append(Fault.RESET_BEFORE_RUN)
        reply = await fleet.ask(
            '/once/1', 'r1', method='POST', body=LONG_BODY, **STREAM
        )
        expected = 200 if names == ('p1',) else 502
        assert (reply.status, reply.complete) == (expected, True)

    run(scenario)


def test_unexpected_error_gives_an_answer(monkeypatch):
    """Guards against a closed connection where the router itself fails.

    Nothing was sent to a runner, so the answer states that nothing ran.
    """

    async def scenario(fleet):
        def fail(*_):
            raise KeyError('plain')

        monkeypatch.setattr(
            type(fleet.gateway._context.placement), 'choose', fail
        )
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert (reply.status, reply.complete) == (503, True)
        assert float(reply.headers['retry-after']) > 0

    run(scenario)


def test_unexpected_error_after_a_send_promises_nothing(monkeypatch):
    """Guards against a 503 for a call that ran before the router failed."""

    async def scenario(fleet):
        def fail(*_):
            raise KeyError('plain')

        monkeypatch.setattr(type(fleet.gateway._context.pool), 'put', fail)
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert (reply.status, reply.complete) == (502, True)
        assert run_count(fleet, 'r1') == 1

    run(scenario)


def test_host_that_a_connection_header_names_is_answered():
    """Guards against a closed connection for ``Connection: host``.

    The header was removed, and h11 sends no request without it.
    """

    async def scenario(fleet):
        reply = await fleet.ask('/read/1', 'r1', Connection='host')
        assert (reply.status, reply.complete) == (200, True)

    run(scenario)


def test_weights_that_are_all_zero_are_answered():
    """Guards against a closed connection for a route without a weight."""

    async def scenario(fleet):
        config = gateway_fleet.configuration(version=2)
        config['routes'][0] |= {
            'service': None,
            'trafficSplit': [
                {'service': 'plain', 'weight': 0},
                {'service': 'llm', 'weight': 0},
            ],
        }
        fleet.store.put('op/config', config)
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.table.version == 2)
        reply = await fleet.ask('/read/1', 'r1')
        assert (reply.status, reply.complete) == (503, True)
        assert not fleet.log.named('internal error')

    run(scenario)


def test_runner_whose_address_is_no_host_ends_no_request():
    """Guards against a closed connection for an entry of another writer.

    The name could not be encoded, which was not recognized as a failed
    connection.
    """

    async def scenario(fleet):
        entry = fleet.runners['s1'].entry() | {'address': '\u00fc..b:80'}
        fleet.store.put('servers/s3', entry)
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get('s3') is not None)
        for name in ('s1', 's2'):
            table.get(name).in_flight = 3
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert (reply.status, reply.complete) == (200, True)
        assert not fleet.log.named('internal error')

    run(scenario)


def test_request_that_never_ran_by_its_deadline_gets_503():
    """Guards against a 504 for a stream that no runner was sent."""

    async def scenario(fleet):
        fleet.runners['p1'].faults.append(Fault.SILENT)
        reply = await fleet.ask(
            '/once/1',
            'r1',
            method='POST',
            Token_Usage='400,40',
            Deadline_Ms=300,
        )
        assert (reply.status, reply.complete) == (503, True)
        assert run_count(fleet, 'r1') == 0

    run(scenario)


def test_handle_is_freed_if_its_runner_closes_the_connection(monkeypatch):
    """Guards against an error after the answer, and a handle that stays.

    A prefill runner that leaves says ``Connection: close`` in its answer, so
    the handle cannot be freed on that connection.
    """

    async def scenario(fleet):
        prefill = fleet.runners['p1']
        prefill_once = prefill._prefill

        async def prefill_and_close(request):
            answer = await prefill_once(request)
            answer.headers.append((b'Connection', b'close'))
            return answer

        monkeypatch.setattr(prefill, '_prefill', prefill_and_close)
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.RESET_BEFORE_RUN)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert reply.status == 502
        assert prefill.prefills['r1'] == 1
        await fleet.wait_for(lambda: not prefill.handles)
        assert not fleet.log.named('internal error')

    run(scenario)


@contextlib.contextmanager
def no_file_descriptors():
    """Open files until none can be opened, and close them at the end."""
    opened = [os.open(os.devnull, os.O_RDONLY)]
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowered = opened[0] + FREE_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowered, limit[1]))
    try:
        with contextlib.suppress(OSError):
            while True:
                opened.append(os.open(os.devnull, os.O_RDONLY))
        yield
    finally:
        for descriptor in opened:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, limit)


def test_lack_of_file_descriptors_does_not_end_the_process():
    """Guards against a flood of connections that ends all requests.

    A connection that could not be accepted ended the process.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].options.work_s = 0.5
        async with fleet.client() as client:
            await client.send('/file/1', 'r1', method='POST')
            await anyio.sleep(0.2)
            with (
                socket.create_connection(
                    (fleet.callers.host, fleet.callers.port)
                ),
                no_file_descriptors(),
            ):
                await anyio.sleep(0.1)
            assert (await client.receive()).status == 200
        assert (await fleet.ask('/read/1', 'r2')).status == 200
        assert fleet.log.named('accept failed')

    run(scenario)


def test_silent_stream_resumes_although_little_time_is_left():
    """Guards against a stream that is cut before its time limit.

    The gap that ended the wait was taken for the request's own limit where
    less time than the gap was left.
    """

    async def scenario(fleet):
        fleet.runners['d1'].options.event_s = 3.0
        fleet.gateway._context.runners.get('d2').in_flight = 3
        headers = STREAM | {'Deadline_Ms': 2500}
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **headers)
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body.count(b'\n\n') == 5

    run(scenario)
