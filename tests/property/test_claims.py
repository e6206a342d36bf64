"""At most one execution for each idempotency key, under any failures."""

import random
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from primrosereel.core import _claim_witness as claim_witness
from primrosereel.core import _witness_sets as witness_sets
from tests.property import claims_cluster as cluster_module

SIZE = 6
SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NODES = st.integers(0, SIZE - 1)
KEYS = st.integers(0, 3)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Sends few keys to many entries while daemons and network fail."""

    def __init__(self):
        super().__init__()
        self.cluster = None
        self.keys = {}
        self.requests = []

    @stateful.initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        """Start a cluster in which every daemon is settled in the list."""
        self.cluster = cluster_module.Cluster(SIZE, seed)

    def _name(self, index):
        return self.cluster.names[index]

    def _key(self, index):
        return self.keys.setdefault(index, self._make_key(index, 0.0))

    def _make_key(self, index, age_s):
        made_at = cluster_module.EPOCH + self.cluster.now - age_s
        return cluster_module.make_key(int(made_at * 1000), index)

    @stateful.rule(index=KEYS, age_s=st.sampled_from([-1.9, 0, 5, 12, 20]))
    def make_key(self, index, age_s):
        """Make a key that is up to 20 s old or 1.9 s in the future."""
        self.keys.setdefault(index, self._make_key(index, age_s))

    @stateful.rule(
        node=NODES, key=KEYS, wait_s=st.sampled_from([0.01, 0.002, 0.1, 4.0])
    )
    def call(self, node, key, wait_s):
        """Call with a key that may have been used before."""
        name = self._name(node)
        request_id = self.cluster.call(name, self._key(key))
        self.requests.append((name, request_id))
        self.cluster.advance(wait_s)

    @stateful.rule(
        first=NODES, key=KEYS, wait_s=st.sampled_from([0.0, 0.003, 1.0, 12.0])
    )
    def call_everywhere(self, first, key, wait_s):
        """Call with one key at all entries, one after another."""
        for index in range(SIZE):
            self.call((first + index) % SIZE, key, wait_s)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(pick=st.integers(0, 1000))
    def leave(self, pick):
        """Let a caller disconnect."""
        name, request_id = self.requests[pick % len(self.requests)]
        if request_id is not None:
            self.cluster.disconnect_caller(name, request_id)

    @stateful.rule(node=NODES, notice_s=st.sampled_from([0.5, 2.0, 6.0]))
    def kill(self, node, notice_s):
        """Kill a daemon."""
        self.cluster.kill(self._name(node), notice_s)

    @stateful.rule(key=KEYS)
    def lose_witnesses(self, key):
        """Kill all witnesses of a key at once, as the loss of a rack does."""
        for name in self._witnesses(key):
            self.cluster.kill(name, 0.5)

    @stateful.rule(key=KEYS)
    def restart_witnesses(self, key):
        """Restart all witnesses of a key at once."""
        for name in self._witnesses(key):
            self.cluster.kill(name, 0.5)
            self.cluster.restart(name, 1.0)

    def _witnesses(self, key):
        for node in self.cluster.nodes.values():
            if node.alive:
                view = witness_sets.witness_set(
                    node.core.world,
                    cluster_module.REGION,
                    cluster_module.CLIENT_ACCOUNT,
                    self._key(key),
                )
                return [name for name, _ in view]
        return []

    @stateful.rule(node=NODES, notice_s=st.sampled_from([0.5, 2.0]))
    def restart(self, node, notice_s):
        """Start a daemon again under a new incarnation."""
        self.cluster.restart(self._name(node), notice_s)

    @stateful.rule(node=NODES)
    def drain(self, node):
        """Stop a daemon gracefully."""
        self.cluster.drain(self._name(node))

    @stateful.rule(node=NODES, seconds=st.sampled_from([0.5, 3.0, 15.0]))
    def pause(self, node, seconds):
        """Stop a process for a while."""
        self.cluster.pause(self._name(node), seconds)

    @stateful.rule(node=NODES, lagging=st.booleans())
    def cut_list(self, node, lagging):
        """Stop or resume a daemon's updates of the instance list."""
        self.cluster.nodes[self._name(node)].lagging = lagging

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
        slow=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
    )
    def change_network(self, loss, slow):
        """Change the rates of lost and delayed messages."""
        self.cluster.loss_rate = loss
        self.cluster.delay_rate = slow

    @stateful.rule(seconds=st.sampled_from([0.003, 0.3, 2.0, 4.0, 9.0]))
    def advance(self, seconds):
        """Let time pass; the cluster checks its invariants."""
        self.cluster.advance(seconds)

    def leave_last(self):
        """Let the caller of the newest call disconnect."""
        if self.requests:
            self.leave(-1)

    def forget_key(self, index):
        """Let the next use of an index make a new key."""
        self.keys.pop(index, None)

    def teardown(self):
        """Let everything that is in progress end."""
        if self.cluster is not None:
            self.cluster.advance(20.0)


