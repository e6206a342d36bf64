"""A prompt's KV cache: built by a prefill runner, then used or freed."""

import dataclasses

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _http as http
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Prompt']

Retry = states.RetryReason

MAX_RESPONSE_BYTES = 1024 * 1024
# Prefill runners that are tried for a prompt if some do not take it.
MAX_PREFILL_RUNNERS = 3
# A handle is only passed to a decode runner within this share of its lifetime,
# so that it does not expire before the runner fetches the KV cache.
HANDLE_USABLE_SHARE = 0.7
# A handle that is not freed within this time is left to expire.
FREE_TIMEOUT_S = 0.3


@dataclasses.dataclass(slots=True)
class Handle:
    """The handle of a prompt's KV cache at a prefill runner."""

    name: str
    runner: runners.Runner
    connection: http.HttpConnection
    keep_alive_s: float | None
    expires_at: float


class Prompt:
    """The prefill of one request and the KV cache handle that it returned."""

    def __init__(
        self,
        exchange: context_module.Exchange,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._crash_reports = crash_reports
        self._handle: Handle | None = None
        self._handle_invalid = False
        self._was_prefilled = False
        # Prefill runners whose KV cache a decode runner could not fetch.
        self._excluded: set[ids.RunnerId] = set()

    async def prefill(self, decode: runners.Runner) -> None:
        """Have a prefill runner prefill the prompt for a decode runner.

        The decode runner prefills the prompt itself if no prefill runner is
        expected to be faster, or if the prefill fails.
        """
        for attempts_left in reversed(range(MAX_PREFILL_RUNNERS)):
            runner = self._choose(decode)
            if runner is None:
                break
            now = self._context.clock()
            if not await self._prefill_at(runner, now, attempts_left):
                break
        if self._handle is None:
            self._context.count('prefill.at_decode')

    async def prefill_again(self, decode: runners.Runner) -> None:
        """Repeat a prefill whose KV cache is used up or gone.

        A prefill at the decode runner delays all streams there, which costs
        more than the retry budget that another prefill takes.
        """
        if not self._was_prefilled or self.usable_handle() is not None:
            return
        if self._choose(decode) is None or not self._try_to_repeat():
            return
        await self.free()
        self._handle_invalid = False
        self._context.count('prefill.repeated')
        await self.prefill(decode)

    def _choose(self, decode: runners.Runner) -> runners.Runner | None:
        """Return the prefill runner; None for prefill at the decode runner."""
        return self._context.prefills.choose(
            decode,
            self._exchange.facts.prompt_tokens,
            self._context.clock(),
            self._excluded,
        )

    def _try_to_repeat(self) -> bool:
        """Return whether a prefill may be repeated; spend the budget."""
        return self._context.contended and self._context.budget.try_spend(
            self._exchange.service, self._context.clock()
        )

    async def _prefill_at(
        self, runner: runners.Runner, now: float, attempts_left: int
    ) -> bool:
        """Return whether another prefill runner may be tried.

        One that did not take the prompt is not chosen again for some time. A
        prefill that failed later may have been in vain, and is only repeated
        where callers compete for the memory of decode runners.
        """
        exchange = self._exchange
        tokens = exchange.facts.prompt_tokens
        tokens_ahead = self._context.prefills.tokens_ahead(runner, now)
        expected_s = self._context.prefills.expected_prefill_s(
            runner, tokens, tokens_ahead
        )
        limit_s = timeouts.prefill_timeout_s(exchange.route, expected_s)
        try:
            with (
                final_poll.fail_after(limit_s) as scope,
                self._crash_reports.watched_attempt(exchange, scope),
                upstream.count_in_flight(runner, tokens),
            ):
                self._context.uses_changed()
                connection = await upstream.connect_or_reuse(exchange, runner)
                await upstream.check_time_left(exchange, connection)
                # The process may have been busy since it chose the runner.
                scope.deadline = anyio.current_time() + limit_s
                await self._request_prefill(
                    runner, connection, now, tokens_ahead, expected_s
                )
                return False
        except upstream.NotSent as error:
            exchange.record_failed_attempt(
                Retry.CONNECT_FAILED, runner, str(error)
            )
            return True
        except upstream.Withdrawn:
            return True
        except upstream.Rejected as error:
            return self._handle_rejection(runner, error)
        except http.BrokenResponse as error:
            runner.observe_failure(self._context.clock())
            exchange.record_failed_attempt(
                Retry.PREFILL_FAILED, runner, str(error)
            )
            await self._crash_reports.observe_lost_request(
                exchange, runner, now
            )
        except TimeoutError:
            runner.observe_silence(now, self._context.clock())
            exchange.record_failed_attempt(
                Retry.PREFILL_FAILED, runner, 'timeout'
            )
        return attempts_left > 0 and self._try_to_repeat()

    def _handle_rejection(
        self, runner: runners.Runner, rejected: upstream.Rejected
    ) -> bool:
        """Return whether another prefill runner may be tried."""
        exchange = self._exchange
        now = self._context.clock()
        reason = Retry.RUNNER_REPLACED
        if rejected.head.status != upstream.MISDIRECTED:
            reason = Retry.ENGINE_FULL
            runner.observe_rejection(now)
        exchange.record_failed_attempt(reason, runner, str(rejected))
        # The rejected call counts against the budget, and so does the next.
        return self._context.budget.try_spend(exchange.service, now)

    async def _request_prefill(
        self,
        runner: runners.Runner,
        connection: http.HttpConnection,
        started_at: float,
        tokens_ahead: int,
        expected_s: float,
    ) -> None:
        exchange = self._exchange
        options = model.RunOptions(
            runner.runner_id,
            exchange.remaining_s,
            exchange.priority.position,
            prefill_only=True,
        )
        response = await upstream.open_response(
            exchange, runner, options, connection
        )
        try:
            body = await response.connection.read_body(MAX_RESPONSE_BYTES)
            result = self._context.dialect.prefill_result(
                runner.listing.address, body
            )
            if response.head.status != 200 or result is None:
                raise http.BrokenResponse(f'prefill: {response.head.status}')
        except BaseException:
            with anyio.CancelScope(shield=True):
                await response.connection.close()
            raise
        now = self._context.clock()
        runner.observe_success(now - started_at, now)
        self._context.prefills.observe_prefill(
            runner,
            exchange.facts.prompt_tokens,
            tokens_ahead,
            now - started_at,
            now,
        )
        exchange.record_step('prefill_s', started_at)
        exchange.steps.update(
            expected_prefill_s=round(expected_s, 4),
            tokens_ahead=tokens_ahead,
            prefill_slowness=round(runner.slowness, 2),
        )
        self._context.metrics.observe('predicted_prefill_seconds', expected_s)
        self._was_prefilled = True
        engine = exchange.engine
        handle_ttl_s = engine.handle_ttl_s if engine is not None else 0.0
        self._handle = Handle(
            result.handle,
            runner,
            response.connection,
            response.head.keep_alive_s,
            now + HANDLE_USABLE_SHARE * handle_ttl_s,
        )

    def usable_handle(self) -> str | None:
        """Return the handle that a decode runner can still use, if any."""
        handle = self._handle
        if handle is None or self._handle_invalid:
            return None
        if self._context.clock() >= handle.expires_at:
            return None
        return handle.name

    def handle_remaining_s(self) -> float | None:
        """Return how long the handle can be used; None without one."""
        handle = self._handle
        if handle is None or self._handle_invalid:
            return None
        return max(0.0, handle.expires_at - self._context.clock())

    def invalidate_handle(self) -> None:
        """Record that a runner with free memory could not use the handle."""
        self._handle_invalid = True
        if self._handle is not None:
            self._excluded.add(self._handle.runner.runner_id)

    async def handle_used(self) -> None:
        """Record that a decode runner fetched the KV cache.

        The prefill runner's connection is kept for other requests.
        """
        handle, self._handle = self._handle, None
        if handle is not None:
            await upstream.keep_connection(
                self._context,
                handle.runner,
                handle.connection,
                handle.keep_alive_s,
            )

    async def free(self) -> None:
        """Free the KV cache if no decode runner fetched it."""
        handle, self._handle = self._handle, None
        if handle is None:
            return
        if runner_signs.backs_off(self._context, handle.runner):
            # The handle expires by itself.
            await handle.connection.close()
            return
        self._context.count('prefill.freed')
        with (
            anyio.CancelScope(shield=True),
            final_poll.move_on_after(FREE_TIMEOUT_S),
        ):
            try:
                await self._send_free(handle)
            except http.HttpError as error:
                self._context.log.info(
                    'handle not freed',
                    request=self._exchange.facts.request_id,
                    detail=str(error),
                )

    async def _send_free(self, handle: Handle) -> None:
        """Free a handle on its connection, or on a new one if it is closed."""
        method, target = self._context.dialect.free_handle(handle.name)
        connection = handle.connection
        address = connection.address
        request = http.OutgoingRequest(
            method, target, [(b'Host', str(address).encode())]
        )
        try:
            if not connection.reusable or connection.has_input():
                await connection.close()
                connection = await runner_connect.connect(
                    self._context, handle.runner, FREE_TIMEOUT_S
                )
            head = await connection.send_request(request)
            runner_signs.observe_answer(
                self._context, handle.runner, head, connection.reused
            )
            await connection.read_body(MAX_RESPONSE_BYTES)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
