"""Whether the daemon process that holds an engine request still runs."""

import enum
import math

from primrosereel import _ids as ids
from primrosereel.core import _tables as tables

__all__ = ['HolderLiveness', 'HolderState']

# A process is listed at most this long after its start. Until then, its
# absence from the list does not mean that it is lost.
MAX_LISTING_DELAY_S = 15.0
MS_PER_S = 1000.0
# Bounds the incarnations remembered from lists; a day brings 680 restarts.
MAX_REMEMBERED_HOLDERS = 4096


class HolderState(enum.Enum):
    """State of an incarnation according to the instance list."""

    LIVE = 'live'
    LOST = 'lost'
    UNKNOWN = 'unknown'


class HolderLiveness:
    """Tracks the incarnations in the instance list, also past ones."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._revision = -1
        self._listed_holders: set[ids.Holder] = set()
        self._seen_holders: dict[ids.Holder, None] = {}

    def update(self) -> bool:
        """Process the newest list; return whether an incarnation left it."""
        listing = self._world.listing
        if listing.revision == self._revision or listing.as_of == -math.inf:
            return False
        self._revision = listing.revision
        listed = {
            ids.Holder(row.instance, row.incarnation)
            for row in listing.instances.values()
        }
        vanished = bool(self._listed_holders - listed)
        self._listed_holders = listed
        for holder in listed:
            self._seen_holders.pop(holder, None)
            self._seen_holders[holder] = None
        while len(self._seen_holders) > MAX_REMEMBERED_HOLDERS:
            del self._seen_holders[next(iter(self._seen_holders))]
        return vanished

    def state(self, holder: ids.Holder) -> HolderState:
        """Return the state of a holder according to the list.

        A holder is lost if its instance is listed with a higher incarnation,
        or if the instance is not listed although the holder was, or was
        started long enough ago to be.
        """
        own = self._world.identity
        if holder.instance == own.instance:
            return _compare_incarnations(own.incarnation, holder.incarnation)
        listing = self._world.listing
        row = listing.instances.get(holder.instance)
        if row is not None:
            return _compare_incarnations(row.incarnation, holder.incarnation)
        if listing.as_of == -math.inf:
            return HolderState.UNKNOWN
        if holder in self._seen_holders:
            return HolderState.LOST
        # Incarnations are start times in milliseconds.
        age_s = listing.as_of - holder.incarnation / MS_PER_S
        if age_s > MAX_LISTING_DELAY_S:
            return HolderState.LOST
        return HolderState.UNKNOWN


def _compare_incarnations(
    known: ids.Incarnation, incarnation: ids.Incarnation
) -> HolderState:
    if known == incarnation:
        return HolderState.LIVE
    return HolderState.LOST if known > incarnation else HolderState.UNKNOWN
