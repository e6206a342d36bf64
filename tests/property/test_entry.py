"""Completion requests under faults: each ends once and leaks nothing."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from primrosereel.core import _messages as messages
from tests import entry_model as model_module

ENGINES = model_module.PREFILLS + model_module.DECODES
SHARES = st.sampled_from((0.05, 0.2, 0.0))
# Covers one request's longest chain of timeouts and all repeated cancels.
SETTLE_S = 200.0


class EntryMachine(stateful.RuleBasedStateMachine):
    """Drives requests, faults and time in any order.

    Guards against a caller that gets two ends or none, a duplicated or missing
    token, and engine memory that is never freed.
    """

    @stateful.initialize(
        seed=st.integers(0, 2**16), lost=SHARES, doubled=SHARES, late=SHARES
    )
    def start(self, seed, lost, doubled, late):
        """Build the model, with requests in progress."""
        self.model = model_module.Model(seed)
        self.degrade(lost, doubled, late)
        self.names = []
        self.tokens = {}
        self.submit(30, 6)
        self.model.advance(0.5)

    @stateful.rule(tokens=st.integers(1, 40), count=st.integers(1, 4))
    def submit(self, tokens, count):
        """Callers send requests at the same time."""
        for _ in range(count):
            name = self.model.submit(tokens)
            self.names.append(name)
            self.tokens[name] = tokens

    @stateful.rule(data=st.data())
    def leave(self, data):
        """A caller disconnects, perhaps after its request ended."""
        if self.names:
            self.model.leave(data.draw(st.sampled_from(self.names)))

    @stateful.rule(seconds=st.sampled_from((0.2, 0.03, 0.5, 1.5, 4.0)))
    def advance(self, seconds):
        """Time passes."""
        self.model.advance(seconds)

    @stateful.rule(lost=SHARES, doubled=SHARES, late=SHARES)
    def degrade(self, lost, doubled, late):
        """The fault rates of the network to the engines change."""
        self.model.network = model_module.Network(lost, doubled, late)

    @stateful.rule(
        mode=st.sampled_from(('grant', 'queue', 'silent', 'refuse'))
    )
    def owner(self, mode):
        """The owner becomes idle, full or unreachable."""
        self.model.owner_mode = mode
        if mode == 'grant':
            self.model.serve_queue()

    @stateful.rule(
        name=st.sampled_from(ENGINES),
        what=st.sampled_from(
            ('kill', 'kill silent', 'cut', 'cut silent', 'full', 'leave')
        ),
    )
    def break_engine(self, name, what):
        """An engine fails."""
        silent = what.endswith('silent')
        if what == 'full':
            self.model.engines[name].full = True
        elif what == 'leave':
            self.model.world.runners[name].leaving = True
        elif what.startswith('kill'):
            self.model.kill(name, silent)
        else:
            self.model.cut(name, silent)

    @stateful.rule(name=st.sampled_from(ENGINES))
    def repair_engine(self, name):
        """An engine works again."""
        self.model.engines[name].alive = True
        self.model.engines[name].full = False
        self.model.world.runners[name].leaving = False

    @stateful.rule(data=st.data(), pause=st.booleans())
    def preempt(self, data, pause):
        """The owner pauses or resumes a request."""
        request_ids = sorted(self.model.requests)
        if request_ids:
            request = self.model.requests[
                data.draw(st.sampled_from(request_ids))
            ]
            kind = messages.PauseStream if pause else messages.ResumeStream
            self.model.peer(kind(request.id, request.attempt))

    @stateful.invariant()
    def budget_is_not_negative(self):
        """Guards against more retries than the budget allows."""
        if hasattr(self, 'model'):
            budget = self.model.world.retry_budget
            assert budget.remaining(self.model.now) >= 0

    @stateful.invariant()
    def callers_have_prefixes(self):
        """Guards against duplicated, missing or foreign tokens."""
        for name in getattr(self, 'names', ()):
            got = self.model.received[name]
            expected = [model_module.token(name, n) for n in range(len(got))]
            assert got == expected
            assert len(self.model.ends[name]) <= 1

    def teardown(self):
        """End all faults; then each request must have ended cleanly."""
        if not hasattr(self, 'model'):
            return
        model = self.model
        model.heal()
        for runner in model.world.runners.values():
            runner.leaving = False
        model.advance(SETTLE_S)
        for name in self.names:
            if name in model.disconnected:
                assert model.ends[name] == []
                continue
            assert len(model.ends[name]) == 1, (name, model.ends[name])
            if model.ends[name] == ['finish']:
                assert len(model.received[name]) == self.tokens[name]
        assert model.held == set()
        assert model.granted <= model.released
        assert model.world.active_requests == 0
        assert not model.requests


EntryMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestEntry = EntryMachine.TestCase
