"""Applies the platform's list of runners to the table of runners.

Entries expire while the store is unavailable, and runners write them again
soon after it recovers. An entry that is missing after an outage is therefore
kept for some time.
"""

import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners

__all__ = ['ListingChange', 'RunnerList']

# Runners register again within about two seconds after an outage.
REREGISTRATION_S = 2.0


class ListingChange(NamedTuple):
    """A change of one entry; ``listing`` is None for a removed entry.

    An entry that cannot be decoded counts as removed.
    """

    runner: ids.RunnerId
    listing: model.RunnerListing | None


class RunnerList:
    """Applies changes and snapshots of the list to the table of runners."""

    def __init__(self, table: runners.RunnerTable) -> None:
        self._table = table
        self._in_outage = False
        self._outage_ended = -math.inf
        self._missing: set[ids.RunnerId] = set()

    @property
    def removal_due_at(self) -> float:
        """When missing entries are removed; infinite if none is missing."""
        if not self._missing or self._in_outage:
            return math.inf
        return self._outage_ended + REREGISTRATION_S

    def store_lost(self) -> None:
        """Record that the store is unavailable."""
        self._in_outage = True

    def store_recovered(self, now: float) -> None:
        """Record that the store is available again."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended = now

    def outage_ended(self, when: float) -> None:
        """Record the end of an outage that a peer noticed."""
        if not self._in_outage:
            self._outage_ended = max(self._outage_ended, when)

    @property
    def outage_ended_at(self) -> float:
        """When the last outage ended; negative infinity without one."""
        return self._outage_ended

    def apply_change(self, change: ListingChange, now: float) -> None:
        """Apply the change of one entry."""
        if change.listing is not None:
            self._missing.discard(change.runner)
            self._table.put(change.listing, now)
        elif now < self._outage_ended + REREGISTRATION_S:
            self._missing.add(change.runner)
        else:
            self._table.remove(change.runner)

    def apply_snapshot(
        self, listings: list[model.RunnerListing], now: float
    ) -> None:
        """Apply a complete list."""
        listed = {listing.runner for listing in listings}
        for listing in listings:
            self.apply_change(ListingChange(listing.runner, listing), now)
        for runner in list(self._table):
            if runner.runner_id not in listed:
                self.apply_change(ListingChange(runner.runner_id, None), now)

    def remove_missing(self, now: float) -> list[ids.RunnerId]:
        """Remove entries that are still missing; return their runners."""
        if now < self.removal_due_at:
            return []
        removed = sorted(self._missing)
        self._missing.clear()
        for runner_id in removed:
            self._table.remove(runner_id)
        return removed
