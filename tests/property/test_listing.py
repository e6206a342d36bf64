"""Synchronization of the instance list, against a naive model.

The model keeps every list.
"""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primrosereel import core
from primrosereel.core import _instance_list as instance_list
from primrosereel.core import _messages as messages

WALL = 1000.0
OWN = core.Identity('own', 1, 'r0', 'a', 'x')
ROWS = st.dictionaries(
    st.sampled_from(['a', 'b', 'c', 'd']),
    st.tuples(st.integers(1, 3), st.booleans()),
    max_size=4,
)
HISTORY = st.lists(ROWS, min_size=1, max_size=6)


def rows_of(drawn):
    """Return the rows of a list from drawn values."""
    return {
        name: messages.ListedInstance(name, incarnation, 'r0', 'z', 'x', out)
        for name, (incarnation, out) in drawn.items()
    }


def make_synchronizer():
    """Return a synchronizer with its world."""
    world = core.Core(OWN, random.Random(0), ()).world
    world.wall = WALL
    return instance_list.InstanceListSync(world), world


def differences(lists):
    """Return the updates between each list and the next."""
    for number, (old, new) in enumerate(zip(lists, lists[1:], strict=False)):
        yield messages.ListingUpdate(
            number + 2,
            WALL - 100 + number + 2,
            tuple(r for n, r in new.items() if old.get(n) != r),
            number + 1,
            tuple(n for n in old if n not in new),
        )


@settings(max_examples=60)
@given(HISTORY, st.randoms(use_true_random=False))
def test_differences_in_any_order_yield_the_read_list(history, generator):
    """Guards against differences that produce another list than was read."""
    lists = [rows_of(drawn) for drawn in history]
    synchronizer, world = make_synchronizer()
    synchronizer.receive_list(
        messages.InstanceListRead(1, WALL - 99, tuple(lists[0].values())), 0.0
    )
    updates = list(differences(lists))
    shuffled = [*updates, *updates]
    generator.shuffle(shuffled)
    for update in shuffled:
        before = world.listing.revision
        world.owners['r0'] = {}
        synchronizer.receive_update(update, 'peer', 0.0)
        assert world.listing.revision >= before
        # Cached owners depend on the list, so a change must clear them.
        assert bool(world.owners) == (world.listing.revision == before)
        assert world.listing.instances == lists[world.listing.revision - 1]
    for update in updates:
        synchronizer.receive_update(update, 'peer', 0.0)
    assert world.listing.revision == len(lists)


@settings(max_examples=60)
@given(HISTORY)
def test_listed_since_is_first_list_of_unbroken_listing(history):
    """Guards against a witness that consents for a time it was not listed."""
    lists = [rows_of(drawn) for drawn in history]
    synchronizer, world = make_synchronizer()
    for number, rows in enumerate(lists):
        # Each list is read twice, the second time with a later ``as_of``.
        as_of = WALL - 100 + 10 * number
        for later in (0, 5):
            synchronizer.receive_list(
                messages.InstanceListRead(
                    number + 1, as_of + later, tuple(rows.values())
                ),
                0.0,
            )
    naive = {}
    for row in lists[-1].values():
        key = (row.instance, row.incarnation)
        first = len(lists) - 1
        while first and key in {
            (r.instance, r.incarnation) for r in lists[first - 1].values()
        }:
            first -= 1
        naive[key] = WALL - 100 + 10 * first
    assert world.listed_since == naive


@given(st.floats(allow_nan=False), st.floats(allow_nan=False))
def test_future_as_of_does_not_make_list_fresh(as_of, claimed):
    """Guards against a wrong clock that makes a list seem fresh for long."""
    synchronizer, world = make_synchronizer()
    synchronizer.receive_list(messages.InstanceListRead(1, as_of, ()), 0.0)
    synchronizer.receive_heartbeat(
        messages.Heartbeat(0, 1, claimed), 'peer', 0.0
    )
    allowed = [t for t in (as_of, claimed) if t <= WALL + 1.0]
    newest = max(allowed, default=float('-inf'))
    assert world.listing.as_of == newest
    assert instance_list.is_list_fresh(world) == (
        newest >= WALL - instance_list.MAX_FRESH_AGE_S
    )
