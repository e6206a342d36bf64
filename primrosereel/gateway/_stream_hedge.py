"""Asks other runners to continue a stream whose runner is silent.

Pattern: hedged request. A sound runner may send nothing for a second or so
and then go on, and another one may not take the stream. So the connection to
the silent runner stays open until another one has sent an event; whichever
goes on first is taken, and the other one is closed at once.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _attempts as attempts_module
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _generation_errors as errors
from primrosereel.gateway import _held_place as held_place
from primrosereel.gateway import _http as http
from primrosereel.gateway import _local_prefill as local_prefill_module
from primrosereel.gateway import _silence as silence
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _events as events
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['AcceptedStream', 'StreamHedge']

Retry = states.RetryReason

# How often it is looked for another runner while one is silent.
RECHECK_INTERVAL_S = 0.1
# What has arrived while this process was busy is read before a runner counts
# as silent.
FINAL_POLL_S = 0.02
# Runners that may reject a stream whose runner is silent.
MAX_REJECTIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedStream:
    """The response of a runner that goes on with a stream, and its place.

    ``body`` yields the whole body, with what was read of it already.
    """

    runner: runners.Runner
    ticket: decode_places.Ticket
    response: upstream.OpenResponse
    body: AsyncIterator[bytes]
    started_at: float


class StreamHedge:
    """The attempts at other runners while the runner of a stream is silent.

    ``last_event_id`` returns the id after which a stream is to be continued,
    and ``may_ask`` whether another runner may be asked now.

    Example::

        hedge.watch(runner)
        try:
            with hedge.waiting():
                data = await anext(body, None)
            hedge.event_received()
        except errors.StreamTakenOver:
            accepted = hedge.take()
        finally:
            hedge.stop()
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        place: held_place.HeldPlace,
        crash_reports: crash_reports_module.CrashReports,
        last_event_id: Callable[[], int | None],
        may_ask: Callable[[], bool],
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._place = place
        self._crash_reports = crash_reports
        self._last_event_id = last_event_id
        self._may_ask = may_ask
        self._attempts = attempts_module.Attempts[None](exchange.tasks)
        self._accepted: AcceptedStream | None = None
        self._excluded: set[ids.RunnerId] = set()
        self._rejections = 0
        # When another runner may be asked next.
        self._next_attempt_at = 0.0
        # The task that watches the runner, and the wait that it may end.
        self._watching = anyio.CancelScope()
        self._waiting: anyio.CancelScope | None = None
        # When the current runner sent its last event, or got the request.
        self._event_at = 0.0
        self._events_received = 0

    @property
    def accepted(self) -> AcceptedStream | None:
        """What another runner has accepted and was not taken yet."""
        return self._accepted

    def watch(self, runner: runners.Runner) -> None:
        """Watch a runner that is about to get the request."""
        self._event_at = self._next_attempt_at = self._context.clock()
        self._events_received = 0
        self._watching = anyio.CancelScope()
        if self._exchange.route.repeatable:
            self._exchange.tasks.start_soon(
                self._watch, runner, self._watching
            )

    def response_begun(self) -> None:
        """Record that the events of a runner's response are read from now.

        A head does not prove that the runner goes on with the stream, so the
        attempts at other ones go on until its next event.
        """
        self._event_at = self._context.clock()

    def event_received(self) -> None:
        """Record that the runner has sent an event; ask no other one."""
        self._event_at = self._context.clock()
        self._events_received += 1
        self._cancel_attempts()

    def _cancel_attempts(self) -> None:
        if self._attempts.running:
            self._context.count('hedges.not_needed')
            self._attempts.cancel()

    @contextlib.contextmanager
    def waiting(self) -> Iterator[None]:
        """Wait for the runner in the block, until another one has accepted.

        Raises StreamTakenOver then.
        """
        if self._accepted is not None:
            raise errors.StreamTakenOver
        try:
            with anyio.CancelScope() as self._waiting:
                yield
                return
        finally:
            self._waiting = None
        raise errors.StreamTakenOver

    async def settle(self) -> bool:
        """Wait for the attempts in progress once the runner has failed.

        Returns whether another runner has accepted.
        """
        while self._accepted is None and self._attempts.running:
            await self._attempts.wait_for_end()
        return self._accepted is not None

    def take(self) -> AcceptedStream | None:
        """Return what another runner has accepted, if one has."""
        accepted, self._accepted = self._accepted, None
        return accepted

    def stop(self) -> None:
        """Watch the runner no longer, and cancel what is in progress."""
        self._watching.cancel()
        self._attempts.cancel()

    async def close(self) -> None:
        """Give up all attempts, also one that was accepted and not taken."""
        self.stop()
        accepted = self.take()
        if accepted is not None:
            self._release(accepted.ticket)
            with anyio.CancelScope(shield=True):
                await accepted.response.connection.close()

    async def _watch(
        self, runner: runners.Runner, scope: anyio.CancelScope
    ) -> None:
        """Ask other runners each time that the runner is silent.

        An error must not end the request.
        """
        try:
            with scope:
                while True:
                    event_at = await self._wait_until_silent()
                    self._record_silence(runner, event_at)
                    while self._event_at == event_at:
                        self._ask_another(runner)
                        with anyio.move_on_after(RECHECK_INTERVAL_S):
                            await self._attempts.wait_for_end()
        except Exception as error:
            self._exchange.record_internal_error(error)

    def _record_silence(self, runner: runners.Runner, since: float) -> None:
        runner.observe_silence(since, self._context.clock())
        silence.record_silence(
            self._exchange,
            runner,
            since,
            self._event_limit_s(),
            self._events_received,
        )

    async def _wait_until_silent(self) -> float:
        """Wait until an event is late; return when the last one came.

        A runner that is not waited for is not silent.
        """
        # The limit of the first event may be longer than that of the others.
        longest_sleep_s = timeouts.stream_gap_s(self._exchange.route)
        while True:
            late_at = self._event_at + self._event_limit_s()
            left_s = late_at - self._context.clock()
            if left_s > 0:
                await anyio.sleep(min(left_s, longest_sleep_s))
                continue
            event_at = self._event_at
            await anyio.sleep(FINAL_POLL_S)
            if self._event_at == event_at and self._waiting is not None:
                return event_at

    def _event_limit_s(self) -> float:
        """Return how long the runner may take for its next event."""
        route = self._exchange.route
        if self._events_received:
            return timeouts.stream_gap_s(route)
        return timeouts.first_event_s(route)

    def _ask_another(self, silent: runners.Runner) -> None:
        """Reserve budget and place at another runner, and send it the request.

        Nothing is done if one of them is lacking.
        """
        exchange, context = self._exchange, self._context
        now = context.clock()
        if (
            self._accepted is not None
            or now < self._next_attempt_at
            or self._rejections >= MAX_REJECTIONS
            or exchange.attempts >= exchange.route.max_attempts
            or not self._may_ask()
        ):
            return
        ticket = self._place.ticket_elsewhere(silent, self._excluded)
        runner = context.places.choose(ticket, now)
        if runner is None or now < runner.full_until:
            return
        if not context.budget.try_spend(exchange.service, now):
            return
        context.places.move(ticket, runner)
        context.uses_changed()
        context.count('hedges.started')
        self._next_attempt_at = now + timeouts.first_event_s(exchange.route)
        self._attempts.start(lambda: self._attempt(runner, ticket, now))

    async def _attempt(
        self,
        runner: runners.Runner,
        ticket: decode_places.Ticket,
        started_at: float,
    ) -> None:
        """Send the request to a runner, and keep its response if it goes on.

        The place is released unless it does. An error must not end the
        request, as the silent runner may still answer it.
        """
        exchange = self._exchange
        local_prefill = local_prefill_module.LocalPrefill(exchange)
        accepted = None
        try:
            scope = anyio.CancelScope()
            with scope, self._crash_reports.watched_attempt(exchange, scope):
                response = await self._open_response(
                    runner, local_prefill, started_at
                )
                if response is not None:
                    body = await _begin_body(response)
                    accepted = AcceptedStream(
                        runner, ticket, response, body, started_at
                    )
                    await self._accept(accepted)
        except http.BrokenResponse as error:
            runner.observe_failure(self._context.clock())
            self._record_failure(runner, Retry.STREAM_BROKEN, str(error))
            await self._crash_reports.observe_lost_request(
                exchange, runner, started_at
            )
        except Exception as error:
            exchange.record_internal_error(error)
        finally:
            self._next_attempt_at = self._context.clock()
            local_prefill.end()
            if accepted is None or accepted is not self._accepted:
                self._release(ticket)

    async def _open_response(
        self,
        runner: runners.Runner,
        local_prefill: local_prefill_module.LocalPrefill,
        started_at: float,
    ) -> upstream.OpenResponse | None:
        """Return a runner's response; None if it did not run the request.

        Raises BrokenResponse if it may have run.
        """
        exchange = self._exchange
        try:
            connection = await upstream.connect_ready(exchange, runner)
            await upstream.check_time_left(exchange, connection)
        except (upstream.Withdrawn, upstream.TimeOver):
            self._context.budget.refund(exchange.service, started_at)
            self._excluded.add(runner.runner_id)
            return None
        except upstream.NotSent as error:
            self._context.budget.refund(exchange.service, started_at)
            self._record_failure(runner, Retry.CONNECT_FAILED, str(error))
            return None
        options = model.RunOptions(
            runner.runner_id,
            exchange.time_limit.answer_remaining_s,
            exchange.priority.position,
            last_event_id=self._last_event_id(),
        )
        local_prefill.begin(runner)
        exchange.record_sent()
        exchange.attempts += 1
        try:
            response = await upstream.open_response(
                exchange, runner, options, connection
            )
        except upstream.Rejected as error:
            exchange.attempts -= 1
            exchange.record_not_run()
            self._handle_rejection(runner, error)
            return None
        if response.head.status != 200:
            runner.observe_error()
        return response

    async def _accept(self, accepted: AcceptedStream) -> None:
        """Keep a response, unless that of another runner is kept."""
        if self._accepted is None:
            self._accepted = accepted
            self._context.count('hedges.accepted')
            if self._waiting is not None:
                self._waiting.cancel()
            return
        with anyio.CancelScope(shield=True):
            await accepted.response.connection.close()

    def _handle_rejection(
        self, runner: runners.Runner, rejected: upstream.Rejected
    ) -> None:
        self._rejections += 1
        if rejected.head.status == upstream.MISDIRECTED:
            self._record_failure(runner, Retry.RUNNER_REPLACED, str(rejected))
            return
        runner.observe_rejection(self._context.clock())
        self._exchange.record_failed_attempt(
            Retry.ENGINE_FULL, runner, str(rejected)
        )

    def _record_failure(
        self, runner: runners.Runner, reason: states.RetryReason, detail: str
    ) -> None:
        """Record a failed attempt, and do not ask the runner again."""
        self._excluded.add(runner.runner_id)
        self._exchange.record_failed_attempt(reason, runner, detail, 0)

    def _release(self, ticket: decode_places.Ticket) -> None:
        self._context.places.release(ticket)
        self._context.uses_changed()


