"""Who sends heartbeats to whom.

The live instances of a region form a ring in the order of their names. Each
sends to three others at the distances 1, a and a*a, where ``a`` is the cube
root of the ring's size. With the three next ones, news needs up to a sixth of
the ring's size in seconds (11 s for 65 instances); with these it takes a few
seconds.
"""

from collections.abc import Sequence
import math

from primrosereel import _ids as ids
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['NEIGHBOURS', 'Ring', 'offsets']

NEIGHBOURS = 3


def offsets(size: int) -> list[int]:
    """Return the distances at which an instance sends, in a ring of a size.

    At most three, none twice, none a whole turn.
    """
    step = max(2, math.ceil(size ** (1 / 3)))
    wanted = [1, step, step * step, *range(2, NEIGHBOURS + 1)]
    found: list[int] = []
    for offset in wanted:
        offset %= size
        if offset and offset not in found:
            found.append(offset)
    return sorted(found[:NEIGHBOURS])


class Ring:
    """The neighbours of the own instance; kept until the view changes."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._view = -1
        self._after: list[ids.InstanceId] = []
        self._before: list[ids.InstanceId] = []
        self._bridges: list[ids.Region] = []

    @property
    def after(self) -> list[ids.InstanceId]:
        """The instances that the own one sends heartbeats to."""
        self._follow()
        return self._after

    @property
    def before(self) -> list[ids.InstanceId]:
        """The instances that send heartbeats to the own one."""
        self._follow()
        return self._before

    @property
    def bridges(self) -> list[ids.Region]:
        """The other regions that the own instance sends heartbeats to."""
        self._follow()
        return self._bridges

    def _follow(self) -> None:
        if self._view == self._world.view:
            return
        self._view = self._world.view
        own = self._world.identity
        live = ownership.live_instances(self._world, own.region)
        ring = sorted({*live, own.instance})
        place = ring.index(own.instance)
        distances = offsets(len(ring))
        self._after = [ring[(place + d) % len(ring)] for d in distances]
        self._before = [ring[(place - d) % len(ring)] for d in distances]
        self._bridges = [
            r for r in self._other_regions() if self._holds(r, live)
        ]

    def _other_regions(self) -> list[ids.Region]:
        regions = {
            row.region for row in self._world.listing.instances.values()
        }
        return sorted(regions - {self._world.identity.region})

    def _holds(
        self, region: ids.Region, live: Sequence[ids.InstanceId]
    ) -> bool:
        own = self._world.identity
        key = f'bridge/{own.region}/{region}'
        return ownership.rank(key, live, 1) == [own.instance]
