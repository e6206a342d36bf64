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

    def __init__(self, common: engine_context.Shared) -> None:
        config = common.config
        self._common = common
        self._batch = batch.Batch(config.decode_step_s, config.places)
        self._network = link.Link(config.link_bytes_s)
        # Transfers to host memory use a separate link of the same rate.
        self._host = link.Link(config.link_bytes_s)

    def add(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        max_tokens: int,
        size: int,
        priority: int,
        offset: int,
        now: float,
    ) -> Outcome:
        """Allocate a place and pieces and queue the import of the cache."""
        needed = self._common.pieces_for(prompt.tokens + max_tokens)
        held = engine_context.Held(
            request_id, prompt, priority, State.IMPORTING, needed
        )
        if not self._common.take(held, place=True):
            self._common.counters.refused_full += 1
            return Outcome.FULL
        finish = tokens.finish_of(prompt, max_tokens)
        held.produced = offset
        held.end = max(finish.end, offset)
        held.reason = finish.reason
        self._common.add(held)
        self._common.counters.decodes_started += 1
        self._network.add(request_id, size, priority, now)
        self._watch(held, now)
        return Outcome.OK

    def fits(self, prompt: tokens.Prompt, max_tokens: int) -> bool:
        """Tell whether a place and enough pieces are free for a stream."""
        needed = self._common.pieces_for(prompt.tokens + max_tokens)
        return (
            self._common.free_places > 0 and needed <= self._common.free_pieces
        )

    def next_time(self) -> float:
        """Return the time of the next event, or infinity."""
        return min(
            self._network.next_time(),
            self._host.next_time(),
            self._batch.next_time(),
        )

    def next_step(self, now: float) -> float:
        """Return when the current step ends, or infinity."""
        return self._batch.next_step(now)

    def advance(self, now: float) -> None:
        """Process the steps and transfers that end at ``now``."""
        for event in self._batch.advance(now):
            held = self._common.held[event.key]
            if not held.started:
                self._first_token(held, now)
            if event.last:
                self._finish(held, now)
        while (key := self._network.advance(now)) is not None:
            self._imported(self._common.held[key], now)
        while (key := self._host.advance(now)) is not None:
            self._moved(self._common.held[key], now)

    def attach(self, held: engine_context.Held) -> None:
        """Add a reader; a stream with a reader is not abandoned."""
        held.readers += 1
        if held.state is not State.FINISHED:
            self._common.clear_timer(held)

    def detach(self, held: engine_context.Held, now: float) -> None:
        """Remove a reader."""
        held.readers -= 1
        if held.state is not State.FINISHED:
            self._watch(held, now)

    def produced(self, held: engine_context.Held, now: float) -> int:
        """Return the offset of a stream's next token."""
        if held.state is State.DECODING:
            return held.produced + self._batch.produced(held.request_id, now)
        return held.produced

    def pause(self, held: engine_context.Held, now: float) -> Outcome:
        """Start to move a stream to host memory."""
        if held.state in (State.PAUSING, State.PAUSED):
            return Outcome.OK
        if held.state is not State.DECODING:
            return Outcome.CONFLICT
        self._leave_batch(held, now)
        held.state = State.PAUSING
        self._common.counters.pauses += 1
        self._move(held, now)
        return Outcome.OK

    def resume(self, held: engine_context.Held, now: float) -> Outcome:
        """Start to move a stream back; FULL if it does not fit."""
        if held.state in (State.RESUMING, State.DECODING):
            return Outcome.OK
        if held.state is not State.PAUSED:
            return Outcome.CONFLICT
        if not self._common.take(held, place=True):
            self._common.counters.refused_full += 1
            return Outcome.FULL
        held.state = State.RESUMING
        self._common.counters.resumes += 1
        self._move(held, now)
        return Outcome.OK

    def cancel(
        self, held: engine_context.Held, now: float, reason: str
    ) -> None:
        """Stop a stream and free everything it holds."""
        if held.state is State.DECODING:
            self._leave_batch(held, now)
        elif held.state is State.IMPORTING:
            self._network.remove(held.request_id, now)
            self._emit(types.ImportEnded(now, held.request_id, False))
        elif held.state in (State.PAUSING, State.RESUMING):
            self._host.remove(held.request_id, now)
        if held.state is not State.FINISHED:
            self._end(held, now, reason)
        held.state = State.FINISHED
        self._common.forget(held, now)

    def set_slow(self, factor: float, now: float) -> None:
        """Multiply step durations by ``factor``."""
        self._batch.set_slow(factor, now)

    def stall(self, stalled: bool, now: float) -> None:
        """Stop or continue all transfers."""
        self._network.stall(stalled, now)
        self._host.stall(stalled, now)

    def clear(self, now: float) -> None:
        """Drop every stream."""
        for held in self._common.held.values():
            if held.state is not State.FINISHED:
                self._end(held, now, 'crashed')
        self._batch.clear()
        self._network.clear()
        self._host.clear()

    def _emit(self, event: types.Event) -> None:
        self._common.events.append(event)

    def _end(self, held: engine_context.Held, now: float, reason: str) -> None:
        self._emit(
            types.StreamEnded(now, held.request_id, held.produced, reason)
        )

    def _watch(self, held: engine_context.Held, now: float) -> None:
        if held.readers == 0:
            limit = now + self._common.config.reader_grace_s
            self._common.set_timer(held, limit, self._abandon)

    def _abandon(self, held: engine_context.Held, now: float) -> None:
        self._common.counters.abandoned += 1
        self.cancel(held, now, 'abandoned')

    def _leave_batch(self, held: engine_context.Held, now: float) -> None:
        produced = self._batch.leave(held.request_id, now)
        held.produced += produced
        self._common.counters.decode_tokens += produced

    def _move(self, held: engine_context.Held, now: float) -> None:
        count = held.prompt.tokens + held.produced
        size = count * self._common.config.kv_bytes_per_token
        self._host.add(held.request_id, size, held.priority, now)

    def _imported(self, held: engine_context.Held, now: float) -> None:
        self._emit(types.ImportEnded(now, held.request_id, True))
        self._join(held, now)

    def _moved(self, held: engine_context.Held, now: float) -> None:
        if held.state is State.PAUSING:
            self._common.give_back(held)
            held.state = State.PAUSED
            self._emit(types.Paused(now, held.request_id))
        else:
            self._emit(types.Resumed(now, held.request_id))
            self._join(held, now)

    def _join(self, held: engine_context.Held, now: float) -> None:
        held.state = State.DECODING
        if held.produced >= held.end:
            self._finish(held, now)
            return
        tokens_left = held.end - held.produced
        self._batch.join(held.request_id, tokens_left, now)

    def _first_token(self, held: engine_context.Held, now: float) -> None:
        held.started = now
        self._emit(types.StreamStarted(now, held.request_id))

    def _finish(self, held: engine_context.Held, now: float) -> None:
        self._common.counters.decode_tokens += held.end - held.produced
        self._common.counters.decodes_done += 1
        held.produced = held.end
        held.state = State.FINISHED
        self._common.give_back(held)
        self._end(held, now, held.reason)
        limit = now + self._common.config.reader_grace_s
        self._common.set_timer(held, limit, self._common.forget)
