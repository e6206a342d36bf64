"""Sound runners may be silent for a second and then go on."""

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest

from primrosereel.routing import _model as model
from primrosereel.routing import _timeouts as timeouts
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_moves as moves
from tests.property import test_gateway_orders as orders

Fault = listed_runner.Fault
STREAM = test_gateway.STREAM


def failed_runners(fleet):
    """Return the runners with evidence against them."""
    return {
        row.runner_id
        for row in fleet.gateway._context.runners
        if row.failures or row.failure_rate
    }


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
@gateway_fleet.with_fleet
async def test_stream_of_a_silent_runner_is_not_given_up(fleet, path):
    """Guards against streams that another runner continues after 0.8 s."""
    for name in ('d1', 'd2'):
        fleet.runners[name].faults.append(Fault.PAUSE_STREAM)
    reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (200, True)
    assert test_gateway.run_count(fleet, 'r1') == 1
    assert not failed_runners(fleet)


@gateway_fleet.with_fleet
async def test_silence_of_a_plain_runner_is_no_evidence(fleet):
    """Guards against a sound runner that is avoided after a silence.

    A call that may run twice goes to another runner meanwhile.
    """
    fleet.runners['s1'].faults.append(Fault.PAUSE)
    fleet.gateway._context.runners.get('s2').in_flight = 3
    reply = await fleet.ask('/read/1', 'r1')
    assert reply.status == 200
    assert fleet.runners['s1'].requests
    assert not failed_runners(fleet)


@gateway_fleet.with_fleet
async def test_silence_of_a_prefill_runner_is_no_evidence(fleet):
    """Guards against a sound prefill runner that is avoided after a silence.

    The prompt is prefilled at the decode runner meanwhile.
    """
    fleet.runners['p1'].faults.append(Fault.PAUSE)
    reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (200, True)
    assert fleet.runners['p1'].requests
    assert not failed_runners(fleet)


@gateway_fleet.with_fleet
async def test_order_waits_for_a_silent_runner(fleet):
    """Guards against an order that is given up although it is accepted."""
    address = fleet.gateway._context.runners.get('d1').listing.address
    fleet.runners['d1'].pause(1.2)
    assert await orders.give_order(fleet, 'd1', address)
    assert not failed_runners(fleet)


@gateway_fleet.with_fleet
async def test_move_waits_for_a_silent_source(fleet):
    """Guards against a stream that is cut as its stop call was given up."""
    moves.make_streams_long(fleet)
    for runner in test_gateway.decode_runners(fleet):
        runner.options.copy_s = 0.2
    async with fleet.client() as client:
        source, target = await moves.start_stream(fleet, client, '/once/1')
        fleet.list_runner(source.options.runner, 'draining')
        await fleet.wait_for(lambda: len(source.moves) == 2)
        source.pause(1.3)
        reply = await client.receive()
    assert (reply.status, reply.complete) == (200, True)
    assert target.requests


@pytest.mark.parametrize('path', ['/read/1', '/ask/1'])
@gateway_fleet.with_fleet
async def test_runner_that_stays_silent_is_found_to_fail(fleet, path):
    """Guards against a dead runner that gets requests again and again."""
    for name in ('s1', 'd1'):
        fleet.runners[name].faults.extend([Fault.SILENT] * 99)
    for name in ('s2', 'd2'):
        row = fleet.gateway._context.runners.get(name)
        row.in_flight, row.tokens = 6, 20_000
    for number in range(5):
        started_at = anyio.current_time()
        reply = await fleet.ask(path, f'r{number}', method='POST', **STREAM)
        assert reply.status == 200
        assert anyio.current_time() - started_at < 3.0
        await anyio.sleep(0.4)
    assert failed_runners(fleet) <= {'s1', 'd1'}
    assert failed_runners(fleet)


@pytest.mark.parametrize('fault', [Fault.SILENT, Fault.PAUSE_STREAM])
@gateway_fleet.with_fleet
async def test_stream_of_a_dead_runner_goes_on_before_its_caller_leaves(
    fleet, fault
):
    """Guards against a wait for a dead runner beyond what callers wait for.

    Callers of this route leave a stream after two seconds without an event.
    """
    configuration = gateway_fleet.configuration(2)
    for route in configuration['routes']:
        route['targetLatencyMs'] = 300
    fleet.store.put('op/config', configuration)
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.table.version == 2)
    row = context.runners.get('d2')
    row.in_flight, row.tokens = 6, 20_000
    fleet.runners['d1'].faults.append(fault)
    fleet.runners['d1'].options.pause_s = 30.0
    gaps_s = []
    async with fleet.client() as client:
        event_at = anyio.current_time()
        await client.send('/ask/1', 'r1', method='POST', **STREAM)
        for number in (1, 2, 3):
            await client.receive(until=b'id: %d\n' % number)
            gaps_s.append(anyio.current_time() - event_at)
            event_at = anyio.current_time()
        assert (await client.receive()).complete
    assert max(gaps_s) < timeouts.MIN_CALLER_GAP_S


@pytest.mark.parametrize('lacking', ['budget', 'runner'])
@gateway_fleet.with_fleet
async def test_silent_stream_is_not_cut_without_another_runner(fleet, lacking):
    """Guards against a stream that ends at a silence with nowhere to go on."""
    context = fleet.gateway._context
    if lacking == 'budget':
        context.budget.set_bounds(0.0, 0.0, 10.0)
    else:
        fleet.store.delete('servers/d2')
        await fleet.wait_for(lambda: 'd2' not in listed(context))
    for name in ('d1', 'd2'):
        fleet.runners[name].faults.append(Fault.PAUSE_STREAM)
        fleet.runners[name].options.pause_s = 1.8
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body.count(b'\n\n') == 5
    assert test_gateway.run_count(fleet, 'r1') == 1


def listed(context):
    """Return the runners that take requests."""
    now = context.clock()
    return {
        runner.runner_id
        for runner in context.runners
        if runner.availability.accepts(now)
    }


@hypothesis.given(
    st.floats(0.05, 30.0), st.one_of(st.none(), st.floats(0.01, 5.0))
)
def test_a_late_stream_is_continued_before_its_caller_leaves(target, gap):
    """Guards against timeouts beyond what callers wait for, or too short."""
    route = model.Route(
        name='r',
        host='h',
        prefix='/',
        kind=model.RouteKind.STREAMING,
        services=(),
        timeout_s=60.0,
        target_s=target,
        max_attempts=2,
        priority=0,
        resumable=True,
        gap_target_s=gap,
    )
    caller_gap_s = timeouts.caller_gap_s(route)
    for limit_s in (
        timeouts.stream_gap_s(route),
        timeouts.first_event_s(route),
    ):
        assert timeouts.SOUND_SILENCE_S <= limit_s <= 0.7 * caller_gap_s
