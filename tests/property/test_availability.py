"""The availability of runners, as six sources tell it in any order."""

import dataclasses
import itertools
import math
import pathlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability
from primrosereel.routing import _availability_record as availability_record
from primrosereel.routing import _availability_states as availability_states
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _runners as runners
from tests.property import test_routing_places as places_tests

PAGE = pathlib.Path(__file__).resolve().parents[2] / 'docs' / 'design.md'
RUNNER = ids.RunnerId('r')
SERVICE = ids.ServiceId('plain')
PEER = ids.InstanceId('peer')

Availability = availability.Availability
Event = availability_states.Event
Source = availability.Source
Version = availability.RunVersion


def known_table(sequence=5, **bounds):
    """Return a table with one ready runner, and its list of transitions."""
    seen = []
    table = availability.AvailabilityTable(
        availability.AvailabilityBounds(**bounds), seen.append
    )
    table.observe_entry(RUNNER, Version(10, sequence), False, 0.0)
    return table, seen


def test_each_event_leads_to_a_known_state():
    """Guards against an event that some state does not expect.

    Leaving ends by a new run only, a removed runner needs a newer entry, and
    nothing but a run's own word or a removal bars a runner for good.
    """
    table = availability_states.TRANSITIONS
    pairs = set(itertools.product(Availability, Event))
    assert set(table) == pairs
    leaves = {
        Event.LISTED_LEAVING,
        Event.NEW_RUN_LEAVING,
        Event.SAID_LEAVING,
    }
    ends = {Event.REMOVED, Event.REREGISTRATION_OVER}
    for (state, event), new in table.items():
        if event is Event.NEW_RUN:
            assert new is Availability.READY
        elif state is Availability.LEAVING:
            assert new in availability_states.BARRED
        elif state is Availability.GONE:
            returns = {Event.LISTED, Event.LISTED_LEAVING, Event.BACK_AT_PEER}
            returns.add(Event.NEW_RUN_LEAVING)
            assert (new is not state) == (event in returns)
        elif new in availability_states.BARRED:
            assert event in leaves | ends
        if event in leaves and state is not Availability.GONE:
            assert new is Availability.LEAVING
        if event is Event.REMOVED:
            assert new is Availability.GONE


def test_the_table_of_the_page_is_that_of_the_code():
    """Guards against a page that tells other transitions than are made."""
    rows = [
        [cell.strip(' `') for cell in line.strip('|').split('|')]
        for line in PAGE.read_text().splitlines()
        if line.startswith('| `')
    ]
    after = {row[0]: row[1:] for row in rows if len(row) == 6}
    for event in Event:
        expected = [
            availability_states.TRANSITIONS[state, event].value
            for state in Availability
        ]
        assert after[event.value] == expected, event


@pytest.mark.parametrize('source', [Source.ANSWER, Source.PEER, Source.ENTRY])
def test_leaving_is_final_for_a_run(source):
    """Guards against an old ready entry that overrides a runner's word."""
    table, seen = known_table()
    if source is Source.ENTRY:
        table.observe_entry(RUNNER, Version(10, 6), True, 1.0)
    else:
        table.observe_leaving(RUNNER, 10, source, 1.0, age_s=0.25)
    assert seen[-1].source is source
    assert table.observe_entry(RUNNER, Version(10, 9), False, 1.5)
    assert not table.accepts(RUNNER, 1.5)
    table.observe_removal(RUNNER, 2.0)
    table.observe_entry(RUNNER, Version(10, 10), False, 2.5)
    assert table.state(RUNNER, 2.5) is Availability.LEAVING
    assert table.observe_entry(RUNNER, Version(11, 1), False, 3.0)
    assert table.accepts(RUNNER, 3.0)
    table.observe_leaving(RUNNER, 10, source, 3.5)
    assert not table.observe_entry(RUNNER, Version(10, 99), True, 3.5)
    assert table.accepts(RUNNER, 3.5)


