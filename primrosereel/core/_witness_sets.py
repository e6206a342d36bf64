"""Idempotency keys, their sets of witnesses, and the list's history.

The safety of claims (section 5.6 of the design page) depends on comparisons of
two times: the one inside the key and the ``as_of`` time of instance lists.
Both are part of the data that daemons exchange, so clock differences between
two daemons do not affect safety.
"""

import math
import uuid

from primrosereel import _ids as ids
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = [
    'InstanceListHistory',
    'KEY_AGE_LIMIT_S',
    'KEY_FUTURE_LIMIT_S',
    'MAX_LIST_AGE_S',
    'MAX_LIST_GAP_S',
    'Witness',
    'key_time',
    'parse_key',
    'witness_set',
]

Witness = tuple[ids.InstanceId, ids.Incarnation]

KEY_AGE_LIMIT_S = 600.0
KEY_FUTURE_LIMIT_S = 2.0
# H in the design page: a witness answers only if its list is no older than
# this.
MAX_LIST_AGE_S = 10.0
# An instance that stays listed for this long is seen by every daemon that
# gets lists at intervals no longer than this. Lists arrive every 2 s; 5 s
# allows for a lost one.
MAX_LIST_GAP_S = 5.0
WITNESS_COUNT = 3
UUID_VERSION = 7
UUID_LENGTH = 36
# An instance that left the list is relevant as long as a key that was made
# while it was listed is accepted.
REMOVED_RETENTION_S = (
    KEY_AGE_LIMIT_S + KEY_FUTURE_LIMIT_S + 2 * MAX_LIST_AGE_S + MAX_LIST_GAP_S
)


def parse_key(text: str) -> ids.IdempotencyKey | None:
    """Return the canonical form of a UUIDv7, or None for anything else.

    Upper and lower case spellings of one UUID are the same key.
    """
    if len(text) != UUID_LENGTH:
        return None
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.variant != uuid.RFC_4122 or value.version != UUID_VERSION:
        return None
    canonical = str(value)
    if canonical != text.lower():
        return None
    return ids.IdempotencyKey(canonical)


def key_time(key: str) -> float | None:
    """Return the time inside a UUIDv7 in seconds since the Unix epoch.

    None is returned for anything else.
    """
    canonical = parse_key(key)
    if canonical is None:
        return None
    return (uuid.UUID(canonical).int >> 80) / 1000.0


def witness_set(
    world: tables.World,
    region: ids.Region,
    client_account: ids.ClientAccountId,
    key: ids.IdempotencyKey,
) -> tuple[Witness, ...]:
    """Return the witnesses of a key according to the local instance list.

    The result depends on the list alone, not on peer states or the local
    state, so that all daemons with the same list compute the same witnesses.
    """
    listed = _eligible_witnesses(world.listing, region)
    ranked = ownership.rank(
        _hash_key(client_account, key), listed, WITNESS_COUNT
    )
    return tuple((name, listed[name]) for name in ranked)


def _hash_key(
    client_account: ids.ClientAccountId, key: ids.IdempotencyKey
) -> str:
    return f'{client_account}\0{key}'


def _eligible_witnesses(
    listing: tables.Listing, region: ids.Region
) -> dict[ids.InstanceId, ids.Incarnation]:
    return {
        row.instance: row.incarnation
        for row in listing.instances.values()
        if row.region == region and not row.leaving
    }


class InstanceListHistory:
    """History of this daemon's region in successive instance lists.

    It records whether this daemon has been one of a key's witnesses in every
    list since a given time, including lists that it did not receive.
    """

    def __init__(self, identity: tables.Identity) -> None:
        self._identity = identity
        self._revision = -1
        self._as_of = -math.inf
        self._listed: dict[ids.InstanceId, ids.Incarnation] = {}
        self._removed: dict[ids.InstanceId, float] = {}
        self._own_listed_since = math.inf
        self._gapless_since = math.inf
        self._seen_at = -math.inf

    @property
    def seen_at(self) -> float:
        """Monotonic time at which the newest list was first seen."""
        return self._seen_at

    @property
    def is_settled(self) -> bool:
        """Whether this daemon was listed for long enough to be a witness.

        Before that, it could join and leave between two lists that another
        witness receives, and that witness would never know of it.
        """
        return self._as_of - self._own_listed_since >= MAX_LIST_GAP_S

    def observe(self, listing: tables.Listing, now: float) -> None:
        """Record the newest list; cheap if it is recorded already."""
        if (listing.revision, listing.as_of) == (self._revision, self._as_of):
            return
        if listing.as_of == -math.inf:
            return
        if not self._follows_without_gap(listing):
            self._gapless_since = listing.as_of
        listed = _eligible_witnesses(listing, self._identity.region)
        for name in self._listed:
            if name not in listed:
                self._removed[name] = listing.as_of
        if listed.get(self._identity.instance) != self._identity.incarnation:
            self._own_listed_since = math.inf
        elif self._own_listed_since == math.inf:
            self._own_listed_since = listing.as_of
        self._listed = listed
        self._revision = listing.revision
        self._as_of = listing.as_of
        self._seen_at = now
        self._drop_old_removals()

    def may_consent(
        self,
        client_account: ids.ClientAccountId,
        key: ids.IdempotencyKey,
        made_at: float,
    ) -> bool:
        """Return whether this daemon is a witness in all lists for this key.

        Another witness answers only on a list no older than
        ``made_at - KEY_FUTURE_LIMIT_S - MAX_LIST_AGE_S``, because the key may
        be up to KEY_FUTURE_LIMIT_S in the future. Each witness in that list
        was listed for MAX_LIST_GAP_S before, so this daemon knows all of them
        if it received lists without a longer gap since MAX_LIST_GAP_S before
        that time. It was a witness throughout if fewer than WITNESS_COUNT
        names that rank higher were listed at any time since.
        """
        oldest = made_at - KEY_FUTURE_LIMIT_S - MAX_LIST_AGE_S
        since = max(self._own_listed_since, self._gapless_since)
        if since > oldest - MAX_LIST_GAP_S:
            return False
        names = set(self._listed)
        names.update(n for n, at in self._removed.items() if at > oldest)
        names.add(self._identity.instance)
        ranked = ownership.rank(
            _hash_key(client_account, key), names, WITNESS_COUNT
        )
        return self._identity.instance in ranked

    def _follows_without_gap(self, listing: tables.Listing) -> bool:
        """Return whether this list follows the last one without a gap.

        Nothing changes between two lists of the same revision.
        """
        if listing.revision == self._revision:
            return listing.as_of >= self._as_of
        gap_s = listing.as_of - self._as_of
        return (
            listing.revision > self._revision and 0 <= gap_s <= MAX_LIST_GAP_S
        )

    def _drop_old_removals(self) -> None:
        """Drop names that left before any key still accepted was made."""
        limit = self._as_of - REMOVED_RETENTION_S
        expired = [n for n, at in self._removed.items() if at < limit]
        for name in expired:
            del self._removed[name]
