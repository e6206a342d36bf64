"""Prefill side of the engine model.

Prefills run one at a time, in order of priority and then of arrival. Their
results occupy memory until they are imported, cancelled or evicted.
"""

import heapq

from primrosereel import _prefix as prefix
from primrosereel.standin import _cache as cache
from primrosereel.standin import _engine_context as engine_context
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['Prefills']

State = types.State


class Prefills:
    """Queue, running prefill and exported results of one engine."""

    def __init__(
        self, common: engine_context.Shared, blocks: cache.PrefixCache
    ) -> None:
        self._common = common
        self._blocks = blocks
        self._queue: list[tuple[int, int, engine_context.Held]] = []
        self._sequence = 0
        self._queued = 0
        self._queued_tokens = 0
        self._running: engine_context.Held | None = None
        self._slow = 1.0

    @property
    def queued(self) -> int:
        """Number of prefills in the queue."""
        return self._queued

    @property
    def busy(self) -> int:
        """1 while a prefill runs, else 0."""
        return 0 if self._running is None else 1

    def backlog_tokens(self, now: float) -> int:
        """Return the prompt tokens still to process.

        Queued prompts count in full, including tokens that are cached.
        """
        backlog = self._queued_tokens
        if self._running is not None:
            seconds = max(0.0, self._running.until - now) / self._slow
            backlog += int(seconds * self._common.config.prefill_tokens_s)
        return backlog

    def add(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        priority: int,
        lease_s: float,
    ) -> types.Outcome:
        """Queue a prefill; FULL if the prompt exceeds the total memory."""
        needed = self._common.pieces_for(prompt.tokens)
        if needed > self._common.config.pieces:
            self._common.counters.refused_full += 1
            return types.Outcome.FULL
        held = engine_context.Held(
            request_id, prompt, priority, State.QUEUED, needed
        )
        held.lease_s = lease_s
        self._common.add(held)
        self._sequence += 1
        heapq.heappush(self._queue, (-priority, self._sequence, held))
        self._queued += 1
        self._queued_tokens += prompt.tokens
        return types.Outcome.OK

    def start_next(self, now: float) -> None:
        """Start the next prefill if none runs and its memory is free."""
        while self._running is None and self._queue:
            held = self._queue[0][2]
            if held.state is not State.QUEUED:
                heapq.heappop(self._queue)
                continue
            if not self._common.take(held, place=False):
                return
            heapq.heappop(self._queue)
            self._dequeued(held)
            self._start(held, now)

    def take_export(self, request_id: str, now: float) -> types.Kv | None:
        """Pin a result for a transfer; None if it is not held."""
        held = self._common.held.get(request_id)
        if held is None or held.state is not State.EXPORTED:
            return None
        limit = now + self._common.config.pin_limit_s
        self._common.set_timer(held, limit, self._evict)
        return self._kv(held)

    def release_export(self, request_id: str, used: bool, now: float) -> bool:
        """End a transfer; an unused result becomes evictable again."""
        held = self._common.held.get(request_id)
        if held is None or held.state is not State.EXPORTED:
            return False
        if used:
            self._common.forget(held, now)
        else:
            self._common.set_timer(held, now + self._lease(held), self._evict)
        return True

    def cancel(self, held: engine_context.Held, now: float) -> None:
        """Stop a prefill and free its memory."""
        computed = held.prompt.tokens - held.cached
        if held.state is State.QUEUED:
            self._dequeued(held)
        elif held.state is State.EXPORTED:
            self._common.counters.cancelled_tokens += computed
        else:
            done = (now - held.started) / (held.until - held.started)
            wasted = round(min(1.0, done) * computed)
            self._common.counters.cancelled_tokens += wasted
            self._running = None
        held.state = State.FINISHED
        self._common.forget(held, now)

    def set_slow(self, factor: float, now: float) -> None:
        """Multiply compute times by ``factor``, also for the running one."""
        held = self._running
        if held is not None:
            left = (held.until - now) * factor / self._slow
            held.until = now + left
            self._common.set_timer(held, held.until, self._finish)
        self._slow = factor

    def clear(self) -> None:
        """Drop the queue and the running prefill."""
        self._queue.clear()
        self._queued = 0
        self._queued_tokens = 0
        self._running = None

    def _dequeued(self, held: engine_context.Held) -> None:
        self._queued -= 1
        self._queued_tokens -= held.prompt.tokens

    def _start(self, held: engine_context.Held, now: float) -> None:
        matched = self._blocks.matched(held.prompt.hashes)
        # The last prompt token is always computed, because its output is
        # needed to generate the first token.
        held.cached = min(
            matched * prefix.BLOCK_TOKENS, held.prompt.tokens - 1
        )
        computed = held.prompt.tokens - held.cached
        seconds = computed / self._common.config.prefill_tokens_s
        held.state = State.PREFILLING
        held.started = now
        held.until = now + seconds * self._slow
        self._running = held
        counters = self._common.counters
        counters.prefills_started += 1
        counters.prefill_tokens += computed
        counters.cached_tokens += held.cached
        self._common.set_timer(held, held.until, self._finish)

    def _finish(self, held: engine_context.Held, now: float) -> None:
        self._running = None
        self._blocks.store(held.prompt.hashes, now)
        held.state = State.EXPORTED
        self._common.counters.prefills_done += 1
        self._common.set_timer(held, now + self._lease(held), self._evict)
        event = types.PrefillEnded(
            now,
            held.request_id,
            self._kv(held),
            held.cached,
            now - held.started,
        )
        self._common.events.append(event)

    def _lease(self, held: engine_context.Held) -> float:
        eviction_s = self._common.config.kv_eviction_s
        return min(eviction_s, held.lease_s)

    def _evict(self, held: engine_context.Held, now: float) -> None:
        counters = self._common.counters
        counters.evicted_unused += 1
        counters.wasted_tokens += held.prompt.tokens - held.cached
        self._common.forget(held, now)

    def _kv(self, held: engine_context.Held) -> types.Kv:
        count = held.prompt.tokens
        config = self._common.config
        size = count * config.kv_bytes_per_token
        return types.Kv(held.request_id, config.runner, count, size)
