"""The gateway on loopback, against stand-ins of the store and the runners."""

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


def run(scenario, **changes):
    """Run a scenario against a fleet; it must end within its time."""

    async def main():
        with anyio.fail_after(20):
            async with gateway_fleet.fleet(**changes) as fleet:
                await scenario(fleet)

    anyio.run(main)


def total_runs(fleet, request_id):
    return sum(r.runs[request_id] for r in fleet.runners.values())


def decoders(fleet):
    return [fleet.runners['d1'], fleet.runners['d2']]


def test_a_generation_is_prefilled_and_decoded_apart():
    """The whole path: prefill, handle, stream, and nothing ran twice."""

    async def scenario(fleet):
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body.count(b'\n\n') == 5
        assert reply.headers['instance-signature'] in ('d1', 'd2')
        assert fleet.runners['p1'].prefills['r1'] == 1
        assert total_runs(fleet, 'r1') == 1
        decode = fleet.runners[reply.headers['instance-signature']]
        assert 'kv-source' in decode.requests[-1].headers

    run(scenario)


def test_headers_that_only_the_router_sets_are_not_passed_on():
    """A caller could have had another request's memory used for its own."""

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
        # (route, fault of the first runner, answer, runs in all)
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
def test_what_may_run_once_is_sent_again_only_if_it_did_not_run(
    path, fault, status, runs
):
    """A certification that ran twice; a refusal that was not true."""

    async def scenario(fleet):
        row = fleet.gateway._context.runners
        first, second = fleet.runners['s1'], fleet.runners['s2']
        first.faults.append(fault)
        # The other runner is busy, so the first one is asked first.
        row.get('s2').in_flight = 3
        reply = await fleet.ask(path, 'r1', method='POST', Deadline_Ms=900)
        assert reply.status == status
        assert total_runs(fleet, 'r1') == runs
        assert len(first.requests) == 1
        assert len(second.requests) == (0 if status != 200 else 1)

    run(scenario)


def test_a_silent_runner_of_a_call_that_may_run_once_is_waited_for():
    """At the route's time the caller gets 504, which promises nothing."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.SILENT)
        began = anyio.current_time()
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 504
        assert 0.9 < anyio.current_time() - began < 1.4

    run(scenario)


def test_a_late_second_answer_reaches_no_caller():
    """Bytes after a complete answer were taken for the next answer."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.extend([Fault.SECOND_ANSWER] * 3)
        async with fleet.client() as client:
            for number in range(6):
                reply = await client.ask('/read/1', f'r{number}')
                assert reply.body == f'answer to r{number}'.encode()

    run(scenario)


def test_a_broken_stream_goes_on_at_another_runner():
    """Events of a resumed stream follow the last one that was passed on."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        fleet.runners['d2'].faults.clear()
        context = fleet.gateway._context
        context.runners.get('d2').tokens = 20_000
        context.runners.get('d2').in_flight = 4
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.whole
        numbers = [
            line for line in reply.body.split(b'\n') if line[:3] == b'id:'
        ]
        assert numbers == [b'id: %d' % n for n in range(1, 6)]
        assert fleet.runners['d2'].requests[-1].headers['last-event-id'] == '2'

    run(scenario)


def test_a_stream_that_may_run_once_is_cut_when_it_breaks():
    """It must not look complete, nor run again."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.whole) == (200, False)
        assert reply.body.count(b'\n\n') == 2
        assert total_runs(fleet, 'r1') == 1

    run(scenario)


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
def test_a_stream_is_moved_from_a_runner_that_leaves(path):
    """Streams that may run once were cut when their runner was taken away."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.events = 40
            fleet.runners[name].options.event_s = 0.05
        async with fleet.client() as client:
            await client.send(path, 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: any(
                    r.last_event_ids.get('r1', 0) > 2 for r in decoders(fleet)
                )
            )
            (source,) = (r for r in decoders(fleet) if r.last_event_ids)
            (target,) = (r for r in decoders(fleet) if r is not source)
            fleet.list_runner(source.options.runner, 'draining')
            reply = await client.receive()
        assert (reply.status, reply.whole) == (200, True)
        numbers = [f'id: {n}\n'.encode() for n in range(1, 41)]
        assert [reply.body.count(number) for number in numbers] == [1] * 40
        assert [move['last'] for move in source.moves] == [False, True]
        resumed = target.requests[-1].headers
        address = f'127.0.0.1:{source.server.port}/copy1'
        assert resumed['kv-source'] == address
        assert int(resumed['last-event-id']) >= 2
        (line,) = fleet.log.named('stream moved')
        assert line['target'] == target.options.runner
        assert not fleet.gateway.engine_uses()

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'whole'), [('/ask/1', True), ('/once/1', False)]
)
def test_a_move_that_fails_sends_no_second_run(path, whole):
    """A stream that may run once must not run again without its copy."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.events = 40
            fleet.runners[name].options.event_s = 0.05
        async with fleet.client() as client:
            await client.send(path, 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: any(
                    r.last_event_ids.get('r1', 0) > 2 for r in decoders(fleet)
                )
            )
            (source,) = (r for r in decoders(fleet) if r.last_event_ids)
            (target,) = (r for r in decoders(fleet) if r is not source)
            target.faults.append(Fault.HANDLE_GONE)
            fleet.list_runner(source.options.runner, 'draining')
            reply = await client.receive()
        assert reply.whole == whole
        assert total_runs(fleet, 'r1') == (2 if whole else 1)

    run(scenario)


