"""Engine model: memory, places and exact streams under any order of calls."""

import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import consumes
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import multiple
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from primrosereel import _states as states
from primrosereel import standin

CONFIG = standin.EngineConfig(
    places=3,
    pieces=8,
    piece_tokens=10,
    link_bytes_s=1000.0,
    kv_bytes_per_token=10,
    prefill_tokens_s=100.0,
    decode_step_s=0.05,
    cache_blocks=3,
)
PROMPTS = ['ab' * 20, 'cd' * 30, 'ef' * 50 + '[stop=7]', 'g' * 1100]


class EngineMachine(RuleBasedStateMachine):
    """One prefill and one decode engine, called in any order."""

    requests = Bundle('requests')
    readers = Bundle('readers')

    @initialize(
        role=st.sampled_from([states.Role.PREFILL, states.Role.DECODE])
    )
    def start(self, role):
        config = {f: getattr(CONFIG, f) for f in CONFIG.__struct_fields__}
        self.role = role
        self.engine = standin.EngineModel(
            standin.EngineConfig(**{**config, 'role': role}), random.Random(1)
        )
        self.now = 0.0
        self.count = 0
        self.asked = {}
        self.reached = {}

    @rule(
        target=requests,
        prompt=st.sampled_from(PROMPTS),
        max_tokens=st.integers(1, 25),
        offset=st.integers(0, 5),
        priority=st.integers(0, 2),
    )
    def ask(self, prompt, max_tokens, offset, priority):
        self.count += 1
        name = f'a.1.{self.count}.1'
        described = standin.describe(prompt)
        if self.role is states.Role.PREFILL:
            outcome = self.engine.prefill(name, described, priority, self.now)
        else:
            size = described.tokens * CONFIG.kv_bytes_per_token
            outcome = self.engine.decode(
                name, described, max_tokens, size, priority, offset, self.now
            )
        if outcome is standin.Outcome.OK:
            self.asked[name] = (prompt, max_tokens, offset)
            return name
        assert outcome is standin.Outcome.FULL
        return multiple()

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
        prompt, max_tokens, first = self.asked[name]
        offset = max(offset, first)
        chunk = self.engine.read(number, offset, self.now)
        if chunk.gone:
            return
        expected = tuple(
            standin.token_text(prompt, offset + i)
            for i in range(len(chunk.tokens))
        )
        assert chunk.tokens == expected
        end = offset + len(chunk.tokens)
        limit = min(max_tokens, 7) if 'stop' in prompt else max_tokens
        assert end <= max(limit, offset)
        if chunk.finish:
            assert end == max(limit, offset)
            assert (chunk.finish == 'stop') == (limit < max_tokens)

    @rule(name=requests)
    def pause(self, name):
        self.engine.pause(name, self.now)

    @rule(name=requests)
    def resume(self, name):
        self.engine.resume(name, self.now)

    @rule(name=requests)
    def transfer(self, name):
        self.engine.take_export(name, self.now)

    @rule(name=requests, used=st.booleans())
    def release(self, name, used):
        self.engine.release_export(name, used, self.now)

    @rule(name=requests)
    def cancel(self, name):
        assert self.engine.cancel(name, self.now) is standin.Outcome.OK
        assert self.engine.state_of(name) is None

    @rule(stalled=st.booleans(), slow=st.sampled_from([0.5, 1.0, 10.0]))
    def fault(self, stalled, slow):
        values = {'stall_transfers': stalled, 'slow': slow}
        self.engine.set_faults(values, self.now)

    @rule()
    def crash(self):
        self.engine.crash(self.now)
        assert not self.engine.requests(self.now)
        self.engine.restart(self.now)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 4.0]))
    def wait(self, seconds):
        self.now += seconds
        for event in self.engine.advance(self.now):
            assert event.time <= self.now
        assert self.engine.next_event() > self.now

    @invariant()
    def memory_adds_up(self):
        """What requests hold is what the engine counts, within limits."""
        held = self.engine.requests(self.now)
        counters = self.engine.counters
        assert sum(h.pieces for h in held) == counters.pieces_held
        assert 0 <= counters.pieces_held <= CONFIG.pieces
        assert 0 <= counters.places_held <= CONFIG.places

    @invariant()
    def streams_only_advance(self):
        """A stream never falls behind an offset it has reached."""
        for name in self.asked:
            offset = self.engine.produced(name, self.now)
            if offset is not None:
                assert offset >= self.reached.get(name, 0)
                self.reached[name] = offset

    def teardown(self):
        for name in getattr(self, 'asked', ()):
            self.engine.cancel(name, self.now)
            counters = self.engine.counters
        if getattr(self, 'asked', None):
            assert counters.pieces_held == counters.places_held == 0
            assert counters.requests_held == 0
            assert self.engine.advance(self.now) is not None
            assert self.engine.next_event() == math.inf


TestEngine = EngineMachine.TestCase
TestEngine.settings = settings(max_examples=80, stateful_step_count=30)
