"""Streams are moved from decode runners that leave."""

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from tests import gateway_fleet
from tests.property import test_gateway

Fault = listed_runner.Fault
StopFault = listed_runner.StopFault
STREAM = test_gateway.STREAM
EVENTS = 40
EVENT_S = 0.05

run = gateway_fleet.run_scenario


def make_streams_long(fleet):
    """Let streams last for long enough to be moved."""
    for runner in test_gateway.decode_runners(fleet):
        runner.options.events = EVENTS
        runner.options.event_s = EVENT_S


async def start_stream(fleet, client, path):
    """Start the stream r1; return its runner and the other one."""
    await client.send(path, 'r1', method='POST', **STREAM)
    runners = test_gateway.decode_runners(fleet)
    await fleet.wait_for(
        lambda: any(r.last_event_ids.get('r1', 0) > 2 for r in runners)
    )
    return sorted(runners, key=lambda r: not r.last_event_ids)


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
def test_stream_is_moved_from_a_leaving_runner(path):
    """Guards against streams that are cut when their runner leaves.

    Non-resumable streams could not continue at another runner.
    """

    async def scenario(fleet):
        make_streams_long(fleet)
        async with fleet.client() as client:
            source, target = await start_stream(fleet, client, path)
            fleet.list_runner(source.options.runner, 'draining')
            reply = await client.receive()
        assert (reply.status, reply.complete) == (200, True)
        numbers = [f'id: {n}\n'.encode() for n in range(1, EVENTS + 1)]
        assert [reply.body.count(number) for number in numbers] == [1] * EVENTS
        assert [move['last'] for move in source.moves] == [False, True]
        resumed = target.requests[-1].headers
        address = f'127.0.0.1:{source.server.port}/copy1'
        assert resumed['kv-source'] == address
        assert int(resumed['last-event-id']) >= 2
        (line,) = fleet.log.named('stream moved')
        assert line['target'] == target.options.runner
        assert not fleet.gateway.engine_uses()

    run(scenario)


@pytest.mark.parametrize('outage', [False, True])
def test_stream_is_moved_from_a_runner_that_a_whole_reading_lacks(outage):
    """Guards against streams that are cut when their runner vanishes.

    The entry was removed together with the history that says so. After an
    outage of the store, the runner is missing before it counts as gone.
    """

    async def scenario(fleet):
        make_streams_long(fleet)
        for runner in test_gateway.decode_runners(fleet):
            runner.options.events = 3 * EVENTS // 2
        async with fleet.client() as client:
            source, _ = await start_stream(fleet, client, '/once/1')
            if outage:
                fleet.store.mode = metadata_store.StoreMode.RESET
            fleet.store.delete(f'servers/{source.options.runner}')
            fleet.store.forget_history()
            if outage:
                await fleet.wait_for(lambda: fleet.log.named('store lost'))
                fleet.store.mode = metadata_store.StoreMode.UP
            reply = await client.receive()
        assert reply.complete
        (line,) = fleet.log.named('stream moved')
        assert line['source'] == source.options.runner
        changes = fleet.log.named('runner availability changed')
        assert [change['old'] for change in changes if change['new'] == 'gone']
        assert any(change['old'] == 'missing' for change in changes) == outage

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'complete'), [('/ask/1', True), ('/once/1', False)]
)
def test_failed_move_does_not_rerun_a_non_resumable_stream(path, complete):
    """Guards against a second run of a stream whose copy is gone."""

    async def scenario(fleet):
        make_streams_long(fleet)
        async with fleet.client() as client:
            source, target = await start_stream(fleet, client, path)
            for runner in (source, target):
                runner.faults.append(Fault.HANDLE_GONE)
            fleet.list_runner(source.options.runner, 'draining')
            reply = await client.receive()
        assert reply.complete == complete
        assert test_gateway.run_count(fleet, 'r1') == (2 if complete else 1)

    run(scenario)


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
@pytest.mark.parametrize('refused_by', ['target', 'stop'])
def test_stream_goes_on_at_its_source_if_its_move_is_refused(path, refused_by):
    """Guards against a stream that is stopped for a move and then cut.

    The source still holds the KV cache, and it counts as the same run.
    """

    async def scenario(fleet):
        make_streams_long(fleet)
        async with fleet.client() as client:
            source, target = await start_stream(fleet, client, path)
            if refused_by == 'target':
                target.faults.append(Fault.HANDLE_GONE)
            else:
                source.stop_faults.append(StopFault.NO_ROOM)
            fleet.list_runner(source.options.runner, 'draining')
            await fleet.wait_for(lambda: len(source.moves) == 2)
            fleet.store.delete(f'servers/{target.options.runner}')
            reply = await client.receive()
        assert (reply.status, reply.complete) == (200, True)
        numbers = [f'id: {n}\n'.encode() for n in range(1, EVENTS + 1)]
        assert [reply.body.count(number) for number in numbers] == [1] * EVENTS
        assert test_gateway.run_count(fleet, 'r1') == 1
        # A stream that went back is not stopped again.
        assert len(source.moves) == 2
        address = f'127.0.0.1:{source.server.port}/copy1'
        assert any(
            request.headers.get('kv-source') == address
            for request in source.requests
        )
        assert not fleet.gateway.engine_uses()

    run(scenario, runner_drain_s=4.0)


