"""Orders reconcile engines with the text under the limit on loads.

None is given with an outdated revision.
"""

import collections
import random

import hypothesis
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _core as core_module
from primrosereel.core import _messages as messages
from primrosereel.core import _orders as orders
from primrosereel.core import _tables as tables

SERVICE = 's'
TICK_S = 0.5
ENGINES = tuple(f'e{i}' for i in range(6))


class Engine:
    """An engine that executes orders and may be slow to load."""

    def __init__(self):
        self.role = 'prefill'
        self.loaded = {'load_model': set(), 'load_adapter': set()}
        self.token = 0
        self.loads = {}

    def execute(self, order, now, load_s):
        """Execute an order; a load ends after ``load_s``."""
        self.token = max(self.token, order.fencing_token)
        if order.kind == 'set_role':
            self.role = order.value
        else:
            self.loads.setdefault((order.kind, order.value), now + load_s)

    def finish(self, now):
        """End the loads that are due."""
        for (kind, value), at in list(self.loads.items()):
            if at <= now:
                del self.loads[kind, value]
                self.loaded[kind].add(value)

    def state(self, name):
        """Return what the engine reports."""
        return messages.RunnerStateRead(
            name,
            self.role,
            tuple(sorted(self.loaded['load_model'])),
            tuple(sorted(self.loaded['load_adapter'])),
            self.token,
        )


class Fleet:
    """One owner and its engines in virtual time."""

    def __init__(self, seed=1, checks_fencing=True, loss=0.0, load_s=20.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.load_s = load_s
        self.now = 0.0
        self.orders = []
        self.max_loads_seen = 0
        self.engines = {name: Engine() for name in ENGINES}
        identity = tables.Identity('n1', 1, 'r', 'z', 'h:1')
        self.core = core_module.Core(identity, random.Random(1), ('orders',))
        facts = {
            name: text_module.Runner(
                'h:1', 'z', states.Role.DECODE, checks_fencing=checks_fencing
            )
            for name in ENGINES
        }
        service = text_module.Service(
            states.ServiceKind.LLM, 'r', facts, 'm', ('x', 'y')
        )
        world = self.core.world
        world.text = text_module.Text({}, {SERVICE: service}, {})
        world.revision = ids.Revision(7)
        world.groups['g'] = ENGINES
        world.service_groups[SERVICE] = ('g',)
        world.group_regions['g'] = 'r'
        for name in ENGINES:
            world.runners[name] = tables.Runner(
                name, SERVICE, 'g', facts[name]
            )

    def handle(self, message):
        """Deliver a message to the owner."""
        self._execute(self.core.handle(message, self.now, self.now))

    def send_heartbeat(self, revision):
        """Deliver a heartbeat of a peer with a revision."""
        heartbeat = messages.Heartbeat(revision, 1, 0.0)
        self.handle(messages.FromPeer('n2', 1, heartbeat))

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for engine in self.engines.values():
                engine.finish(self.now)
            self._execute(self.core.tick(self.now, self.now))
            loading = sum(bool(e.loads) for e in self.engines.values())
            self.max_loads_seen = max(self.max_loads_seen, loading)

    def _execute(self, effects):
        for effect in effects:
            if isinstance(effect, messages.ReadRunnerState):
                engine = self.engines[effect.runner]
                self.handle(engine.state(effect.runner))
            elif isinstance(effect, messages.GiveOrder):
                self._execute_order(effect)

    def _execute_order(self, order):
        self.orders.append(order)
        if self.random.random() >= self.loss:
            self.engines[order.runner].execute(order, self.now, self.load_s)
        accepted = None if self.random.random() < self.loss else True
        answer = messages.OrderAnswered(
            order.runner, order.fencing_token, accepted
        )
        self.handle(answer)

    def is_converged(self):
        """Return whether every engine has the state that the text defines."""
        world = self.core.world
        return not any(
            orders.unmet_orders(
                orders.desired_orders(world.text, SERVICE, name),
                engine.state(name),
            )
            for name, engine in self.engines.items()
        )


@hypothesis.settings(max_examples=12)
@hypothesis.given(
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.3]),
    st.sampled_from([0.0, 15.0, 90.0]),
)
def test_engines_converge_with_few_loads(seed, loss, load_s):
    """Guards against overload of the weight store, and against a stall."""
    fleet = Fleet(seed, loss=loss, load_s=load_s)
    fleet.run(2500.0)
    assert fleet.is_converged()
    assert fleet.max_loads_seen <= orders.MAX_LOADS_PER_SERVICE
    given = len(fleet.orders)
    fleet.run(100.0)
    assert len(fleet.orders) == given


@hypothesis.given(st.integers(0, 20))
def test_old_revision_gives_no_order(token):
    """Guards against an order that reverts one of a newer text."""
    fleet = Fleet()
    for engine in fleet.engines.values():
        engine.token = token
    fleet.run(60.0)
    assert bool(fleet.orders) == (token <= 7)
    assert all(o.fencing_token == 7 for o in fleet.orders)


def test_unfenced_engine_needs_confirmed_revision():
    """Guards against orders of an owner that missed newer texts."""
    fleet = Fleet(checks_fencing=False)
    fleet.run(30.0)
    fleet.send_heartbeat(6)
    fleet.send_heartbeat(8)
    fleet.run(30.0)
    assert not fleet.orders
    fleet.send_heartbeat(7)
    fleet.run(3.0)
    given = len(fleet.orders)
    assert given
    # 5 s after the last heartbeat, no further order is given.
    fleet.run(3.0)
    given = len(fleet.orders)
    fleet.run(60.0)
    assert len(fleet.orders) == given


def test_groups_of_one_service_take_turns():
    """Guards against owners of several groups that all load at once."""
    fleet = Fleet(load_s=40.0)
    world = fleet.core.world
    names = ('g0', 'g1', 'g2')
    world.groups = {g: ENGINES[i * 2 : i * 2 + 2] for i, g in enumerate(names)}
    world.service_groups[SERVICE] = names
    world.group_regions = dict.fromkeys(names, 'r')
    world.owners.clear()
    for group, members in world.groups.items():
        for name in members:
            world.runners[name].group = group
    fleet.run(3000.0)
    starts = collections.Counter(o.runner for o in fleet.orders)
    assert fleet.is_converged(), starts
    assert fleet.max_loads_seen <= orders.MAX_LOADS_PER_SERVICE


def test_owners_of_two_groups_share_the_loads():
    """Guards against two owners that load at 2 engines each."""
    fleet = Fleet()
    world = fleet.core.world
    world.listing.instances = {
        name: messages.ListedInstance(name, 1, 'r', 'z', '')
        for name in ('n1', 'n2')
    }
    world.groups = {'g0': ENGINES[:3], 'g1': ENGINES[3:]}
    world.service_groups[SERVICE] = ('g0', 'g1')
    world.group_regions = dict.fromkeys(world.groups, 'r')
    world.owners.clear()
    for group, members in world.groups.items():
        for name in members:
            world.runners[name].group = group
    fleet.run(500.0)
    assert len({o.runner for o in fleet.orders}) == 3
    assert fleet.max_loads_seen == 1
