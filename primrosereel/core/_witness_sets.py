"""Idempotency keys, their witnesses, and what a witness saw of the list.

The safety of claims (design section 5.6) rests on two comparisons of times
that are not local to one process: the key's own time and the ``as_of`` time
of instance lists. Both travel in the data, so differences between the clocks
of two daemons do not weaken the argument.
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
# H of the design: a witness answers only on a list no older than this.
MAX_LIST_AGE_S = 10.0
# A member that stayed listed for this long is seen by every daemon whose
# lists follow each other no slower. Lists come every 2 s; 5 s allows for one
# that is lost.
MAX_LIST_GAP_S = 5.0
WITNESS_COUNT = 3
UUID_VERSION = 7
UUID_LENGTH = 36
# Names that left the list matter for as long as a key is accepted.
REMOVED_RETENTION_S = (
    KEY_AGE_LIMIT_S + KEY_FUTURE_LIMIT_S + 2 * MAX_LIST_AGE_S + MAX_LIST_GAP_S
)


def parse_key(text: str) -> ids.IdempotencyKey | None:
    """Return the canonical form of a UUIDv7, or None for anything else.

    Two spellings of one UUID are the same key.
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
    """Return the time inside a UUIDv7 in wall-clock seconds, else None."""
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
    """Return the witnesses of a key in the own view of the list.

    Only the instance list counts: what this daemon thinks of a peer or of
    itself must not make its view differ from others' with the same list.
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
    """What this daemon saw of its region in successive instance lists.

    It answers whether this daemon has been among a key's witnesses in every
    list since a given time, including lists that it did not see itself.
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
        """Whether this daemon was listed for long enough to take part.

        Until then it could join and leave between two lists that another
        witness sees, which would hide it from that witness.
        """
        return self._as_of - self._own_listed_since >= MAX_LIST_GAP_S

    def observe(self, listing: tables.Listing, now: float) -> None:
        """Take the newest list; cheap when it is the one known already."""
        if (listing.revision, listing.as_of) == (self._revision, self._as_of):
            return
        if listing.as_of == -math.inf:
            return
        if not self._is_gapless(listing):
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
        """Tell whether no list this key can meet leaves out this daemon.

        A list that another witness answers on is no older than
        ``made_at - KEY_FUTURE_LIMIT_S - LIST_FRESH_S``, since the key may be
        that far in the future. Each of its witnesses stood in lists for
        LIST_GAP_S before, so this daemon saw them all if it saw lists
        without a longer gap from LIST_GAP_S before that time on. It was
        among the witnesses throughout if fewer than WITNESSES names above
        it were listed at any time since.
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

    def _is_gapless(self, listing: tables.Listing) -> bool:
        """Tell whether no list in between can have escaped notice.

        Between two lists of the same revision nothing changed.
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
