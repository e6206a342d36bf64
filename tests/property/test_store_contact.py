"""Removed entries after an outage: runners that left, or entries that expired.

Both mistakes are guarded against: a runner that left and still gets requests,
and a whole service that is refused because its entries expired.
"""

import math
import random

import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability
from primrosereel.routing import _placement as placement
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _runners as runners
from tests.property import test_routing_places as places_tests

SERVICE = ids.ServiceId('plain')
PEER = ids.InstanceId('peer')
LEFT = ids.RunnerId('r0')


def entry(number, **changes):
    """Return the entry of a plain runner."""
    facts = {'service': SERVICE, 'born_ms': 1, 'sequence': 5} | changes
    return places_tests.listing(
        f'r{number}', states.Role.PLAIN, 100 + number, **facts
    )


class Instance:
    """The runners of one instance, which reads the store from 0 s on."""

    def __init__(self, count=2):
        self.table = runners.RunnerTable()
        self.list = runner_list.RunnerList(self.table)
        self.placement = placement.Placement(
            self.table, places_tests.ZONE, random.Random(2)
        )
        self.list.store_recovered(0.0)
        self.list.apply_snapshot([entry(n) for n in range(count)], 0.0)

    def lose_store(self, last_answer, noticed, regained):
        self.list.store_recovered(last_answer)
        self.list.store_lost(noticed)
        self.list.store_recovered(regained)

    def learn_removal(self, now, runner=LEFT):
        self.list.apply_change(runner_list.ListingChange(runner, None), now)

    def learn_entry(self, listing, now):
        change = runner_list.ListingChange(listing.runner, listing)
        self.list.apply_change(change, now)

    def usable(self, now):
        ready = self.table.ready(SERVICE, states.Role.PLAIN, now)
        return {runner.runner_id for runner in ready}

    def chosen(self, now):
        """Return the runners that some of many requests are sent to."""
        found = [self.placement.choose(SERVICE, (), now) for _ in range(40)]
        return {runner.runner_id for runner in found if runner}


@pytest.mark.parametrize('told_by_peer', [True, False])
def test_runner_removed_in_a_partial_outage_gets_nothing_2_s_later(
    told_by_peer,
):
    """Guards against requests to a runner that left while some were cut off.

    A played day: the store turned some instances away, and acknowledged the
    removal of a runner at 11.608 s. One instance reached it again at 11.584 s,
    this one at 12.473 s. It still sent the runner a request at 14.527 s.
    """
    instance = Instance()
    instance.lose_store(9.6, 10.1, 12.473)
    instance.learn_removal(12.474)
    assert instance.chosen(12.475) == {'r1'}
    if told_by_peer:
        instance.list.peer_in_touch(PEER, 11.584, 12.9)
        assert LEFT not in instance.usable(13.6)
    # The missing runner was removed from the table at 14.572 s only.
    assert LEFT not in instance.usable(14.527)
    instance.table.get(ids.RunnerId('r1')).observe_failure(14.5)
    assert instance.chosen(14.527) == {'r1'}


def test_removal_is_real_at_once_if_a_peer_was_never_cut_off():
    """Guards against use of a runner that left during an own outage."""
    instance = Instance(count=1)
    instance.list.peer_in_touch(PEER, 0.5, 11.5)
    instance.lose_store(9.6, 10.1, 12.0)
    instance.learn_removal(12.0)
    assert not instance.usable(12.0)
    assert instance.list.remove_missing(12.1) == []
    assert len(instance.table) == 0


def test_peer_that_tells_later_ends_the_doubt():
    """Guards against a missing runner that is used on after a peer's word."""
    instance = Instance(count=1)
    instance.lose_store(9.6, 10.1, 12.0)
    instance.learn_removal(12.0)
    assert instance.usable(12.5) == {LEFT}
    instance.list.peer_in_touch(PEER, 0.5, 12.6)
    assert not instance.usable(12.6)
    assert instance.list.remove_missing(12.6) == [LEFT]


def test_word_of_a_peer_from_before_the_outage_ends_no_runner():
    """Guards against the loss of a service that a silent peer vouched for."""
    instance = Instance()
    instance.list.peer_in_touch(PEER, 0.5, 9.0)
    instance.lose_store(9.6, 10.1, 12.0)
    instance.list.apply_snapshot([], 12.0)
    assert instance.usable(13.9) == {'r0', 'r1'}


def test_runner_that_is_gone_is_not_missing_again():
    """Guards against a runner that a later return of a peer brings back."""
    instance = Instance(count=1)
    instance.lose_store(9.6, 10.1, 12.473)
    instance.learn_removal(12.474)
    instance.list.peer_in_touch(PEER, 11.584, 12.9)
    instance.list.peer_in_touch(PEER, 13.8, 13.9)
    assert not instance.usable(14.0)


