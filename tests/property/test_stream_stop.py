"""What the calls that stop a stream tell of its end, over all courses."""

import itertools

import pytest

from primrosereel.routing import _model as model
from primrosereel.routing import _stream_stop as stream_stop

Outcome = model.MoveOutcome
State = stream_stop.StopState

MAX_CALLS = 3
# What befalls a call: it is not sent, it is lost on the way, its answer is
# lost, or it is answered.
CALLS = ['not sent', 'lost', 'unanswered', 'answered']


class Source:
    """A runner that stops its run at the first call that it receives.

    It may know the stopped run for longer, for ``known_calls`` calls.
    """

    def __init__(self, running, known_calls):
        self.running = running
        self.stopped = False
        self._known_calls = known_calls

    def receive(self, has_room):
        known = self.running or (self.stopped and self._known_calls > 0)
        if self.stopped:
            self._known_calls -= 1
        elif self.running:
            self.running, self.stopped = False, True
        if not known:
            return Outcome.NO_RUN
        return Outcome.COPIED if has_room else Outcome.NO_ROOM


def courses():
    for count in range(MAX_CALLS + 1):
        yield from itertools.product(CALLS, repeat=count)


@pytest.mark.parametrize('ends_before', range(MAX_CALLS + 1))
@pytest.mark.parametrize('known_calls', [0, 1, 2])
@pytest.mark.parametrize('has_room', [True, False])
def test_stopped_run_never_counts_as_ended(ends_before, known_calls, has_room):
    """Guards against a stopped stream that is taken for a whole one.

    The run ends by itself before the call of that number, or is stopped.
    """
    for course in courses():
        source = Source(True, known_calls)
        stop = stream_stop.StreamStop()
        for number, call in enumerate(course):
            if number == ends_before:
                source.running = False
            stop.ask()
            if call == 'not sent':
                stop.not_sent()
                continue
            outcome = None if call == 'lost' else source.receive(has_room)
            if call == 'answered':
                stop.answered(outcome)
            else:
                stop.not_answered()
        assert stop.may_have_stopped or not source.stopped, course
        if stop.state is State.STOPPED:
            assert source.stopped, course


@pytest.mark.parametrize(
    ('answers', 'state'),
    [
        ([], State.NOT_ASKED),
        ([Outcome.NO_RUN], State.ENDED_BEFORE),
        ([None], State.UNKNOWN),
        ([Outcome.UNCLEAR], State.UNKNOWN),
        # A runner does not know a run that it has stopped and copied.
        ([None, Outcome.NO_RUN], State.UNKNOWN),
        ([Outcome.NO_ROOM, Outcome.NO_RUN], State.STOPPED),
        ([None, Outcome.COPIED], State.STOPPED),
        ([Outcome.NO_ROOM, None], State.STOPPED),
    ],
)
def test_state_after_answers(answers, state):
    """Guards against whole streams that are cut, and cut ones that pass."""
    stop = stream_stop.StreamStop()
    for answer in answers:
        stop.ask()
        if answer is None:
            stop.not_answered()
        else:
            stop.answered(answer)
    assert stop.state is state
