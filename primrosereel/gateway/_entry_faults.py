"""Counts and logs entries of the store that cannot be used."""

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _ports as ports

__all__ = ['EntryFaults']

# The faults of at most this many entries are remembered, the newest ones.
MAX_REMEMBERED = 256


class EntryFaults:
    """Counts each faulty entry that is read, and logs it once.

    An entry is logged again after its fault changed, or after it could be
    read meanwhile. Another writer may write the same text over and over.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        # The details of faults that were logged, by key.
        self._logged: dict[str, str] = {}

    def observe(self, change: ports.StoreChange) -> None:
        """Record whether an entry that was read can be used."""
        if change.fault is None:
            self._logged.pop(change.key, None)
            return
        if change.fault is ports.EntryFault.OUT_OF_RANGE:
            self._context.count('store.out_of_range')
        else:
            self._context.count('store.unreadable')
        if self._logged.get(change.key) == change.detail:
            return
        self._logged[change.key] = change.detail
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        self._context.log.warning(
            'store entry unusable',
            key=change.key,
            fault=change.fault.value,
            detail=change.detail,
            revision=change.revision,
        )