def test_a_copy_is_freed_when_its_caller_leaves():
    """The copy held engine memory for a caller who had left."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.events = 40
            fleet.runners[name].options.event_s = 0.05
            fleet.runners[name].options.copy_s = 0.2
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: any(
                    r.last_event_ids.get('r1', 0) > 2 for r in decoders(fleet)
                )
            )
            (source,) = (r for r in decoders(fleet) if r.last_event_ids)
            fleet.list_runner(source.options.runner, 'draining')
            # The first copy is made, and the stop is asked for.
            await fleet.wait_for(lambda: len(source.moves) == 2)
        await fleet.wait_for(
            lambda: any(
                (request.method, request.path)
                == ('DELETE', '/v1/kv-handle/copy1')
                for request in source.requests
            ),
            2.0,
        )
        await fleet.wait_for(lambda: not fleet.gateway.engine_uses(), 2.0)

    run(scenario)


def test_a_stream_goes_on_where_it_is_while_there_is_no_other_place():
    """A stream was stopped although no other runner had room for it."""

    async def scenario(fleet):
        fleet.runners['d1'].options.events = 40
        fleet.runners['d1'].options.event_s = 0.05
        fleet.list_runner('d2', 'draining')
        await anyio.sleep(0.4)
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: bool(fleet.runners['d1'].last_event_ids)
            )
            fleet.list_runner('d1', 'draining')
            reply = await client.receive()
        assert (reply.status, reply.whole) == (200, True)
        assert not fleet.runners['d1'].moves

    run(scenario)


def test_a_lapsed_handle_is_replaced_by_reading_at_the_decode_runner():
    """All decode runners refused a request whose handle had lapsed."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.HANDLE_GONE)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.whole) == (200, True)
        assert total_runs(fleet, 'r1') == 1

    run(scenario)


def test_a_decode_runner_that_changes_its_role_is_left_alone():
    """After a restart each instance sent a switching runner many prompts."""

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
        # The stand-in's engines change their role within 6 s.
        assert {line['avoided_s'] for line in lines} == {2.1}
        told = fleet.gateway.engine_uses()
        assert {runner for runner, _, tokens, _ in told if tokens > 1e6} == {
            'd1',
            'd2',
        }

    run(scenario)


@pytest.mark.parametrize('path', ['/ask/1', '/read/1'])
def test_a_caller_that_leaves_frees_its_runner(path):
    """Runners worked on for callers that had left."""

    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.options.work_s = 5.0
            runner.options.event_s = 5.0
        fleet.runners['p1'].options.work_s = 0.01
        async with fleet.client() as client:
            await client.send(path, 'r1', 'POST', **STREAM)
            await fleet.wait_for(lambda: total_runs(fleet, 'r1') == 1)
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


def test_a_handle_is_freed_when_its_caller_leaves():
    """Memory stayed held for a caller that left during the prefill."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.SILENT)
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', 'POST', **STREAM)
            await fleet.wait_for(lambda: bool(fleet.runners['p1'].handles))
        await fleet.wait_for(lambda: not fleet.runners['p1'].handles, 2.0)

    run(scenario)


def test_another_runner_at_an_address_runs_nothing():
    """An address is used again; the runner there answers 421."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].options.runner += '-new'
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert total_runs(fleet, 'r1') == 0

    run(scenario)


def test_a_leaving_runner_gets_no_new_work():
    """A runner that drains was sent requests after the bound."""

    async def scenario(fleet):
        fleet.list_runner('s1', 'draining')
        fleet.store.delete('servers/d1')
        await anyio.sleep(0.3)
        for number in range(8):
            await fleet.ask('/read/1', f'r{number}')
            await fleet.ask('/once/1', f'g{number}', method='POST', **STREAM)
        assert not fleet.runners['s1'].runs
        assert not fleet.runners['d1'].runs

    run(scenario)


def test_configurations_take_effect_and_never_revert():
    """A stale copy of an older version must not come back into force."""

    async def scenario(fleet):
        newer = gateway_fleet.configuration(
            5, [('/new/', 'plain', 'idempotent')]
        )
        fleet.store.put('op/config', newer)
        await anyio.sleep(0.3)
        assert (await fleet.ask('/new/1', 'r1')).status == 200
        fleet.store.put('op/config', gateway_fleet.configuration(4))
        await anyio.sleep(0.3)
        assert (await fleet.ask('/new/1', 'r2')).status == 200
        assert (await fleet.ask('/none/1', 'r3')).status == 404

    run(scenario)


