"""What is known of the stop of a stream that is moved to another runner.

A runner that stops a stream closes it without its end. For a response without
a length that looks like the end of the stream. So a close counts as the end
only if no stop was asked for, or if the runner answered the first call with
the statement that it has no such run.
"""

import enum

from primrosereel.routing import _model as model

__all__ = ['StopState', 'StreamStop']


class StopState(enum.Enum):
    """What is known of the stop of one stream."""

    NOT_ASKED = 'not_asked'
    # A call was sent; its answer is not known yet.
    ASKED = 'asked'
    # The run had ended by itself before the first call arrived.
    ENDED_BEFORE = 'ended_before'
    STOPPED = 'stopped'
    # The answer was lost, or says neither of the above.
    UNKNOWN = 'unknown'


class StreamStop:
    """The calls that stop one stream, and what follows from their answers.

    Example::

        stop = StreamStop()
        stop.ask()
        stop.not_answered()
        assert stop.may_have_stopped
    """

    def __init__(self) -> None:
        self._state = StopState.NOT_ASKED
        self._state_before_call = StopState.NOT_ASKED
        self._calls = 0

    @property
    def state(self) -> StopState:
        """What is known of the stop."""
        return self._state

    @property
    def calls(self) -> int:
        """The calls that were sent."""
        return self._calls

    @property
    def may_have_stopped(self) -> bool:
        """Whether the runner may have closed the stream before its end."""
        return self._state not in (
            StopState.NOT_ASKED,
            StopState.ENDED_BEFORE,
        )

    def ask(self) -> None:
        """Record that a call is made."""
        self._calls += 1
        self._state_before_call = self._state
        if self._state is not StopState.STOPPED:
            self._state = StopState.ASKED

    def not_sent(self) -> None:
        """Record that the last call did not reach the runner."""
        self._calls -= 1
        self._state = self._state_before_call

    def answered(self, outcome: model.MoveOutcome) -> None:
        """Record the answer to a call.

        A runner that has stopped a run may not know it any more when it is
        called again.
        """
        if outcome in (model.MoveOutcome.COPIED, model.MoveOutcome.NO_ROOM):
            self._state = StopState.STOPPED
        elif outcome is model.MoveOutcome.NO_RUN and self._calls == 1:
            self._state = StopState.ENDED_BEFORE
        else:
            self.not_answered()

    def not_answered(self) -> None:
        """Record that the answer to a call was lost, late or unclear."""
        if self._state is not StopState.STOPPED:
            self._state = StopState.UNKNOWN
