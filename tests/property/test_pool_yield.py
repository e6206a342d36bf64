"""Pauses for work of the same priority, under random event orders."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from primrosereel import _states as states
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _preemption as preemption
from tests import pool_harness

GAP_S = 0.069
STEP_S = 0.03
MAX_TOKENS = 300
Phase = capacity_ledger.Phase
Stage = states.Stage


class YieldMachine(stateful.RuleBasedStateMachine):
    """Guards against a stream that misses its gap target because of a pause.

    The test simulates the engines: each stream gets a token every step while
    it runs, and pauses and resumptions take effect at once. Tokens are
    counted independently of the owner's estimate.
    """

    def __init__(self):
        super().__init__()
        self.harness = pool_harness.PoolHarness(
            peers=('e1',), prefill=4, decode=2, places=3, pieces=20
        )
        self.harness.tick(0.4)
        self.number = 0
        self.produced = {}
        self.first_at = {}
        self.running = set()
        self.pause_counts = {}
        self.seen = 0

    @stateful.rule(
        count=st.integers(1, 3), tokens=st.sampled_from([1500, 2500, 5000])
    )
    def ask(self, count, tokens):
        """Request several streams at once."""
        for _ in range(count):
            self.number += 1
            self.harness.request_grant(
                f'q{self.number}',
                prompt_tokens=tokens,
                max_tokens=MAX_TOKENS,
            )
            self._carry_out_orders()

    @stateful.rule(
        count=st.integers(5, 40), pause_s=st.sampled_from([0.2, 0.5, 1.0])
    )
    def keep_asking(self, count, pause_s):
        """Offer about as much load as the places serve, or more."""
        for _ in range(count):
            self.ask(1, 2500)
            self.wait(pause_s)
            self.mean_gaps_meet_the_target()
            self.pauses_are_bounded()

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def wait(self, seconds):
        """Let streams start, run and end."""
        for _ in range(round(seconds / 0.1)):
            self._step(0.1)

    @stateful.invariant()
    def mean_gaps_meet_the_target(self):
        """No pause makes a stream late, whenever it ends."""
        for name, first_at in self.first_at.items():
            if name in self.pause_counts:
                elapsed = self.harness.now - first_at
                assert elapsed <= self.produced[name] * GAP_S + STEP_S

    @stateful.invariant()
    def pauses_are_bounded(self):
        """No stream is paused more often than allowed."""
        for count in self.pause_counts.values():
            assert count <= preemption.MAX_YIELDS
        for reservation in self._ledger().reservations.values():
            assert reservation.yields <= preemption.MAX_YIELDS
            assert reservation.yields == self.pause_counts.get(
                reservation.request_id, 0
            )

    @stateful.invariant()
    def places_are_not_overbooked(self):
        """A paused stream frees its place for only one request."""
        ledger = self._ledger()
        reservations = ledger.reservations.values()
        for runner_id, runner in ledger.decode_runners.items():
            on_runner = [
                reservation
                for reservation in reservations
                if reservation.decode_runner == runner_id
            ]
            occupants = [
                reservation
                for reservation in on_runner
                if reservation.has_place
            ]
            assert set(runner.occupants.values()) == set(occupants)
            assert len(occupants) <= runner.facts.places
            assert runner.used_pieces == sum(
                reservation.pieces for reservation in occupants
            )
            assert runner.used_pieces <= runner.facts.pieces
        assert set(ledger.suspended) == {
            reservation.request_id
            for reservation in reservations
            if not reservation.has_place
        }

    def _ledger(self):
        return self.harness.group().ledger

    def _step(self, seconds):
        self.harness.tick(seconds)
        self._carry_out_orders()
        for name in list(self.running):
            self.produced[name] += seconds / STEP_S
            if self.produced[name] >= MAX_TOKENS:
                self._end(name)
        for reservation in list(self._ledger().reservations.values()):
            if reservation.phase is Phase.PREFILL:
                self._begin(reservation.request_id)

    def _begin(self, name):
        self.harness.report_progress(name, Stage.PREFILL_DONE)
        self._carry_out_orders()
        self.harness.report_progress(name, Stage.DECODING)
        self.first_at[name] = self.harness.now
        self.produced[name] = 1.0
        self.running.add(name)
        self._carry_out_orders()

    def _end(self, name):
        self.running.discard(name)
        self.first_at.pop(name)
        self.pause_counts.pop(name, None)
        self.harness.report_progress(name, Stage.RELEASED)
        self._carry_out_orders()

    def _carry_out_orders(self):
        """Carry out and confirm the pause and resume orders that were sent."""
        while True:
            paused = self.harness.paused() & self.running
            resumed = self.harness.resumed() - self.running
            self.harness.sent.clear()
            if not paused and not resumed:
                return
            confirmations = []
            for name in paused:
                self.pause_counts[name] = self.pause_counts.get(name, 0) + 1
                self.running.discard(name)
                confirmations.append((name, Stage.PAUSED))
            for name in resumed:
                if name in self.first_at:
                    self.running.add(name)
                    confirmations.append((name, Stage.RESUMED))
            for name, stage in confirmations:
                sent = self.harness.report_progress(name, stage)
                self.harness.sent.extend(sent)


TestYield = YieldMachine.TestCase
TestYield.settings = settings(max_examples=40, stateful_step_count=10)


def _group_full_of_old_streams():
    """Return a harness whose only decode runner is full of old streams."""
    harness = pool_harness.PoolHarness(
        peers=('e1',), prefill=4, decode=1, places=2, pieces=20
    )
    harness.tick(0.4)
    for name in ('a', 'b'):
        harness.start_stream(name, prompt_tokens=2000, max_tokens=MAX_TOKENS)
        harness.tick(0.5)
    harness.tick(5.0)
    return harness


def test_on_time_request_gets_the_place_of_a_stream_with_slack():
    """Guards against streams that never yield."""
    harness = _group_full_of_old_streams()
    sent = harness.request_grant(
        'c', prompt_tokens=2000, max_tokens=MAX_TOKENS
    )
    assert len(harness.paused(sent)) == 1
    assert 'c' in harness.granted(sent)


def test_stream_without_slack_keeps_its_place():
    """Guards against the pause of a stream that has earned no slack."""
    harness = pool_harness.PoolHarness(
        peers=('e1',), prefill=4, decode=1, places=1, pieces=20
    )
    harness.tick(0.4)
    harness.start_stream('a', prompt_tokens=2000, max_tokens=MAX_TOKENS)
    harness.tick(0.5)
    sent = harness.request_grant(
        'c', prompt_tokens=2000, max_tokens=MAX_TOKENS
    )
    assert not harness.paused(sent)
    assert not harness.granted(sent)
