"""The memory that responses of faulty runners take at a time."""

import anyio
import pytest

from primrosereel.gateway import _response_memory as response_memory
from tests import gateway_fleet
from tests.property import test_gateway_endless as endless

STREAM = endless.STREAM
# What is held of a response besides its content: its head.
HEAD_BYTES = 1000
LIMIT_BYTES = 400_000

run = gateway_fleet.run_scenario


async def only_runner(fleet, name, kind):
    """Let a faulty runner be the only one of its service and role."""
    runner = await endless.replace_runner(fleet, name, kind)
    other = {'s1': 's2', 'd1': 'd2'}.get(name)
    if other is not None:
        fleet.list_runner(other, 'draining')
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get(other).listing.leaving)
    return runner


def ask(fleet, name, request_id):
    """Return a request to the service of a runner, to be awaited."""
    if name == 's1':
        return fleet.ask('/file/1', request_id, method='POST')
    return fleet.ask('/once/1', request_id, method='POST', **STREAM)


HELD = [
    ('s1', 'slow head'),
    ('s1', 'slow body'),
    ('d1', 'slow head'),
    ('d1', 'slow event'),
    ('d1', 'slow error'),
    ('p1', 'slow head'),
    ('p1', 'slow body'),
]


@pytest.mark.parametrize(('name', 'kind'), HELD)
def test_all_that_is_held_of_a_response_is_counted(name, kind):
    """Guards against memory that no common limit bounds.

    Heads, incomplete events, errors of engines and prefills were not counted.
    """

    async def scenario(fleet):
        await only_runner(fleet, name, kind)
        memory = fleet.gateway._context.response_memory
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, fleet, name, 'r1')
            await fleet.wait_for(lambda: memory.reserved >= endless.SLOW_BYTES)
            assert memory.reserved <= endless.SLOW_BYTES + HEAD_BYTES
            tasks.cancel_scope.cancel()
        await fleet.wait_for(lambda: memory.reserved == 0)

    run(scenario)


@pytest.mark.parametrize(('name', 'kind'), HELD)
def test_responses_together_stay_within_the_limit(name, kind):
    """Guards against a process that is killed for its memory.

    Each response is small enough, but all of them together are not.
    """

    async def scenario(fleet):
        await only_runner(fleet, name, kind)
        memory = fleet.gateway._context.response_memory
        largest = 0
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(ask, fleet, name, f'r{number}')
            for _ in range(100):
                largest = max(largest, memory.reserved)
                await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        assert endless.SLOW_BYTES <= largest <= LIMIT_BYTES
        await fleet.wait_for(lambda: memory.reserved == 0)

    run(scenario, memory_bytes=8 * LIMIT_BYTES)


def test_kept_body_is_counted_until_its_caller_has_it():
    """Guards against bodies that pile up for callers that do not read."""
    size = 6_000_000

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].options.answer_bytes = size
        memory = fleet.gateway._context.response_memory
        async with fleet.client() as client:
            await client.send('/read/1', 'r1')
            await fleet.wait_for(lambda: fleet.log.named('served'))
            await anyio.sleep(0.1)
            assert memory.reserved >= size
            reply = await client.receive()
        assert len(reply.body) == size
        await fleet.wait_for(lambda: memory.reserved == 0)

    run(scenario)


def test_events_wait_in_the_runner_for_a_caller_that_does_not_read():
    """Guards against kernel buffers of megabytes, which count as memory."""

    async def scenario(fleet):
        runner = await only_runner(fleet, 'd1', 'events')
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(lambda: runner.sent_bytes)
            await anyio.sleep(0.5)
            first = runner.sent_bytes
            await anyio.sleep(0.5)
            assert runner.sent_bytes == first
        # The runner's and the caller's own buffers are among them.
        assert first <= 1_000_000

    run(scenario)


def test_small_reservations_go_on_beside_large_ones():
    """Guards against sound streams that break beside endless responses."""
    memory = response_memory.ResponseMemory(8 * LIMIT_BYTES)
    large = [memory.reservation() for _ in range(8)]
    granted = [r for r in large if r.resize(60_000)]
    assert 0 < len(granted) < len(large)
    small = [memory.reservation() for _ in range(40)]
    assert all(reservation.resize(1500) for reservation in small)
    assert memory.reserved <= LIMIT_BYTES
    for reservation in small + large:
        reservation.release()
    assert memory.reserved == 0


def test_reservation_that_is_taken_over_is_counted_once():
    """Guards against bodies that are counted twice, or not at all."""
    memory = response_memory.ResponseMemory(8 * LIMIT_BYTES)
    connection, kept = memory.reservation(), memory.reservation()
    assert connection.resize(1000)
    kept.take(connection, 700)
    assert (connection.size, kept.size, memory.reserved) == (300, 700, 1000)
    kept.take(connection, 700)
    assert (connection.size, kept.size, memory.reserved) == (0, 1000, 1000)