def test_runner_that_was_long_gone_for_peers_is_used_once_listed():
    """Guards against a listed runner that stays barred for good."""
    instance = Instance(count=1)
    gone = availability.Notice(LEFT, 1, availability.Availability.GONE, 0.1)
    instance.table.availability.receive(gone, 5.0)
    assert instance.list.remove_missing(200.0) == []
    assert not instance.usable(200.0)
    instance.learn_entry(entry(0, sequence=6), 200.0)
    assert instance.usable(200.0) == {LEFT}


def test_service_whose_entries_expired_is_used_until_they_are_back():
    """Guards against refusals of a whole service after the store was away."""
    instance = Instance()
    instance.lose_store(5.0, 5.5, 12.0)
    instance.list.peer_in_touch(PEER, 11.9, 12.1)
    instance.list.apply_snapshot([], 12.1)
    assert instance.usable(13.5) == {'r0', 'r1'}
    instance.learn_entry(entry(1, sequence=6), 13.6)
    assert instance.usable(14.0) == {'r1'}
    assert instance.list.remove_missing(14.0) == [LEFT]


def test_time_to_register_again_needs_a_store():
    """Guards against the loss of a service in two outages one after another.

    Runners cannot register again while the store is away once more.
    """
    instance = Instance()
    instance.lose_store(5.0, 5.5, 12.0)
    instance.list.apply_snapshot([], 12.0)
    instance.list.store_lost(12.5)
    assert instance.usable(30.0) == {'r0', 'r1'}
    assert instance.list.remove_missing(30.0) == []
    instance.list.store_recovered(31.0)
    assert instance.usable(32.9) == {'r0', 'r1'}
    assert not instance.usable(33.0)


def test_runner_whose_time_was_over_stays_gone_in_the_next_outage():
    """Guards against an outage that brings back a runner that left."""
    instance = Instance()
    instance.lose_store(5.0, 5.5, 12.0)
    instance.learn_removal(12.0)
    instance.list.store_recovered(14.0)
    instance.list.store_lost(14.1)
    assert instance.usable(14.2) == {'r1'}


def test_missing_runner_is_used_only_if_no_other_has_room():
    """Guards against requests to a runner that may have left."""
    instance = Instance()
    instance.lose_store(9.6, 10.1, 12.0)
    instance.learn_removal(12.0)
    assert instance.chosen(12.5) == {'r1'}
    instance.table.get(ids.RunnerId('r1')).observe_rejection(12.6)
    assert instance.chosen(12.6) == {LEFT}


@pytest.mark.parametrize('known_to_be_gone', [True, False])
def test_restored_copy_does_not_end_runners_that_came_after_it(
    known_to_be_gone,
):
    """Guards against a copy that ends sound runners or revives ended ones."""
    instance = Instance()
    if known_to_be_gone:
        instance.learn_removal(8.0)
    instance.list.store_recovered(9.0)
    instance.list.peer_in_touch(PEER, 0.5, 9.5)
    instance.list.store_restored(10.0)
    copy = [entry(0, sequence=4)] if known_to_be_gone else []
    instance.list.apply_snapshot(copy, 10.0)
    sound = {'r1'} if known_to_be_gone else {'r0', 'r1'}
    assert instance.usable(11.9) == sound
    assert not instance.usable(12.0)


def test_restored_copy_soon_after_the_start_ends_no_runners():
    """Guards against the loss of a service right after a process started."""
    instance = Instance()
    instance.list.store_restored(0.5)
    instance.list.apply_snapshot([], 0.5)
    assert instance.usable(2.4) == {'r0', 'r1'}
    assert not instance.usable(2.5)


def test_return_from_a_copy_counts_for_its_own_time_only():
    """Guards against use of a runner that left in a later, own outage."""
    instance = Instance()
    instance.list.store_restored(10.0)
    instance.list.peer_in_touch(PEER, 10.0, 29.5)
    instance.lose_store(20.0, 21.0, 30.0)
    instance.learn_removal(30.0)
    assert instance.usable(30.0) == {'r1'}


def test_removal_without_an_outage_is_real():
    """Guards against use of a runner that left without an announcement."""
    instance = Instance()
    instance.list.peer_in_touch(PEER, 4.0, 4.5)
    instance.learn_removal(5.0)
    assert instance.usable(5.0) == {'r1'}
    assert instance.list.in_touch_since == 0.0
    instance.list.store_lost(6.0)
    assert instance.list.in_touch_since == math.inf
