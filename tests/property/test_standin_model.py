"""Checks the engine model's memory, places and streams for any call order."""

import math
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import consumes
from hypothesis.stateful import invariant
from hypothesis.stateful import multiple
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from primrosereel import _states as states
from primrosereel import standin
from primrosereel.standin import _cache as cache

CONFIG = {
    'places': 2,
    'pieces': 12,
    'piece_tokens': 10,
    'link_bytes_s': 1000.0,
    'kv_bytes_per_token': 5,
    'prefill_tokens_s': 100.0,
    'decode_step_s': 0.05,
    'cache_blocks': 3,
}
PROMPTS = ['ab' * 20, 'cd' * 30, 'ef' * 20 + '[stop=7]', 'g' * 1100]
State = standin.State
WITH_PLACE = {State.IMPORTING, State.DECODING, State.PAUSING, State.RESUMING}


class EngineMachine(RuleBasedStateMachine):
    """Rules and invariants of both roles."""

    role = states.Role.DECODE
    requests = Bundle('requests')
    readers = Bundle('readers')

    def __init__(self):
        super().__init__()
        config = standin.EngineConfig(role=self.role, **CONFIG)
        self.engine = standin.EngineModel(config, random.Random(1))
        self.now = 0.0
        self.count = 0
        self.submitted = {}
        self.highest_offsets = {}

    def new_request(self, prompt, max_tokens=1, offset=0):
        self.count += 1
        name = f'a.1.{self.count}.1'
        self.submitted[name] = (prompt, max_tokens, offset)
        return name, standin.describe_prompt(prompt)

    def bundle_value(self, name, outcome):
        if outcome is standin.Outcome.OK:
            return name
        assert outcome is standin.Outcome.FULL
        return multiple()

    def end_of(self, name):
        prompt, max_tokens, offset = self.submitted[name]
        stop = 7 if 'stop' in prompt else max_tokens
        return max(offset, min(stop, max_tokens))

    @rule(name=requests)
    def cancel(self, name):
        assert self.engine.cancel(name, self.now) is standin.Outcome.OK
        assert self.engine.state_of(name) is None

    @rule(
        stalled=st.sampled_from([False, False, False, True]),
        slow=st.sampled_from([0.5, 1.0, 10.0]),
    )
    def fault(self, stalled, slow):
        values = {'stall_transfers': stalled, 'slow': slow}
        self.engine.set_faults(values, self.now)

    @rule(really=st.integers(0, 9))
    def crash(self, really):
        if really:
            return
        self.engine.crash(self.now)
        assert not self.engine.requests(self.now)
        self.engine.restart(self.now)

    @rule(seconds=st.sampled_from([0.01, 0.03, 0.2, 1.0, 4.0]))
    def wait(self, seconds):
        self.advance(self.now + seconds)

    @rule()
    def wait_for_event(self):
        due = self.engine.next_event()
        if due < math.inf:
            self.advance(due)

    def advance(self, now):
        self.now = now
        for event in self.engine.advance(now):
            assert event.time <= now
            if isinstance(event, standin.StreamEnded):
                finished = event.reason in ('stop', 'length')
                end = self.end_of(event.request_id)
                assert event.end == end if finished else event.end <= end
        assert self.engine.next_event() > now

    @invariant()
    def memory_adds_up(self):
        """The counters equal what the requests hold, within the limits."""
        held = self.engine.requests(self.now)
        counters = self.engine.counters
        assert sum(h.pieces for h in held) == counters.pieces_held
        assert 0 <= counters.pieces_held <= CONFIG['pieces']
        with_place = sum(h.state in WITH_PLACE for h in held)
        assert with_place == counters.places_held <= CONFIG['places']
        for request in held:
            without = request.state in (State.PAUSED, State.QUEUED)
            assert (request.pieces == 0) == without

    def teardown(self):
        for name in self.submitted:
            self.engine.cancel(name, self.now)
        counters = self.engine.counters
        assert counters.pieces_held == counters.places_held == 0
        assert counters.requests_held == 0
        self.engine.advance(self.now)
        assert self.engine.next_event() == math.inf


