"""The ledger under random event orders, compared with a naive recount."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from primrosereel import _states as states
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from tests import pool_harness

NAMES = st.sampled_from([f'q{n}' for n in range(8)])
ATTEMPTS = st.integers(1, 3)
ENTRIES = st.sampled_from(['e1', 'e2'])
RUNNERS = st.sampled_from(['g0-d0', 'g0-d1', 'g0-p0', 'g0-p1'])
Phase = capacity_ledger.Phase


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Guards against places that leak, count twice or become negative."""

    def __init__(self):
        super().__init__()
        self.harness = pool_harness.PoolHarness(peers=('e1', 'e2'))
        self.harness.tick(0.4)
        self.may_overbook = False

    @stateful.rule(
        name=NAMES,
        attempt=ATTEMPTS,
        priority=st.integers(0, 1),
        sender=ENTRIES,
        tokens=st.integers(1, 9000),
        wait_s=st.sampled_from([0.0, 0.5, 30.0]),
        has_kv=st.booleans(),
    )
    def ask(self, name, attempt, priority, sender, tokens, wait_s, has_kv):
        """Send a new or repeated request, or another attempt of one."""
        kv = messages.KvTransfer('h', 'g0-p0', tokens, 1) if has_kv else None
        self.harness.request_grant(
            name,
            priority,
            attempt,
            sender,
            prompt_tokens=tokens,
            max_tokens=500,
            wait_s=wait_s,
            prefix_hashes=tuple(range(tokens // 500)),
            kv=kv,
        )

    @stateful.rule(
        name=NAMES,
        attempt=ATTEMPTS,
        stage=st.sampled_from(list(states.Stage)),
        cached=st.integers(0, 9000),
        speed=st.sampled_from([0.0, 1e-4, 1e-3]),
    )
    def progress(self, name, attempt, stage, cached, speed):
        """Send progress that may be late, repeated or of no known request."""
        self.harness.report_progress(
            name, stage, attempt, cached_tokens=cached, speed=speed
        )

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 31.0]))
    def wait(self, seconds):
        """Advance the time past leases, deadlines and repeated orders."""
        self.harness.tick(seconds, step=0.5)

    @stateful.rule(
        runner=RUNNERS,
        busy=st.integers(0, 4),
        free=st.integers(0, 10),
        age_s=st.sampled_from([0.0, 1.0]),
    )
    def report(self, runner, busy, free, age_s):
        """Report an arbitrary load."""
        report = messages.LoadReport(busy, 0, free, 100 * busy, age_s=age_s)
        system = self.harness.system
        system.receive(messages.LoadReported(runner, report), self.harness.now)
        self.harness.tick()

    @stateful.rule(name=NAMES, attempt=ATTEMPTS, decoding=st.booleans())
    def live_grants(self, name, attempt, decoding):
        """Report the grant of another owner, which may overbook."""
        self.may_overbook = True
        grant = messages.LiveGrant(
            name, attempt, 'g0-p0', 'g0-d0', 2500, 0, decoding, 'c'
        )
        self.harness.deliver(messages.LiveGrants('g0', (grant,)), 'e2')

    @stateful.rule(entries=st.sampled_from([('e1',), ('e1', 'e2')]))
    def change_list(self, entries):
        """Remove or add an entry in the instance list."""
        self.harness.list_instances(pool_harness.OWNER, *entries)
        self.harness.tick()

    @stateful.rule(decode=st.integers(1, 2), places=st.integers(1, 3))
    def change_text(self, decode, places):
        """Remove or add a runner, or change the number of places."""
        self.may_overbook = True
        text = pool_harness.make_text(decode=decode, places=places)
        self.harness.load_text(text)
        self.harness.tick()

    @stateful.rule(name=NAMES, attempt=ATTEMPTS)
    def lose_grant(self, name, attempt):
        """Report that a grant did not reach its entry."""
        grant = messages.Grant(name, attempt, None, 'g0-d0', 30.0)
        failure = messages.PeerFailed('e1', (grant,))
        self.harness.system.receive(failure, self.harness.now)
        self.harness.tick()

    @stateful.rule()
    def pause_process(self):
        """Pause the process for longer than a tick."""
        self.harness.now += 5
        self.harness.tick(0.4)

    @stateful.invariant()
    def counts_match_a_recount(self):
        """Every count equals a recount from the reservations."""
        group = self.harness.group()
        ledger = group.ledger
        reservations = ledger.reservations.values()
        for runner, runner_state in ledger.decode_runners.items():
            on_runner = [
                reservation
                for reservation in reservations
                if reservation.decode_runner == runner
                and reservation.phase not in (Phase.PAUSED, Phase.PAUSING)
            ]
            assert set(runner_state.occupants.values()) == set(on_runner)
            assert runner_state.used_pieces == sum(
                reservation.pieces for reservation in on_runner
            )
            assert set(runner_state.transfers) <= {
                reservation.request_id for reservation in on_runner
            }
            assert (
                0
                <= runner_state.free_places(self.harness.now)
                <= runner_state.facts.places
            )
            assert (
                0
                <= runner_state.free_pieces(self.harness.now)
                <= runner_state.facts.pieces
            )
            if not self.may_overbook:
                not_decoding = [
                    reservation
                    for reservation in on_runner
                    if reservation.phase is not Phase.DECODE
                ]
                assert len(not_decoding) <= runner_state.facts.places
        for runner, runner_state in ledger.prefill_runners.items():
            for request in runner_state.jobs:
                reservation = ledger.reservations[request]
                assert reservation.prefill_runner == runner
                assert reservation.phase is Phase.PREFILL
            assert runner_state.wait(0, self.harness.now) >= 0
        assert ledger.suspended == {
            reservation.request_id: reservation
            for reservation in reservations
            if reservation.phase in (Phase.PAUSED, Phase.PAUSING)
        }
        assert ledger.requests_by_entry == {
            entry: {
                reservation.request_id
                for reservation in reservations
                if reservation.entry == entry
            }
            for entry in {reservation.entry for reservation in reservations}
        }

    @stateful.invariant()
    def waiting_is_bounded(self):
        """No request waits beyond the limit or while it has places."""
        group = self.harness.group()
        waiting = group.queue.in_order()
        assert len(waiting) <= 4
        for request in waiting:
            assert request.request.request_id not in group.ledger.reservations
        for reservation in group.ledger.reservations.values():
            assert reservation.pauses <= 2 or reservation.phase is Phase.PAUSED

    def teardown(self):
        """Without renewals all reservations are released."""
        self.harness.tick(70, step=0.5)
        group = self.harness.group()
        assert not group.ledger.reservations
        assert not len(group.queue)
        for runner in group.ledger.decode_runners.values():
            assert runner.used_pieces == 0
        assert not group._preemption._unconfirmed


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(max_examples=60, stateful_step_count=30)
