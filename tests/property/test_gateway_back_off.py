"""Runners that refuse requests with Retry-After."""

import anyio
import pytest

from primrosereel.routing import _availability as availability
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_leaving_runners as leaving
from tests.property import test_gateway_moves as moves
from tests.property import test_gateway_orders as orders
from tests.property import test_gateway_rejections as rejections

Availability = availability.Availability
Fault = listed_runner.Fault
STREAM = test_gateway.STREAM


def refuse_next(fleet, name, retry_after):
    fleet.runners[name].options.retry_after = retry_after
    fleet.runners[name].faults.append(Fault.BACK_OFF)


def back_off(fleet, name, seconds=2.0):
    """Let a runner refuse a request of this instance."""
    context = fleet.gateway._context
    listing = context.runners.get(name).listing
    context.runners.availability.observe_back_off(
        name,
        listing.born_ms,
        seconds,
        availability.Source.REFUSAL,
        context.clock(),
    )


async def ask_stream(fleet, request_id='r1', path='/once/1'):
    return await fleet.ask(path, request_id, method='POST', **STREAM)


@gateway_fleet.with_fleet
async def test_a_refused_plain_runner_gets_nothing_until_its_time(fleet):
    """Guards against requests and retries to a runner that wants none."""
    refuse_next(fleet, 's1', '0.7')
    leaving.prefer(fleet, 's1')
    assert (await fleet.ask('/read/1', 'r0')).status == 200
    assert len(fleet.runners['s1'].requests) == 1
    for number in range(1, 5):
        assert (await fleet.ask('/read/1', f'r{number}')).status == 200
    assert len(fleet.runners['s1'].requests) == 1
    await anyio.sleep(0.8)
    assert (await fleet.ask('/read/1', 'r9')).status == 200
    assert len(fleet.runners['s1'].requests) == 2


@gateway_fleet.with_fleet
async def test_plain_calls_are_refused_at_once_if_all_runners_back_off(fleet):
    """Guards against a Retry-After after which all runners still refuse."""
    refuse_next(fleet, 's1', '0.8')
    refuse_next(fleet, 's2', '3')
    first = await fleet.ask('/file/1', 'r0', method='POST')
    second = await fleet.ask('/file/1', 'r1', method='POST')
    for reply in (first, second):
        assert reply.status == 503
        assert 0.6 < float(reply.headers['retry-after']) < 1.1
    for line in fleet.log.named('refused'):
        assert line['reason'] == 'runners_backing_off'
    assert test_gateway.run_count(fleet, 'r1') == 0
    await anyio.sleep(float(second.headers['retry-after']))
    reply = await fleet.ask('/file/1', 'r2', method='POST')
    assert reply.status == 200


@gateway_fleet.with_fleet
async def test_retry_after_is_not_rounded_below_the_back_off(fleet):
    """Guards against a caller that returns just before its runner does."""
    context = fleet.gateway._context
    now = context.clock()
    context.clock = lambda: now
    context.random.random = lambda: 0.0
    for name in ('s1', 's2'):
        back_off(fleet, name, 3.004)
    reply = await fleet.ask('/read/1', 'r1')
    assert float(reply.headers['retry-after']) == 3.01


@gateway_fleet.with_fleet
async def test_generations_are_refused_at_once_if_all_runners_back_off(fleet):
    """Guards against prompts that wait, or are prefilled, for no runner."""
    back_off(fleet, 'd1', 1.5)
    back_off(fleet, 'd2', 20.0)
    started_at = anyio.current_time()
    reply = await ask_stream(fleet)
    assert anyio.current_time() - started_at < 0.2
    assert reply.status == 503
    assert 1.4 < float(reply.headers['retry-after']) < 2.0
    assert not fleet.runners['p1'].requests
    (line,) = fleet.log.named('refused')
    assert line['reason'] == 'runners_backing_off'


@gateway_fleet.with_fleet
async def test_waiting_requests_are_refused_once_all_runners_back_off(fleet):
    """Guards against requests that wait although no runner takes any."""
    for name in ('d1', 'd2'):
        rejections.fill(fleet, name, 48_400)

    async def back_off_all():
        places = fleet.gateway._context.places
        await fleet.wait_for(lambda: places.waiting_count == 1)
        for name in ('d1', 'd2'):
            back_off(fleet, name, 9.0)

    started_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(back_off_all)
        reply = await ask_stream(fleet)
    assert anyio.current_time() - started_at < 0.6
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 8.0


@gateway_fleet.with_fleet
async def test_refused_decode_runner_keeps_the_handle_of_the_prompt(fleet):
    """Guards against a refusal that is taken for a lost KV cache.

    The request was then sent to the same runner again.
    """
    leaving.prefer(fleet, 'd1')
    refuse_next(fleet, 'd1', '5')
    reply = await ask_stream(fleet)
    assert (reply.status, reply.complete) == (200, True)
    assert len(fleet.runners['d1'].requests) == 1
    assert 'kv-source' in fleet.runners['d2'].requests[-1].headers