def test_source_that_has_left_is_not_sent_a_stopped_stream():
    """Guards against a request to a runner beyond the bound of its drain."""

    async def scenario(fleet):
        make_streams_long(fleet)
        async with fleet.client() as client:
            source, target = await start_stream(fleet, client, '/once/1')
            target.faults.append(Fault.HANDLE_GONE)
            source.options.copy_s = 0.2
            fleet.list_runner(source.options.runner, 'draining')
            assert not (await client.receive()).complete
        assert not any(
            'kv-source' in request.headers
            and request.headers['kv-source'].endswith('/copy1')
            for request in source.requests
        )

    run(scenario)


def test_copy_is_freed_when_its_caller_disconnects():
    """Guards against a copy that holds engine memory without a caller."""

    async def scenario(fleet):
        make_streams_long(fleet)
        for name in ('d1', 'd2'):
            fleet.runners[name].options.copy_s = 0.2
        async with fleet.client() as client:
            source, _ = await start_stream(fleet, client, '/once/1')
            fleet.list_runner(source.options.runner, 'draining')
            # The first copy has been made and the stop call was sent.
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


@pytest.mark.parametrize('fault', [Fault.HANDLE_GONE, Fault.RESET_BEFORE_RUN])
def test_copy_is_freed_when_its_target_does_not_continue(fault):
    """Guards against a copy that holds engine memory until it expires.

    The move of the next attempt replaced the one that knew the copy.
    """

    async def scenario(fleet):
        make_streams_long(fleet)
        async with fleet.client() as client:
            source, target = await start_stream(fleet, client, '/ask/1')
            target.faults.append(fault)
            source.options.copy_s = 0.2
            fleet.list_runner(source.options.runner, 'draining')
            await fleet.wait_for(lambda: bool(source.moves))
            # Continues the stream after the target has failed.
            await fleet.add_runner('d3', 'llm', 'decode', events=EVENTS)
            reply = await client.receive()
        assert reply.complete
        await fleet.wait_for(lambda: not fleet.gateway.engine_uses(), 2.0)
        assert [
            request.path
            for request in source.requests
            if request.method == 'DELETE'
        ] == ['/v1/kv-handle/copy1']

    run(scenario)


def test_stream_is_not_moved_without_a_free_place():
    """Guards against a stream that is stopped with nowhere to continue.

    The only other runner is draining, so the stream has no place to move to.
    """

    async def scenario(fleet):
        make_streams_long(fleet)
        fleet.list_runner('d2', 'draining')
        await anyio.sleep(0.4)
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: bool(fleet.runners['d1'].last_event_ids)
            )
            fleet.list_runner('d1', 'draining')
            reply = await client.receive()
        assert (reply.status, reply.complete) == (200, True)
        assert not fleet.runners['d1'].moves

    run(scenario)
