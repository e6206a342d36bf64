"""Divides a large fleet into shards, one for each availability zone.

Pattern: sharding by locality. Instances tell each other of every change at
the engines, which costs the square of their number. Beyond a size each
instance therefore uses and tells of the runners of its own zone only, and
requests for which a shard has no room spill over to another shard.

A zone without instances, or without runners, is joined to another one by
rendezvous hashing, which all instances that know the same zones agree on.
"""

from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from primrosereel import _ids as ids

__all__ = ['Shards']

Zone = ids.AvailabilityZone

# A fleet with more instances than this is divided, and it is joined again
# below the second number; the gap keeps restarts from moving it.
DIVIDE_ABOVE_INSTANCES = 24
REJOIN_AT_INSTANCES = 16


class Shards:
    """Which instances and runners belong to the own shard."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone
        self._divided = False
        # The shard of each zone, by the zone that it is named after.
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
        """Take the size of the fleet; True where the shards changed.

        ``instances`` and ``instance_zones`` are those of all instances, and
        ``runner_zones`` those with engines that decode.
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
        """Whether what lies in a zone belongs to the own shard."""
        if not self._divided:
            return True
        own_shard = self._shard_by_zone.get(self._zone, self._zone)
        return self._shard_by_zone.get(zone, zone) == own_shard

    def zones(self, zone: Zone) -> frozenset[Zone]:
        """Return the zones of the shard that a zone belongs to."""
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
