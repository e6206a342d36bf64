"""Generations: a prefill, then a stream of events from a decode runner."""

from collections.abc import AsyncIterator

import anyio

from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _broken_stream as broken_stream
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _decode_connection as decode_connection
from primrosereel.gateway import _event_stream as event_stream
from primrosereel.gateway import _final_replies as replies
from primrosereel.gateway import _generation_errors as errors
from primrosereel.gateway import _held_place as held_place
from primrosereel.gateway import _http as http
from primrosereel.gateway import _local_prefill as local_prefill
from primrosereel.gateway import _prompt as prompt_module
from primrosereel.gateway import _rejections as rejections
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.gateway import _stream_hedge as stream_hedge
from primrosereel.gateway import _stream_move as stream_move
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _events as events
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Generation']

Reason = states.RefusalReason
Retry = states.RetryReason

MAX_RESPONSE_BYTES = 1024 * 1024


class Generation:
    """Serves one generation on a caller's connection."""

    def __init__(
        self,
        exchange: context_module.Exchange,
        caller: callers.CallerConnection,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._caller = caller
        self._crash_reports = crash_reports
        self._stream = event_stream.EventStream(
            exchange, caller, crash_reports
        )
        self._place = held_place.HeldPlace(exchange)
        self._prompt = prompt_module.Prompt(exchange, crash_reports)
        self._rejections = rejections.Rejections(
            exchange, self._place, self._prompt
        )
        self._connection = decode_connection.DecodeConnection(
            exchange, self._place
        )
        self._hedge = stream_hedge.StreamHedge(
            exchange,
            self._place,
            crash_reports,
            lambda: self._stream.last_event_id,
            self._may_ask_another,
        )
        # The prefill by the current decode runner itself.
        self._local_prefill = local_prefill.LocalPrefill(exchange)
        # The move of the current stream, and the completed move whose copy
        # the next runner continues.
        self._move: stream_move.StreamMove | None = None
        self._resume_from: stream_move.StreamMove | None = None
        # Whether the events of the current decode runner are forwarded.
        self._forwarding = False

    async def serve(self) -> bool:
        """Respond to the caller; False if the response was cut off."""
        exchange = self._exchange
        admission.count_generation(exchange)
        try:
            with exchange.time_limit.enforce():
                self._crash_reports.check(exchange)
                if not await self._connection.open():
                    raise errors.RequestEnded(
                        replies.refusal(self._exchange, Reason.NO_RUNNER)
                    )
                admission.check_time_until_stop(exchange)
                self._crash_reports.check(exchange)
                await self._prefill()
                return await self._stream_until_complete()
            return await self._handle_timeout()
        except errors.RequestEnded as ended:
            return await self._end(ended.reply)
        except upstream.TimeOver:
            return await self._handle_timeout()
        except admission.Refused as refused:
            return await self._end(
                replies.admission_reply(self._exchange, refused)
            )
        finally:
            await self._hedge.close()
            self._place.release()
            if self._move is not None:
                await self._move.close()
            await self._prompt.free()
            await self._connection.close()

    async def _end(self, reply: callers.Reply) -> bool:
        """Send a final reply, or cut off a stream that has begun."""
        if self._stream.head_sent:
            self._stream.record_cut('the stream ended early')
            return False
        await self._caller.reply(reply)
        return True

    async def _handle_timeout(self) -> bool:
        if self._stream.head_sent:
            self._exchange.failure(Reason.UPSTREAM_TIMEOUT, 0)
            self._stream.record_cut('the time limit was reached')
            return False
        if self._exchange.may_have_run:
            reply = self._exchange.failure(Reason.UPSTREAM_TIMEOUT, 504)
        else:
            reply = replies.refusal(self._exchange, Reason.DEADLINE)
        await self._caller.reply(reply)
        return True

    async def _prefill(self) -> None:
        runner = self._place.runner
        assert runner is not None
        await self._prompt.prefill(runner)
        self._place.prefilled()

    async def _stream_until_complete(self) -> bool:
        """Stream from decode runners until the stream is complete."""
        while True:
            runner = await self._choose_decode_runner()
            self._crash_reports.check(self._exchange)
            if self._hedge.accepted is None and self._resume_from is None:
                await self._prompt.prefill_again(runner)
            sent_at = self._context.clock()
            self._hedge.watch(runner)
            try:
                if await self._stream_from(runner):
                    return True
                await self._hedge.settle()
            except errors.RequestEnded:
                if not await self._hedge.settle():
                    raise
            except errors.StreamBroken as error:
                await self._handle_broken_stream(runner, sent_at, error)
            except errors.StreamTakenOver:
                self._handle_silent_stream(runner)
            except errors.StreamMoved:
                await self._hedge.close()
                self._resume_from = self._move
                self._place.exclude(runner)
            finally:
                self._hedge.stop()

    async def _choose_decode_runner(self) -> runners.Runner:
        """Return the runner of the place, or wait for another place."""
        accepted = self._hedge.accepted
        if accepted is not None:
            self._place.take_over(accepted.ticket)
            return accepted.runner
        if self._resume_from is not None:
            return self._switch_to_copy(self._resume_from)
        if self._exchange.may_have_run and not self._exchange.route.repeatable:
            raise errors.RequestEnded(
                replies.refusal(self._exchange, Reason.UPSTREAM_FAILED)
            )
        if self._place.runner is not None:
            return self._place.runner
        if self._rejections.exhausted:
            raise errors.RequestEnded(
                replies.refusal(self._exchange, Reason.NO_CAPACITY)
            )
        return await self._place.acquire_another(self._place_wait_s())

    def _place_wait_s(self) -> float:
        """Return how long to wait for another place.

        A prompt is lost when its handle expires.
        """
        limit_s = min(
            timeouts.place_wait_s(self._exchange.route),
            self._exchange.remaining_s,
        )
        handle_s = self._prompt.handle_remaining_s()
        return limit_s if handle_s is None else min(limit_s, handle_s)

    def _switch_to_copy(self, move: stream_move.StreamMove) -> runners.Runner:
        """Move the place to the runner with the copy; return that runner."""
        runner = move.next_runner
        assert runner is not None
        move.begin_continuation()
        self._place.move_to(runner)
        return runner

    def _handle_silent_stream(self, runner: runners.Runner) -> None:
        """Record that another runner continues the stream."""
        self._exchange.record_failed_attempt(
            Retry.STREAM_SILENT,
            runner,
            'no event in time',
            self._stream.events_received,
        )
        self._place.exclude(runner)

    async def _handle_broken_stream(
        self,
        runner: runners.Runner,
        sent_at: float,
        error: errors.StreamBroken,
    ) -> None:
        """Allow another runner to be tried, or end the request."""
        exchange = self._exchange
        if isinstance(error.__cause__, http.BrokenResponse):
            await self._crash_reports.observe_lost_request(
                exchange, runner, sent_at, self._stream.events_received
            )
        exchange.record_failed_attempt(
            Retry.STREAM_BROKEN,
            runner,
            str(error),
            self._stream.events_received,
        )
        self._place.exclude(runner)
        if await self._hedge.settle():
            return
        route = exchange.route
        may_retry = route.repeatable and exchange.attempts < route.max_attempts
        if not may_retry:
            raise errors.RequestEnded(
                exchange.failure(Reason.UPSTREAM_FAILED, 502)
            )
        if not await broken_stream.spend_budget(
            exchange, self._stream.events_sent
        ):
            raise errors.RequestEnded(
                exchange.failure(Reason.RETRY_BUDGET, 502)
            )

    async def _stream_from(self, runner: runners.Runner) -> bool:
        """Forward a runner's events; raise StreamBroken if they end early.

        Returns False if the runner did not run the request.
        """
        started_at = self._context.clock()
        self._stream.start_attempt()
        accepted = self._hedge.take()
        try:
            if accepted is not None:
                response, body = accepted.response, accepted.body
                started_at = accepted.started_at
            else:
                opened = await self._open_response_or_free(runner)
                if opened is None:
                    return False
                response, body = opened, opened.connection.body()
            self._exchange.record_step('head_s', started_at)
            await self._forward_and_close(response, body, runner, started_at)
        finally:
            self._local_prefill.end()
        return True

    async def _open_response_or_free(
        self, runner: runners.Runner
    ) -> upstream.OpenResponse | None:
        """Return a runner's response; None if it did not run the request.

        Without a response, the copy that the runner was to continue from is
        freed, unless the source can continue from it: the next attempt starts
        with a move of its own.
        """
        move = self._resume_from
        response = None
        try:
            scope = anyio.CancelScope()
            with (
                scope,
                self._crash_reports.watched_attempt(self._exchange, scope),
            ):
                response = await self._open_response(runner)
            if response is None:
                self._crash_reports.check(self._exchange)
                if move is not None:
                    self._resume_at_source(move, runner)
        finally:
            if (
                response is None
                and self._resume_from is None
                and self._move is not None
            ):
                await self._move.close()
        return response

    def _resume_at_source(
        self, move: stream_move.StreamMove, refused_by: runners.Runner
    ) -> None:
        """Continue a stopped stream at its source if that is possible."""
        if move.at_source:
            # It leaves, so it is not sent the request as a new run.
            self._place.exclude(refused_by)
        elif not self._rejections.exhausted and move.fall_back():
            self._resume_from = move

    async def _forward_and_close(
        self,
        response: upstream.OpenResponse,
        body: AsyncIterator[bytes],
        runner: runners.Runner,
        started_at: float,
    ) -> None:
        move = self._move = self._new_move(runner)
        self._forwarding = True
        try:
            with self._context.leave_callbacks.registered(
                runner.runner_id,
                move.run,
                runner_signs.has_left(self._context, runner),
            ):
                await self._forward_events(response, body, runner, started_at)
        except (http.BrokenResponse, events.SequenceError) as error:
            await move.settle()
            if move.can_continue:
                raise errors.StreamMoved from error
            move.end()
            runner.observe_failure(self._context.clock())
            raise errors.StreamBroken(str(error)) from error
        except errors.StreamTakenOver:
            move.end()
            raise
        finally:
            self._forwarding = False
            with anyio.CancelScope(shield=True):
                await response.connection.close()

    def _new_move(self, runner: runners.Runner) -> stream_move.StreamMove:
        return stream_move.StreamMove(
            self._exchange,
            runner,
            self._place.ticket_elsewhere(runner),
            lambda: self._stream.events_sent,
            self._move,
        )

    async def _open_response(
        self, runner: runners.Runner
    ) -> upstream.OpenResponse | None:
        """Return a runner's response; None if it did not run the request."""
        exchange = self._exchange
        resume_from, self._resume_from = self._resume_from, None
        # A stream that continues from its copy counts as the same run.
        attempts = 0 if resume_from is not None else 1
        handle = (
            resume_from.handle
            if resume_from is not None
            else self._prompt.usable_handle()
        )
        options = model.RunOptions(
            runner.runner_id,
            exchange.time_limit.answer_remaining_s,
            exchange.priority.position,
            handle=handle,
            last_event_id=self._stream.last_event_id,
        )
        if handle is None:
            self._local_prefill.begin(runner)
        try:
            connection = await self._connection.take(runner)
        except upstream.NotSent as error:
            self._connection.record_failure(runner, str(error))
            return None
        if connection is None:
            return None
        exchange.record_sent()
        exchange.attempts += attempts
        try:
            with self._hedge.waiting():
                response = await upstream.open_response(
                    exchange, runner, options, connection
                )
        except upstream.Rejected as error:
            exchange.attempts -= attempts
            exchange.record_not_run()
            self._handle_rejection(runner, handle is not None, error)
            return None
        except http.BrokenResponse as error:
            runner.observe_failure(self._context.clock())
            raise errors.StreamBroken(str(error)) from error
        if resume_from is not None:
            resume_from.copy_used()
        await self._note_handle_used(response)
        return response

    async def _note_handle_used(self, response: upstream.OpenResponse) -> None:
        """Record that a runner fetched the KV cache as it responded.

        The response is closed if this is cancelled, so that the runner does
        not work on for a request that has ended.
        """
        try:
            await self._prompt.handle_used()
        except BaseException:
            with anyio.CancelScope(shield=True):
                await response.connection.close()
            raise

    def _handle_rejection(
        self,
        runner: runners.Runner,
        with_handle: bool,
        rejected: upstream.Rejected,
    ) -> None:
        if not self._rejections.handle(runner, with_handle, rejected):
            raise errors.RequestEnded(
                replies.refusal(self._exchange, Reason.RETRY_BUDGET)
            )

    async def _forward_events(
        self,
        response: upstream.OpenResponse,
        body: AsyncIterator[bytes],
        runner: runners.Runner,
        started_at: float,
    ) -> None:
        head = response.head
        if head.status != 200:
            return await self._forward_failure(response, runner)
        if not response.facts.signed or response.facts.encoded:
            raise http.BrokenResponse(
                'the response is unsigned or has a content encoding'
            )
        await self._stream.forward(
            response,
            body,
            runner,
            self._hedge,
            lambda: self._record_first_event(runner, started_at),
        )
        if self._move is not None:
            await self._move.check_end(head)
        await upstream.check_end(self._context, runner, head)
        self._stream.check_complete(head)
        await self._stream.finish(head)
        self._exchange.record_served(runner.runner_id, head.status)
        return None

    def _may_ask_another(self) -> bool:
        """Tell whether a silent stream may be continued by another runner.

        A stream that is stopped for a move is silent until the runner with
        its copy continues it.
        """
        return not (self._forwarding and self._move and self._move.stop_asked)

    def _record_first_event(
        self, runner: runners.Runner, started_at: float
    ) -> None:
        """Record that a runner began to write its part of the stream."""
        now = self._context.clock()
        self._local_prefill.end()
        if self._move is not None:
            self._move.first_event_sent = True
        self._exchange.record_step('first_event_s', started_at)
        runner.observe_success(now - started_at, now)

    async def _forward_failure(
        self, response: upstream.OpenResponse, runner: runners.Runner
    ) -> None:
        """Forward a runner's error response, or try another runner."""
        head = response.head
        runner.observe_error()
        body = await response.connection.read_body(
            MAX_RESPONSE_BYTES, self._exchange.kept_responses
        )
        route = self._exchange.route
        if self._stream.head_sent or (
            route.repeatable and self._exchange.attempts < route.max_attempts
        ):
            raise errors.StreamBroken(f'status {head.status}')
        if not response.facts.signed or head.status in (408, 421, 429, 503):
            raise errors.RequestEnded(
                self._exchange.failure(Reason.UPSTREAM_FAILED, 502)
            )
        raise errors.RequestEnded(
            callers.Reply(head.status, head.reason, head.headers, body)
        )
