"""A prompt's KV cache: read by a prefill runner, taken or freed."""

import dataclasses

import anyio

from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _model as model
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Prompt']

Retry = states.RetryReason

MAX_ANSWER_BYTES = 1024 * 1024
# The share of a handle's life within which a decode runner is sent for it.
HANDLE_SHARE = 0.7


@dataclasses.dataclass(slots=True)
class Handle:
    """A prompt's KV cache at a prefill runner."""

    name: str
    connection: http.HttpConnection
    keep_alive_s: float | None
    expires_at: float


class Prompt:
    """The prompt of one request."""

    def __init__(self, exchange: context_module.Exchange) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._handle: Handle | None = None
        self._lapsed = False

    async def read(self, decode: runners.Runner) -> None:
        """Have a prefill runner read the prompt for a decode runner.

        Where none can, or prefill is far behind, the decode runner reads it.
        """
        exchange = self._exchange
        now = self._context.clock()
        tokens = exchange.facts.prompt_tokens
        row = self._context.prefills.choose(decode, tokens, now)
        if row is None:
            self._context.count('prefill.at_decode')
            return
        ahead = self._context.prefills.tokens_ahead(row, now)
        expected_s = prefill_plan.expected_prefill_s(row, tokens, ahead)
        limit_s = timeouts.prefill_timeout_s(exchange.route, expected_s)
        try:
            with (
                anyio.fail_after(limit_s),
                upstream.occupied(row, tokens),
            ):
                self._context.uses_changed()
                await self._prefill(row, now, ahead)
        except upstream.NotRun as error:
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.CONNECT_FAILED, row, str(error))
        except upstream.Rejected as error:
            row.observe_rejection(self._context.clock())
            self._context.budget.try_spend(exchange.service, now)
            exchange.note_retry(Retry.ENGINE_FULL, row, str(error))
        except http.BrokenAnswer as error:
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.PREFILL_FAILED, row, str(error))
        except TimeoutError:
            row.observe_failure(self._context.clock())
            exchange.note_retry(Retry.PREFILL_FAILED, row, 'timeout')

    async def _prefill(
        self, row: runners.Runner, began: float, ahead: int
    ) -> None:
        exchange = self._exchange
        options = model.RunOptions(
            row.runner_id,
            exchange.left_s,
            exchange.route.priority,
            prefill_only=True,
        )
        connection = await upstream.connect_or_reuse(exchange, row)
        answer = await upstream.open_answer(exchange, row, options, connection)
        try:
            body = await answer.connection.whole_body(MAX_ANSWER_BYTES)
            found = self._context.dialect.prefill_result(
                row.listing.address, body
            )
            if answer.head.status != 200 or found is None:
                raise http.BrokenAnswer(f'prefill: {answer.head.status}')
        except BaseException:
            with anyio.CancelScope(shield=True):
                await answer.connection.close()
            raise
        now = self._context.clock()
        row.observe_success(now - began, now)
        prefill_plan.observe_prefill(
            row, exchange.facts.prompt_tokens, ahead, now - began
        )
        exchange.note_step('prefill_s', began)
        engine = exchange.engine
        handle_ttl_s = engine.handle_ttl_s if engine is not None else 0.0
        self._handle = Handle(
            found.handle,
            answer.connection,
            answer.head.keep_alive_s,
            now + HANDLE_SHARE * handle_ttl_s,
        )

    def handle(self) -> str | None:
        """Return the handle that a decode runner can be sent for, if any."""
        handle = self._handle
        if handle is None or self._lapsed:
            return None
        if self._context.clock() >= handle.expires_at:
            return None
        return handle.name

    def lapsed(self) -> None:
        """Note that a runner with room could not use the handle."""
        self._lapsed = True

    async def taken(self) -> None:
        """Note that a decode runner took the KV cache.

        The prefill runner's connection is kept for other requests.
        """
        handle, self._handle = self._handle, None
        if handle is not None:
            await self._context.pool.put(
                handle.connection, handle.keep_alive_s, self._context.clock()
            )

    async def free(self) -> None:
        """Free KV cache that no decode runner took."""
        handle, self._handle = self._handle, None
        if handle is None:
            return
        method, target = self._context.dialect.free_handle(handle.name)
        address = str(handle.connection.address).encode()
        call = http.Call(method, target, [(b'Host', address)])
        self._context.count('prefill.freed')
        with anyio.CancelScope(shield=True), anyio.move_on_after(0.3):
            try:
                await handle.connection.exchange(call)
                await handle.connection.whole_body(MAX_ANSWER_BYTES)
            except http.BrokenAnswer as error:
                self._context.log.info(
                    'handle not freed',
                    request=self._exchange.facts.request_id,
                    detail=str(error),
                )
            await handle.connection.close()
