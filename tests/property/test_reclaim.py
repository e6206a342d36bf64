"""Engine memory of lost holders is freed, that of live ones is kept."""

import random

import hypothesis
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _core as core_module
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

EPOCH = 1_700_000_000.0
TICK_S = 0.1
# The target: memory is free 5 s after the list no longer has its holder.
FREED_WITHIN_S = 5.0
ENGINES = tuple(f'e{i:02}' for i in range(16))


class Pool:
    """One owner, its engines, and the instances that hold requests.

    Each engine holds a set of ids; ``needed`` are the ids that a live
    process still needs. Messages are lost with probability ``loss``.
    """

    def __init__(self, seed, loss=0.0, engines=ENGINES):
        self.random = random.Random(seed)
        self.loss = loss
        self.cancels_are_lost = False
        self.now = 0.0
        self.list_count = 0
        self.engines = {e: set() for e in engines}
        self.needed = set()
        self.live = {}
        self._listed = {}
        self._revision = 1
        self._sequence = 0
        self._pending = []
        self.identity = tables.Identity('own', int(EPOCH * 1000), 'r', 'z', '')
        self.core = core_module.Core(
            self.identity, random.Random(1), ('reclaim',)
        )
        world = self.core.world
        world.groups['g'] = engines
        world.group_regions['g'] = 'r'
        facts = text_module.Runner('h:1', 'z', states.Role.DECODE)
        for engine in engines:
            world.runners[engine] = tables.Runner(engine, 's', 'g', facts)
        self.update_list()

    def start(self, name):
        """Start a process that is not listed yet."""
        self.now += 0.002
        self.live[name] = int((EPOCH + self.now) * 1000)

    def kill(self, name):
        """End a process; its requests are no longer needed."""
        incarnation = self.live.pop(name, None)
        holder = ids.Holder(name, incarnation)
        self.needed = {i for i in self.needed if ids.holder_of(i) != holder}

    def update_list(self):
        """Update the list to the processes that run now."""
        self._listed = dict(self.live)
        self._revision += 1
        self._take_list()

    def request(self, name, engine):
        """Add an engine request of a live process; return its id."""
        self._sequence += 1
        request = ids.request_id(name, self.live[name], self._sequence)
        engine_id = ids.engine_request_id(request, 1)
        self.engines[engine].add(engine_id)
        self.needed.add(engine_id)
        return engine_id

    def run(self, seconds):
        """Let time pass with ticks; messages take up to 0.3 s."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._refresh()
            self._execute(self.core.tick(self.now, EPOCH + self.now))
            due = [p for p in self._pending if p[0] <= self.now]
            self._pending = [p for p in self._pending if p[0] > self.now]
            for _, message in due:
                self._execute(
                    self.core.handle(message, self.now, EPOCH + self.now)
                )

    def held(self):
        """Return all ids that an engine holds."""
        return set().union(*self.engines.values())

    def _refresh(self):
        self.core.world.listing.as_of = EPOCH + self.now

    def _take_list(self):
        rows = {
            name: messages.ListedInstance(name, incarnation, 'far', 'z', '')
            for name, incarnation in self._listed.items()
        }
        rows['own'] = self.identity.listed()
        self.core.world.listing = tables.Listing(
            self._revision, EPOCH + self.now, rows
        )
        self.core.world.owners.clear()

    def _deliver_later(self, message):
        if self.random.random() >= self.loss:
            delay_s = self.random.uniform(0.01, 0.3)
            self._pending.append((self.now + delay_s, message))

    def _execute(self, effects):
        for effect in effects:
            if isinstance(effect, messages.ListRequests):
                self.list_count += 1
                held = tuple(sorted(self.engines[effect.runner]))
                self._deliver_later(
                    messages.RequestsListed(effect.runner, held)
                )
            elif isinstance(effect, messages.CancelUpstream):
                self._cancel(effect)
            elif isinstance(effect, messages.SendPeer):
                self._answer_query(effect)

    def _cancel(self, effect):
        assert effect.engine_request_id not in self.needed, effect
        if self.cancels_are_lost or self.random.random() < self.loss:
            return
        self.engines[effect.runner].discard(effect.engine_request_id)
        self._deliver_later(
            messages.CancelConfirmed(effect.runner, effect.engine_request_id)
        )

    def _answer_query(self, effect):
        """Answer as the live process of the instance, if there is one."""
        incarnation = self.live.get(effect.destination)
        if incarnation is None:
            return
        query = effect.message
        unneeded = tuple(
            i
            for i in query.engine_request_ids
            if i not in self.needed
            and ids.holder_of(i) == (effect.destination, incarnation)
        )
        reply = messages.HolderReply(query.runner, unneeded)
        self._deliver_later(
            messages.FromPeer(effect.destination, incarnation, reply)
        )


STEP = st.sampled_from(
    ['start', 'kill', 'restart', 'show', 'request', 'request', 'end', 'run']
)


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.integers(0, 2**32),
    st.sampled_from([0.0, 0.3]),
    st.lists(STEP, max_size=40),
)
def test_only_unneeded_memory_is_freed(seed, loss, steps):
    """Guards against cancels of live streams, and against memory leaks."""
    pool = Pool(seed, loss)
    for step in steps:
        name = pool.random.choice(['a', 'b', 'c'])
        engine = pool.random.choice(ENGINES)
        if step in ('kill', 'restart') or (
            step == 'start' and name in pool.live
        ):
            pool.kill(name)
        if step in ('start', 'restart'):
            pool.start(name)
        elif step == 'show':
            pool.update_list()
        elif step == 'request' and name in pool.live:
            pool.request(name, engine)
        elif step == 'end' and pool.needed:
            pool.needed.discard(min(pool.needed))
        elif step == 'run':
            pool.run(pool.random.choice([0.2, 3.0, 20.0]))
    pool.update_list()
    pool.loss = 0.0
    pool.run(40.0)
    assert pool.held() == pool.needed


def test_memory_of_lost_instance_is_freed_in_time():
    """Guards against memory that stays allocated for a lost instance."""
    pool = Pool(1)
    for name in 'abc':
        pool.start(name)
    pool.update_list()
    for engine in ENGINES:
        for name in 'abc':
            pool.request(name, engine)
    pool.run(10.0)
    pool.kill('a')
    pool.kill('b')
    pool.start('b')
    pool.update_list()
    pool.run(FREED_WITHIN_S)
    assert pool.held() == pool.needed


def test_unreachable_holder_keeps_its_requests():
    """Guards against a cancel for a holder that is only unreachable."""
    pool = Pool(1)
    pool.start('a')
    pool.update_list()
    pool.request('a', 'e00')
    pool.needed.clear()
    pool.loss = 1.0
    pool.run(60.0)
    assert pool.held()


def test_unlisted_new_holder_keeps_its_requests():
    """Guards against cancels for a daemon that the list does not have yet."""
    pool = Pool(1)
    pool.start('a')
    pool.request('a', 'e00')
    pool.run(10.0)
    assert pool.held() == pool.needed


def test_foreign_ids_are_kept():
    """Guards against cancels of requests that another system created."""
    pool = Pool(1)
    pool.engines['e00'].add('batch-job')
    pool.run(30.0)
    assert pool.held() == {'batch-job'}


def test_list_requests_are_spaced():
    """Guards against a rate of list requests that grows with the engines."""
    pool = Pool(1)
    pool.run(20.0)
    assert 16 <= pool.list_count <= 4 * 20 + 1


def test_loss_triggers_list_before_next_turn():
    """Guards against a loss that is handled only at each engine's turn."""
    pool = Pool(1, engines=ENGINES[:2])
    pool.start('a')
    pool.update_list()
    for engine in ENGINES[:2]:
        pool.request('a', engine)
    pool.run(10.6)
    pool.kill('a')
    pool.update_list()
    pool.run(1.0)
    assert not pool.held()


def test_lost_cancel_is_repeated():
    """Guards against memory that stays allocated when a cancel is lost."""
    pool = Pool(1)
    pool.start('a')
    pool.update_list()
    pool.request('a', 'e00')
    pool.run(1.0)
    pool.kill('a')
    pool.update_list()
    pool.cancels_are_lost = True
    pool.run(10.0)
    pool.cancels_are_lost = False
    pool.run(2.0)
    assert not pool.held()


def test_reply_of_other_instance_frees_nothing():
    """Guards against a reply of another daemon that frees a live stream."""
    pool = Pool(1)
    pool.start('a')
    pool.start('b')
    pool.update_list()
    engine_id = pool.request('a', 'e00')
    pool.run(6.0)
    reply = messages.HolderReply('e00', (engine_id,))
    for incarnation in (pool.live['b'], pool.live['a']):
        sent = messages.FromPeer('b', incarnation, reply)
        assert not pool.core.handle(sent, pool.now, EPOCH + pool.now)
