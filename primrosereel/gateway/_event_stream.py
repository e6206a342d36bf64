"""The stream of events that a caller receives from one runner or several."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import anyio
import anyio.lowlevel

from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _stream_hedge as stream_hedge
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _decode_speed as decode_speed
from primrosereel.routing import _events as events
from primrosereel.routing import _runners as runners
from primrosereel.routing import blame

__all__ = ['EventStream']

# How long the head of a response may take to be sent beyond a time limit. It
# only waits for callers that do not read, but a busy process needs some time.
SEND_HEAD_S = 1.0


class EventStream:
    """Forwards the events of decode runners to a caller.

    A runner that continues the stream of another one sends the events after
    ``last_event_id``; events that the caller already has are dropped.

    Example::

        stream = EventStream(exchange, caller, crash_reports)
        stream.start_attempt()
        await stream.forward(response, body, runner, hedge, lambda: None)
        stream.check_complete(response.head)
        await stream.finish(response.head)
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        caller: callers.CallerConnection,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._exchange = exchange
        self._caller = caller
        self._crash_reports = crash_reports
        self._progress = events.StreamProgress(exchange.facts.last_event_id)
        self._splitter = events.EventSplitter()
        self._head_sent = False
        self._events_received = 0
        # Whether the current runner has sent events, new ones or not.
        self._has_events = False
        self._answer_recorded = False

    @property
    def head_sent(self) -> bool:
        """Whether the caller has the head of a response."""
        return self._head_sent

    @property
    def events_sent(self) -> int:
        """The events that the caller has received."""
        return self._progress.events

    @property
    def last_event_id(self) -> int | None:
        """The id of the caller's last event; None before the first one."""
        return self._progress.last_id

    @property
    def events_received(self) -> int:
        """The new events that the current runner has sent."""
        return self._events_received

    def start_attempt(self) -> None:
        """Expect the events of another runner."""
        self._events_received = 0
        self._has_events = False
        self._splitter = events.EventSplitter()

    async def forward(
        self,
        response: upstream.OpenResponse,
        body: AsyncIterator[bytes],
        runner: runners.Runner,
        hedge: stream_hedge.StreamHedge,
        on_first_event: Callable[[], None],
    ) -> None:
        """Forward a runner's events until its response ends.

        Raises BrokenResponse or SequenceError if the response cannot be
        continued, and StreamTakenOver if another runner continues it.
        """
        context = self._exchange.context
        pace = decode_speed.EventPace()
        requests = context.places.requests_at(runner, context.clock())
        hedge.response_begun()
        while True:
            with hedge.waiting():
                data = await anext(body, None)
            if data is None:
                self._observe_pace(runner, pace, requests)
                return
            read_at = context.clock()
            received = self._splitter.feed(data)
            response.connection.held_bytes = len(self._splitter.incomplete)
            self._has_events = self._has_events or bool(received)
            sent = await self._send_events(response.head, received)
            if not sent:
                continue
            pace.observe(len(received), read_at, context.clock())
            if not self._events_received:
                on_first_event()
            self._events_received += sent
            # Bytes that complete no event do not end a silence.
            hedge.event_received()
            if self._events_received >= blame.PROVEN_EVENTS:
                self._record_answer()

    def _observe_pace(
        self,
        runner: runners.Runner,
        pace: decode_speed.EventPace,
        requests_at_start: int,
    ) -> None:
        """Learn a runner's speed from its part of the stream."""
        context = self._exchange.context
        event_s = pace.event_s()
        self._exchange.steps.update(
            event_s=round(event_s or 0.0, 5),
            decode_slowness=round(runner.decode_slowness, 2),
            decode_requests=requests_at_start,
        )
        if event_s is None or not context.contended:
            return
        now = context.clock()
        requests = context.places.requests_at(runner, now)
        mean_requests = (requests_at_start + requests) / 2
        self._compare_stream(runner, mean_requests, event_s, now)
        context.decode_speed.observe(runner, mean_requests, event_s, now)

    def _compare_stream(
        self,
        runner: runners.Runner,
        requests: float,
        event_s: float,
        now: float,
    ) -> None:
        """Record the expected time of a whole stream beside its time."""
        exchange = self._exchange
        context = exchange.context
        usual_s = context.decode_speed.usual_s(exchange.service, requests)
        is_part = exchange.facts.last_event_id is not None
        if (
            usual_s is None
            or is_part
            or self._events_received < self.events_sent
        ):
            return
        output = context.output_costs.expected(exchange.output_key, now).mean
        context.metrics.observe(
            'predicted_stream_seconds',
            runner.decode_slowness * usual_s * output,
        )
        context.metrics.observe('stream_seconds', event_s * self.events_sent)

    def check_complete(self, head: http.ResponseHead) -> None:
        """Raise BrokenResponse if the runner's last event is missing.

        A runner that crashes may close its connection, which looks like the
        end of a response that is not framed.
        """
        if self._splitter.incomplete:
            raise http.BrokenResponse('the stream ended inside an event')
        is_empty = self._progress.last_id is None and not self._progress.events
        has_no_end = head.ends_with_connection and not self._has_events
        if is_empty or has_no_end:
            raise http.BrokenResponse('the stream ended without an event')
        if self._events_received:
            self._record_answer()

    async def finish(self, head: http.ResponseHead) -> None:
        """End the caller's response as complete."""
        await self._send_head(head)
        await self._caller.finish()
        context, facts = self._exchange.context, self._exchange.facts
        key, now = self._exchange.output_key, context.clock()
        self._exchange.steps.update(
            prompt_tokens=facts.prompt_tokens,
            output_tokens=facts.output_tokens,
            events=self.events_sent,
            last_event=self.last_event_id or 0,
            expected_output=round(
                context.output_costs.expected(key, now).mean
            ),
        )
        if facts.last_event_id is None and self.events_sent:
            context.output_costs.observe(key, self.events_sent, now)

    def record_cut(self, detail: str) -> None:
        """Log and count a stream that ends before its last event."""
        context = self._exchange.context
        context.count('streams.cut')
        context.log.info(
            'stream cut',
            request=self._exchange.facts.request_id,
            detail=detail,
            events=self.events_sent,
            attempts=self._exchange.attempts,
            version=context.version,
            version_age_s=context.version_age_s,
        )

    def _record_answer(self) -> None:
        """Record once that a runner can answer the prompt."""
        if not self._answer_recorded:
            self._answer_recorded = True
            self._crash_reports.observe_answer(self._exchange)

    async def _send_events(
        self, head: http.ResponseHead, received: list[bytes]
    ) -> int:
        """Forward the events that are new; return their number."""
        new_events = [
            event for event in received if self._progress.accept(event)
        ]
        if new_events:
            await self._send_head(head)
            await self._caller.send_part(b''.join(new_events))
        return len(new_events)

    async def _send_head(self, head: http.ResponseHead) -> None:
        """Send the response head to the caller, once.

        It is the head of the first runner whose stream is forwarded. A time
        limit that is reached meanwhile ends the request either before it, so
        that the caller can still get a refusal, or after it. Raises
        CallerDisconnected if it could not be sent, as no event may follow.
        """
        if self._head_sent:
            return
        await anyio.lowlevel.checkpoint_if_cancelled()
        self._head_sent = True
        self._exchange.time_limit.start_answer()
        with anyio.move_on_after(SEND_HEAD_S, shield=True) as sending:
            await self._caller.send_head(
                callers.Reply(head.status, head.reason, head.headers)
            )
        if sending.cancelled_caught:
            raise callers.CallerDisconnected('the head was not sent')
