"""Divides a large fleet into shards, one for each availability zone.

Pattern: sharding by locality. Instances report every change at the engines to
each other, and the cost grows with the square of their number. Above a certain
size each instance therefore uses and reports only the runners of its own zone;
requests that do not fit into a shard spill over to another one.

A zone without instances or without decode runners is assigned to another one
by rendezvous hashing, so that all instances that know the same zones agree.
"""

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from primrosereel import _ids as ids

__all__ = ['Shards']

Zone = ids.AvailabilityZone

# A fleet with more instances than the first number is divided; at the second
# it becomes one shard again. The gap keeps restarts from changing the shards.
DIVIDE_ABOVE_INSTANCES = 24
REJOIN_AT_INSTANCES = 16


class Shards:
    """Decides which instances and runners belong to the own shard."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone
        self._divided = False
        # For each zone, the zone that its shard is named after.
        self._shard_by_zone: dict[Zone, Zone] = {}

    @property
    def divided(self) -> bool:
        """Whether the fleet has more than one shard."""
        return self._divided

    def update(
        self,
        instances: int,
        instance_zones: Collection[Zone],
        runner_zones: Collection[Zone],
    ) -> bool:
        """Update the shards for the current fleet; return True on a change.

        ``instances`` is the number of all instances, ``instance_zones`` are
        their zones and ``runner_zones`` the zones with decode runners.
        """
        limit = (
            REJOIN_AT_INSTANCES if self._divided else DIVIDE_ABOVE_INSTANCES
        )
        before = self._divided, self._shard_by_zone
        complete_zones = set(instance_zones) & set(runner_zones)
        self._divided = instances > limit and len(complete_zones) > 1
        self._shard_by_zone = {}
        if self._divided:
            for zone in {*instance_zones, *runner_zones}:
                self._shard_by_zone[zone] = (
                    zone
                    if zone in complete_zones
                    else _rendezvous_shard(zone, complete_zones)
                )
        return before != (self._divided, self._shard_by_zone)

    def owns(self, zone: Zone) -> bool:
        """Tell whether a zone belongs to the own shard."""
        if not self._divided:
            return True
        own_shard = self._shard_by_zone.get(self._zone, self._zone)
        return self._shard_by_zone.get(zone, zone) == own_shard

    @property
    def own_zones(self) -> frozenset[Zone]:
        """The zones of the own shard; empty while the fleet is one shard."""
        return self.zones(self._zone) if self._divided else frozenset()

    def zones(self, zone: Zone) -> frozenset[Zone]:
        """Return all zones of the shard to which a zone belongs."""
        shard = self._shard_by_zone.get(zone, zone)
        zones = {
            z for z, other in self._shard_by_zone.items() if other == shard
        }
        return frozenset(zones or {zone})


def _rendezvous_shard(zone: Zone, shards: Iterable[Zone]) -> Zone:
    """Return the shard with the highest hash of both names."""
    return max(
        sorted(shards),
        key=lambda shard: xxhash.xxh64_intdigest(f'{zone}/{shard}'.encode()),
    )