def test_gone_runner_comes_back_only_with_a_newer_entry():
    """Guards against an old copy of the store that revives a runner."""
    table, _ = known_table()
    table.observe_removal(RUNNER, 1.0)
    for sequence in (4, 5):
        assert not table.observe_entry(RUNNER, Version(10, sequence), False, 2)
        assert table.state(RUNNER, 2.0) is Availability.GONE
    assert table.observe_entry(RUNNER, Version(10, 6), False, 3.0)
    assert table.accepts(RUNNER, 3.0)
    # What an entry says is not forgotten while the runner is gone.
    table.observe_removal(RUNNER, 4.0)
    assert not table.observe_entry(RUNNER, Version(10, 6), True, 5.0)
    table.observe_entry(RUNNER, Version(10, 7), False, 6.0)
    assert table.state(RUNNER, 6.0) is Availability.LEAVING


def test_transition_tells_source_age_and_what_it_overrode():
    """Guards against a runner that gets nothing, and no line says why."""
    table, seen = known_table()
    table.observe_leaving(RUNNER, 10, Source.PEER, 4.0, age_s=0.5)
    transition = seen[-1]
    assert transition[:5] == (
        RUNNER,
        Availability.READY,
        Availability.LEAVING,
        Source.PEER,
        0.5,
    )
    assert transition.overrode.startswith('ready by entry')
    count = len(seen)
    table.observe_leaving(RUNNER, 10, Source.ANSWER, 4.5)
    assert len(seen) == count


@pytest.mark.parametrize(
    ('asked_s', 'honoured_s'),
    [
        (0.75, 0.75),
        (1e9, 120.0),
        (math.inf, 120.0),
        (0.0, 0.0),
        (-3.0, 0.0),
        (math.nan, 0.0),
    ],
)
def test_back_off_is_bounded(asked_s, honoured_s):
    """Guards against a runner that is unused for good by an absurd value."""
    table, _ = known_table()
    for_s = table.observe_back_off(RUNNER, 10, asked_s, Source.REFUSAL, 1.0)
    assert for_s == honoured_s
    assert table.back_off_remaining_s(RUNNER, 1.0) == honoured_s
    assert table.accepts(RUNNER, 1.0) == (not honoured_s)
    assert table.accepts(RUNNER, 1.0 + honoured_s)


def test_back_off_outlasts_other_statements_of_the_run():
    """Guards against requests to a runner that asked for a pause."""
    table, _ = known_table()
    table.observe_back_off(RUNNER, 10, 5.0, Source.REFUSAL, 1.0)
    table.observe_back_off(RUNNER, 10, 0.5, Source.REFUSAL, 1.1)
    table.observe_removal(RUNNER, 1.2, missing_until=3.0)
    table.observe_entry(RUNNER, Version(10, 6), False, 1.5)
    assert table.state(RUNNER, 1.5) is Availability.BACKING_OFF
    assert not table.accepts(RUNNER, 5.9)
    assert table.shortest_back_off_s([RUNNER], 5.0) == 1.0
    table.observe_entry(RUNNER, Version(11, 1), False, 5.5)
    assert table.accepts(RUNNER, 5.5)
    assert table.shortest_back_off_s([RUNNER], 5.5) == 0.0


def test_refusal_to_a_peer_is_only_a_hint():
    """Guards against a runner that nobody uses after one refusal."""
    sender, receiver = known_table()[0], known_table()[0]
    sender.observe_back_off(RUNNER, 10, 2.0, Source.REFUSAL, 1.0)
    for notice in sender.notices(1.5):
        receiver.receive(notice, 1.5)
    assert receiver.is_hinted(RUNNER, 2.9)
    assert not receiver.is_hinted(RUNNER, 3.0)
    assert receiver.accepts(RUNNER, 2.9)


def test_peers_tell_that_a_runner_left_and_that_it_is_back():
    """Guards against a cut-off instance that uses, or misses, a runner."""
    sender, receiver = known_table()[0], known_table()[0]

    def tell(now):
        for notice in sender.notices(now):
            receiver.receive(notice, now)

    sender.observe_removal(RUNNER, 2.0)
    tell(2.1)
    assert not receiver.accepts(RUNNER, 2.1)
    sender.observe_entry(RUNNER, Version(10, 6), False, 4.0)
    tell(4.1)
    assert receiver.accepts(RUNNER, 4.1)
    stale = availability.Notice(RUNNER, 10, Availability.GONE, 2.5)
    receiver.receive(stale, 4.2)
    assert receiver.accepts(RUNNER, 4.2)


