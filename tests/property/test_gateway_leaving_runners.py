"""Runners that say in their answers that they leave."""

import anyio
import pytest

from primrosereel.routing import _availability as availability
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_moves as moves
from tests.property import test_gateway_orders as orders

Availability = availability.Availability
Fault = listed_runner.Fault
STREAM = test_gateway.STREAM


def state(fleet, name):
    context = fleet.gateway._context
    return context.runners.availability.state(name, context.clock())


def prefer(fleet, name):
    """Let a runner be chosen by making its neighbour busy."""
    other = {'s1': 's2', 's2': 's1', 'd1': 'd2', 'd2': 'd1'}[name]
    row = fleet.gateway._context.runners.get(other)
    row.in_flight, row.tokens = 6, 20_000


async def ask_plain(fleet, fault=None):
    fleet.runners['s1'].faults.extend([fault] if fault else [])
    prefer(fleet, 's1')
    await fleet.ask('/read/1', 'r1')
    return 's1'


async def ask_for_refusal(fleet):
    return await ask_plain(fleet, Fault.SHED)


async def ask_for_error(fleet):
    return await ask_plain(fleet, Fault.ERROR)


async def ask_another_runner(fleet):
    """Ask the runner that has taken over another one's address."""
    fleet.runners['s1'].options.runner = 'another'
    return await ask_plain(fleet)


async def ask_for_stream(fleet, fault=None):
    fleet.runners['d1'].faults.extend([fault] if fault else [])
    prefer(fleet, 'd1')
    await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
    return 'd1'


async def ask_for_broken_stream(fleet):
    return await ask_for_stream(fleet, Fault.BREAK_STREAM)


async def ask_for_prefill(fleet):
    await ask_for_stream(fleet)
    return 'p1'


async def give_order(fleet):
    address = fleet.gateway._context.runners.get('d1').listing.address
    await orders.give_order(fleet, 'd1', address)
    return 'd1'


async def free_handle(fleet):
    """Let the caller leave after the prefill, so that its handle is freed."""
    fleet.runners['p1'].leaving = False
    for name in ('d1', 'd2'):
        fleet.runners[name].leaving = False
        fleet.runners[name].faults.append(Fault.SILENT)
    async with fleet.client() as client:
        await client.send('/once/1', 'r1', 'POST', **STREAM)
        await fleet.wait_for(lambda: bool(fleet.runners['p1'].handles))
        fleet.runners['p1'].leaving = True
    await fleet.wait_for(lambda: not fleet.runners['p1'].handles)
    return 'p1'


@pytest.mark.parametrize(
    'ask',
    [
        ask_plain,
        ask_for_refusal,
        ask_for_error,
        ask_another_runner,
        ask_for_stream,
        ask_for_broken_stream,
        ask_for_prefill,
        give_order,
        free_handle,
    ],
)
@gateway_fleet.with_fleet
async def test_each_kind_of_answer_says_that_its_runner_leaves(fleet, ask):
    """Guards against requests to a runner that said that it leaves.

    The platform's list may show the runner as ready for longer.
    """
    for runner in fleet.runners.values():
        runner.leaving = True
    name = await ask(fleet)
    await fleet.wait_for(lambda: state(fleet, name) is Availability.LEAVING)
    for runner in fleet.runners.values():
        runner.leaving = False
    requests = len(fleet.runners[name].requests)
    for number in range(4):
        await fleet.ask('/read/1', f'n{number}')
        await fleet.ask('/once/1', f'g{number}', method='POST', **STREAM)
    assert len(fleet.runners[name].requests) == requests
    (line,) = [
        line
        for line in fleet.log.named('runner availability changed')
        if (line['runner'], line['new']) == (name, 'leaving')
    ]
    assert (line['old'], line['source']) == ('ready', 'answer')


@gateway_fleet.with_fleet
async def test_idle_connections_to_a_leaving_runner_are_closed(fleet):
    """Guards against a request on a connection that its runner closes."""
    context = fleet.gateway._context
    prefer(fleet, 's1')
    address = context.runners.get('s1').listing.address

    async def ask(number):
        await fleet.ask('/read/1', f'r{number}')

    fleet.runners['s1'].options.work_s = 0.1
    async with anyio.create_task_group() as tasks:
        for number in range(2):
            tasks.start_soon(ask, number)
    idle = [connection for _, connection in context.pool._idle[address]]
    assert len(idle) == 2
    fleet.runners['s1'].leaving = True
    await ask(2)
    await fleet.wait_for(lambda: not any(c.reusable for c in idle), 0.5)
    assert address not in context.pool._idle


@gateway_fleet.with_fleet
async def test_streams_of_a_runner_that_says_that_it_leaves_are_moved(fleet):
    """Guards against streams that are cut when their runner ends.

    It also guards against the stream whose own head says it, and which was
    not yet known as one of that runner.
    """
    moves.make_streams_long(fleet)
    prefer(fleet, 'd1')
    async with fleet.client() as first, fleet.client() as second:
        await first.send('/once/1', 'r1', method='POST', **STREAM)
        await first.receive(until=b'id: 2')
        fleet.runners['d1'].leaving = True
        await second.send('/once/1', 'r2', method='POST', **STREAM)
        for client in (first, second):
            assert (await client.receive()).complete
    assert {line['source'] for line in fleet.log.named('stream moved')} == {
        'd1'
    }
    assert len(fleet.log.named('stream moved')) == 2


@gateway_fleet.with_fleet
async def test_a_restart_ends_the_leaving_of_a_runner(fleet):
    """Guards against a new run that gets nothing as the old one left."""
    fleet.runners['s1'].leaving = True
    await ask_plain(fleet)
    assert state(fleet, 's1') is Availability.LEAVING
    fleet.list_runner('s1')
    await anyio.sleep(0.3)
    assert state(fleet, 's1') is Availability.LEAVING
    fleet.runners['s1'].leaving = False
    fleet.runners['s1'].born_ms += 1
    fleet.list_runner('s1')
    await fleet.wait_for(lambda: state(fleet, 's1') is Availability.READY)


@gateway_fleet.with_fleet
async def test_a_head_that_is_cut_says_nothing_of_its_runner(fleet):
    """Guards against a broken answer that takes a runner out of use."""
    fleet.runners['s1'].leaving = True
    fleet.runners['s1'].faults.append(Fault.CUT_HEAD)
    prefer(fleet, 's1')
    assert (await fleet.ask('/read/1', 'r1')).status == 200
    assert state(fleet, 's1') is Availability.READY


@pytest.mark.parametrize(
    'header', [(b'Server-Leaving', b'maybe'), (b'Server-Leaving', b'1')]
)
@gateway_fleet.with_fleet
async def test_an_invalid_header_is_counted_and_loses_no_request(
    fleet, header, monkeypatch
):
    """Guards against a request that is lost for a runner's invalid header."""
    monkeypatch.setattr(listed_runner, 'LEAVING_HEADER', header)
    runner = fleet.runners['s1']
    respond = runner._response_headers
    runner._response_headers = lambda name: [*respond(name), header]
    runner.leaving = True
    prefer(fleet, 's1')
    reply = await fleet.ask('/file/1', 'r1', method='POST')
    assert (reply.status, reply.body) == (200, b'answer to r1')
    assert state(fleet, 's1') is Availability.READY
    (line,) = fleet.log.named('runner header ignored')
    assert (line['runner'], line['header']) == ('s1', 'server-leaving')
