"""A request whose time limit is reached while its answer begins."""

import pytest

from primrosereel.routing import _events as events
from tests import gateway_fleet

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
