"""The state machine of calls to plain services."""

import bisect
from collections.abc import Callable
import heapq
import math
from typing import Any

from returns import pipeline

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _activity as activity
from primrosereel.core import _admission as admission
from primrosereel.core import _budget as budget
from primrosereel.core import _call_rules as call_rules
from primrosereel.core import _claim_round as claim_round
from primrosereel.core import _claims as claims
from primrosereel.core import _messages as messages
from primrosereel.core import _plain_call as plain_call
from primrosereel.core import _plain_runners as plain_runners
from primrosereel.core import _tables as tables
from primrosereel.core import _witnesses as witnesses

__all__ = ['PlainSystem']

Decision = claim_round.Decision
Reason = states.RefusalReason

RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 3.0
FIRST_BACKOFF_S = 0.02
LAST_BACKOFF_S = 1.0
# The adapter ends a call after its timeout; this covers one that does not.
TIMEOUT_MARGIN_S = 5.0
RETRY_AFTER_S = 1.0
# The reasons after which the same call may succeed without a change.
PASSING_REASONS = (
    Reason.QUEUE_FULL,
    Reason.DEADLINE,
    Reason.WITNESS_UNREACHABLE,
    Reason.WITNESS_DISAGREES,
    Reason.MEMBERSHIP_STALE,
    Reason.CLAIMS_FULL,
    Reason.KEY_IN_USE,
    Reason.RETRY_BUDGET,
)


