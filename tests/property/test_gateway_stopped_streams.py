"""Streams that were stopped for a move whose stop did not go as planned."""

import anyio
import pytest

from primrosereel.gateway import _http as http
from primrosereel.gateway import _stream_move as stream_move
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_moves as moves

Fault = listed_runner.Fault
StopFault = listed_runner.StopFault
# The source has to copy the rest while the caller waits.
COPY_S = 0.05

run = gateway_fleet.run_scenario


def assert_whole(reply):
    assert (reply.status, reply.complete) == (200, True)
    numbers = [f'id: {n}\n'.encode() for n in range(1, moves.EVENTS + 1)]
    assert [reply.body.count(n) for n in numbers] == [1] * moves.EVENTS


async def start_stream_to_move(fleet, client, path, stop_faults, unframed):
    """Start a stream whose source's stops have faults, and let it leave."""
    moves.make_streams_long(fleet)
    for runner in test_gateway.decode_runners(fleet):
        runner.options.unframed = unframed
    source, target = await moves.start_stream(fleet, client, path)
    source.options.copy_s = COPY_S
    source.stop_faults.extend(stop_faults)
    return source, target


@pytest.mark.parametrize('unframed', [True, False])
@pytest.mark.parametrize(
    'stop_faults',
    [
        [StopFault.NO_ROOM] * 9,
        [StopFault.LOST] * 9,
        [StopFault.WITHOUT_HANDLE] * 9,
    ],
    ids=lambda faults: faults[0].value,
)
def test_stream_that_was_stopped_in_vain_is_not_complete(
    stop_faults, unframed
):
    """Guards against a part of a stream that looks like the whole.

    The source closed the stopped stream, and no other runner continued it.
    Without a length, the close looks like the end of the stream.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            source, target = await start_stream_to_move(
                fleet, client, '/once/1', stop_faults, unframed
            )
            target.faults.append(Fault.HANDLE_GONE)
            fleet.list_runner(source.options.runner, 'draining')
            reply = await client.receive()
        assert len(source.moves) >= 2
        assert (reply.status, reply.complete) == (200, False)
        await fleet.wait_for(lambda: not fleet.gateway.engine_uses(), 2.0)

    # The source is not sent the stream again, as it has left.
    run(scenario, runner_drain_s=0.0)


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
@pytest.mark.parametrize('unframed', [True, False])
def test_stopped_stream_goes_on_at_another_runner(path, unframed):
    """Guards against a stream that is given up while a copy can be made.

    The first target had no room, and the source still held the KV cache.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            source, target = await start_stream_to_move(
                fleet, client, path, [StopFault.NO_ROOM], unframed
            )
            third = await fleet.add_runner(
                'd3', 'llm', 'decode', events=moves.EVENTS, unframed=unframed
            )
            await anyio.sleep(0.2)
            fleet.list_runner(source.options.runner, 'draining')
            assert_whole(await client.receive())
        first, refused, accepted = source.moves
        assert first['to'] == refused['to'] != accepted['to']
        runs = [r.runs['r1'] for r in (source, target, third)]
        assert runs == [1, 0, 0]
        await fleet.wait_for(lambda: not fleet.gateway.engine_uses(), 2.0)

    run(scenario, runner_drain_s=0.0)


@pytest.mark.parametrize('path', ['/ask/1', '/once/1'])
@pytest.mark.parametrize('unframed', [True, False])
@pytest.mark.parametrize(
    'fault', [StopFault.LOST, StopFault.NOT_RECEIVED, StopFault.WITHOUT_HANDLE]
)
def test_stream_goes_on_though_the_answer_to_its_stop_is_lost(
    path, unframed, fault
):
    """Guards against a stream that is cut, or looks whole, after its stop.

    The call may have stopped the stream, and the copy may be complete.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            source, target = await start_stream_to_move(
                fleet, client, path, [fault], unframed
            )
            fleet.list_runner(source.options.runner, 'draining')
            assert_whole(await client.receive())
        assert test_gateway.run_count(fleet, 'r1') == 1
        assert 'last-event-id' in target.requests[-1].headers
        await fleet.wait_for(lambda: not fleet.gateway.engine_uses(), 2.0)

    run(scenario, runner_drain_s=0.0)


def test_stream_that_ended_before_its_stop_is_complete():
    """Guards against a whole stream that is cut because of its move.

    Its runner does not know the run any more as it is told to stop.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            source, target = await start_stream_to_move(
                fleet, client, '/once/1', [], unframed=True
            )
            # The first copy takes longer than the rest of the stream.
            source.options.copy_s = moves.EVENTS * moves.EVENT_S
            fleet.list_runner(source.options.runner, 'draining')
            assert_whole(await client.receive())
        assert not any(
            'kv-source' in request.headers for request in target.requests
        )

    run(scenario)


def test_stream_of_a_runner_that_cannot_be_told_to_stop_is_complete(
    monkeypatch,
):
    """Guards against a whole stream that is cut because of its move.

    Its runner takes no connection as it leaves, so nothing was stopped.
    """

    async def refuse(context, runner, timeout_s):
        raise http.ConnectRefused(runner.runner_id)

    async def scenario(fleet):
        async with fleet.client() as client:
            source, _ = await start_stream_to_move(
                fleet, client, '/once/1', [], unframed=True
            )
            fleet.list_runner(source.options.runner, 'draining')
            await fleet.wait_for(lambda: bool(source.moves))
            monkeypatch.setattr(stream_move.runner_connect, 'connect', refuse)
            assert_whole(await client.receive())
        [line] = fleet.log.named('stream not moved')
        assert line['stop'] == 'not_asked'

    run(scenario)


def test_caller_that_leaves_during_a_refused_stop_ends_its_move():
    """Guards against an error, and a place that is kept, for no caller.

    The place at the target is released before the refusal arrives.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            source, _ = await start_stream_to_move(
                fleet, client, '/once/1', [StopFault.NO_ROOM], unframed=True
            )
            await fleet.add_runner('d3', 'llm', 'decode')
            await anyio.sleep(0.2)
            source.options.copy_s = 0.2
            fleet.list_runner(source.options.runner, 'draining')
            await fleet.wait_for(lambda: len(source.moves) == 2)
        await anyio.sleep(0.5)
        assert not fleet.log.named('part failed')
        assert len(source.moves) == 2
        assert not fleet.gateway.engine_uses()

    run(scenario, runner_drain_s=0.0)
