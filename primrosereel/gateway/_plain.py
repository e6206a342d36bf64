"""Plain calls: sent to one runner, and retried at another where safe."""

import enum
import math

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _attempts as attempts_module
from primrosereel.gateway import _call_prediction as call_prediction
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _final_replies as replies
from primrosereel.gateway import _http as http
from primrosereel.gateway import _silence as silence
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['PlainCall']

Reason = states.RefusalReason
Retry = states.RetryReason

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Runners that may be tried for one call, with those that did not run it.
MAX_RUNNERS_TRIED = 4
RETRY_AFTER_S = 0.25
# A caller takes these statuses to mean that the request did not run. They are
# not forwarded from a runner that has run it.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MIN_REMAINING_S = 0.005
# How often it is looked for another runner while one is late.
RECHECK_INTERVAL_S = 0.1


class AttemptEnd(enum.Enum):
    """What became of an attempt without an answer for the caller."""

    NOT_SENT = 'not_sent'
    # The runner stated that it did not run the call.
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    # It goes on.
    LATE = 'late'


class PlainCall:
    """Serves one call.

    The response is read completely before any of it is forwarded.
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._crash_reports = crash_reports
        self._excluded: set[ids.RunnerId] = set()
        self._cost_key = exchange.call_key
        self._last_error_reply: callers.Reply | None = None
        self._attempts = attempts_module.Attempts[callers.Reply | AttemptEnd](
            exchange.tasks
        )
        # The runner and the start of the last attempt, until it is late.
        self._last_attempt: tuple[runners.Runner, float] | None = None
        self._late_at = math.inf
        # The reason given if the call is refused without having run.
        self._refusal_reason = Reason.NO_RUNNER

    async def serve(self) -> callers.Reply:
        """Return the reply for the caller."""
        exchange = self._exchange
        try:
            admission.check_call_time_until_stop(exchange)
            self._context.budget.count_request(
                exchange.service, self._context.clock()
            )
            with exchange.time_limit.enforce():
                return await self._try_runners()
        except admission.Refused as refused:
            if self._last_error_reply is not None:
                return self._last_error_reply
            return replies.admission_reply(exchange, refused)
        finally:
            self._attempts.cancel()
        return self._final_reply()

    async def _try_runners(self) -> callers.Reply:
        """Send the call to runners until one of them answers it.

        A runner that is late keeps the call, as it may still answer, and
        another one gets it as well if all limits allow that.
        """
        may_start = True
        while True:
            self._crash_reports.check(self._exchange)
            if may_start:
                self._start_attempt()
            if not self._attempts.in_flight:
                return self._final_reply()
            outcome = await self._next_outcome()
            if isinstance(outcome, callers.Reply):
                return outcome
            may_start = self._may_retry(outcome)

    def _start_attempt(self) -> None:
        """Send the call to another runner, if there is one."""
        runner = self._choose_runner()
        if runner is None:
            return
        self._excluded.add(runner.runner_id)
        now = self._context.clock()
        self._late_at = now + self._attempt_limit_s()
        self._last_attempt = runner, now
        self._attempts.start(lambda: self._send(runner))

    def _choose_runner(self) -> runners.Runner | None:
        if (
            len(self._excluded) >= MAX_RUNNERS_TRIED
            or self._exchange.remaining_s < MIN_REMAINING_S
        ):
            return None
        now = self._context.clock()
        return self._context.placement.choose(
            self._exchange.service,
            self._excluded,
            now,
            self._context.call_costs.expected(self._cost_key, now),
        )

    async def _next_outcome(self) -> callers.Reply | AttemptEnd:
        """Wait for the end of an attempt, or until the last one is late."""
        while True:
            late_at = self._late_at
            late_s = late_at - self._context.clock()
            with final_poll.move_on_after(max(0.0, late_s)):
                return await self._attempts.next_outcome()
            if self._late_at == late_at:
                return AttemptEnd.LATE

    async def _send(
        self, runner: runners.Runner
    ) -> callers.Reply | AttemptEnd:
        """Send the call to a runner; return its answer, or why it has none."""
        exchange = self._exchange
        started_at = self._context.clock()
        scope = anyio.CancelScope()
        attempt = self._crash_reports.watched_attempt(exchange, scope)
        prediction = call_prediction.CallPrediction(
            exchange, self._cost_key, runner
        )
        try:
            with (
                scope,
                attempt,
                upstream.count_in_flight(runner),
                prediction.in_progress(),
            ):
                return await self._call(
                    runner, started_at, attempt, prediction
                )
        except upstream.NotSent as error:
            exchange.record_failed_attempt(
                Retry.CONNECT_FAILED, runner, str(error)
            )
            return AttemptEnd.NOT_SENT
        except (upstream.Withdrawn, upstream.TimeOver):
            return AttemptEnd.NOT_SENT
        except upstream.Rejected as error:
            exchange.record_not_run()
            runner.observe_rejection(self._context.clock())
            exchange.record_failed_attempt(
                Retry.PLAIN_NOT_RUN, runner, str(error)
            )
            return AttemptEnd.NOT_RUN
        except http.BrokenResponse as error:
            runner.observe_failure(self._context.clock())
            exchange.record_failed_attempt(
                Retry.PLAIN_IDEMPOTENT, runner, str(error)
            )
            await self._crash_reports.observe_lost_request(
                exchange, runner, started_at
            )
        return AttemptEnd.FAILED

    async def _call(
        self,
        runner: runners.Runner,
        started_at: float,
        attempt: crash_reports_module.Attempt,
        prediction: call_prediction.CallPrediction,
    ) -> callers.Reply | AttemptEnd:
        exchange = self._exchange
        connection = await upstream.connect_or_reuse(exchange, runner)
        await upstream.check_time_left(exchange, connection)
        self._observe_sent(runner)
        exchange.record_sent()
        exchange.attempts += 1
        response = await upstream.open_response(
            exchange,
            runner,
            model.RunOptions(
                runner.runner_id,
                exchange.remaining_s,
                exchange.priority.position,
                last_event_id=exchange.facts.last_event_id,
            ),
            connection,
        )
        try:
            body = await response.connection.read_body(
                MAX_RESPONSE_BYTES, exchange.kept_responses
            )
            await upstream.check_end(self._context, runner, response.head)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await response.connection.close()
            raise
        attempt.record_answer()
        now = self._context.clock()
        await upstream.keep_connection(
            self._context,
            runner,
            response.connection,
            response.head.keep_alive_s,
        )
        if not response.facts.signed or response.facts.encoded:
            raise http.BrokenResponse(
                'the response is unsigned or has a content encoding'
            )
        return self._classify_response(
            runner, response, body, now - started_at, prediction
        )

    def _classify_response(
        self,
        runner: runners.Runner,
        response: upstream.OpenResponse,
        body: bytes,
        seconds: float,
        prediction: call_prediction.CallPrediction,
    ) -> callers.Reply | AttemptEnd:
        head = response.head
        reply = callers.Reply(head.status, head.reason, head.headers, body)
        if head.status < 500 and head.status not in NOT_RUN_STATUSES:
            runner.observe_success(seconds, self._context.clock())
            self._crash_reports.observe_answer(self._exchange)
            prediction.compare(response.facts.load, seconds)
            self._exchange.record_served(runner.runner_id, head.status)
            return reply
        runner.observe_error()
        if head.status not in NOT_RUN_STATUSES:
            self._last_error_reply = reply
        self._exchange.record_failed_attempt(
            Retry.PLAIN_IDEMPOTENT, runner, f'status {head.status}'
        )
        return AttemptEnd.FAILED

    def _attempt_limit_s(self) -> float:
        """Return after which time an attempt is late."""
        exchange = self._exchange
        if not exchange.route.repeatable:
            return math.inf
        attempts_left = exchange.route.max_attempts - exchange.attempts - 1
        if attempts_left < 1:
            return math.inf
        return timeouts.plain_attempt_s(exchange.remaining_s, attempts_left)

    def _may_retry(self, end: AttemptEnd) -> bool:
        """Tell whether another runner may get the call; spend the budget."""
        if end is AttemptEnd.NOT_SENT:
            return True
        if end is AttemptEnd.LATE:
            self._observe_lateness()
        exchange = self._exchange
        if end is not AttemptEnd.NOT_RUN and not exchange.route.repeatable:
            return False
        if exchange.attempts >= exchange.route.max_attempts and (
            exchange.may_have_run
        ):
            return False
        if self._choose_runner() is None:
            return False
        now = self._context.clock()
        if not self._context.budget.try_spend(exchange.service, now):
            self._refusal_reason = Reason.RETRY_BUDGET
            return False
        if end is AttemptEnd.LATE:
            self._context.count('hedges.started')
        return True

    def _observe_sent(self, runner: runners.Runner) -> None:
        """Count the lateness of the last attempt from its sending.

        The process may have been busy since it chose the runner.
        """
        if self._last_attempt is None or self._last_attempt[0] is not runner:
            return
        now = self._context.clock()
        self._last_attempt = runner, now
        self._late_at = now + self._attempt_limit_s()

    def _observe_lateness(self) -> None:
        """Record that the last attempt is late; look again a little later."""
        now = self._context.clock()
        if self._last_attempt is not None:
            runner, started_at = self._last_attempt
            self._last_attempt = None
            runner.observe_silence(started_at, now)
            silence.record_silence(
                self._exchange,
                runner,
                started_at,
                self._late_at - started_at,
            )
        self._late_at = now + RECHECK_INTERVAL_S

    def _final_reply(self) -> callers.Reply:
        """Return the reply when no runner is tried any more."""
        exchange = self._exchange
        if self._last_error_reply is not None:
            return self._last_error_reply
        if exchange.may_have_run:
            late = exchange.remaining_s < MIN_REMAINING_S
            if late:
                return exchange.failure(Reason.UPSTREAM_TIMEOUT, 504)
            return exchange.failure(Reason.UPSTREAM_FAILED, 502)
        if exchange.remaining_s < MIN_REMAINING_S:
            return exchange.refusal(Reason.DEADLINE, RETRY_AFTER_S)
        refused = admission.refusal_without_runner(exchange, states.Role.PLAIN)
        if refused is None:
            return exchange.refusal(self._refusal_reason, RETRY_AFTER_S)
        return replies.admission_reply(exchange, refused)
