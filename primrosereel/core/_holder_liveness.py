"""Whether the holder of an engine request is live or lost."""

import enum
import math

from primrosereel import _ids as ids
from primrosereel.core import _tables as tables

__all__ = ['HolderState', 'Holders']

# A process is listed at most this long after its start. Until then a list
# without it proves nothing.
LISTED_WITHIN_S = 15.0
MS_PER_S = 1000.0
# Memory of incarnations seen in lists; a day's restarts are 680.
MAX_SEEN = 4096


class HolderState(enum.Enum):
    """What the instance list says of an incarnation."""

    LIVE = 'live'
    LOST = 'lost'
    UNKNOWN = 'unknown'


class Holders:
    """Follows the instance list and remembers the incarnations in it."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._revision = -1
        self._listed: set[ids.Holder] = set()
        self._seen: dict[ids.Holder, None] = {}

    def follow(self) -> bool:
        """Take the newest list; return whether an incarnation vanished."""
        listing = self._world.listing
        if listing.revision == self._revision or listing.as_of == -math.inf:
            return False
        self._revision = listing.revision
        listed = {
            ids.Holder(row.instance, row.incarnation)
            for row in listing.instances.values()
        }
        vanished = bool(self._listed - listed)
        self._listed = listed
        for holder in listed:
            self._seen.pop(holder, None)
            self._seen[holder] = None
        while len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        return vanished

    def state(self, holder: ids.Holder) -> HolderState:
        """Return what the list says of a holder.

        Lost is one whose instance is listed with a higher incarnation, and
        one that was listed, or had the time to be, and is not any more.
        """
        own = self._world.identity
        if holder.instance == own.instance:
            return _compare(own.incarnation, holder.incarnation)
        listing = self._world.listing
        row = listing.instances.get(holder.instance)
        if row is not None:
            return _compare(row.incarnation, holder.incarnation)
        if listing.as_of == -math.inf:
            return HolderState.UNKNOWN
        if holder in self._seen:
            return HolderState.LOST
        # Incarnations are start times in milliseconds.
        age_s = listing.as_of - holder.incarnation / MS_PER_S
        if age_s > LISTED_WITHIN_S:
            return HolderState.LOST
        return HolderState.UNKNOWN


def _compare(
    known: ids.Incarnation, incarnation: ids.Incarnation
) -> HolderState:
    if known == incarnation:
        return HolderState.LIVE
    return HolderState.LOST if known > incarnation else HolderState.UNKNOWN