def test_peer_that_saw_a_newer_entry_contradicts():
    """Guards against a word of a runner's end that spreads after its return.

    The peer read the entry later, and not the removal before it.
    """
    witness, receiver = known_table()[0], known_table()[0]
    witness.observe_entry(RUNNER, Version(10, 6), False, 3.0)
    for table in (receiver, witness):
        gone = availability.Notice(RUNNER, 10, Availability.GONE, 1.5)
        table.receive(gone, 4.0)
    assert not receiver.accepts(RUNNER, 4.0)
    for notice in witness.notices(4.5):
        receiver.receive(notice, 4.5)
    assert receiver.accepts(RUNNER, 4.5)


def test_memory_of_runners_that_left_is_bounded():
    """Guards against memory that grows with each runner that ever left."""
    table, _ = known_table(max_tombstones=3, tombstone_s=60.0)
    for number in range(10):
        table.observe_leaving(
            ids.RunnerId(f'x{number}'), 5, Source.PEER, float(number)
        )
    table.expire(10.0)
    assert len(table) == 4
    assert len(table.notices(10.0)) == 3
    table.expire(70.0)
    assert len(table) == 1
    assert table.notices(70.0) == []


BACK_OFFS_S = st.sampled_from(
    [0.25, 2.0, 20.0, 1e9, math.inf, math.nan, -1.0, 0.0]
)
BORN_MS = st.integers(1, 3)
STEPS = st.one_of(
    st.tuples(
        st.just('entry'),
        BORN_MS,
        st.integers(0, 4),
        st.sampled_from([False, False, False, True]),
    ),
    st.tuples(st.just('removal'), st.sampled_from(Source)),
    st.tuples(st.just('leaving'), BORN_MS, st.floats(0, 5)),
    st.tuples(st.just('refusal'), BORN_MS, BACK_OFFS_S),
    st.tuples(
        st.just('notice'),
        BORN_MS,
        st.sampled_from(Availability),
        st.floats(0, 5),
        BACK_OFFS_S,
    ),
    st.tuples(st.just('peer_in_touch'), st.floats(0, 5)),
    st.tuples(st.sampled_from(['lose', 'regain', 'restore', 'maintain'])),
)
TIMED_STEPS = st.lists(
    st.tuples(st.sampled_from([0.0, 0.125, 0.625, 1.125, 2.5, 121.0]), STEPS),
    max_size=30,
)


@dataclasses.dataclass
class Known:
    """What a single instance may conclude, without a table of states."""

    version: Version = Version(0)
    history: int | None = None
    left_run: int = 0
    back_off_until: float = -math.inf
    entry_seen_at: float = -math.inf
    removed_at: float | None = None
    gone_at_peer: bool = False
    in_touch_since: float = math.inf

    def must_not_be_used(self, now):
        """Tell whether the bound after a word of its leaving is over."""
        if not self.version.born_ms or self.left_run == self.version.born_ms:
            return True
        bound_s = availability.REREGISTRATION_S
        return self.removed_at is not None and now >= max(
            self.removed_at, self.in_touch_since + bound_s
        )

    def must_be_used(self, now):
        """Tell whether nothing speaks against its use."""
        return (
            not self.must_not_be_used(now)
            and self.removed_at is None
            and not self.gone_at_peer
            and now >= self.back_off_until
        )


