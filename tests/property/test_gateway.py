"""The gateway on loopback, with stand-ins for the store and the runners."""

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


run = gateway_fleet.run_scenario


def run_count(fleet, request_id):
    return sum(r.runs[request_id] for r in fleet.runners.values())


def decode_runners(fleet):
    return [fleet.runners['d1'], fleet.runners['d2']]


def test_prefill_and_decode_run_on_separate_runners():
    """Guards against a request that skips the prefill or runs twice.

    The stream must come from the decode runner that got the KV handle.
    """

    async def scenario(fleet):
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, True)
        assert reply.body.count(b'\n\n') == 5
        assert reply.headers['instance-signature'] in ('d1', 'd2')
        assert fleet.runners['p1'].prefills['r1'] == 1
        assert run_count(fleet, 'r1') == 1
        decode = fleet.runners[reply.headers['instance-signature']]
        assert 'kv-source' in decode.requests[-1].headers

    run(scenario)


def test_callers_cannot_set_headers_of_the_router():
    """Guards against callers that use the KV cache of another request.

    A caller could name its handle in a header that was forwarded.
    """

    async def scenario(fleet):
        await fleet.ask(
            '/file/x?y=1',
            'r1',
            method='POST',
            body=b'b',
            Kv_Source='10.0.0.1:1/h',
            Pin_Ms=9,
            Kv_Hold='h',
            Stage='prefill',
            X_Own='kept',
        )
        (request,) = [
            q for name in ('s1', 's2') for q in fleet.runners[name].requests
        ]
        assert request.target == '/file/x?y=1'
        assert request.body == b'b'
        assert request.headers['x-own'] == 'kept'
        for name in ('kv-source', 'pin-ms', 'kv-hold', 'stage'):
            assert name not in request.headers
        assert 0 < int(request.headers['deadline-ms']) <= 1000
        assert request.headers['expect-instance'] in ('s1', 's2')

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'fault', 'status', 'runs'),
    [
        # (route, fault of the first runner, status, total number of runs)
        ('/read/1', Fault.RESET_BEFORE_RUN, 200, 1),
        ('/read/1', Fault.RESET_AFTER_RUN, 200, 2),
        ('/read/1', Fault.ERROR, 200, 2),
        ('/read/1', Fault.SHED, 200, 1),
        ('/read/1', Fault.UNSIGNED, 200, 2),
        ('/file/1', Fault.SHED, 200, 1),
        ('/file/1', Fault.RESET_BEFORE_RUN, 502, 0),
        ('/file/1', Fault.RESET_AFTER_RUN, 502, 1),
        ('/file/1', Fault.UNSIGNED, 502, 1),
        ('/file/1', Fault.ERROR, 500, 1),
    ],
)
def test_call_is_retried_only_where_safe(path, fault, status, runs):
    """Guards against a second run of a non-idempotent call.

    It also guards against a refusal that claims that a call did not run
    although it did.
    """

    async def scenario(fleet):
        row = fleet.gateway._context.runners
        first, second = fleet.runners['s1'], fleet.runners['s2']
        first.faults.append(fault)
        # The second runner is busy, so the first one is chosen.
        row.get('s2').in_flight = 3
        reply = await fleet.ask(path, 'r1', method='POST', Deadline_Ms=900)
        assert reply.status == status
        assert run_count(fleet, 'r1') == runs
        assert len(first.requests) == 1
        assert len(second.requests) == (0 if status != 200 else 1)

    run(scenario)


def test_silent_runner_leads_to_504_at_the_route_timeout():
    """Guards against a retry, or an early reply, while a runner is silent.

    A non-idempotent call may be running, so the caller gets 504 at the
    route's timeout; 504 does not state whether the call ran.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.SILENT)
        started_at = anyio.current_time()
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 504
        assert 0.9 < anyio.current_time() - started_at < 1.4

    run(scenario)


def test_second_response_to_a_request_is_dropped():
    """Guards against a response that is forwarded to the wrong request.

    Bytes after a complete response were read as the response to the next
    request on the connection.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.extend([Fault.SECOND_ANSWER] * 3)
        async with fleet.client() as client:
            for number in range(6):
                reply = await client.ask('/read/1', f'r{number}')
                assert reply.body == f'answer to r{number}'.encode()

    run(scenario)