async def _begin_body(response: upstream.OpenResponse) -> AsyncIterator[bytes]:
    """Read a response up to its first event; return its whole body.

    Raises BrokenResponse, with the connection closed, if the runner does not
    go on with the stream.
    """
    try:
        _check_head(response)
        body = response.connection.body()
        received = await _read_first_event(response, body)
    except BaseException:
        with anyio.CancelScope(shield=True):
            await response.connection.close()
        raise
    return _joined_body(received, body)


def _check_head(response: upstream.OpenResponse) -> None:
    """Raise BrokenResponse if a response is not a runner's stream."""
    head, facts = response.head, response.facts
    if head.status != 200 or not facts.signed or facts.encoded:
        raise http.BrokenResponse(
            f'status {head.status}, signed: {facts.signed}, '
            f'encoded: {facts.encoded}'
        )


async def _read_first_event(
    response: upstream.OpenResponse, body: AsyncIterator[bytes]
) -> bytes:
    """Return the bytes up to the end of the first event, or of the body.

    A stream whose caller has all its events ends without another one.
    """
    splitter = events.EventSplitter()
    received = b''
    async for data in body:
        received += data
        if splitter.feed(data):
            return received
        response.connection.held_bytes = len(received)
    if received or response.head.ends_with_connection:
        raise http.BrokenResponse('the stream ended without an event')
    return received


async def _joined_body(
    received: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    if received:
        yield received
    async for data in rest:
        yield data
