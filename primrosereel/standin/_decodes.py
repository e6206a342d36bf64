"""Decode side of the engine model.

A stream imports its KV cache over the engine's network link and then runs in
the batch. It can be paused, which moves its KV cache to host memory. A stream
without a reader is kept for ``reader_grace_s``.
"""

from primrosereel.standin import _batch as batch
from primrosereel.standin import _engine_context as engine_context
from primrosereel.standin import _link as link
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['Decodes']

Outcome = types.Outcome
State = types.State


class Decodes:
    """Streams of one engine."""

    def __init__(self, context: engine_context.EngineContext) -> None:
        config = context.config
        self._context = context
        self._batch = batch.Batch(config.decode_step_s, config.places)
        self._network_link = link.Link(config.link_bytes_s)
        # Transfers to host memory use a separate link of the same rate.
        self._host_link = link.Link(config.link_bytes_s)

    def add(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        max_tokens: int,
        kv_bytes: int,
        priority: int,
        offset: int,
        now: float,
    ) -> Outcome:
        """Allocate a place and pieces and queue the import of the cache."""
        needed_pieces = self._context.pieces_for(prompt.tokens + max_tokens)
        request = engine_context.EngineRequest(
            request_id, prompt, priority, State.IMPORTING, needed_pieces
        )
        if not self._context.allocate(request, with_place=True):
            self._context.counters.refused_full += 1
            return Outcome.FULL
        finish = tokens.finish_of(prompt, max_tokens)
        request.next_offset = offset
        request.end_offset = max(finish.end, offset)
        request.finish_reason = finish.reason
        self._context.add(request)
        self._context.counters.decodes_started += 1
        self._network_link.add(request_id, kv_bytes, priority, now)
        self._start_reader_timeout(request, now)
        return Outcome.OK

    def fits(self, prompt: tokens.Prompt, max_tokens: int) -> bool:
        """Tell whether a place and enough pieces are free for a stream."""
        needed_pieces = self._context.pieces_for(prompt.tokens + max_tokens)
        return (
            self._context.free_places > 0
            and needed_pieces <= self._context.free_pieces
        )

    def next_time(self) -> float:
        """Return the time of the next event, or infinity."""
        return min(
            self._network_link.next_time(),
            self._host_link.next_time(),
            self._batch.next_time(),
        )

    def next_step(self, now: float) -> float:
        """Return when the current step ends, or infinity."""
        return self._batch.next_step(now)

    def advance(self, now: float) -> None:
        """Process the steps and transfers that end at ``now``."""
        for event in self._batch.advance(now):
            request = self._context.requests[event.key]
            if not request.started_at:
                self._emit_stream_started(request, now)
            if event.last:
                self._finish(request, now)
        while (key := self._network_link.advance(now)) is not None:
            self._import_ended(self._context.requests[key], now)
        while (key := self._host_link.advance(now)) is not None:
            self._host_transfer_ended(self._context.requests[key], now)

    def attach(self, request: engine_context.EngineRequest) -> None:
        """Add a reader; a stream with a reader is not abandoned."""
        request.readers += 1
        if request.state is not State.FINISHED:
            self._context.clear_timer(request)

    def detach(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        """Remove a reader."""
        request.readers -= 1
        if request.state is not State.FINISHED:
            self._start_reader_timeout(request, now)

    def next_offset(
        self, request: engine_context.EngineRequest, now: float
    ) -> int:
        """Return the offset of a stream's next token."""
        if request.state is State.DECODING:
            return request.next_offset + self._batch.tokens_produced(
                request.request_id, now
            )
        return request.next_offset

    def pause(
        self, request: engine_context.EngineRequest, now: float
    ) -> Outcome:
        """Start to move a stream to host memory."""
        if request.state in (State.PAUSING, State.PAUSED):
            return Outcome.OK
        if request.state is not State.DECODING:
            return Outcome.CONFLICT
        self._leave_batch(request, now)
        request.state = State.PAUSING
        self._context.counters.pauses += 1
        self._start_host_transfer(request, now)
        return Outcome.OK

    def resume(
        self, request: engine_context.EngineRequest, now: float
    ) -> Outcome:
        """Start to move a stream back; FULL if it does not fit."""
        if request.state in (State.RESUMING, State.DECODING):
            return Outcome.OK
        if request.state is not State.PAUSED:
            return Outcome.CONFLICT
        if not self._context.allocate(request, with_place=True):
            self._context.counters.refused_full += 1
            return Outcome.FULL
        request.state = State.RESUMING
        self._context.counters.resumes += 1
        self._start_host_transfer(request, now)
        return Outcome.OK

    def cancel(
        self, request: engine_context.EngineRequest, now: float, reason: str
    ) -> None:
        """Stop a stream and free everything it holds."""
        if request.state is State.DECODING:
            self._leave_batch(request, now)
        elif request.state is State.IMPORTING:
            self._network_link.remove(request.request_id, now)
            self._emit(types.ImportEnded(now, request.request_id, False))
        elif request.state in (State.PAUSING, State.RESUMING):
            self._host_link.remove(request.request_id, now)
        if request.state is not State.FINISHED:
            self._emit_stream_ended(request, now, reason)
        request.state = State.FINISHED
        self._context.remove(request, now)

    def set_slow(self, factor: float, now: float) -> None:
        """Multiply step durations by ``factor``."""
        self._batch.set_slow(factor, now)

    def stall(self, stalled: bool, now: float) -> None:
        """Stop or continue all transfers."""
        self._network_link.stall(stalled, now)
        self._host_link.stall(stalled, now)

    def clear(self, now: float) -> None:
        """Drop every stream."""
        for request in self._context.requests.values():
            if request.state is not State.FINISHED:
                self._emit_stream_ended(request, now, 'crashed')
        self._batch.clear()
        self._network_link.clear()
        self._host_link.clear()

    def _emit(self, event: types.Event) -> None:
        self._context.events.append(event)

    def _emit_stream_ended(
        self, request: engine_context.EngineRequest, now: float, reason: str
    ) -> None:
        self._emit(
            types.StreamEnded(
                now, request.request_id, request.next_offset, reason
            )
        )

    def _start_reader_timeout(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        if request.readers == 0:
            deadline = now + self._context.config.reader_grace_s
            self._context.set_timer(request, deadline, self._abandon)

    def _abandon(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        self._context.counters.abandoned += 1
        self.cancel(request, now, 'abandoned')

    def _leave_batch(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        tokens_produced = self._batch.leave(request.request_id, now)
        request.next_offset += tokens_produced
        self._context.counters.decode_tokens += tokens_produced

    def _start_host_transfer(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        count = request.prompt.tokens + request.next_offset
        kv_bytes = count * self._context.config.kv_bytes_per_token
        self._host_link.add(
            request.request_id, kv_bytes, request.priority, now
        )

    def _import_ended(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        self._emit(types.ImportEnded(now, request.request_id, True))
        self._join_batch(request, now)

    def _host_transfer_ended(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        if request.state is State.PAUSING:
            self._context.release(request)
            request.state = State.PAUSED
            self._emit(types.Paused(now, request.request_id))
        else:
            self._emit(types.Resumed(now, request.request_id))
            self._join_batch(request, now)

    def _join_batch(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        request.state = State.DECODING
        if request.next_offset >= request.end_offset:
            self._finish(request, now)
            return
        tokens_left = request.end_offset - request.next_offset
        self._batch.join(request.request_id, tokens_left, now)

    def _emit_stream_started(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        request.started_at = now
        self._emit(types.StreamStarted(now, request.request_id))

    def _finish(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        self._context.counters.decode_tokens += (
            request.end_offset - request.next_offset
        )
        self._context.counters.decodes_done += 1
        request.next_offset = request.end_offset
        request.state = State.FINISHED
        self._context.release(request)
        self._emit_stream_ended(request, now, request.finish_reason)
        deadline = now + self._context.config.reader_grace_s
        self._context.set_timer(request, deadline, self._context.remove)