class PrefillMachine(EngineMachine):
    """Prefills, their transfers and their releases in any order."""

    role = states.Role.PREFILL

    @rule(
        target=EngineMachine.requests,
        prompt=st.sampled_from(PROMPTS),
        priority=st.integers(0, 2),
    )
    def ask(self, prompt, priority):
        name, properties = self.new_request(prompt)
        outcome = self.engine.prefill(name, properties, priority, self.now)
        return self.bundle_value(name, outcome)

    @rule(name=EngineMachine.requests)
    def transfer(self, name):
        kv = self.engine.pin_export(name, self.now)
        exported = self.engine.state_of(name) is State.EXPORTED
        assert (kv is not None) == exported

    @rule(name=EngineMachine.requests, used=st.booleans())
    def release(self, name, used):
        released = self.engine.release_export(name, used, self.now)
        if released and used:
            assert self.engine.state_of(name) is None


class DecodeMachine(EngineMachine):
    """Streams that are read, paused, detached and cancelled in any order."""

    requests = EngineMachine.requests
    readers = EngineMachine.readers

    @rule(
        target=requests,
        prompt=st.sampled_from(PROMPTS),
        max_tokens=st.integers(1, 25),
        offset=st.integers(0, 5),
        priority=st.integers(0, 2),
    )
    def ask(self, prompt, max_tokens, offset, priority):
        name, properties = self.new_request(prompt, max_tokens, offset)
        size = properties.tokens * CONFIG['kv_bytes_per_token']
        outcome = self.engine.decode(
            name, properties, max_tokens, size, priority, offset, self.now
        )
        return self.bundle_value(name, outcome)

    @rule(target=readers, name=requests)
    def attach(self, name):
        reader = self.engine.attach(name, self.now)
        return multiple() if reader is None else (name, reader)

    @rule(reader=consumes(readers))
    def detach(self, reader):
        self.engine.detach(reader[1], self.now)

    @rule(reader=readers, offset=st.integers(0, 5))
    def read(self, reader, offset):
        name, number = reader
        prompt, max_tokens, first = self.submitted[name]
        offset = max(offset, first)
        chunk = self.engine.read(number, offset, self.now)
        if chunk.gone:
            assert self.engine.state_of(name) is None
            return
        expected = tuple(
            standin.token_text(prompt, offset + i)
            for i in range(len(chunk.tokens))
        )
        assert chunk.tokens == expected
        reached = offset + len(chunk.tokens)
        end = max(offset, self.end_of(name))
        assert reached == end if chunk.finish else reached <= end
        if chunk.finish:
            stopped = 'stop' in prompt and max_tokens > 7
            assert chunk.finish == ('stop' if stopped else 'length')

    @rule(name=requests, seconds=st.sampled_from([0.0, 0.5]))
    def pause(self, name, seconds):
        reached = self.engine.next_offset(name, self.now)
        self.engine.pause(name, self.now)
        assert self.engine.next_offset(name, self.now) == reached
        self.advance(self.now + seconds)

    @rule(name=requests)
    def resume(self, name):
        reached = self.engine.next_offset(name, self.now)
        self.engine.resume(name, self.now)
        assert self.engine.next_offset(name, self.now) == reached

    @invariant()
    def streams_only_advance(self):
        """The offset of a stream never decreases."""
        for name in self.submitted:
            offset = self.engine.next_offset(name, self.now)
            if offset is not None:
                assert self.highest_offsets.get(name, 0) <= offset
                assert offset <= self.end_of(name)
                self.highest_offsets[name] = offset


@settings(max_examples=100)
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 6)), max_size=12))
def test_cached_blocks_are_prefixes(prompts):
    """Guards against eviction of a block before those that depend on it."""
    log = cache.CacheEventLog(0.0, 0.0, random.Random(1))
    blocks = cache.PrefixCache(5, log)
    for family, length in prompts:
        # Prompts of one family share their first two blocks.
        chain = tuple(
            family * 100 + i + (length * 10 if i > 1 else 0)
            for i in range(length)
        )
        blocks.store(chain, 0.0)
        assert len(blocks) <= 5
        events = log.read(0, 0.0)
        assert len(events.stored) == len(blocks)
        for other in range(1, 4):
            base = (other * 100, other * 100 + 1)
            cached = [block in events.stored for block in base]
            assert cached != [False, True]


TestPrefill = PrefillMachine.TestCase
TestPrefill.settings = settings(max_examples=50, stateful_step_count=30)
TestDecode = DecodeMachine.TestCase
TestDecode.settings = settings(max_examples=100, stateful_step_count=40)