def test_broken_stream_resumes_at_another_runner():
    """Guards against lost or repeated events in a resumed stream."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        fleet.runners['d2'].faults.clear()
        context = fleet.gateway._context
        context.runners.get('d2').tokens = 20_000
        context.runners.get('d2').in_flight = 4
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.complete
        numbers = [
            line for line in reply.body.split(b'\n') if line[:3] == b'id:'
        ]
        assert numbers == [b'id: %d' % n for n in range(1, 6)]
        assert fleet.runners['d2'].requests[-1].headers['last-event-id'] == '2'

    run(scenario)


def test_non_resumable_stream_is_cut_when_it_breaks():
    """Guards against a broken stream that looks complete or runs again."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, False)
        assert reply.body.count(b'\n\n') == 2
        assert run_count(fleet, 'r1') == 1

    run(scenario)


def test_decode_runner_prefills_if_the_handle_expired():
    """Guards against a request that all decode runners reject.

    Its handle has expired, and no runner prefilled the prompt itself.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.HANDLE_GONE)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, True)
        assert run_count(fleet, 'r1') == 1

    run(scenario)


def test_runner_that_changes_its_role_is_avoided():
    """Guards against requests to a runner that is changing its role.

    A restarted instance does not know the order, and each instance sent such
    a runner many prompts.
    """

    async def scenario(fleet):
        fleet.list_runner('p1', 'draining')
        await fleet.wait_for(
            lambda: any(
                line['leaving'] for line in fleet.log.named('runner listed')
            )
        )
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.SHED)
        await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        lines = fleet.log.named('runner taken to change its role')
        assert {line['runner'] for line in lines} == {'d1', 'd2'}
        # The stand-in's engines take 6 s to change their role.
        assert {line['avoided_s'] for line in lines} == {2.1}
        uses = fleet.gateway.engine_uses()
        assert {runner for runner, _, tokens, _ in uses if tokens > 1e6} == {
            'd1',
            'd2',
        }

    run(scenario)


@pytest.mark.parametrize('path', ['/ask/1', '/read/1'])
def test_runner_is_freed_when_its_caller_disconnects(path):
    """Guards against runners that work for disconnected callers."""

    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.options.work_s = 5.0
            runner.options.event_s = 5.0
        fleet.runners['p1'].options.work_s = 0.01
        async with fleet.client() as client:
            await client.send(path, 'r1', 'POST', **STREAM)
            await fleet.wait_for(lambda: run_count(fleet, 'r1') == 1)
        await fleet.wait_for(
            lambda: any(
                r.disconnected_requests for r in fleet.runners.values()
            ),
            1.0,
        )
        context = fleet.gateway._context
        await fleet.wait_for(
            lambda: all(row.in_flight == 0 for row in context.runners)
        )

    run(scenario)


def test_handle_is_freed_when_its_caller_disconnects():
    """Guards against a KV handle that is kept without a caller.

    The caller disconnects after the prefill and before the decode runner
    fetches the KV cache.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.SILENT)
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', 'POST', **STREAM)
            await fleet.wait_for(lambda: bool(fleet.runners['p1'].handles))
        await fleet.wait_for(lambda: not fleet.runners['p1'].handles, 2.0)

    run(scenario)


def test_stop_is_graceful():
    """Guards against requests that a stop cuts or refuses too early."""

    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.options.event_s = 0.2
        async with fleet.client() as streaming, fleet.client() as idle:
            assert (await idle.ask('/read/1', 'r1')).status == 200
            await streaming.send('/once/1', 'r2', 'POST', **STREAM)
            await streaming.receive(until=b'id: 1')
            fleet.gateway._stop_requested.set()
            await anyio.sleep(0.1)
            assert not fleet.gateway.ready
            reply = await idle.ask('/read/1', 'r3')
            assert reply.status == 200
            assert reply.headers['connection'] == 'close'
            rest = await streaming.receive()
            assert rest.complete
        await fleet.wait_for(lambda: bool(fleet.log.named('stopped')))
        assert fleet.log.named('stopped')[0]['active'] == 0

    run(scenario)


def test_each_request_is_logged_with_its_cause():
    """Guards against a failed request whose log lines lack its id or cause.

    An on-call engineer has only the logs to go by.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.RESET_AFTER_RUN)
        await fleet.ask('/file/1', 'r1', method='POST')
        await fleet.ask('/read/1', 'r2')
        failed = fleet.log.named('attempt failed')
        assert failed[0]['request'] == 'r1'
        assert failed[0]['runner'] in ('s1', 's2')
        refused = fleet.log.named('refused')
        assert (refused[0]['request'], refused[0]['status']) == ('r1', 502)
        assert any(
            line['request'] == 'r2' for line in fleet.log.named('served')
        )

    run(scenario)
