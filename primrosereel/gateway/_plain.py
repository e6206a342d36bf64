"""Plain calls: sent to one runner, and to another where that is safe."""

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['PlainCall']

Reason = states.RefusalReason
Retry = states.RetryReason

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Runners that may be tried without having run the request.
MAX_CONNECTS = 4
RETRY_AFTER_S = 0.25
# Statuses by which a runner promises that it did not run the request; from a
# runner that ran it they would be a false promise.
PROMISES = frozenset({408, 421, 429, 503})
LEAST_LEFT_S = 0.005


class PlainCall:
    """Serves one call; the answer is read whole before any is passed on."""

    def __init__(self, exchange: context_module.Exchange) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._excluded: set[ids.RunnerId] = set()
        self._answer: callers.Reply | None = None
        self._may_have_run = False
        # Why a call that did not run is refused.
        self._reason = Reason.NO_RUNNER

    async def serve(self) -> callers.Reply:
        """Return the answer for the caller."""
        exchange = self._exchange
        self._context.budget.count_request(
            exchange.service, self._context.clock()
        )
        with anyio.move_on_after(exchange.left_s):
            for _ in range(MAX_CONNECTS):
                reply = await self._attempt()
                if reply is not None:
                    return reply
        return self._last_word()

    async def _attempt(self) -> callers.Reply | None:
        """Try one runner; None where another may be tried."""
        row = self._context.placement.choose(
            self._exchange.service,
            self._excluded,
            self._context.clock(),
        )
        if row is None or self._exchange.left_s < LEAST_LEFT_S:
            return self._last_word()
        self._excluded.add(row.runner_id)
        with upstream.occupied(row):
            return await self._send(row)

    async def _send(self, row: runners.Runner) -> callers.Reply | None:
        exchange = self._exchange
        began = self._context.clock()
        ran_before, self._may_have_run = self._may_have_run, True
        scope = anyio.move_on_after(self._limit_s())
        try:
            with scope:
                return await self._call(row, began)
        except upstream.NotRun as error:
            self._may_have_run = ran_before
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.CONNECT_FAILED, row, str(error))
            return None
        except upstream.Rejected as error:
            self._may_have_run = ran_before
            row.observe_rejection(self._context.clock())
            exchange.note_retry(Retry.PLAIN_NOT_RUN, row, str(error))
            return self._again()
        except http.BrokenAnswer as error:
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.PLAIN_IDEMPOTENT, row, str(error))
        if scope.cancelled_caught:
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.PLAIN_IDEMPOTENT, row, 'timeout')
        return self._again_if_repeatable()

    async def _call(
        self, row: runners.Runner, began: float
    ) -> callers.Reply | None:
        exchange = self._exchange
        connection = await upstream.connect_or_reuse(exchange, row)
        exchange.attempts += 1
        answer = await upstream.open_answer(
            exchange,
            row,
            model.RunOptions(
                row.runner_id,
                exchange.left_s,
                exchange.route.priority,
                last_event_id=exchange.facts.last_event_id,
            ),
            connection,
        )
        try:
            body = await answer.connection.whole_body(MAX_ANSWER_BYTES)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await answer.connection.close()
            raise
        now = self._context.clock()
        await self._context.pool.put(
            answer.connection, answer.head.keep_alive_s, now
        )
        if not answer.facts.signed or answer.facts.encoded:
            raise http.BrokenAnswer("the answer is not the runner's own")
        return self._judge(row, answer, body, now - began)

    def _judge(
        self,
        row: runners.Runner,
        answer: upstream.OpenAnswer,
        body: bytes,
        seconds: float,
    ) -> callers.Reply | None:
        head = answer.head
        reply = callers.Reply(head.status, head.reason, head.headers, body)
        if head.status < 500 and head.status not in PROMISES:
            row.observe_success(seconds, self._context.clock())
            self._exchange.note_served(row.runner_id, head.status)
            return reply
        row.observe_error()
        if head.status not in PROMISES:
            self._answer = reply
        self._exchange.note_retry(
            Retry.PLAIN_IDEMPOTENT, row, f'status {head.status}'
        )
        return self._again_if_repeatable()

    def _limit_s(self) -> float:
        exchange = self._exchange
        if not exchange.route.repeatable:
            return exchange.left_s
        left = exchange.route.max_attempts - exchange.attempts - 1
        return timeouts.plain_attempt_s(exchange.left_s, left)

    def _again_if_repeatable(self) -> callers.Reply | None:
        if not self._exchange.route.repeatable:
            return self._last_word()
        return self._again()

    def _again(self) -> callers.Reply | None:
        """Return None where a further send is within all limits."""
        exchange = self._exchange
        if exchange.attempts >= exchange.route.max_attempts and (
            self._may_have_run
        ):
            return self._last_word()
        now = self._context.clock()
        if not self._context.budget.try_spend(exchange.service, now):
            self._reason = Reason.RETRY_BUDGET
            return self._last_word()
        return None

    def _last_word(self) -> callers.Reply:
        """Return the best answer that there is."""
        exchange = self._exchange
        if self._answer is not None:
            return self._answer
        if self._may_have_run:
            late = exchange.left_s < LEAST_LEFT_S
            if late:
                return exchange.failure(Reason.UPSTREAM_TIMEOUT, 504)
            return exchange.failure(Reason.UPSTREAM_FAILED, 502)
        if exchange.attempts and exchange.left_s < LEAST_LEFT_S:
            return exchange.failure(Reason.DEADLINE, 504)
        return exchange.refusal(self._reason, RETRY_AFTER_S)
