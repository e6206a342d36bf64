"""Answers that faulty runners repeat, break off or do not frame."""

import random

import anyio
import pytest

from primrosereel.gateway import _http as http
from primrosereel.gateway import _pool as pool_module
from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}
EVENTS = 5

run = gateway_fleet.run_scenario


def runs(fleet, request_id):
    return sum(r.runs[request_id] for r in fleet.runners.values())


async def refuse_then_ask(fleet, *faults):
    """Have s1 refuse a call; return the reply to the next call that it gets.

    The second call uses the connection of the first one.
    """
    table = fleet.gateway._context.runners
    fleet.runners['s1'].faults.extend(faults)
    table.get('s2').in_flight = 3
    await fleet.ask('/file/1', 'r1', method='POST', Deadline_Ms=900)
    table.get('s1').full_until = -1.0
    return await fleet.ask('/file/1', 'r2', method='POST', Deadline_Ms=900)


def test_refusal_of_an_earlier_request_does_not_end_the_next_one():
    """Guards against a call that ran and is reported as not run.

    A runner repeated an earlier refusal on a kept connection.
    """

    async def scenario(fleet):
        reply = await refuse_then_ask(fleet, Fault.REPEATED_REFUSAL)
        assert (reply.status, reply.body) == (200, b'answer to r2')
        assert runs(fleet, 'r2') == fleet.runners['s1'].runs['r2'] == 1

    run(scenario)


def test_refusal_without_a_request_id_is_not_taken_for_the_answer():
    """Guards against a call that ran and is reported as failed.

    The repeated refusal does not name the request that it belongs to.
    """

    async def scenario(fleet):
        reply = await refuse_then_ask(fleet, Fault.UNNAMED_REFUSAL)
        assert (reply.status, reply.body) == (200, b'answer to r2')
        assert runs(fleet, 'r2') == fleet.runners['s1'].runs['r2'] == 1

    run(scenario)


def test_refusal_without_a_request_id_on_a_kept_connection_proves_nothing():
    """Guards against a second run of a call after a refusal of another one.

    The repeated refusal is followed by no answer.
    """

    async def scenario(fleet):
        reply = await refuse_then_ask(
            fleet, Fault.UNNAMED_REFUSAL, Fault.CUT_HEAD
        )
        assert reply.status == 502
        assert runs(fleet, 'r2') <= 1
        assert fleet.runners['s2'].runs['r2'] == 0

    run(scenario)


def test_request_is_not_repeated_on_a_connection_that_carried_it():
    """Guards against a repeated refusal that has the id of the request.

    A request that a runner refused was sent to it again on the same
    connection, where its first refusal may be repeated.
    """

    async def main():
        runner = listed_runner.ListedRunner(
            listed_runner.RunnerOptions('p1', 'plain')
        )
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(runner.server.serve)
            address = model.Address('127.0.0.1', port)
            connection = await http.connect(address, 1.0)
            request = http.OutgoingRequest(
                b'GET',
                b'/',
                [(b'Host', b'h'), (b'Request-Id', b'r1')],
                request_id='r1',
            )
            await connection.send_request(request)
            await connection.read_body(1000)
            pool = pool_module.ConnectionPool()
            await pool.put(connection, 10.0, 0.0)
            assert await pool.get(address, 0.1, 'r1') is None
            assert await pool.get(address, 0.1, '') is None
            assert await pool.get(address, 0.1, 'r2') is connection
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize('fault', [Fault.ERROR, Fault.CUT_HEAD, Fault.SHED])
def test_stream_that_breaks_has_no_other_answer_in_it(fault):
    """Guards against an error text in a stream that had begun.

    The stream breaks off, and the next runner answers with an error or
    breaks off as well.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        busy = random.Random(1).choice(('d1', 'd2'))
        other = 'd1' if busy == 'd2' else 'd2'
        fleet.gateway._context.runners.get(busy).in_flight = 3
        fleet.runners[busy].faults.clear()
        fleet.runners[busy].faults.extend([fault] * 4)
        assert fleet.runners[other].faults
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, False)
        sent = [f'id: {n}\ndata: token {n}\n\n' for n in range(1, 3)]
        assert reply.body.decode() == ''.join(sent)

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'status', 'complete'),
    [
        ('/read/1', 200, True),
        ('/file/1', 502, True),
        ('/ask/1', 200, True),
        ('/once/1', 502, True),
    ],
)
def test_answer_with_a_cut_head_is_not_forwarded(path, status, complete):
    """Guards against an empty 200 where a runner stopped within its head."""

    async def scenario(fleet):
        first = ('s1', 'd1')
        for name in ('s2', 'd2'):
            fleet.gateway._context.runners.get(name).in_flight = 3
        for name in first:
            fleet.runners[name].faults.append(Fault.CUT_HEAD)
        options = STREAM if path in ('/ask/1', '/once/1') else {}
        reply = await fleet.ask(path, 'r1', method='POST', **options)
        assert (reply.status, reply.complete) == (status, complete)
        assert bool(reply.body) == (status == 200)

    run(scenario)


@pytest.mark.parametrize(
    ('fault', 'path', 'complete', 'count'),
    [
        (Fault.UNFRAMED, '/once/1', True, EVENTS),
        (Fault.UNFRAMED, '/ask/1', True, EVENTS),
        (Fault.UNFRAMED_RESET, '/once/1', False, EVENTS),
        (Fault.UNFRAMED_EMPTY, '/ask/1', True, EVENTS),
    ],
)
def test_stream_may_end_with_its_connection(fault, path, complete, count):
    """Guards against an unframed stream that counts as broken or whole.

    It is whole if its connection is closed, and broken if it is reset. One
    without any event is broken, as a runner that crashes may close it.
    """

    async def scenario(fleet):
        fleet.gateway._context.runners.get('d2').in_flight = 3
        fleet.runners['d1'].faults.append(fault)
        reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, complete)
        assert reply.body.count(b'\n\n') == count

    run(scenario)


def test_unframed_stream_without_an_event_is_not_a_success():
    """Guards against an empty 200 for a stream that may run only once."""

    async def scenario(fleet):
        fleet.gateway._context.runners.get('d2').in_flight = 3
        fleet.runners['d1'].faults.append(Fault.UNFRAMED_EMPTY)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert reply.status == 502

    run(scenario)


def test_resumed_stream_that_ends_without_an_event_is_not_whole():
    """Guards against a stream that loses its rest at its second runner.

    The first runner broke it off, and the second one ended its answer, which
    had no length, before an event.
    """

    async def scenario(fleet):
        fleet.gateway._context.runners.get('d2').in_flight = 3
        fleet.runners['d1'].faults.append(Fault.BREAK_STREAM)
        fleet.runners['d2'].faults.append(Fault.UNFRAMED_EMPTY)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.body.count(b'\n\n') == 2
        assert not reply.complete

    run(scenario)
