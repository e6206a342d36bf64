"""The state machine of calls to plain services."""

from collections.abc import Callable
from typing import Any

from returns import pipeline

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _admission as admission
from primrosereel.core import _claim_requester as claim_requester
from primrosereel.core import _claim_witness as claim_witness
from primrosereel.core import _messages as messages
from primrosereel.core import _plain_call as plain_call
from primrosereel.core import _plain_call_rules as plain_call_rules
from primrosereel.core import _plain_call_table as plain_call_table
from primrosereel.core import _plain_dispatch as plain_dispatch
from primrosereel.core import _tables as tables
from primrosereel.core import _witness_sets as witness_sets

__all__ = ['PlainSystem']

Decision = claim_requester.Decision
Reason = states.RefusalReason

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class PlainSystem:
    """Runs plain calls from claim and queue to upstream and answer."""

    inputs: tuple[type, ...] = (
        messages.PlainReceived,
        messages.CallerLeft,
        messages.PlainAnswered,
        messages.PlainFailed,
        messages.PeerFailed,
        messages.TextChanged,
        messages.ClaimReply,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._table = plain_call_table.PlainCallTable(world)
        self._dispatcher = plain_dispatch.Dispatcher(world, self._table)
        self._redelivery = claim_requester.ClaimRedelivery(world)
        self._sequence = 0
        self._handlers: dict[Any, Callable[[Any, float], None]] = {
            messages.PlainReceived: self._accept,
            messages.CallerLeft: self._caller_left,
            messages.PlainAnswered: self._on_answer,
            messages.PlainFailed: self._on_failure,
            messages.PeerFailed: self._redelivery.on_peer_failed,
            messages.FromPeer: self._on_claim_reply,
            messages.TextChanged: self._on_text_changed,
        }

    def receive(self, message, now: float) -> None:
        """Process a message from a caller, an upstream or a witness."""
        self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Advance claims, queues, hedges and time limits."""
        self._redelivery.advance(now)
        for failure in self._dispatcher.overdue(now):
            self._on_failure(failure, now)
        for call in list(self._table.claiming.values()):
            self._advance_claim(call, now)
        self._dispatcher.run(now)
        self._schedule_wake()

    def _schedule_wake(self) -> None:
        world = self._world
        world.wake_at(self._redelivery.next_at)
        self._dispatcher.schedule_wake()
        for call in self._table.claiming.values():
            if call.claim is not None:
                world.wake_at(call.claim.next_at)

    def _accept(self, message: messages.PlainReceived, now: float) -> None:
        admitted = admission.admit(
            self._world, message, states.ServiceKind.PLAIN, now
        )
        if not pipeline.is_successful(admitted):
            refusal = admitted.failure()
            self._table.refuse_unaccepted(message, *refusal)
            return
        facts = admitted.unwrap()
        rule = plain_call_rules.match(
            facts.service, message.method, message.path
        )
        if rule is None:
            self._table.refuse_unaccepted(message, Reason.UNKNOWN_CALL)
            return
        call = plain_call.PlainCall(
            message=message,
            client_account=facts.client_account,
            queue_order=(-facts.priority, self._sequence),
            rule=rule,
            deadline=now + facts.service.max_wait_s,
        )
        self._sequence += 1
        if not call.is_idempotent and not self._start_claim(
            call, facts.service.region
        ):
            return
        self._table.add(call, now)
        self._dispatcher.set_timer(call, call.deadline)
        if call.claim is None:
            self._dispatcher.enqueue(call, now)

    def _start_claim(
        self, call: plain_call.PlainCall, region: ids.Region
    ) -> bool:
        """Start the claim; refuse a call whose key is missing or invalid."""
        key_text = call.message.idempotency_key
        key = witness_sets.parse_key(key_text or '')
        if key is None:
            reason = Reason.KEY_INVALID if key_text else Reason.KEY_REQUIRED
            self._table.refuse_unaccepted(call.message, reason)
            return False
        call.claim = claim_requester.ClaimRequester(
            self._world,
            claim_requester.ClaimedCall(
                key=key,
                client_account=call.client_account,
                fingerprint=call.message.fingerprint,
                request_id=call.request_id,
                region=region,
            ),
            call.deadline,
        )
        call.stage = plain_call.Stage.CLAIMING
        return True

    def _on_claim_reply(self, message: messages.FromPeer, now: float) -> None:
        reply = message.message
        assert isinstance(reply, messages.ClaimReply)
        call = self._table.claiming.get(reply.request_id)
        if call is not None and call.claim is not None:
            sender = (message.sender, message.incarnation)
            call.claim.take_reply(sender, reply, now)

    def _advance_claim(self, call: plain_call.PlainCall, now: float) -> None:
        assert call.claim is not None
        result = call.claim.advance(now)
        if result is None:
            return
        del self._table.claiming[call.request_id]
        if result.decision is Decision.HELD:
            self._dispatcher.enqueue(call, now)
        elif result.decision is Decision.REPLAY:
            self._replay(call, result)
        else:
            # The claim was refused, so nothing is known of other requests
            # with the key.
            call.outcome_unknown = True
            self._table.refuse(call, result.reason, result.detail)

    def _replay(
        self, call: plain_call.PlainCall, result: claim_requester.ClaimResult
    ) -> None:
        reply = result.reply
        assert reply is not None
        headers: tuple[tuple[str, str], ...] = ()
        if reply.content_type:
            headers = (('content-type', reply.content_type),)
        answer = messages.AnswerPlain(
            call.request_id, reply.status, headers, reply.body, replayed=True
        )
        self._table.answer(call, answer)

    def _on_answer(self, message: messages.PlainAnswered, now: float) -> None:
        outstanding = self._dispatcher.free_place(
            message.request_id, message.attempt
        )
        call = self._table.calls.get(message.request_id)
        if outstanding is None or call is None:
            return
        if message.attempt not in call.in_flight:
            return
        self._dispatcher.observe_latency(call.message.service, message.seconds)
        if call.claim is not None:
            self._report_outcome(call.claim, message)
        answer = messages.AnswerPlain(
            call.request_id, message.status, message.headers, message.body
        )
        self._table.answer(call, answer)

    def _report_outcome(
        self,
        claim: claim_requester.ClaimRequester,
        message: messages.PlainAnswered,
    ) -> None:
        content_type = ''
        for name, value in message.headers:
            if name.lower() == 'content-type':
                content_type = value
        body_fits = len(message.body) <= claim_witness.MAX_OUTCOME_BYTES
        claim.report_outcome(
            message.status,
            content_type,
            message.body if body_fits else b'',
            body_fits,
        )

    def _on_failure(self, message: messages.PlainFailed, now: float) -> None:
        outstanding = self._dispatcher.free_place(
            message.request_id, message.attempt
        )
        call = self._table.calls.get(message.request_id)
        if outstanding is None or call is None:
            return
        if call.in_flight.pop(message.attempt, None) is None:
            return
        call.excluded.add(outstanding.runner)
        if message.ran is states.Ran.UNKNOWN:
            call.outcome_unknown = True
        self._world.explain(
            call.request_id,
            f'attempt {message.attempt} failed: {message.error.value}, '
            f'{message.ran.value}',
        )
        if not call.in_flight:
            self._retry_or_refuse(call, message, now)

    def _retry_or_refuse(
        self,
        call: plain_call.PlainCall,
        message: messages.PlainFailed,
        now: float,
    ) -> None:
        if call.caller_left:
            self._table.withdraw_unsent_claim(call)
            self._table.remove(call)
            return
        if call.outcome_unknown and not call.is_idempotent:
            timed_out = message.error is states.UpstreamError.TIMEOUT
            self._table.refuse(
                call,
                Reason.UPSTREAM_TIMEOUT
                if timed_out
                else Reason.UPSTREAM_FAILED,
            )
            return
        if not self._world.retry_budget.take(now):
            self._table.refuse(call, Reason.RETRY_BUDGET)
            return
        self._world.count_retry(
            states.RetryReason.PLAIN_NOT_RUN
            if message.ran is states.Ran.NOT_RUN
            else states.RetryReason.PLAIN_IDEMPOTENT
        )
        backoff_s = FIRST_BACKOFF_S * 2 ** min(call.attempt - 1, 10)
        call.not_before = now + min(backoff_s, MAX_BACKOFF_S)
        self._dispatcher.set_timer(call, call.not_before)
        self._dispatcher.enqueue(call, now)

    def _caller_left(self, message: messages.CallerLeft, now: float) -> None:
        call = self._table.calls.get(message.request_id)
        if call is None:
            return
        if call.in_flight and not call.is_idempotent:
            # The outcome is needed for later requests with the same key.
            call.caller_left = True
            return
        self._world.explain(call.request_id, 'caller disconnected')
        self._table.withdraw_unsent_claim(call)
        self._table.remove(call)

    def _on_text_changed(
        self, message: messages.TextChanged, now: float
    ) -> None:
        """Queues are dispatched against the new text by ``run``."""
