"""Generations: a prompt read, then a stream of events from a decode runner."""

import dataclasses
import math

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _prompt as prompt_module
from primrosereel.gateway import _stream_move as stream_move
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _events as events
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Generation']

Reason = states.RefusalReason
Retry = states.RetryReason

MAX_ANSWER_BYTES = 1024 * 1024
# The share of a change of role for which an idle runner that refuses a whole
# request is taken to be in it; its order may have come from an instance that
# is gone.
SWITCHING_SHARE = 0.35
# Decode runners that may be tried without having run the request.
MAX_REJECTIONS = 4
MAX_CONNECTS = 4
RETRY_AFTER_S = 0.5
LEAST_LEFT_S = 0.005


class Ended(Exception):
    """The request ended without a stream; the reply says how."""

    def __init__(self, reply: callers.Reply) -> None:
        super().__init__(str(reply.status))
        self.reply = reply


class Broken(Exception):
    """A stream ended before its last event."""


class Moved(Exception):
    """A stream was stopped, and its copy at another runner goes on."""


class Generation:
    """Serves one generation on a caller's connection."""

    def __init__(
        self,
        exchange: context_module.Exchange,
        caller: callers.CallerConnection,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._caller = caller
        self._progress = events.StreamProgress(exchange.facts.last_event_id)
        self._excluded: set[ids.RunnerId] = set()
        self._ticket: decode_places.Ticket | None = None
        self._prompt = prompt_module.Prompt(exchange)
        self._rejections = 0
        self._may_have_run = False
        self._begun = False
        self._connection: http.HttpConnection | None = None
        self._placed_at = 0.0
        # The decode runner that reads the prompt itself at the moment.
        self._reader: runners.Runner | None = None
        # The move of the present stream, and one to go on from.
        self._move: stream_move.StreamMove | None = None
        self._resume: stream_move.StreamMove | None = None

    async def serve(self) -> bool:
        """Answer the caller; False where the answer had to be cut."""
        exchange = self._exchange
        self._context.budget.count_request(
            exchange.service, self._context.clock()
        )
        try:
            with anyio.fail_after(exchange.left_s):
                await self._take_place()
                await self._read_prompt()
                return await self._run()
        except Ended as ended:
            if self._begun:
                self._note_cut('the stream broke off')
                return False
            await self._caller.reply(ended.reply)
            return True
        except TimeoutError:
            return await self._out_of_time()
        finally:
            self._give_place_back()
            if self._move is not None:
                await self._move.close()
            await self._prompt.free()
            if self._connection is not None:
                with anyio.CancelScope(shield=True):
                    await self._connection.close()

    async def _take_place(self) -> None:
        """Take a place at a decode runner that can be reached.

        The connection is made before the prompt is read, so that no prompt
        is read for a runner that went dark.
        """
        for _ in range(MAX_CONNECTS):
            try:
                self._ticket = await admission.take_place(
                    self._exchange, self._excluded
                )
            except admission.Refused as refused:
                reply = self._exchange.refusal(
                    refused.reason, refused.retry_after_s, refused.detail
                )
                raise Ended(reply) from refused
            self._placed_at = self._context.clock()
            row = self._ticket.runner
            assert row is not None
            try:
                self._connection = await upstream.connect(self._exchange, row)
                return
            except upstream.NotRun as error:
                self._connect_failed(row, str(error))
                self._give_place_back()
        raise Ended(self._refusal(Reason.NO_RUNNER))

    def _connect_failed(self, row: runners.Runner, why: str) -> None:
        row.observe_failure(self._context.clock())
        self._exchange.note_retry(Retry.CONNECT_FAILED, row, why)
        self._excluded.add(row.runner_id)

    async def _decode_connection(
        self, row: runners.Runner
    ) -> http.HttpConnection:
        """Return the connection made beforehand if it is still open."""
        connection, self._connection = self._connection, None
        if connection is not None:
            same = connection.address == row.listing.address
            if same and not connection.has_input():
                return connection
            await connection.close()
        return await upstream.connect(self._exchange, row)

    def _give_place_back(self) -> None:
        if self._ticket is not None and self._ticket.runner is not None:
            now = self._context.clock()
            self._context.places.observe_hold(now - self._placed_at)
            self._context.places.release(self._ticket)
            self._context.places.admit(now)
            self._context.uses_changed()

    async def _out_of_time(self) -> bool:
        if self._begun:
            self._exchange.failure(Reason.UPSTREAM_TIMEOUT, 0)
            self._note_cut('the time is over')
            return False
        reply = self._exchange.failure(Reason.UPSTREAM_TIMEOUT, 504)
        await self._caller.reply(reply)
        return True

    def _note_cut(self, why: str) -> None:
        self._context.count('streams.cut')
        self._context.log.info(
            'stream cut',
            request=self._exchange.facts.request_id,
            detail=why,
            events=self._progress.events,
            attempts=self._exchange.attempts,
        )

    async def _read_prompt(self) -> None:
        assert self._ticket is not None and self._ticket.runner is not None
        await self._prompt.read(self._ticket.runner)

    async def _run(self) -> bool:
        """Stream from decode runners until the stream is whole."""
        while True:
            row = self._choose_decode()
            try:
                if await self._stream_from(row):
                    return True
            except Broken as error:
                self._after_break(row, str(error))
            except Moved:
                self._resume = self._move
                self._excluded.add(row.runner_id)

    def _choose_decode(self) -> runners.Runner:
        """Return the runner of the place, or of another one."""
        ticket = self._ticket
        assert ticket is not None
        if self._resume is not None:
            return self._take_copy(ticket, self._resume)
        if self._may_have_run and not self._exchange.route.repeatable:
            raise Ended(self._refusal(Reason.UPSTREAM_FAILED))
        row = ticket.runner
        if row is None or row.runner_id in self._excluded:
            now = self._context.clock()
            ticket.excluded = self._excluded
            places = self._context.places
            row = places.choose(ticket, now) or places.least_used(ticket, now)
        if row is not None and self._rejections < MAX_REJECTIONS:
            if row is not ticket.runner:
                self._context.places.move(ticket, row)
                self._context.uses_changed()
            return row
        if self._may_have_run:
            raise Ended(self._refusal(Reason.UPSTREAM_FAILED))
        reason = Reason.NO_CAPACITY if self._rejections else Reason.NO_RUNNER
        raise Ended(self._refusal(reason))

    def _take_copy(
        self, ticket: decode_places.Ticket, move: stream_move.StreamMove
    ) -> runners.Runner:
        """Return the runner that holds the copy of the stream."""
        row = move.row
        assert row is not None
        move.end()
        self._context.places.move(ticket, row)
        self._context.uses_changed()
        return row

    def _refusal(self, reason: states.RefusalReason) -> callers.Reply:
        """Return 503 only where no earlier send may have run."""
        if self._may_have_run:
            return self._exchange.failure(reason, 502)
        return self._exchange.refusal(reason, RETRY_AFTER_S)

    def _after_break(self, row: runners.Runner, why: str) -> None:
        """Go on at another runner, or end the request."""
        exchange = self._exchange
        route = exchange.route
        now = self._context.clock()
        exchange.note_retry(Retry.STREAM_BROKEN, row, why)
        self._excluded.add(row.runner_id)
        allowed = route.repeatable and exchange.attempts < route.max_attempts
        if not allowed:
            raise Ended(exchange.failure(Reason.UPSTREAM_FAILED, 502))
        if not self._context.budget.try_spend(exchange.service, now):
            raise Ended(exchange.failure(Reason.RETRY_BUDGET, 502))

    async def _stream_from(self, row: runners.Runner) -> bool:
        """Pass on a runner's events; raise Broken if they end early.

        False is returned where the runner did not run the request.
        """
        began = self._context.clock()
        try:
            answer = await self._open(row)
            if answer is None:
                return False
            self._exchange.note_step('head_s', began)
            await self._pass_on_and_close(answer, row, began)
        finally:
            self._set_reader(None)
        return True

    async def _pass_on_and_close(
        self, answer: upstream.OpenAnswer, row: runners.Runner, began: float
    ) -> None:
        move = self._move = self._new_move(row)
        try:
            with self._context.departures.watching(row.runner_id, move.run):
                await self._pass_on(answer, row, began)
        except (http.BrokenAnswer, events.SequenceError) as error:
            if await move.stopped():
                raise Moved from error
            move.end()
            row.observe_failure(self._context.clock())
            raise Broken(str(error)) from error
        finally:
            with anyio.CancelScope(shield=True):
                await answer.connection.close()

    def _new_move(self, row: runners.Runner) -> stream_move.StreamMove:
        ticket = self._ticket
        assert ticket is not None
        place = dataclasses.replace(
            ticket, runner=None, excluded={*self._excluded, row.runner_id}
        )
        return stream_move.StreamMove(self._exchange, row, place)

    def _set_reader(self, row: runners.Runner | None) -> None:
        """Count the prompt at the decode runner that reads it, if one does."""
        if row is self._reader:
            return
        tokens = self._exchange.facts.prompt_tokens
        if self._reader is not None:
            self._reader.local_prefill_tokens -= tokens
        if row is not None:
            row.local_prefill_tokens += tokens
        self._reader = row
        self._context.uses_changed()

    async def _open(self, row: runners.Runner) -> upstream.OpenAnswer | None:
        """Return a runner's answer; None where it did not run the request."""
        exchange = self._exchange
        resume, self._resume = self._resume, None
        # A stream that goes on from its copy counts as the same run.
        runs = 0 if resume is not None else 1
        handle = resume.handle if resume is not None else self._prompt.handle()
        options = model.RunOptions(
            row.runner_id,
            exchange.left_s,
            exchange.route.priority,
            handle=handle,
            last_event_id=self._progress.last_id,
        )
        ran_before, self._may_have_run = self._may_have_run, True
        if handle is None:
            self._set_reader(row)
        try:
            with anyio.move_on_after(self._first_event_s()):
                connection = await self._decode_connection(row)
                answer = await upstream.open_answer(
                    exchange, row, options, connection
                )
                exchange.attempts += runs
                if resume is not None:
                    resume.taken()
                await self._prompt.taken()
                return answer
        except upstream.NotRun as error:
            self._may_have_run = ran_before
            self._connect_failed(row, str(error))
        except upstream.Rejected as error:
            self._may_have_run = ran_before
            self._rejected(row, handle is not None, str(error))
        except http.BrokenAnswer as error:
            exchange.attempts += runs
            row.observe_failure(self._context.clock())
            raise Broken(str(error)) from error
        else:
            exchange.attempts += runs
            row.observe_failure(self._context.clock())
            raise Broken('no answer in time')
        return None

    def _rejected(
        self, row: runners.Runner, with_handle: bool, why: str
    ) -> None:
        exchange = self._exchange
        now = self._context.clock()
        self._rejections += 1
        # A runner with room refuses a request whose handle has lapsed.
        lapsed = (
            with_handle
            and row.rejections == 0
            and self._context.places.is_within_capacity(row, now)
        )
        reason = Retry.KV_CACHE_GONE if lapsed else Retry.ENGINE_FULL
        if lapsed:
            self._prompt.lapsed()
        else:
            row.observe_rejection(now)
            self._excluded.add(row.runner_id)
            if not with_handle and row.idle:
                self._avoid_switching(row, now)
        exchange.note_retry(reason, row, why)
        if not self._context.budget.try_spend(exchange.service, now):
            raise Ended(self._refusal(Reason.RETRY_BUDGET))

    def _avoid_switching(self, row: runners.Runner, now: float) -> None:
        """Keep all requests from an idle runner that refused a whole one."""
        engine = self._exchange.engine
        avoid_s = SWITCHING_SHARE * engine.switch_s if engine else 0.0
        self._context.count('runners.switching')
        self._context.log.info(
            'runner taken to change its role',
            runner=row.runner_id,
            request=self._exchange.facts.request_id,
            report=row.report,
            avoided_s=round(avoid_s, 2),
        )
        self._context.reserve(row.runner_id, now + avoid_s)

    def _first_event_s(self) -> float:
        route = self._exchange.route
        may_repeat = (
            route.repeatable
            and self._exchange.attempts + 1 < route.max_attempts
        )
        return timeouts.first_event_s(route) if may_repeat else math.inf

    async def _pass_on(
        self, answer: upstream.OpenAnswer, row: runners.Runner, began: float
    ) -> None:
        head = answer.head
        if head.status != 200:
            return await self._pass_failure(answer, row)
        if not answer.facts.signed or answer.facts.encoded:
            raise http.BrokenAnswer("the answer is not the runner's own")
        splitter = events.EventSplitter()
        body = answer.connection.body()
        first = True
        while True:
            data = await self._next_part(body, first)
            if data is None:
                break
            await self._send(head, splitter.feed(data))
            if first and self._progress.events:
                first = False
                self._set_reader(None)
                if self._move is not None:
                    self._move.begun = True
                self._exchange.note_step('first_event_s', began)
                row.observe_success(
                    self._context.clock() - began, self._context.clock()
                )
        if self._move is not None and await self._move.stopped():
            raise http.BrokenAnswer('the stream was stopped to be moved')
        if splitter.incomplete:
            raise http.BrokenAnswer('the stream ended within an event')
        await self._begin(head)
        await self._caller.finish()
        facts = self._exchange.facts
        self._exchange.steps.update(
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            events=self._progress.events,
            last_event=self._progress.last_id or 0,
        )
        self._exchange.note_served(row.runner_id, head.status)
        return None

    async def _next_part(self, body, first: bool) -> bytes | None:
        """Return the next bytes; None at the end of the stream."""
        route = self._exchange.route
        may_repeat = (
            route.repeatable and self._exchange.attempts < route.max_attempts
        )
        limit_s = math.inf
        if may_repeat:
            limit_s = timeouts.stream_gap_s(route)
            if first:
                limit_s = timeouts.first_event_s(route)
        try:
            with anyio.fail_after(limit_s):
                return await anext(body, None)
        except TimeoutError:
            if limit_s < self._exchange.left_s:
                raise http.BrokenAnswer('the stream fell silent') from None
            raise

    async def _send(self, head: http.AnswerHead, whole: list[bytes]) -> None:
        fresh = [event for event in whole if self._progress.accept(event)]
        if fresh:
            await self._begin(head)
            await self._caller.send_part(b''.join(fresh))

    async def _begin(self, head: http.AnswerHead) -> None:
        """Send the head of the first runner, once."""
        if not self._begun:
            self._begun = True
            await self._caller.begin(
                callers.Reply(head.status, head.reason, head.headers)
            )

    async def _pass_failure(
        self, answer: upstream.OpenAnswer, row: runners.Runner
    ) -> None:
        """Pass on a runner's own failure, or try another runner."""
        head = answer.head
        row.observe_error()
        body = await answer.connection.whole_body(MAX_ANSWER_BYTES)
        route = self._exchange.route
        if self._begun or (
            route.repeatable and self._exchange.attempts < route.max_attempts
        ):
            raise Broken(f'status {head.status}')
        if not answer.facts.signed or head.status in (408, 421, 429, 503):
            raise Ended(self._exchange.failure(Reason.UPSTREAM_FAILED, 502))
        raise Ended(
            callers.Reply(head.status, head.reason, head.headers, body)
        )
