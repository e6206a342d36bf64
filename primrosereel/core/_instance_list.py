"""Synchronizes the local copy of the platform's instance list.

The platform gives each list a revision and the wall-clock time ``as_of`` at
which it was valid. 2 readers per region read it and send changes to their
peers; heartbeats carry ``as_of`` of an unchanged list.
"""

from collections.abc import Iterable
import math

from primrosereel import _ids as ids
from primrosereel.core import _backoff as backoff
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['InstanceListSync', 'MAX_FRESH_AGE_S', 'is_list_fresh']

Rows = dict[ids.InstanceId, messages.ListedInstance]

READERS_PER_REGION = 2
READ_INTERVAL_S = 2.0
MAX_READ_BACKOFF_S = 10.0
# Instances that are not readers read the list themselves if ``as_of`` is
# this old, plus a random jitter that spreads their reads.
STALE_AGE_S = 5.0
STALE_JITTER_S = 2.0
# H in the at-most-once rules of the design page.
MAX_FRESH_AGE_S = 10.0
# Clocks differ by no more than this; a list with an ``as_of`` further in the
# future would count as fresh for too long.
MAX_CLOCK_ERROR_S = 1.0
QUERY_INTERVAL_S = 1.0


def is_list_fresh(world: tables.World) -> bool:
    """Return whether claims may be decided on the instance list.

    It must be at most 10 s old and confirmed since this process was last
    paused.
    """
    return (
        world.wall - world.listing.as_of <= MAX_FRESH_AGE_S
        and world.listed_at >= world.paused_at
    )


class InstanceListSync:
    """Maintains ``world.listing`` and ``world.listed_since``."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._backoff = backoff.Backoff(
            world.random, READ_INTERVAL_S, MAX_READ_BACKOFF_S
        )
        self._next_read_at = -math.inf
        self._queried_at = -math.inf
        self._stale_age_s = self._draw_stale_age_s()
        self._reader = False
        self._reader_view = -1

    def is_reader(self) -> bool:
        """Return whether this daemon reads the list for its region.

        The revision is part of the hash key, so that different daemons bear
        the cost of reading and sending over time.
        """
        world = self._world
        if self._reader_view != world.view:
            self._reader_view = world.view
            region = world.identity.region
            self._reader = not world.draining and world.identity.instance in (
                ownership.rank(
                    f'instances/{region}/{world.listing.revision}',
                    ownership.live_instances(world, region),
                    READERS_PER_REGION,
                )
            )
        return self._reader

    def read_at_once(self) -> None:
        """Make the next call of ``run`` read the list."""
        self._next_read_at = -math.inf
        self._backoff.reset()

    def run(self, now: float) -> None:
        """Request the list from the platform if a read is due."""
        world = self._world
        paused = world.listed_at < world.paused_at
        stale = world.wall - world.listing.as_of > self._stale_age_s or paused
        reader = self.is_reader() and world.listing.revision > 0
        if not (reader or stale) or now < self._next_read_at:
            return
        wait_s = READ_INTERVAL_S if reader else self._backoff.next_s()
        self._next_read_at = now + wait_s
        world.emit(messages.ReadInstanceList())

    def receive_list(
        self, message: messages.InstanceListRead, now: float
    ) -> bool:
        """Process a list from the platform; return whether rows changed."""
        before = dict(self._world.listing.instances)
        base = self._world.listing.revision
        reader = self.is_reader()
        rows = {row.instance: row for row in message.instances}
        changed = self._replace_if_newer(
            message.revision, message.as_of, rows, now
        )
        if changed and reader and base:
            self._send_changes(before, base)
        return changed

    def receive_update(
        self,
        message: messages.ListingUpdate,
        sender: ids.InstanceId,
        now: float,
    ) -> bool:
        """Process a list from a peer; return whether rows changed."""
        listing = self._world.listing
        rows: Rows = {}
        if message.base and message.revision > listing.revision:
            if message.base != listing.revision:
                self._send_query(sender, now)
                return False
            rows = dict(listing.instances)
            for name in message.removed:
                rows.pop(name, None)
        rows.update((row.instance, row) for row in message.instances)
        return self._replace_if_newer(
            message.revision, message.as_of, rows, now
        )

    def receive_heartbeat(
        self, message: messages.Heartbeat, sender: ids.InstanceId, now: float
    ) -> None:
        """Adopt ``as_of`` of the same list, or query a newer list."""
        revision = self._world.listing.revision
        if message.listing_revision > revision:
            self._send_query(sender, now)
        elif message.listing_revision == revision and revision:
            self._advance_as_of(message.listing_as_of, now)

    def answer_query(self, sender: ids.InstanceId) -> None:
        """Send the complete list to a peer."""
        listing = self._world.listing
        if listing.revision:
            self._world.send(
                sender,
                messages.ListingUpdate(
                    listing.revision,
                    listing.as_of,
                    tuple(listing.instances.values()),
                ),
            )

    def _draw_stale_age_s(self) -> float:
        return STALE_AGE_S + self._world.random.uniform(0, STALE_JITTER_S)

    def _send_query(self, sender: ids.InstanceId, now: float) -> None:
        if now >= self._queried_at + QUERY_INTERVAL_S:
            self._queried_at = now
            self._world.send(sender, messages.ListingQuery())

    def _replace_if_newer(
        self, revision: int, as_of: float, rows: Rows, now: float
    ) -> bool:
        listing = self._world.listing
        if revision < listing.revision:
            self._world.count('membership.old_list')
            return False
        # The seed peers from the settings arrive once, as revision 0.
        if revision == listing.revision and (revision or listing.instances):
            self._advance_as_of(as_of, now)
            return False
        listing.revision = revision
        listing.instances = rows
        self._update_listed_since(rows.values(), as_of)
        self._advance_as_of(as_of, now)
        self._world.view += 1
        self._world.owners.clear()
        return True

    def _update_listed_since(
        self, rows: Iterable[messages.ListedInstance], as_of: float
    ) -> None:
        before = self._world.listed_since
        self._world.listed_since = {
            key: before.get(key, as_of)
            for key in ((row.instance, row.incarnation) for row in rows)
        }

    def _advance_as_of(self, as_of: float, now: float) -> None:
        world = self._world
        if as_of > world.wall + MAX_CLOCK_ERROR_S:
            world.count('membership.as_of_in_future')
        elif as_of > world.listing.as_of:
            world.listing.as_of = as_of
            world.listed_at = now
            self._stale_age_s = self._draw_stale_age_s()
            if world.wall - as_of <= self._stale_age_s:
                self._backoff.reset()

    def _send_changes(self, before: Rows, base: int) -> None:
        """Send the changes to the live peers of the region."""
        world = self._world
        after = world.listing.instances
        update = messages.ListingUpdate(
            world.listing.revision,
            world.listing.as_of,
            tuple(r for name, r in after.items() if before.get(name) != r),
            base,
            tuple(name for name in before if name not in after),
        )
        own = world.identity
        for peer in ownership.live_instances(world, own.region):
            if peer != own.instance:
                world.send(peer, update)
