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
        self, context: engine_context.EngineContext, blocks: cache.PrefixCache
    ) -> None:
        self._context = context
        self._blocks = blocks
        self._queue: list[tuple[int, int, engine_context.EngineRequest]] = []
        self._sequence = 0
        self._queued_count = 0
        self._queued_tokens = 0
        self._running: engine_context.EngineRequest | None = None
        self._slow_factor = 1.0

    @property
    def queued(self) -> int:
        """Number of prefills in the queue."""
        return self._queued_count

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
            seconds = max(0.0, self._running.ends_at - now) / self._slow_factor
            backlog += int(seconds * self._context.config.prefill_tokens_s)
        return backlog

    def add(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        priority: int,
        lease_s: float,
    ) -> types.Outcome:
        """Queue a prefill; FULL if the prompt exceeds the total memory."""
        needed_pieces = self._context.pieces_for(prompt.tokens)
        if needed_pieces > self._context.config.pieces:
            self._context.counters.refused_full += 1
            return types.Outcome.FULL
        request = engine_context.EngineRequest(
            request_id, prompt, priority, State.QUEUED, needed_pieces
        )
        request.lease_s = lease_s
        self._context.add(request)
        self._sequence += 1
        heapq.heappush(self._queue, (-priority, self._sequence, request))
        self._queued_count += 1
        self._queued_tokens += prompt.tokens
        return types.Outcome.OK

    def start_next(self, now: float) -> None:
        """Start the next prefill if none runs and its memory is free."""
        while self._running is None and self._queue:
            request = self._queue[0][2]
            if request.state is not State.QUEUED:
                heapq.heappop(self._queue)
                continue
            if not self._context.allocate(request, with_place=False):
                return
            heapq.heappop(self._queue)
            self._count_dequeued(request)
            self._start(request, now)

    def pin_export(self, request_id: str, now: float) -> types.Kv | None:
        """Pin a result for a transfer; None if it is not held."""
        request = self._context.requests.get(request_id)
        if request is None or request.state is not State.EXPORTED:
            return None
        deadline = now + self._context.config.pin_limit_s
        self._context.set_timer(request, deadline, self._evict)
        return self._kv(request)

    def release_export(self, request_id: str, used: bool, now: float) -> bool:
        """End a transfer; an unused result becomes evictable again."""
        request = self._context.requests.get(request_id)
        if request is None or request.state is not State.EXPORTED:
            return False
        if used:
            self._context.remove(request, now)
        else:
            self._context.set_timer(
                request, now + self._eviction_delay(request), self._evict
            )
        return True

    def cancel(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        """Stop a prefill and free its memory."""
        computed = request.prompt.tokens - request.cached_tokens
        if request.state is State.QUEUED:
            self._count_dequeued(request)
        elif request.state is State.EXPORTED:
            self._context.counters.cancelled_tokens += computed
        else:
            progress = (now - request.started_at) / (
                request.ends_at - request.started_at
            )
            computed_so_far = round(min(1.0, progress) * computed)
            self._context.counters.cancelled_tokens += computed_so_far
            self._running = None
        request.state = State.FINISHED
        self._context.remove(request, now)

    def set_slow(self, factor: float, now: float) -> None:
        """Multiply compute times by ``factor``, also for the running one."""
        request = self._running
        if request is not None:
            left = (request.ends_at - now) * factor / self._slow_factor
            request.ends_at = now + left
            self._context.set_timer(request, request.ends_at, self._finish)
        self._slow_factor = factor

    def clear(self) -> None:
        """Drop the queue and the running prefill."""
        self._queue.clear()
        self._queued_count = 0
        self._queued_tokens = 0
        self._running = None

    def _count_dequeued(self, request: engine_context.EngineRequest) -> None:
        self._queued_count -= 1
        self._queued_tokens -= request.prompt.tokens

    def _start(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        cached_blocks = self._blocks.match_prefix(request.prompt.hashes)
        # The last prompt token is always computed, because its output is
        # needed to generate the first token.
        request.cached_tokens = min(
            cached_blocks * prefix.BLOCK_TOKENS, request.prompt.tokens - 1
        )
        computed = request.prompt.tokens - request.cached_tokens
        seconds = computed / self._context.config.prefill_tokens_s
        request.state = State.PREFILLING
        request.started_at = now
        request.ends_at = now + seconds * self._slow_factor
        self._running = request
        counters = self._context.counters
        counters.prefills_started += 1
        counters.prefill_tokens += computed
        counters.cached_tokens += request.cached_tokens
        self._context.set_timer(request, request.ends_at, self._finish)

    def _finish(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        self._running = None
        self._blocks.store(request.prompt.hashes, now)
        request.state = State.EXPORTED
        self._context.counters.prefills_done += 1
        self._context.set_timer(
            request, now + self._eviction_delay(request), self._evict
        )
        event = types.PrefillEnded(
            now,
            request.request_id,
            self._kv(request),
            request.cached_tokens,
            now - request.started_at,
        )
        self._context.events.append(event)

    def _eviction_delay(self, request: engine_context.EngineRequest) -> float:
        eviction_s = self._context.config.kv_eviction_s
        return min(eviction_s, request.lease_s)

    def _evict(
        self, request: engine_context.EngineRequest, now: float
    ) -> None:
        counters = self._context.counters
        counters.evicted_unused += 1
        counters.wasted_tokens += request.prompt.tokens - request.cached_tokens
        self._context.remove(request, now)

    def _kv(self, request: engine_context.EngineRequest) -> types.Kv:
        count = request.prompt.tokens
        config = self._context.config
        kv_bytes = count * config.kv_bytes_per_token
        return types.Kv(request.request_id, config.runner, count, kv_bytes)
