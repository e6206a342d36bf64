"""The plain calls in progress and the ways in which they end."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _plain_call as plain_call
from primrosereel.core import _request_lifecycle as request_lifecycle
from primrosereel.core import _tables as tables

__all__ = ['PlainCallTable']

Reason = states.RefusalReason

RETRY_AFTER_S = 1.0
# Reasons after which the unchanged call may succeed later.
TEMPORARY_REASONS = (
    Reason.QUEUE_FULL,
    Reason.DEADLINE,
    Reason.WITNESS_UNREACHABLE,
    Reason.WITNESS_DISAGREES,
    Reason.MEMBERSHIP_STALE,
    Reason.CLAIMS_FULL,
    Reason.KEY_IN_USE,
    Reason.RETRY_BUDGET,
)


class PlainCallTable:
    """Every accepted call, those that claim a key, and the queues."""

    def __init__(self, world: tables.World) -> None:
        self.calls: dict[ids.RequestId, plain_call.PlainCall] = {}
        self.claiming: dict[ids.RequestId, plain_call.PlainCall] = {}
        self.queues: dict[ids.ServiceId, list[plain_call.PlainCall]] = {}
        self._world = world

    def add(self, call: plain_call.PlainCall, now: float) -> None:
        """Add an accepted call."""
        self.calls[call.request_id] = call
        if call.stage is plain_call.Stage.CLAIMING:
            self.claiming[call.request_id] = call
        request_lifecycle.count_accepted(self._world, now)

    def answer(
        self, call: plain_call.PlainCall, answer: messages.AnswerPlain
    ) -> None:
        """End a call with an answer, dropped if the caller disconnected."""
        if not call.caller_left:
            self._world.count('answered')
            self._world.emit(answer)
        self.remove(call)

    def refuse_unaccepted(
        self,
        message: messages.PlainReceived,
        reason: states.RefusalReason,
        retry_after_s: float | None = None,
        detail: str = '',
    ) -> None:
        """Refuse a call that was not accepted."""
        ran = plain_call.ran_before_acceptance(self._world, message)
        request_lifecycle.refuse(
            self._world,
            message.request_id,
            reason,
            ran,
            retry_after_s,
            detail,
        )

    def refuse(
        self,
        call: plain_call.PlainCall,
        reason: states.RefusalReason,
        detail: str = '',
    ) -> None:
        """End an accepted call without an answer."""
        may_have_run = call.may_have_run
        self.withdraw_unsent_claim(call)
        self.remove(call)
        request_lifecycle.refuse(
            self._world,
            call.request_id,
            reason,
            states.Ran.UNKNOWN if may_have_run else states.Ran.NOT_RUN,
            RETRY_AFTER_S if reason in TEMPORARY_REASONS else None,
            detail,
        )

    def withdraw_unsent_claim(self, call: plain_call.PlainCall) -> None:
        """Free the key of a call that no upstream can have run."""
        if call.claim is not None and not call.may_have_run:
            call.claim.withdraw()

    def remove(self, call: plain_call.PlainCall) -> None:
        """Remove a call that has ended."""
        del self.calls[call.request_id]
        self.claiming.pop(call.request_id, None)
        queue = self.queues.get(call.message.service, [])
        if call in queue:
            queue.remove(call)
        request_lifecycle.count_ended(self._world)
