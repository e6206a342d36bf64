"""Applies the platform's list of runners to the table of runners.

A removed entry is that of a runner that left, or one that expired while the
store was unavailable and comes back. The contact of all instances with the
store tells them apart; while it cannot be told, the runner is missing.
"""

from collections.abc import Collection
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _availability as availability
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _store_contact as store_contact

__all__ = ['ListingChange', 'RunnerList']


class ListingChange(NamedTuple):
    """A change of one entry; ``listing`` is None for a removed entry.

    An entry that cannot be decoded counts as removed. One with a number
    ``out_of_range`` says nothing: the last good entry stays in force.
    """

    runner: ids.RunnerId
    listing: model.RunnerListing | None
    out_of_range: bool = False


class RunnerList:
    """Applies changes and snapshots of the list to the table of runners."""

    def __init__(self, table: runners.RunnerTable) -> None:
        self._table = table
        self._contact = store_contact.StoreContact(
            table.availability.bounds.reregistration_s
        )
        # Counts the returns of the store from a copy.
        self._history = 0

    @property
    def in_touch_since(self) -> float:
        """Since when this instance has had the store without interruption.

        Infinite while it is without it. Peers are told of it.
        """
        return self._contact.in_touch_since

    def store_lost(self, now: float) -> None:
        """Record that the store is unavailable."""
        self._table.expire(now)
        self._contact.lost(now)
        self._update_missing(now)

    def store_recovered(self, now: float) -> None:
        """Record that the store answers."""
        self._contact.answered(now)
        self._update_missing(now)

    def store_restored(self, now: float) -> None:
        """Record that the store was restored from a copy.

        Runners that are not in the copy have the time to register again.
        """
        self._table.expire(now)
        self._contact.restored(now)
        self._history += 1
        self._update_missing(now)

    def peer_in_touch(
        self, peer: ids.InstanceId, since: float, now: float
    ) -> None:
        """Record since when a peer has had the store without interruption."""
        self._contact.peer_in_touch(peer, since, now)
        self._update_missing(now)

    def ignores(self, listing: model.RunnerListing, now: float) -> bool:
        """Tell whether an entry is outdated, as a copy of the store has it."""
        version = availability.RunVersion(listing.born_ms, listing.sequence)
        return self._table.availability.ignores_entry(
            listing.runner, version, now, self._history
        )

    def apply_change(
        self,
        change: ListingChange,
        now: float,
        source: availability.Source = availability.Source.REMOVAL,
    ) -> None:
        """Apply the change of one entry."""
        if change.out_of_range:
            return
        if change.listing is not None:
            self._table.put(change.listing, now, self._history)
        else:
            self._table.remove(
                change.runner,
                now,
                self._contact.removals_real_from(now),
                source,
                self._history,
            )

    def apply_snapshot(
        self,
        listings: list[model.RunnerListing],
        now: float,
        kept: Collection[ids.RunnerId] = (),
    ) -> None:
        """Apply a complete list.

        ``kept`` are runners whose entries are out of range. They are listed,
        so that those that are known stay.
        """
        listed = {listing.runner for listing in listings} | set(kept)
        for listing in listings:
            self.apply_change(ListingChange(listing.runner, listing), now)
        for runner in list(self._table):
            if runner.runner_id not in listed:
                self.apply_change(
                    ListingChange(runner.runner_id, None),
                    now,
                    availability.Source.LOST_HISTORY,
                )

    def remove_missing(self, now: float) -> list[ids.RunnerId]:
        """Remove runners whose entry did not come back; return them."""
        self._contact.forget_silent_peers(now)
        return self._table.expire(now)

    def _update_missing(self, now: float) -> None:
        """Apply what is now known of when missing entries may come back."""
        availability_table = self._table.availability
        if availability_table.has_spare:
            availability_table.set_missing_until(
                self._contact.removals_real_from(now), now
            )
