"""The ring that decides which instances exchange heartbeats.

The live instances of a region form a ring in the order of their names. Each
sends to three others at the distances 1, a and a*a, where ``a`` is the cube
root of the ring's size. If each sent to its next three neighbours, a change
would need up to a sixth of the ring's size in seconds to reach all instances
(11 s for 65 instances); with these distances it takes a few seconds.
"""

from collections.abc import Sequence
import math

from primrosereel import _ids as ids
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['HeartbeatRing', 'NEIGHBOUR_COUNT', 'neighbour_distances']

NEIGHBOUR_COUNT = 3


def neighbour_distances(size: int) -> list[int]:
    """Return the ring distances to the instances that one sends to.

    There are at most three distinct ones, all less than the ring's size.
    """
    step = max(2, math.ceil(size ** (1 / 3)))
    candidates = [1, step, step * step, *range(2, NEIGHBOUR_COUNT + 1)]
    distances: list[int] = []
    for offset in candidates:
        offset %= size
        if offset and offset not in distances:
            distances.append(offset)
    return sorted(distances[:NEIGHBOUR_COUNT])


class HeartbeatRing:
    """The local instance's neighbours, cached until the view changes."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._seen_view = -1
        self._successors: list[ids.InstanceId] = []
        self._predecessors: list[ids.InstanceId] = []
        self._bridged_regions: list[ids.Region] = []

    @property
    def successors(self) -> list[ids.InstanceId]:
        """The instances that the local one sends heartbeats to."""
        self._refresh()
        return self._successors

    @property
    def predecessors(self) -> list[ids.InstanceId]:
        """The instances that send heartbeats to the local one."""
        self._refresh()
        return self._predecessors

    @property
    def bridged_regions(self) -> list[ids.Region]:
        """The other regions that the local instance sends heartbeats to."""
        self._refresh()
        return self._bridged_regions

    def _refresh(self) -> None:
        if self._seen_view == self._world.view:
            return
        self._seen_view = self._world.view
        own = self._world.identity
        live = ownership.live_instances(self._world, own.region)
        ring = sorted({*live, own.instance})
        position = ring.index(own.instance)
        distances = neighbour_distances(len(ring))
        self._successors = [
            ring[(position + d) % len(ring)] for d in distances
        ]
        self._predecessors = [
            ring[(position - d) % len(ring)] for d in distances
        ]
        self._bridged_regions = [
            r for r in self._other_regions() if self._is_bridge_to(r, live)
        ]

    def _other_regions(self) -> list[ids.Region]:
        regions = {
            row.region for row in self._world.listing.instances.values()
        }
        return sorted(regions - {self._world.identity.region})

    def _is_bridge_to(
        self, region: ids.Region, live: Sequence[ids.InstanceId]
    ) -> bool:
        own = self._world.identity
        key = f'bridge/{own.region}/{region}'
        return ownership.rank(key, live, 1) == [own.instance]
