"""A request whose time limit is reached while its answer begins."""

import anyio
import pytest

from primrosereel.gateway import _event_stream as event_stream
from primrosereel.gateway import _prompt as prompt
from primrosereel.routing import _events as events
from primrosereel.routing import _timeouts as timeouts
from tests import gateway_fleet
from tests.property import test_gateway_moves as moves

run = gateway_fleet.run_scenario


@pytest.mark.parametrize('path', ['/once/1', '/ask/1'])
def test_time_limit_that_is_reached_at_the_first_event_gets_an_answer(
    path, monkeypatch
):
    """Guards against a closed connection without any byte of an answer.

    The head of the answer counted as sent, but the send was cancelled before
    it wrote, so that neither the head nor a refusal was sent.
    """

    async def scenario(fleet):
        accept = events.StreamProgress.accept

        def accept_and_end(progress, event):
            for limit in fleet.gateway._context.time_limits._enforced:
                limit._scope.cancel()
            return accept(progress, event)

        monkeypatch.setattr(events.StreamProgress, 'accept', accept_and_end)
        reply = await fleet.ask(
            path, 'r1', method='POST', Token_Usage='400,40', Model='m'
        )
        assert (reply.status, reply.complete) == (504, True)
        assert not fleet.log.named('request unanswered')

    run(scenario)


def test_time_limit_as_the_handle_is_used_ends_the_run(monkeypatch):
    """Guards against a runner that works on after the final answer.

    The connection of the response stayed open if the request ended while
    that of the prefill runner was closed.
    """

    async def scenario(fleet):
        moves.make_streams_long(fleet)
        prefill = fleet.runners['p1']
        prefill_once = prefill._prefill
        handle_used = prompt.Prompt.handle_used

        async def prefill_and_close(request):
            answer = await prefill_once(request)
            answer.headers.append((b'Connection', b'close'))
            return answer

        async def end_and_use_handle(used):
            for limit in fleet.gateway._context.time_limits._enforced:
                limit._scope.cancel()
            await handle_used(used)

        monkeypatch.setattr(prefill, '_prefill', prefill_and_close)
        monkeypatch.setattr(prompt.Prompt, 'handle_used', end_and_use_handle)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **moves.STREAM)
        assert (reply.status, reply.complete) == (504, True)
        await anyio.sleep(2 * moves.EVENT_S)
        sent = [runner.last_event_ids for runner in fleet.runners.values()]
        before = [dict(ids) for ids in sent]
        await anyio.sleep(4 * moves.EVENT_S)
        assert [dict(ids) for ids in sent] == before

    run(scenario)


def test_attempt_is_counted_once_if_the_first_event_limit_ends(monkeypatch):
    """Guards against a sound answer that is given up for a slow close.

    The limit of the first event ended while the connection of the prefill
    runner was kept for others, after the answer had begun. The answer was
    discarded, and its attempt counted twice.
    """
    first_event_s = 0.3

    async def scenario(fleet):
        handle_used = prompt.Prompt.handle_used

        async def handle_used_slowly(used):
            await anyio.sleep(2 * first_event_s)
            await handle_used(used)

        monkeypatch.setattr(prompt.Prompt, 'handle_used', handle_used_slowly)
        monkeypatch.setattr(
            timeouts, 'first_event_s', lambda route: first_event_s
        )
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **moves.STREAM)
        assert (reply.status, reply.complete) == (200, True)
        [served] = fleet.log.named('served')
        assert served['attempts'] == 1

    run(scenario)


def test_no_event_follows_a_head_that_was_not_sent(monkeypatch):
    """Guards against a stream whose caller gets its events, but no head.

    The time for the head was over before it was handed to the connection, as
    in a process that gets no processor time at that moment.
    """
    monkeypatch.setattr(event_stream, 'SEND_HEAD_S', 0.0)

    async def scenario(fleet):
        async with fleet.client() as client:
            await client.send('/once/1', 'r1', 'POST', **moves.STREAM)
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                received = await client._stream.receive()
                assert received.startswith(b'HTTP/1.1 200 '), received

    run(scenario)