@gateway_fleet.with_fleet
async def test_refused_prefill_runner_gets_no_prompt_and_no_free_call(fleet):
    """Guards against prefills and frees at a runner that wants nothing."""
    for name in ('d1', 'd2'):
        fleet.runners[name].faults.append(Fault.SILENT)
    async with fleet.client() as client:
        await client.send('/once/1', 'r1', 'POST', **STREAM)
        await fleet.wait_for(lambda: bool(fleet.runners['p1'].handles))
        back_off(fleet, 'p1')
    for name in ('d1', 'd2'):
        fleet.runners[name].faults.clear()
    reply = await ask_stream(fleet, 'r2')
    assert (reply.status, reply.complete) == (200, True)
    assert len(fleet.runners['p1'].requests) == 1


@gateway_fleet.with_fleet
async def test_no_order_is_sent_to_a_runner_that_backs_off(fleet):
    """Guards against orders to a runner that wants nothing."""
    context = fleet.gateway._context
    back_off(fleet, 'd1')
    address = context.runners.get('d1').listing.address
    assert not await orders.give_order(fleet, 'd1', address)
    assert not fleet.runners['d1'].requests
    assert not context.runners.get('d1').failures


@gateway_fleet.with_fleet
async def test_no_stream_is_moved_to_a_runner_that_backs_off(fleet):
    """Guards against a stream that is stopped for a runner that wants none."""
    moves.make_streams_long(fleet)
    async with fleet.client() as client:
        source, target = await moves.start_stream(fleet, client, '/once/1')
        source.options.copy_s = 0.3
        fleet.list_runner(source.options.runner, 'draining')
        await fleet.wait_for(lambda: bool(source.moves))
        back_off(fleet, target.options.runner, 20.0)
        reply = await client.receive()
    assert (reply.status, reply.complete) == (200, True)
    assert [move['last'] for move in source.moves] == [False]
    assert not target.requests


@gateway_fleet.with_fleet
async def test_stopped_stream_goes_on_at_the_runner_with_its_copy(fleet):
    """Guards against a stream that is cut as its new runner backs off.

    The old runner has stopped it, and no other runner has the copy.
    """
    moves.make_streams_long(fleet)
    async with fleet.client() as client:
        source, target = await moves.start_stream(fleet, client, '/once/1')
        source.options.copy_s = 0.2
        fleet.list_runner(source.options.runner, 'draining')
        await fleet.wait_for(lambda: len(source.moves) == 2)
        back_off(fleet, target.options.runner, 20.0)
        reply = await client.receive()
    assert (reply.status, reply.complete) == (200, True)
    assert len(target.requests) == 1


@pytest.mark.parametrize(
    ('retry_after', 'event'),
    [
        ('99999999999', 'back-off bounded'),
        ('soon', 'runner header ignored'),
        ('-3', 'runner header ignored'),
    ],
)
@gateway_fleet.with_fleet
async def test_absurd_times_are_bounded_or_ignored(fleet, retry_after, event):
    """Guards against a runner that is out of use for an absurd time."""
    refuse_next(fleet, 's1', retry_after)
    leaving.prefer(fleet, 's1')
    assert (await fleet.ask('/read/1', 'r0')).status == 200
    (line,) = fleet.log.named(event)
    assert line['runner'] == 's1'
    context = fleet.gateway._context
    back_off_s = context.runners.availability.back_off_remaining_s(
        's1', context.clock()
    )
    assert back_off_s <= availability.MAX_BACK_OFF_S


@gateway_fleet.with_fleet
async def test_a_refusal_of_a_run_that_is_not_listed_yet_is_kept(fleet):
    """Guards against requests in the time of a restarted runner's refusal.

    The runner refuses before its new entry is read, which ends what was said
    of its old run.
    """
    runner = fleet.runners['s1']
    leaving.prefer(fleet, 's1')
    runner.crash()
    assert (await fleet.ask('/read/1', 'down')).status == 200
    assert fleet.log.named('runner refuses connections')
    # Longer than the pause before the runner is tried again.
    await anyio.sleep(1.5)
    leaving.prefer(fleet, 's1')
    refuse_next(fleet, 's1', '2')
    assert (await fleet.ask('/read/1', 'r0')).status == 200
    assert len(runner.requests) == 1
    fleet.list_runner('s1')
    table = fleet.gateway._context.runners
    await fleet.wait_for(
        lambda: table.get('s1').listing.born_ms == runner.born_ms
    )
    leaving.prefer(fleet, 's1')
    for number in range(1, 5):
        assert (await fleet.ask('/read/1', f'r{number}')).status == 200
    assert len(runner.requests) == 1
