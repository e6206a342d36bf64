"""Rendezvous hashing: which instance owns a group or another duty.

Every daemon that has the same list of instances computes the same owner, and
a change of the list moves only what the changed instances own.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import TypeVar

import xxhash

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _tables as tables

__all__ = ['assign', 'group_owner', 'live_instances', 'rank', 'score']


Key = TypeVar('Key', bound=str)
Candidate = TypeVar('Candidate', bound=str)


def score(key: str, candidate: str) -> int:
    """Return the 64-bit hash weight of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode())


def rank(
    key: str, candidates: Iterable[Candidate], count: int
) -> list[Candidate]:
    """Return the ``count`` candidates with the highest weights for a key."""
    ordered = sorted(
        candidates, key=lambda c: (score(key, c), c), reverse=True
    )
    return ordered[:count]


def assign(
    keys: Sequence[Key], candidates: Sequence[Candidate]
) -> dict[Key, Candidate]:
    """Assign each key to a candidate, no candidate above its even share.

    The share is ``ceil(len(keys) / len(candidates))``. The keys are taken in
    sorted order and each goes to the candidate with the highest weight that
    is below its share, so that all daemons with the same lists compute the
    same assignment.
    """
    if not candidates:
        return {}
    capacity = dict.fromkeys(
        candidates, math.ceil(len(keys) / len(candidates))
    )
    owners = {}
    for key in sorted(keys):
        best = max(
            (c for c in candidates if capacity[c]),
            key=lambda c: (score(key, c), c),
        )
        capacity[best] -= 1
        owners[key] = best
    return owners


def live_instances(
    world: tables.World, region: ids.Region
) -> list[ids.InstanceId]:
    """Return the instances of a region that can own duties, sorted.

    Leaving instances and those that this daemon cannot reach are left out.
    The local instance is included until it drains, even before it is listed;
    while it drains, only if there is no other.
    """
    own = world.identity
    live = {
        row.instance
        for row in world.listing.instances.values()
        if row.region == region
        and not row.leaving
        and _is_reachable(world, row.instance)
    }
    if own.region == region:
        live.add(own.instance)
        if world.draining and len(live) > 1:
            live.discard(own.instance)
    return sorted(live)


def _is_reachable(world: tables.World, instance: ids.InstanceId) -> bool:
    peer = world.peers.get(instance)
    return peer is None or peer.state is states.PeerState.LIVE


def group_owner(
    world: tables.World, group: ids.GroupId
) -> ids.InstanceId | None:
    """Return the instance that grants places in a group.

    None is returned if no instance of the group's region is known. The
    assignment is cached until the list, the text or a peer's state changes.
    """
    region = world.group_regions.get(group)
    if region is None:
        return None
    owners = world.owners.get(region)
    if owners is None:
        groups = [g for g, r in world.group_regions.items() if r == region]
        owners = assign(groups, live_instances(world, region))
        world.owners[region] = owners
    return owners.get(group)