class PlainSystem:
    """Takes plain calls through claim, queue, upstream and answer."""

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
        self._calls: dict[ids.RequestId, plain_call.PlainCall] = {}
        self._claiming: dict[ids.RequestId, plain_call.PlainCall] = {}
        self._queues: dict[ids.ServiceId, list[plain_call.PlainCall]] = {}
        self._timers: list[tuple[float, ids.RequestId]] = []
        self._outstanding = plain_runners.OutstandingCalls()
        self._latencies = plain_runners.Latencies()
        self._redelivery = claim_round.Redelivery(world)
        self._budget = budget.RetryBudget(RETRY_RATIO, MIN_RETRIES_PER_S)
        self._sequence = 0
        self._handlers: dict[Any, Callable[[Any, float], None]] = {
            messages.PlainReceived: self._accept,
            messages.CallerLeft: self._leave,
            messages.PlainAnswered: self._answer,
            messages.PlainFailed: self._fail,
            messages.PeerFailed: self._redelivery.failed,
            messages.FromPeer: self._take_reply,
            messages.TextChanged: self._follow_text,
        }

    def receive(self, message, now: float) -> None:
        """Take a message of a caller, an upstream or a witness."""
        self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Advance claims, queues, hedges and time limits."""
        self._redelivery.advance(now)
        for late in self._outstanding.overdue(now):
            self._fail(plain_call.timed_out(late), now)
        for call in list(self._claiming.values()):
            self._claim(call, now)
        while self._timers and self._timers[0][0] <= now:
            _, request_id = heapq.heappop(self._timers)
            if request_id in self._calls:
                self._check_times(self._calls[request_id], now)
        for service in list(self._queues):
            self._dispatch(service, now)
        self._plan_wake()

    def _plan_wake(self) -> None:
        world = self._world
        world.wake_at(self._redelivery.next_at)
        world.wake_at(self._outstanding.next_at)
        if self._timers:
            world.wake_at(self._timers[0][0])
        for call in self._claiming.values():
            if call.round is not None:
                world.wake_at(call.round.next_at)

    def _accept(self, message: messages.PlainReceived, now: float) -> None:
        admitted = admission.admit(
            self._world, message, states.ServiceKind.PLAIN, now
        )
        if not pipeline.is_successful(admitted):
            refusal = admitted.failure()
            self._refuse_early(message, *refusal)
            return
        facts = admitted.unwrap()
        rule = call_rules.match(facts.service, message.method, message.path)
        if rule is None:
            self._refuse_early(message, Reason.UNKNOWN_CALL)
            return
        call = plain_call.PlainCall(
            message=message,
            customer=facts.customer,
            rank=(-facts.priority, self._sequence),
            rule=rule,
            deadline=now + facts.service.max_wait_s,
        )
        self._sequence += 1
        if not call.is_idempotent and not self._claim_key(
            call, facts.service.region
        ):
            return
        self._calls[call.request_id] = call
        activity.begin(self._world)
        self._budget.accepted(now)
        self._world.count('accepted')
        self._set_timer(call, call.deadline)
        if call.round is None:
            self._enqueue(call, now)

    def _claim_key(
        self, call: plain_call.PlainCall, region: ids.Region
    ) -> bool:
        """Begin the claim; refuse the call when its key is no good."""
        text = call.message.idempotency_key
        key = witnesses.parse_key(text or '')
        if key is None:
            reason = Reason.KEY_INVALID if text else Reason.KEY_REQUIRED
            self._refuse_early(call.message, reason)
            return False
        call.round = claim_round.ClaimRound(
            self._world,
            claim_round.ClaimedCall(
                key=key,
                customer=call.customer,
                fingerprint=call.message.fingerprint,
                request_id=call.request_id,
                region=region,
            ),
            call.deadline,
        )
        call.stage = plain_call.Stage.CLAIMING
        self._claiming[call.request_id] = call
        return True

    def _refuse_early(
        self,
        message: messages.PlainReceived,
        reason: states.RefusalReason,
        retry_after_s: float | None = None,
        detail: str = '',
    ) -> None:
        """Refuse a call that was not accepted."""
        ran = plain_call.ran_before_acceptance(self._world, message)
        self._world.count(f'refusal.{reason.value}')
        self._world.explain(message.request_id, f'refused: {reason.value}')
        self._world.emit(
            messages.RefuseCaller(
                message.request_id, reason, ran, retry_after_s, detail
            )
        )

    def _take_reply(self, message: messages.FromPeer, now: float) -> None:
        reply = message.message
        assert isinstance(reply, messages.ClaimReply)
        call = self._claiming.get(reply.request_id)
        if call is not None and call.round is not None:
            sender = (message.sender, message.incarnation)
            call.round.take_reply(sender, reply, now)

    def _claim(self, call: plain_call.PlainCall, now: float) -> None:
        assert call.round is not None
        verdict = call.round.advance(now)
        if verdict is None:
            return
        del self._claiming[call.request_id]
        if verdict.decision is Decision.HELD:
            self._enqueue(call, now)
        elif verdict.decision is Decision.REPLAY:
            self._replay(call, verdict)
        else:
            # The claim was refused, so nothing is known of other requests
            # with the key.
            call.maybe_ran = True
            self._refuse(call, verdict.reason, verdict.detail)

    def _replay(
        self, call: plain_call.PlainCall, verdict: claim_round.Verdict
    ) -> None:
        reply = verdict.reply
        assert reply is not None
        headers: tuple[tuple[str, str], ...] = ()
        if reply.content_type:
            headers = (('content-type', reply.content_type),)
        self._world.count('answered')
        self._world.emit(
            messages.AnswerPlain(
                call.request_id,
                reply.status,
                headers,
                reply.body,
                replayed=True,
            )
        )
        self._finish(call)

    def _enqueue(self, call: plain_call.PlainCall, now: float) -> None:
        call.stage = plain_call.Stage.QUEUED
        service = call.message.service
        queue = self._queues.setdefault(service, [])
        bisect.insort(queue, call, key=lambda c: c.rank)
        self._dispatch(service, now)

    def _dispatch(self, service: ids.ServiceId, now: float) -> None:
        """Send the calls for which a runner has a place."""
        text = self._world.text
        if text is None or service not in text.services:
            for call in self._queues.pop(service):
                self._refuse(call, Reason.UNKNOWN_SERVICE)
            return
        waiting = []
        for call in self._queues.pop(service):
            if now >= call.deadline:
                self._refuse(call, Reason.DEADLINE)
            elif not self._try_runner(call, now):
                waiting.append(call)
        limit = text.services[service].queue_limit
        for call in waiting[limit:]:
            self._refuse(call, Reason.QUEUE_FULL)
        if waiting[:limit]:
            self._queues[service] = waiting[:limit]

    def _try_runner(self, call: plain_call.PlainCall, now: float) -> bool:
        if now < call.not_before:
            return False
        runner = plain_runners.choose(
            self._world,
            call.message.service,
            self._outstanding,
            call.excluded,
        )
        if runner is None:
            return False
        call.stage = plain_call.Stage.CALLING
        self._send(call, runner, now)
        if call.is_idempotent and call.message.method == 'GET':
            wait_s = self._latencies.hedge_after_s(call.message.service)
            call.hedge_at = now + wait_s
            self._set_timer(call, call.hedge_at)
        return True

    def _send(
        self, call: plain_call.PlainCall, runner: ids.RunnerId, now: float
    ) -> None:
        call.attempt += 1
        call.in_flight[call.attempt] = runner
        self._world.explain(
            call.request_id,
            f'attempt {call.attempt} at {runner} with '
            f'{self._outstanding.at(runner)} calls',
        )
        self._outstanding.add(
            plain_runners.Outstanding(call.request_id, call.attempt, runner),
            now + call.rule.timeout_s + TIMEOUT_MARGIN_S,
        )
        message = call.message
        self._world.emit(
            messages.CallPlain(
                call.request_id,
                call.attempt,
                runner,
                message.method,
                message.path,
                plain_call.headers_with_key(message),
                message.body,
                call.rule.timeout_s,
            )
        )

    def _check_times(self, call: plain_call.PlainCall, now: float) -> None:
        """Hedge when that is due; queues look after deadlines themselves."""
        if now < call.hedge_at or len(call.in_flight) != 1:
            return
        call.hedge_at = math.inf
        runner = plain_runners.choose(
            self._world,
            call.message.service,
            self._outstanding,
            call.excluded | set(call.in_flight.values()),
        )
        if runner is None or runner in call.in_flight.values():
            return
        if self._budget.take(now):
            self._world.count('hedge')
            self._send(call, runner, now)

    def _answer(self, message: messages.PlainAnswered, now: float) -> None:
        ended = self._outstanding.remove(message.request_id, message.attempt)
        call = self._calls.get(message.request_id)
        if ended is None or call is None:
            return
        if message.attempt not in call.in_flight:
            return
        self._latencies.observe(call.message.service, message.seconds)
        if call.round is not None:
            self._report_outcome(call.round, message)
        if not call.caller_left:
            self._world.count('answered')
            self._world.emit(
                messages.AnswerPlain(
                    call.request_id,
                    message.status,
                    message.headers,
                    message.body,
                )
            )
        self._finish(call)

    def _report_outcome(
        self, round: claim_round.ClaimRound, message: messages.PlainAnswered
    ) -> None:
        content_type = ''
        for name, value in message.headers:
            if name.lower() == 'content-type':
                content_type = value
        whole = len(message.body) <= claims.MAX_OUTCOME_BYTES
        round.report(
            message.status,
            content_type,
            message.body if whole else b'',
            whole,
        )

    def _fail(self, message: messages.PlainFailed, now: float) -> None:
        ended = self._outstanding.remove(message.request_id, message.attempt)
        call = self._calls.get(message.request_id)
        if ended is None or call is None:
            return
        if call.in_flight.pop(message.attempt, None) is None:
            return
        call.excluded.add(ended.runner)
        if message.ran is states.Ran.UNKNOWN:
            call.maybe_ran = True
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
            self._withdraw_unsent(call)
            self._finish(call)
            return
        if call.maybe_ran and not call.is_idempotent:
            timed_out = message.error is states.UpstreamError.TIMEOUT
            self._refuse(
                call,
                Reason.UPSTREAM_TIMEOUT
                if timed_out
                else Reason.UPSTREAM_FAILED,
            )
            return
        if not self._budget.take(now):
            self._refuse(call, Reason.RETRY_BUDGET)
            return
        self._world.count_retry(
            states.RetryReason.PLAIN_NOT_RUN
            if message.ran is states.Ran.NOT_RUN
            else states.RetryReason.PLAIN_IDEMPOTENT
        )
        backoff_s = FIRST_BACKOFF_S * 2 ** min(call.attempt - 1, 10)
        call.not_before = now + min(backoff_s, LAST_BACKOFF_S)
        self._set_timer(call, call.not_before)
        self._enqueue(call, now)

    def _leave(self, message: messages.CallerLeft, now: float) -> None:
        call = self._calls.get(message.request_id)
        if call is None:
            return
        if call.in_flight and not call.is_idempotent:
            # The outcome is wanted by whoever repeats the key.
            call.caller_left = True
            return
        self._world.explain(call.request_id, 'caller left')
        self._withdraw_unsent(call)
        self._finish(call)

    def _refuse(
        self,
        call: plain_call.PlainCall,
        reason: states.RefusalReason,
        detail: str = '',
    ) -> None:
        may_have_run = call.may_have_run
        self._withdraw_unsent(call)
        self._finish(call)
        self._world.count(f'refusal.{reason.value}')
        self._world.explain(call.request_id, f'refused: {reason.value}')
        self._world.emit(
            messages.RefuseCaller(
                call.request_id,
                reason,
                states.Ran.UNKNOWN if may_have_run else states.Ran.NOT_RUN,
                RETRY_AFTER_S if reason in PASSING_REASONS else None,
                detail,
            )
        )

    def _withdraw_unsent(self, call: plain_call.PlainCall) -> None:
        """Free the key of a call that no upstream can have run."""
        if call.round is not None and not call.may_have_run:
            call.round.withdraw()

    def _finish(self, call: plain_call.PlainCall) -> None:
        del self._calls[call.request_id]
        self._claiming.pop(call.request_id, None)
        queue = self._queues.get(call.message.service, [])
        if call in queue:
            queue.remove(call)
        activity.end(self._world)

    def _follow_text(self, message: messages.TextChanged, now: float) -> None:
        """Queues are dispatched against the new text by ``run``."""

    def _set_timer(self, call: plain_call.PlainCall, when: float) -> None:
        if when < math.inf:
            heapq.heappush(self._timers, (when, call.request_id))
