"""Model of an LLM engine without I/O and without a clock.

The HTTP stand-in, the tests and the bench tool drive it with their own time.
Every call takes ``now`` in seconds, which must not decrease. The cost is per
event, not per token::

    engine = EngineModel(EngineConfig(), random.Random(1))
    engine.decode('a.1.1.1', prompt, 100, kv.bytes, 0, 0, now=0.0)
    engine.advance(engine.next_event())
"""

import math
import random
from typing import Any

from primrosereel import _states as states
from primrosereel.standin import _cache as cache
from primrosereel.standin import _decodes as decodes
from primrosereel.standin import _delayed_load as delayed_load
from primrosereel.standin import _engine_context as engine_context
from primrosereel.standin import _faults as faults
from primrosereel.standin import _link as link
from primrosereel.standin import _orders as orders
from primrosereel.standin import _prefills as prefills
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['EngineModel']

Outcome = types.Outcome
State = types.State

PREFILL_STATES = (State.QUEUED, State.PREFILLING, State.EXPORTED)


class EngineModel:
    """One engine, which serves prefill or decode according to its role."""

    def __init__(
        self,
        config: types.EngineConfig,
        random: random.Random,
        now: float = 0.0,
        incarnation: int = 1,
        store: link.WeightStore | None = None,
    ) -> None:
        self.config = config
        self.incarnation = incarnation
        self.alive = True
        self._context = engine_context.EngineContext(config)
        self._cache_events = cache.CacheEventLog(
            config.cache_event_lag_s, config.cache_event_loss, random
        )
        self._blocks = cache.PrefixCache(
            config.cache_blocks, self._cache_events
        )
        self._prefills = prefills.Prefills(self._context, self._blocks)
        self._decodes = decodes.Decodes(self._context)
        self._orders = orders.Orders(
            self._context,
            store or link.WeightStore(config.weight_store_bytes_s),
        )
        self._readers: dict[int, engine_context.EngineRequest] = {}
        self._last_reader_id = 0
        self._silent_through_id = 0
        self._now = now
        self._delayed_load = delayed_load.DelayedLoad(
            config.load_lag_s, now, self._current_load(now)
        )

    @property
    def role(self) -> states.Role:
        """Role after the orders accepted so far."""
        return self._orders.role

    @property
    def counters(self) -> types.Counters:
        """Counts so far; the live object, not a copy."""
        self._context.counters.requests_held = sum(
            request.state is not State.FINISHED
            for request in self._context.requests.values()
        )
        return self._context.counters

    @property
    def faults(self) -> faults.EngineFaults:
        """Faults in effect; change them with ``set_faults``."""
        return self._context.faults

    def next_event(self) -> float:
        """Return the time of the next event, or infinity if there is none."""
        if self._context.events:
            return self._now
        return self._next_due()

    def next_step(self) -> float:
        """Return when the current decode step ends, or infinity."""
        return self._decodes.next_step(self._now)

    def advance(self, now: float) -> list[types.Event]:
        """Process everything up to ``now`` and return what happened."""
        self._catch_up(now)
        events = self._context.events
        self._context.events = []
        return events

    def prefill(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        priority: int,
        now: float,
        lease_s: float = math.inf,
        model: str | None = None,
    ) -> Outcome:
        """Queue a prefill; a ``PrefillEnded`` event follows."""
        self._catch_up(now)
        outcome = self._check_new(request_id, states.Role.PREFILL, model)
        if outcome is not Outcome.OK:
            return outcome
        outcome = self._prefills.add(request_id, prompt, priority, lease_s)
        self._prefills.start_next(now)
        return outcome

    def pin_export(self, request_id: str, now: float) -> types.Kv | None:
        """Pin a prefill result for a transfer; None if it is not held."""
        self._catch_up(now)
        return self._prefills.pin_export(request_id, now)

    def release_export(self, request_id: str, used: bool, now: float) -> bool:
        """End a transfer; a ``used`` result is freed.

        Returns false if the result is not held.
        """
        self._catch_up(now)
        released = self._prefills.release_export(request_id, used, now)
        self._prefills.start_next(now)
        return released

    def check_decode(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        max_tokens: int,
        now: float,
        model: str | None = None,
    ) -> Outcome:
        """Return the outcome that ``decode`` would have now."""
        self._catch_up(now)
        outcome = self._check_new(request_id, states.Role.DECODE, model)
        if outcome is not Outcome.OK:
            return outcome
        if not self._decodes.fits(prompt, max_tokens):
            self._context.counters.refused_full += 1
            return Outcome.FULL
        return Outcome.OK

    def decode(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        max_tokens: int,
        kv_bytes: int,
        priority: int,
        offset: int,
        now: float,
        model: str | None = None,
    ) -> Outcome:
        """Import a KV cache and generate tokens from ``offset`` on.

        The stream is abandoned if no reader attaches within
        ``reader_grace_s``.
        """
        self._catch_up(now)
        outcome = self._check_new(request_id, states.Role.DECODE, model)
        if outcome is not Outcome.OK:
            return outcome
        return self._decodes.add(
            request_id, prompt, max_tokens, kv_bytes, priority, offset, now
        )

    def attach(self, request_id: str, now: float) -> int | None:
        """Attach a reader to a stream; None if the stream is not held."""
        self._catch_up(now)
        request = self._stream(request_id)
        if request is None:
            return None
        self._decodes.attach(request)
        self._last_reader_id += 1
        self._readers[self._last_reader_id] = request
        return self._last_reader_id

    def detach(self, reader: int, now: float) -> None:
        """Detach a reader from its stream."""
        self._catch_up(now)
        request = self._readers.pop(reader, None)
        if request is None:
            return
        if self._context.requests.get(request.request_id) is request:
            self._decodes.detach(request, now)

    def read(self, reader: int, offset: int, now: float) -> types.Chunk:
        """Return the tokens from ``offset`` on that exist at ``now``."""
        self._catch_up(now)
        if reader <= self._silent_through_id:
            return types.Chunk('', offset, ())
        request = self._readers.get(reader)
        if (
            request is None
            or self._context.requests.get(request.request_id) is not request
        ):
            return types.Chunk('', offset, (), gone=True)
        next_offset = self._decodes.next_offset(request, now)
        key = request.prompt.key
        texts = tuple(
            tokens.token_for_key(key, i) for i in range(offset, next_offset)
        )
        finish = (
            request.finish_reason if request.state is State.FINISHED else None
        )
        chunk = types.Chunk(request.request_id, offset, texts, finish)
        return self._with_faults(chunk) if texts else chunk

    def next_offset(self, request_id: str, now: float) -> int | None:
        """Return the offset of a stream's next token; None if not held."""
        self._catch_up(now)
        request = self._stream(request_id)
        return (
            None
            if request is None
            else self._decodes.next_offset(request, now)
        )

    def state_of(self, request_id: str) -> State | None:
        """Return the stage of a request; None if it is not held."""
        request = self._context.requests.get(request_id)
        return None if request is None else request.state

    def pause(self, request_id: str, now: float) -> Outcome:
        """Move a stream to host memory; a ``Paused`` event follows."""
        self._catch_up(now)
        request = self._stream(request_id)
        if request is None:
            return Outcome.NOT_FOUND
        return self._decodes.pause(request, now)

    def resume(self, request_id: str, now: float) -> Outcome:
        """Continue a paused stream; a ``Resumed`` event follows."""
        self._catch_up(now)
        request = self._stream(request_id)
        if request is None:
            return Outcome.NOT_FOUND
        return self._decodes.resume(request, now)

    def cancel(self, request_id: str, now: float) -> Outcome:
        """Free what a request holds; OK also if it is not held."""
        self._catch_up(now)
        if not self.alive:
            return Outcome.DROPPED
        if faults.consume(self.faults, 'drop_cancels'):
            self._context.counters.cancels_dropped += 1
            return Outcome.DROPPED
        request = self._context.requests.get(request_id)
        if request is None:
            return Outcome.OK
        self._context.counters.cancelled += 1
        if request.state in PREFILL_STATES:
            self._prefills.cancel(request, now)
        else:
            self._decodes.cancel(request, now, 'cancelled')
        self._prefills.start_next(now)
        return Outcome.OK

    def requests(self, now: float) -> list[types.HeldRequest]:
        """Return the requests held, without finished streams."""
        self._catch_up(now)
        return [
            types.HeldRequest(
                request.request_id, request.state, request.pieces
            )
            for request in self._context.requests.values()
            if request.state is not State.FINISHED
        ]

    def load(self, now: float) -> types.LoadView:
        """Return a load report between half a lag and one lag old."""
        self._catch_up(now)
        current = self._current_load(now)
        shown, age_s = self._delayed_load.reported(current, now)
        return types.LoadView(
            places=self.config.places,
            busy=shown.busy,
            queued=shown.queued,
            pieces=self.config.pieces,
            free_pieces=shown.free_pieces,
            backlog_tokens=shown.backlog_tokens,
            incarnation=self.incarnation,
            leaving=self.faults.leaving,
            age_s=age_s,
        )

    def cache_events(self, since: int, now: float) -> cache.CacheEvents:
        """Return the prefix cache events from number ``since`` on."""
        self._catch_up(now)
        return self._cache_events.read(since, now)

    def order(
        self, fencing_token: int, kind: str, value: str, now: float
    ) -> Outcome:
        """Apply or refuse an order; a load ends with ``OrderEnded``."""
        self._catch_up(now)
        return self._orders.apply(fencing_token, kind, value, now)

    def state(self) -> types.EngineState:
        """Return what is loaded and the last fencing token."""
        return self._orders.state(self.incarnation)

    def set_faults(self, values: dict[str, Any], now: float) -> None:
        """Change some faults; raise FaultError for unknown ones."""
        self._catch_up(now)
        self._context.faults = faults.with_changes(self.faults, values)
        self._decodes.stall(self.faults.stall_transfers, now)
        self._decodes.set_slow(self.faults.slow, now)
        self._prefills.set_slow(self.faults.slow, now)

    def silence(self) -> None:
        """Send nothing more to the readers attached now."""
        self._silent_through_id = self._last_reader_id

    def crash(self, now: float) -> None:
        """Drop all state; calls are not answered until ``restart``."""
        self._catch_up(now)
        self.alive = False
        self._context.counters.crashes += 1
        self._decodes.clear(now)
        self._prefills.clear()
        self._context.clear(now)
        self._blocks.clear()
        self._readers.clear()
        self._silent_through_id = 0
        self._orders.reset()

    def restart(self, now: float) -> None:
        """Start again as a new incarnation."""
        self._catch_up(now)
        self.alive = True
        self.incarnation += 1

    def _next_due(self) -> float:
        return min(self._context.next_timer(), self._decodes.next_time())

    def _catch_up(self, now: float) -> None:
        while (due := self._next_due()) <= now:
            if self._delayed_load.due(due):
                self._delayed_load.sample(due, self._current_load(due))
            self._now = due
            self._decodes.advance(due)
            self._context.run_timers(due)
            self._prefills.start_next(due)
        if self._delayed_load.due(now):
            self._delayed_load.sample(now, self._current_load(now))
        self._now = now

    def _check_new(
        self, request_id: str, role: states.Role, model: str | None
    ) -> Outcome:
        if not self.alive:
            return Outcome.DROPPED
        if self.faults.leaving:
            return Outcome.LEAVING
        if self.faults.full:
            self._context.counters.refused_full += 1
            return Outcome.FULL
        if role is not self._orders.role:
            return Outcome.WRONG_ROLE
        if model is not None and not self._orders.serves(model):
            return Outcome.NO_MODEL
        if request_id in self._context.requests:
            return Outcome.CONFLICT
        return Outcome.OK

    def _stream(self, request_id: str) -> engine_context.EngineRequest | None:
        request = self._context.requests.get(request_id)
        if request is None or request.state in PREFILL_STATES:
            return None
        return request

    def _with_faults(self, chunk: types.Chunk) -> types.Chunk:
        if faults.consume(self.faults, 'garble'):
            return chunk._replace(garbled=True)
        if faults.consume(self.faults, 'end_early'):
            return chunk._replace(finish=None, cut=True)
        if faults.consume(self.faults, 'wrong_id'):
            return self._as_other_stream(chunk)
        return chunk

    def _as_other_stream(self, chunk: types.Chunk) -> types.Chunk:
        """Return the chunk with the id and the tokens of another stream.

        Without another stream only the id is changed.
        """
        for request in self._context.requests.values():
            if request.request_id != chunk.request_id:
                texts = tuple(
                    tokens.token_for_key(request.prompt.key, chunk.offset + i)
                    for i in range(len(chunk.tokens))
                )
                return chunk._replace(
                    request_id=request.request_id, tokens=texts
                )
        return chunk._replace(request_id=f'{chunk.request_id}0')

    def _current_load(self, now: float) -> delayed_load.LoadSample:
        busy = self._context.counters.places_held
        return delayed_load.LoadSample(
            busy=busy + self._prefills.busy,
            queued=self._prefills.queued,
            free_pieces=self._context.free_pieces,
            backlog_tokens=self._prefills.backlog_tokens(now),
        )
