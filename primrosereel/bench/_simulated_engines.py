"""Simulated engines and the delivery of the routers' calls to them."""

from collections.abc import Callable
import math
import random
from typing import Any

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import standin
from primrosereel.bench import _timeline as timeline_module
from primrosereel.core import _messages as messages

__all__ = ['LATENCY_S', 'Engines']

# One-way network latency between two processes of a region.
LATENCY_S = 0.0005
# After its first token a stream delivers the tokens of each such interval
# as one batch.
CHUNK_INTERVAL_S = 0.2

EffectHandler = Callable[[Any, Any], None]


class _Stream:
    """A router's connection to a decode stream."""

    __slots__ = ('effect', 'node', 'offset', 'reader', 'runner')

    def __init__(self, node, runner, effect, reader, offset) -> None:
        self.node = node
        self.runner = runner
        self.effect = effect
        self.reader = reader
        self.offset = offset


class Engines:
    """The engine models of the runners in a configuration text.

    ``deliver`` schedules the delivery of a message to a node. ``prompt_of``
    returns a request's prompt and its number of delivered tokens.
    """

    def __init__(
        self,
        timeline: timeline_module.Timeline,
        deliver: Callable[[Any, messages.Inbound], None],
        prompt_of: Callable[[ids.RequestId], tuple[standin.Prompt, int]],
    ) -> None:
        self.engines: dict[ids.RunnerId, standin.EngineModel] = {}
        # The keys of prompts that crash each engine which begins to decode
        # them, and how often that happened.
        self.deadly_prompts: frozenset[int] = frozenset()
        self.crashes_by_prompt = 0
        self._timeline = timeline
        self._deliver = deliver
        self._prompt_of = prompt_of
        self._streams: dict[ids.EngineRequestId, _Stream] = {}
        # Prefills by runner and engine request id, and the KV transfers of
        # imports by 'import' and engine request id.
        self._pending_work: dict[tuple[str, str], Any] = {}
        self._next_advance_at: dict[ids.RunnerId, float] = {}

    def effect_handlers(self) -> dict[type, EffectHandler]:
        """Return the handler of each type of effect that calls an engine."""
        return {
            messages.StartPrefill: self._start_prefill,
            messages.StartDecode: self._start_decode,
            messages.ReattachStream: self._reattach,
            messages.CancelUpstream: self._cancel,
            messages.PauseUpstream: self._pause,
            messages.ResumeUpstream: self._resume,
            messages.PollLoad: self._poll_load,
            messages.PollCacheEvents: self._poll_cache_events,
            messages.ListRequests: self._list_requests,
        }

    def crash(self, runner: ids.RunnerId, restart_s: float = 2.0) -> None:
        """Crash an engine now and restart it after ``restart_s``.

        The restarted engine has neither requests nor cached blocks.
        """
        engine = self.engines[runner]
        engine.crash(self._timeline.now)
        for engine_id, stream in list(self._streams.items()):
            if stream.runner == runner:
                del self._streams[engine_id]
                self._deliver_stream_closed(
                    stream, states.UpstreamError.BROKEN
                )
        for key in [k for k in self._pending_work if k[0] == runner]:
            self._fail_prefill(*self._pending_work.pop(key))
        self._timeline.call_at(
            self._timeline.now + restart_s,
            lambda: engine.restart(self._timeline.now),
        )

    def slow(self, runner: ids.RunnerId, factor: float) -> None:
        """Slow an engine down by a factor from now on; 1 is normal speed."""
        self.engines[runner].set_faults({'slow': factor}, self._timeline.now)
        self._schedule_engine(runner)

    def prefill_token_counts(self) -> tuple[int, int]:
        """Return the computed prompt tokens and how many were wasted."""
        computed = wasted = 0
        for engine in self.engines.values():
            computed += engine.counters.prefill_tokens
            wasted += engine.counters.wasted_tokens
            wasted += engine.counters.cancelled_tokens
        return computed, wasted

    def make_engines(
        self,
        text: dict[str, Any],
        random_source: random.Random,
        options: dict[str, Any],
    ) -> None:
        """Create a model for each LLM runner in the text."""
        for service in text['services'].values():
            if service['kind'] != 'llm':
                continue
            model = text['models'][service['model']]
            for name, runner in service['runners'].items():
                config = standin.EngineConfig(
                    runner=name,
                    role=states.Role(runner['role']),
                    kv_bytes_per_token=model['kv_bytes_per_token'],
                    prefill_tokens_s=model['prefill_tokens_s'],
                    decode_step_s=model['decode_step_s'],
                    **options,
                )
                engine_random = random.Random(random_source.getrandbits(32))
                self.engines[ids.RunnerId(name)] = standin.EngineModel(
                    config, engine_random
                )

    def _call_engine(
        self, runner: ids.RunnerId, callback: Callable[[], object]
    ) -> None:
        """Run a callback at an engine after the one-way latency."""

        def arrive() -> None:
            callback()
            self._schedule_engine(runner)

        self._timeline.call_at(self._timeline.now + LATENCY_S, arrive)

    def _schedule_engine(self, runner: ids.RunnerId) -> None:
        due = self.engines[runner].next_event()
        if due < self._next_advance_at.get(runner, math.inf):
            self._next_advance_at[runner] = due
            self._timeline.call_at(
                max(due, self._timeline.now),
                lambda: self._advance(runner, due),
            )

    def _advance(self, runner: ids.RunnerId, due: float) -> None:
        if self._next_advance_at.get(runner) != due:
            return
        self._next_advance_at[runner] = math.inf
        for event in self.engines[runner].advance(self._timeline.now):
            self._on_event(runner, event)
        self._schedule_engine(runner)

    def _on_event(self, runner: ids.RunnerId, event: standin.Event) -> None:
        if isinstance(event, standin.PrefillEnded):
            self._prefill_ended(runner, event)
        elif isinstance(event, standin.ImportEnded):
            self._release_export(event)
        elif isinstance(event, standin.StreamStarted | standin.StreamEnded):
            self._read_stream(ids.EngineRequestId(event.request_id))
        elif isinstance(event, standin.Paused):
            self._deliver_pause_state(event, messages.StreamPaused)
        elif isinstance(event, standin.Resumed):
            self._deliver_pause_state(event, messages.StreamResumed)

    def _start_prefill(self, node, effect: messages.StartPrefill) -> None:
        engine = self.engines[effect.runner]
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        prompt, output_tokens = self._prompt_of(effect.request_id)
        prompt = prompt._replace(tokens=prompt.tokens + output_tokens)

        def start() -> None:
            outcome = engine.prefill(
                engine_id,
                prompt,
                effect.priority,
                self._timeline.now,
                effect.lease_s,
            )
            if outcome is standin.Outcome.OK:
                key = (effect.runner, engine_id)
                self._pending_work[key] = (node, effect, self._timeline.now)
            else:
                self._fail_prefill(node, effect, self._timeline.now, outcome)

        self._call_engine(effect.runner, start)

    def _fail_prefill(self, node, effect, started, outcome=None) -> None:
        """Report a failed prefill; without an outcome the engine crashed."""
        error, ran = states.UpstreamError.BROKEN, states.Ran.UNKNOWN
        if outcome is not None:
            ran = states.Ran.NOT_RUN
            error = states.UpstreamError.FULL
            if outcome is standin.Outcome.DROPPED:
                error = states.UpstreamError.CONNECT
        self._deliver(
            node,
            messages.PrefillFailed(
                effect.request_id, effect.attempt, effect.runner, error, ran
            ),
        )

    def _prefill_ended(self, runner, event: standin.PrefillEnded) -> None:
        prefill = self._pending_work.pop((runner, event.request_id), None)
        if prefill is None:
            return
        node, effect, started = prefill
        kv = messages.KvTransfer(
            event.kv.handle, runner, event.kv.tokens, event.kv.bytes
        )
        self._deliver(
            node,
            messages.PrefillDone(
                effect.request_id,
                effect.attempt,
                runner,
                kv,
                event.cached_tokens,
                self._timeline.now - started,
            ),
        )

    def _start_decode(self, node, effect: messages.StartDecode) -> None:
        self._call_engine(effect.runner, lambda: self._decode(node, effect))

    def _decode(self, node, effect: messages.StartDecode) -> None:
        engine = self.engines[effect.runner]
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        prompt, _ = self._prompt_of(effect.request_id)
        stream = _Stream(node, effect.runner, effect, None, effect.offset)
        outcome = engine.check_decode(
            engine_id, prompt, effect.max_tokens, self._timeline.now
        )
        if outcome is not standin.Outcome.OK:
            error = states.UpstreamError.FULL
            if outcome is standin.Outcome.DROPPED:
                error = states.UpstreamError.CONNECT
            self._deliver_stream_closed(stream, error)
            return
        source = self.engines[effect.kv.runner]
        if source.pin_export(effect.kv.handle, self._timeline.now) is None:
            self._deliver_stream_closed(stream, states.UpstreamError.KV_GONE)
            return
        engine.decode(
            engine_id,
            prompt,
            effect.max_tokens,
            effect.kv.bytes,
            effect.priority,
            effect.offset,
            self._timeline.now,
        )
        self._pending_work[('import', engine_id)] = effect.kv
        stream.reader = engine.attach(engine_id, self._timeline.now)
        self._streams[engine_id] = stream
        if prompt.key in self.deadly_prompts:
            self.crashes_by_prompt += 1
            self.crash(effect.runner)

    def _release_export(self, event: standin.ImportEnded) -> None:
        kv = self._pending_work.pop(('import', event.request_id), None)
        if kv is not None:
            source = self.engines[kv.runner]
            source.release_export(kv.handle, event.ok, self._timeline.now)
            self._schedule_engine(kv.runner)

    def _read_stream(self, engine_id: ids.EngineRequestId) -> None:
        """Deliver the tokens that were produced since the last read."""
        stream = self._streams.get(engine_id)
        if stream is None:
            return
        engine = self.engines[stream.runner]
        chunk = engine.read(stream.reader, stream.offset, self._timeline.now)
        if chunk.gone or chunk.cut or chunk.garbled:
            del self._streams[engine_id]
            self._deliver_stream_closed(stream, states.UpstreamError.BROKEN)
            return
        if chunk.tokens or chunk.finish:
            self._deliver(
                stream.node,
                messages.TokensReceived(
                    stream.effect.request_id,
                    stream.effect.attempt,
                    stream.runner,
                    stream.offset,
                    chunk.tokens,
                    chunk.finish,
                ),
            )
            stream.offset += len(chunk.tokens)
        if chunk.finish:
            del self._streams[engine_id]
            engine.detach(stream.reader, self._timeline.now)
            return
        self._timeline.call_at(
            self._timeline.now + CHUNK_INTERVAL_S,
            lambda: self._read_stream_again(engine_id, stream),
        )

    def _read_stream_again(self, engine_id, stream: _Stream) -> None:
        if self._streams.get(engine_id) is stream:
            self._read_stream(engine_id)

    def _deliver_stream_closed(
        self, stream: _Stream, error: states.UpstreamError
    ) -> None:
        effect = stream.effect
        self._deliver(
            stream.node,
            messages.StreamClosed(
                effect.request_id, effect.attempt, stream.runner, error
            ),
        )

    def _reattach(self, node, effect: messages.ReattachStream) -> None:
        def attach() -> None:
            engine = self.engines[effect.runner]
            engine_id = ids.engine_request_id(
                effect.request_id, effect.attempt
            )
            reader = engine.attach(engine_id, self._timeline.now)
            stream = _Stream(
                node, effect.runner, effect, reader, effect.offset
            )
            if reader is None:
                error = states.UpstreamError.NOT_FOUND
                if not engine.alive:
                    error = states.UpstreamError.CONNECT
                self._deliver_stream_closed(stream, error)
                return
            self._streams[engine_id] = stream
            self._read_stream(engine_id)

        self._call_engine(effect.runner, attach)

    def _cancel(self, node, effect: messages.CancelUpstream) -> None:
        def cancel() -> None:
            engine_id = effect.engine_request_id
            self._streams.pop(engine_id, None)
            self._pending_work.pop((effect.runner, engine_id), None)
            engine = self.engines[effect.runner]
            outcome = engine.cancel(engine_id, self._timeline.now)
            if outcome is standin.Outcome.OK:
                message_class: Any = messages.CancelConfirmed
            else:
                message_class = messages.CancelFailed
            self._deliver(node, message_class(effect.runner, engine_id))

        self._call_engine(effect.runner, cancel)

    def _pause(self, node, effect: messages.PauseUpstream) -> None:
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        engine = self.engines[effect.runner]
        self._call_engine(
            effect.runner, lambda: engine.pause(engine_id, self._timeline.now)
        )

    def _resume(self, node, effect: messages.ResumeUpstream) -> None:
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        engine = self.engines[effect.runner]
        self._call_engine(
            effect.runner, lambda: engine.resume(engine_id, self._timeline.now)
        )

    def _deliver_pause_state(self, event, message_class) -> None:
        stream = self._streams.get(event.request_id)
        if stream is not None:
            effect = stream.effect
            self._deliver(
                stream.node,
                message_class(
                    effect.request_id, effect.attempt, stream.runner
                ),
            )

    def _poll_load(self, node, effect: messages.PollLoad) -> None:
        engine = self.engines.get(effect.runner)
        if engine is None:
            return
        if not engine.alive:
            self._deliver(node, messages.LoadFailed(effect.runner))
            return
        load = engine.load(self._timeline.now)
        report = messages.LoadReport(
            load.busy,
            load.queued,
            load.free_pieces,
            load.backlog_tokens,
            load.leaving,
            load.incarnation,
            load.age_s,
        )
        self._deliver(node, messages.LoadReported(effect.runner, report))

    def _poll_cache_events(self, node, effect) -> None:
        engine = self.engines[effect.runner]
        if not engine.alive:
            return
        events = engine.cache_events(effect.since, self._timeline.now)
        self._deliver(
            node,
            messages.CacheEventsReceived(
                effect.runner,
                effect.since,
                events.first,
                events.next,
                events.stored,
                events.evicted,
            ),
        )

    def _list_requests(self, node, effect: messages.ListRequests) -> None:
        engine = self.engines.get(effect.runner)
        if engine is None or not engine.alive:
            return
        engine_ids = tuple(
            ids.EngineRequestId(held_request.request_id)
            for held_request in engine.requests(self._timeline.now)
        )
        self._deliver(node, messages.RequestsListed(effect.runner, engine_ids))
