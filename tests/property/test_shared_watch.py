"""Instances that share one watch of the store, under virtual time."""

import heapq
import itertools
import json
import random

import pytest

from primrosereel.routing import _shared_watch as shared_watch

Use = shared_watch.NoticeUse
PAUSE_S = 0.8
CALL_S = 0.02
DELAY_S = 0.003
HEARTBEAT_S = 1.0
LOSS_SHARE = 0.05


class Store:
    """A revision that grows constantly, and the times of relevant changes."""

    def __init__(self, changes):
        self.changes = sorted(changes)

    def revision(self, now):
        return 1000 + int(1000 * now)

    def relevant(self, after, until):
        """Return the revisions of the relevant changes in a range."""
        revisions = [self.revision(when) for when in self.changes]
        return [r for r in revisions if after < r <= until]


class Fleet:
    """Instances with a shared watch, a store, and messages that get lost."""

    def __init__(
        self, size, changes=(), seed=1, loss_share=0.0, call_spread_s=0.0
    ):
        self.random = random.Random(seed)
        self.loss_share = loss_share
        # Calls take up to this much longer; they answer for their start.
        self.call_spread_s = call_spread_s
        self.store = Store(changes)
        self.watches = [
            shared_watch.SharedWatch(random.Random(seed + n))
            for n in range(size)
        ]
        # Revisions of the relevant changes that each instance knows.
        self.known = [set() for _ in range(size)]
        self.learned_at = {}
        self.calls = []
        self.isolated = set()
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        for number in range(size):
            self.watches[number].snapshot_read(self.store.revision(0.0), 0.0)
            self.schedule(0.0, self._poll_when_due, number)
            self.schedule(
                self.random.uniform(0, HEARTBEAT_S), self._beat, number
            )

    def schedule(self, delay_s, action, *arguments):
        event = (self.now + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _poll_when_due(self, number):
        due = self.watches[number].due_at(PAUSE_S)
        if due > self.now:
            self.schedule(due - self.now, self._poll_when_due, number)
            return
        self.calls.append((self.now, number))
        since = self.watches[number].revision
        revision = self.store.revision(self.now)
        delay_s = CALL_S + self.random.uniform(0.0, self.call_spread_s)
        self.schedule(delay_s, self._answered, number, since, revision)

    def _answered(self, number, since, revision):
        watch = self.watches[number]
        relevant = self.store.relevant(since, revision)
        if revision >= watch.revision:
            self._learn(number, relevant)
        watch.changes_read(revision, max(relevant, default=None), self.now)
        content = json.dumps(relevant).encode() if relevant else b''
        notice = watch.notice()
        if revision == watch.revision:
            notice = notice._replace(since=since, content=content)
        self._send(number, notice)
        self.schedule(0.0, self._poll_when_due, number)

    def _beat(self, number):
        self._send(number, self.watches[number].notice())
        self.schedule(HEARTBEAT_S, self._beat, number)

    def _send(self, number, notice):
        for other in range(len(self.watches)):
            apart = (number in self.isolated) != (other in self.isolated)
            lost = self.random.random() < self.loss_share
            if other != number and not apart and not lost:
                self.schedule(DELAY_S, self._receive, other, notice)

    def _receive(self, number, notice):
        watch = self.watches[number]
        use = watch.classify(notice)
        if use is shared_watch.NoticeUse.BEHIND:
            watch.fall_behind()
            self.schedule(0.0, self._poll_when_due, number)
        elif use is not shared_watch.NoticeUse.NOTHING:
            if use is shared_watch.NoticeUse.COMPLETES:
                changes = json.loads(notice.content)
                self._learn(number, changes)
            watch.accept(notice)

    def _learn(self, number, revisions):
        self.known[number].update(revisions)
        for revision in revisions:
            self.learned_at.setdefault((number, revision), self.now)

    def latest_knowledge_s(self):
        """Return the longest time until an instance knew a change."""
        return max(
            self.learned_at.get(
                (number, self.store.revision(when)), float('inf')
            )
            - when
            for number in range(len(self.watches))
            for when in self.store.changes
        )


LONGEST_PAUSE_S = PAUSE_S * (1 + shared_watch.POLL_JITTER_SHARE)


@pytest.mark.parametrize('size', [2, 9, 40, 195])
def test_calls_do_not_grow_with_the_fleet(size):
    """Guards against a store that every instance polls.

    195 instances made 6,630 calls in about a minute.
    """
    fleet = Fleet(size)
    fleet.run(60.0)
    assert len(fleet.calls) <= 3 * 60.0 / PAUSE_S


@pytest.mark.parametrize('loss_share', [0.0, LOSS_SHARE, 1.0])
@pytest.mark.parametrize('size', [1, 9, 40])
def test_changes_are_known_within_the_longest_pause(size, loss_share):
    """Guards against a change that an instance learns too late.

    It holds if notices are lost, as an instance that hears nothing polls.
    """
    changes = [2.0 + 1.7 * n for n in range(12)]
    fleet = Fleet(size, changes, loss_share=loss_share)
    fleet.run(30.0)
    margin_s = 2 * CALL_S + DELAY_S
    assert fleet.latest_knowledge_s() <= LONGEST_PAUSE_S + margin_s


@pytest.mark.parametrize('seed', range(8))
def test_slow_answers_of_the_store_hide_no_change(seed):
    """Guards against an instance that never learns a configuration.

    An answer that was long under way says less than a newer one that arrived
    before it. Taken as newer, it made an instance deny a change that it knew,
    and its peers skipped that change.
    """
    changes = [2.0 + 0.37 * n for n in range(60)]
    fleet = Fleet(12, changes, seed, LOSS_SHARE, call_spread_s=0.3)
    fleet.run(40.0)
    everything = set(fleet.store.relevant(1000, 10**9))
    assert all(known == everything for known in fleet.known)


def test_isolated_instances_poll_for_themselves():
    """Guards against an instance that stays uninformed in a partition."""
    fleet = Fleet(9, [10.0 + n for n in range(5)])
    fleet.run(9.0)
    fleet.isolated = {3}
    fleet.run(20.0)
    assert fleet.latest_knowledge_s() <= LONGEST_PAUSE_S + 2 * CALL_S
    polled = {number for when, number in fleet.calls if when > 9.0}
    assert 3 in polled


def known_at(revision, when):
    watch = shared_watch.SharedWatch(random.Random(1))
    watch.snapshot_read(revision, when)
    return watch


@pytest.mark.parametrize(
    ('notice', 'use'),
    [
        (shared_watch.Notice(90, 6.0, 80, True), Use.NOTHING),
        (shared_watch.Notice(100, 6.0, 80, True), Use.CONFIRMS),
        (shared_watch.Notice(120, 6.0, 100, True), Use.CONFIRMS),
        (shared_watch.Notice(120, 6.0, 100), Use.CONFIRMS),
        (shared_watch.Notice(120, 4.0, 100, True), Use.NOTHING),
        (shared_watch.Notice(120, 6.0, 110), Use.NOTHING),
        (shared_watch.Notice(120, 6.0, 110, True), Use.BEHIND),
        (shared_watch.Notice(120, 6.0, 110, True, 105, b'x'), Use.BEHIND),
        (shared_watch.Notice(120, 6.0, 110, True, 95, b'x'), Use.COMPLETES),
    ],
)
def test_notices_are_used_only_where_they_prove_something(notice, use):
    """Guards against a gap: a change that no notice and no read contained."""
    watch = known_at(100, 5.0)
    assert watch.classify(notice) is use


def test_no_notice_is_used_before_the_first_read():
    """Guards against an instance that starts from the end of the history."""
    watch = shared_watch.SharedWatch(random.Random(1))
    notice = shared_watch.Notice(120, 6.0, 110, True, 95, b'x')
    assert watch.classify(notice) is shared_watch.NoticeUse.NOTHING
    assert watch.notice() is None


def test_an_instance_that_fell_behind_polls_at_once():
    """Guards against a wait until the pause is over."""
    watch = known_at(100, 5.0)
    assert watch.due_at(PAUSE_S) >= 5.0 + PAUSE_S
    watch.fall_behind()
    assert watch.due_at(PAUSE_S) == 5.0
    watch.changes_read(110, 110, 5.1)
    assert watch.due_at(PAUSE_S) >= 5.1 + PAUSE_S
