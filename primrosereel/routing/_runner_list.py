"""Keeps the table of runners in step with the platform's list.

Entries lapse while the store is away and are written again soon after it is
back, so an entry that is missing after an outage is kept for a while.
"""

import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners

__all__ = ['ListingChange', 'RunnerList']

# Entries that lapsed during an outage are back about two seconds after it.
REREGISTRATION_S = 2.0


class ListingChange(NamedTuple):
    """A change of one entry; ``listing`` is None for one that is gone.

    An entry that cannot be read counts as one that names no runner.
    """

    runner: ids.RunnerId
    listing: model.RunnerListing | None


class RunnerList:
    """Applies changes and snapshots of the list to the table."""

    def __init__(self, table: runners.RunnerTable) -> None:
        self._table = table
        self._in_outage = False
        self._outage_ended = -math.inf
        self._missing: set[ids.RunnerId] = set()

    @property
    def removal_due_at(self) -> float:
        """When missing entries are removed; infinite where none is."""
        if not self._missing or self._in_outage:
            return math.inf
        return self._outage_ended + REREGISTRATION_S

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self._in_outage = True

    def store_recovered(self, now: float) -> None:
        """Note that the store answers again."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended = now

    def apply_change(self, change: ListingChange, now: float) -> None:
        """Apply the change of one entry."""
        if change.listing is not None:
            self._missing.discard(change.runner)
            self._table.put(change.listing)
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
        """Remove what is still missing; return the runners removed."""
        if now < self.removal_due_at:
            return []
        gone = sorted(self._missing)
        self._missing.clear()
        for runner_id in gone:
            self._table.remove(runner_id)
        return gone