@pytest.mark.parametrize('seed', range(5))
def test_consent_of_witness_with_outdated_list_proves_nothing(seed):
    """Guards against not_run for a key that ran under a newer list.

    A witness that was dropped from the instance list consents because its own
    copy is outdated. The entry cannot reach the other witnesses, which hold
    the claim.
    """
    cluster = cluster_module.Cluster(SIZE, seed)
    key = cluster_module.make_key(
        int((cluster_module.EPOCH + cluster.now) * 1000), 1
    )
    view = witness_sets.witness_set(
        cluster.nodes['n0'].core.world,
        cluster_module.REGION,
        cluster_module.CLIENT_ACCOUNT,
        key,
    )
    lagging, *reachable_by_others = (name for name, _ in view)
    entry, other, *_ = (n for n in cluster.names if n not in dict(view))
    cluster.nodes[lagging].lagging = True
    cluster.nodes[entry].lagging = True
    # Lists in transit arrive within 1 s.
    cluster.advance(1.1)
    cluster.unlist(lagging)
    cluster.advance(3.1)
    cluster.cut_links.update((entry, name) for name in reachable_by_others)
    cluster.call(other, key)
    cluster.advance(0.5)
    cluster.call(entry, key)
    cluster.advance(10.0)
    assert cluster.refused_not_run == 0 or not cluster.executions


# Steps of a random walk: name, weight, and the values of each argument.
SOME_NODES = range(SIZE)
SOME_KEYS = range(6)
WALK = (
    ('make_key', 2, (SOME_KEYS, (-1.9, 0, 5, 12))),
    ('call', 10, (SOME_NODES, SOME_KEYS, (0.002, 4.0))),
    ('call_everywhere', 2, (SOME_NODES, SOME_KEYS, (0.0, 0.003, 1.0, 6.0))),
    ('leave_last', 2, ()),
    ('forget_key', 1, (SOME_KEYS,)),
    ('kill', 2, (SOME_NODES, (0.5, 2.0, 6.0))),
    ('lose_witnesses', 0.5, (SOME_KEYS,)),
    ('restart_witnesses', 1, (SOME_KEYS,)),
    ('restart', 5, (SOME_NODES, (0.5, 2.0))),
    ('drain', 0.5, (SOME_NODES,)),
    ('pause', 1, (SOME_NODES, (0.5, 3.0, 15.0))),
    ('cut_list', 2, (SOME_NODES, (True, False, False))),
    ('change_network', 1, ((0, 0, 0.1, 0.5), (0, 0, 0.1, 0.5))),
    ('advance', 3, ((0.003, 0.3, 2.0, 9.0),)),
)


def walk(seed, steps=60):
    """Run weighted random steps of the state machine; return it.

    Most steps are calls: Hypothesis makes too few of them by itself to
    trigger the rare faults.
    """
    choice = random.Random(seed)
    machine = ClaimsMachine()
    machine.start(choice.randrange(2**32))
    weights = [weight for _, weight, _ in WALK]
    for name, _, values in choice.choices(WALK, weights, k=steps):
        getattr(machine, name)(*(choice.choice(v) for v in values))
    machine.teardown()
    return machine


def violations(count):
    """Return how many of the first ``count`` walks break an invariant."""
    found = 0
    for seed in range(count):
        try:
            walk(seed)
        except cluster_module.Violation:
            found += 1
    return found


def test_key_runs_at_most_once():
    """Guards against a second execution, a false not_run, a wrong replay."""
    stateful.run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)


@hypothesis.settings(max_examples=80)
@hypothesis.given(st.integers(0, 2**32))
def test_key_runs_at_most_once_on_walks(seed):
    """Guards against the same faults in long, busy histories."""
    walk(seed)


def test_walks_execute_and_replay_calls():
    """Guards against walks that check nothing because all calls fail."""
    machines = [walk(seed) for seed in range(20)]
    assert sum(len(m.cluster.executions) for m in machines) > 20
    assert sum(m.cluster.replays for m in machines) > 20


def _record_nothing(system, request, claim, made_at):
    return True


def _always_consent(history, client_account, key, made_at):
    return True


PLANTED_FAULTS = (
    (claim_witness.ClaimWitnessSystem, '_record', _record_nothing),
    (witness_sets.InstanceListHistory, 'may_consent', _always_consent),
)


@pytest.mark.parametrize('owner, name, fault', PLANTED_FAULTS)
def test_planted_fault_is_found(owner, name, fault):
    """Guards against a harness that does not detect a second execution.

    The planted faults are a witness that does not record claims, and one that
    consents to keys from before it was a witness.
    """
    with mock.patch.object(owner, name, fault):
        assert violations(20) > 0


def test_planted_fault_is_found_by_machine():
    """Guards against a state machine that never repeats a key."""
    with (
        mock.patch.object(
            claim_witness.ClaimWitnessSystem, '_record', _record_nothing
        ),
        pytest.raises(cluster_module.Violation),
    ):
        stateful.run_state_machine_as_test(
            ClaimsMachine,
            settings=hypothesis.settings(
                SETTINGS,
                phases=[hypothesis.Phase.generate],
                report_multiple_bugs=False,
            ),
        )