@pytest.mark.parametrize(
    'trouble',
    [
        metadata_store.StoreMode.BUSY,
        metadata_store.StoreMode.RESET,
        metadata_store.StoreMode.SILENT,
        'history',
    ],
)
def test_the_store_may_fail_and_come_back(trouble):
    """After 8 s of silence a watch hung, and a new route answered 404."""

    async def scenario(fleet):
        if trouble == 'history':
            fleet.store.forget_history()
        else:
            fleet.store.mode = trouble
            # Waiting watches hear nothing of this change.
            fleet.store.put('other', {})
            await anyio.sleep(1.0)
            assert (await fleet.ask('/read/1', 'r1')).status == 200
        fleet.store.put(
            'op/config',
            gateway_fleet.configuration(9, [('/new/', 'plain', 'idempotent')]),
        )
        fleet.store.mode = metadata_store.StoreMode.UP
        await anyio.sleep(2.0)
        assert (await fleet.ask('/new/1', 'r2')).status == 200

    run(scenario)


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\xfe',
        b'{"service": "plain"',
        {'service': 'plain', 'address': '127.0.0.1:1', 'state': 'ready'},
        {'service': 7, 'address': 'x', 'state': 'ready'},
        [1],
    ],
)
def test_entries_that_cannot_be_read_name_no_runner(value):
    """Forged or torn entries must not stop the reading of others."""

    async def scenario(fleet):
        fleet.store.put('servers/forged', value)
        await fleet.add_runner('s3', 'plain')
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.runners.get('s3') is not None)
        assert context.runners.get('forged') is None

    run(scenario)


def test_a_stop_is_graceful():
    """A stop must cut no request, and refuse truthfully what comes late."""

    async def scenario(fleet):
        for runner in fleet.runners.values():
            runner.options.event_s = 0.2
        async with fleet.client() as streaming, fleet.client() as idle:
            assert (await idle.ask('/read/1', 'r1')).status == 200
            await streaming.send('/once/1', 'r2', 'POST', **STREAM)
            await streaming.receive(until=b'id: 1')
            fleet.gateway._stop_asked.set()
            await anyio.sleep(0.1)
            assert not fleet.gateway.ready
            reply = await idle.ask('/read/1', 'r3')
            assert reply.status == 200
            assert reply.headers['connection'] == 'close'
            rest = await streaming.receive()
            assert rest.whole
        await fleet.wait_for(lambda: bool(fleet.log.named('stopped')))
        assert fleet.log.named('stopped')[0]['active'] == 0

    run(scenario)


def test_requests_beyond_memory_wait_or_are_refused_with_a_time():
    """Requests that cannot be served are refused at once, and truthfully."""

    async def scenario(fleet):
        context = fleet.gateway._context
        for name in ('d1', 'd2'):
            row = context.runners.get(name)
            row.tokens, row.in_flight = 49_000, 7
        for number in range(12):
            context.places._arrivals.add(9_000, context.clock())
            del number
        began = anyio.current_time()
        replies = []

        async def ask(number):
            replies.append(
                await fleet.ask(
                    '/once/1',
                    f'r{number}',
                    method='POST',
                    Token_Usage='45000,10',
                    Deadline_Ms=4000,
                )
            )

        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(ask, number)
        assert {reply.status for reply in replies} == {503}
        assert all(float(r.headers['retry-after']) > 0 for r in replies)
        assert anyio.current_time() - began < 3.2
        assert not fleet.runners['p1'].prefills

    run(scenario)


def test_each_request_leaves_a_line_with_its_cause():
    """On-call has logs only: an id must lead to the reason."""

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


def test_a_refusal_after_a_send_that_may_have_run_is_not_called_not_run():
    """With the retry budget spent, 503 was said of a request that had run."""

    async def scenario(fleet):
        context = fleet.gateway._context
        context.runners.get('d2').tokens = 20_000
        context.runners.get('d2').in_flight = 4
        # One repeated send: the one after the reset.
        fleet.gateway._most_instances = 1
        context.budget.set_instances(1)
        context.budget.set_bounds(0.0, 2.0, 10.0)
        fleet.runners['d1'].faults.append(Fault.RESET_BEFORE_RUN)
        fleet.runners['d2'].faults.append(Fault.SHED)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert len(fleet.runners['d2'].requests) == 1
        assert reply.status == 502

    run(scenario)


def test_a_call_without_budget_is_refused_for_that_reason():
    """On-call saw no_runner where the retry budget was spent."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.SHED)
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 503
        assert fleet.log.named('refused')[0]['reason'] == 'retry_budget'

    run(scenario, retry_slack=0.0)


def test_lost_history_does_not_take_an_instance_out_of_rotation():
    """With the history dropped and the store away no instance was ready."""

    async def scenario(fleet):
        fleet.store.ranges_refused = True
        fleet.store.forget_history()
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store history lost'))
        )
        await anyio.sleep(0.3)
        assert fleet.gateway.ready
        assert (await fleet.ask('/read/1', 'r1')).status == 200

    run(scenario)