class Interleaving:
    """An instance that hears of one runner, and what it may conclude."""

    def __init__(self):
        self.now = 100.0
        self.history = 0
        self.known = Known(in_touch_since=self.now)
        # All runners that left are remembered to the end.
        bounds = availability.AvailabilityBounds(tombstone_s=math.inf)
        self.table = runners.RunnerTable(
            availability=availability.AvailabilityTable(bounds)
        )
        self.list = runner_list.RunnerList(self.table)
        self.list.store_recovered(self.now)

    def entry(self, born_ms, sequence, leaving):
        version = Version(born_ms, sequence)
        listing = places_tests.listing(
            RUNNER,
            states.Role.PLAIN,
            service=SERVICE,
            leaving=leaving,
            born_ms=born_ms,
            sequence=sequence,
        )
        change = runner_list.ListingChange(RUNNER, listing)
        self.list.apply_change(change, self.now)
        known = self.known
        follows = known.history == self.history
        if availability_record.is_older(version, known.version, follows):
            return
        if follows or version > known.version or not sequence:
            if born_ms != known.version.born_ms:
                self.start_run(born_ms)
            known.version = max(version, known.version)
            known.history = self.history
            known.entry_seen_at = self.now
            known.removed_at = None
            known.gone_at_peer = False
        if leaving:
            known.left_run = born_ms

    def start_run(self, born_ms):
        self.known.version = Version(born_ms)
        self.known.history = None
        self.known.back_off_until = -math.inf
        self.known.left_run = 0

    def removal(self, source):
        is_listed = self.table.get(RUNNER) is not None
        if is_listed or source is not Source.LOST_HISTORY:
            self.known.history = self.history
        if source is Source.LOST_HISTORY:
            self.list.apply_snapshot([], self.now)
        else:
            change = runner_list.ListingChange(RUNNER, None)
            self.list.apply_change(change, self.now)
        if self.known.removed_at is None:
            self.known.removed_at = self.now

    def leaving(self, born_ms, age_s, source=Source.ANSWER):
        self.table.availability.observe_leaving(
            RUNNER, born_ms, source, self.now, age_s
        )
        if born_ms > self.known.version.born_ms:
            self.start_run(born_ms)
        if born_ms == self.known.version.born_ms:
            self.known.left_run = born_ms

    def refusal(self, born_ms, for_s):
        for_s = self.table.availability.observe_back_off(
            RUNNER, born_ms, for_s, Source.REFUSAL, self.now
        )
        assert 0.0 <= for_s <= availability.MAX_BACK_OFF_S
        self.known.back_off_until = max(
            self.known.back_off_until, self.now + for_s
        )

    def notice(self, born_ms, state, age_s, remaining_s):
        if state is Availability.LEAVING:
            return self.leaving(born_ms, age_s, Source.PEER)
        told = availability.Notice(RUNNER, born_ms, state, age_s, remaining_s)
        self.table.availability.receive(told, self.now)
        is_known_run = born_ms == self.known.version.born_ms
        is_newer = self.now - age_s > self.known.entry_seen_at
        if state is Availability.GONE and is_known_run and is_newer:
            self.known.gone_at_peer = True
            assert not self.usable()
        return None

    def peer_in_touch(self, for_s):
        self.list.peer_in_touch(PEER, self.now - for_s, self.now)

    def lose(self):
        self.list.store_lost(self.now)
        self.known.in_touch_since = math.inf

    def regain(self):
        self.list.store_recovered(self.now)
        known = self.known
        known.in_touch_since = min(known.in_touch_since, self.now)

    def restore(self):
        self.list.store_restored(self.now)
        self.history += 1
        self.known.in_touch_since = self.now

    def maintain(self):
        self.list.remove_missing(self.now)

    def usable(self):
        ready = self.table.ready(SERVICE, states.Role.PLAIN, self.now)
        accepts = self.table.availability.accepts(RUNNER, self.now)
        assert accepts or not ready
        return bool(ready)


@settings(max_examples=300)
@given(TIMED_STEPS)
def test_six_sources_in_any_order(timed_steps):
    """Guards against use of a runner that leaves, and disuse of a sound one.

    No request goes to a run later than the bound after any source said that
    it leaves. A run of which nothing is said against it is used at once, and
    after a refusal within the longest back-off.
    """
    world = Interleaving()
    removed_for_good = False
    for wait_s, (name, *arguments) in timed_steps:
        world.now += wait_s
        for step in (None, name):
            if step is not None:
                getattr(world, step)(*arguments)
            usable = world.usable()
            known = world.known
            assert not (usable and known.must_not_be_used(world.now))
            assert usable or not known.must_be_used(world.now)
            assert known.back_off_until - world.now <= 120.0
            if known.removed_at is None:
                removed_for_good = False
            elif known.must_not_be_used(world.now):
                removed_for_good = True
            assert not (usable and removed_for_good)
