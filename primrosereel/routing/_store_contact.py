"""When a removed entry is that of a runner that left.

Entries expire while the store is unavailable, and runners write them again
soon after its return. An outage of one instance alone removes no entry. An
instance therefore asks not when it reached the store again itself, but since
when any instance has: peers tell since when they have had the store without
interruption.
"""

import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['StoreContact']

# For how long after it was told a peer's contact is taken to go on. It is told
# each second, and entries expire after a longer silence.
PEER_CONTACT_VALID_S = 1.5
# How long what a peer told is kept.
PEER_CONTACT_KEPT_S = 30.0


class _PeerContact(NamedTuple):
    since: float
    told_at: float


class StoreContact:
    """Since when this instance and its peers have had the store.

    ``in_touch_since`` is infinite while this instance does not reach it.
    """

    def __init__(self, reregistration_s: float) -> None:
        self._reregistration_s = reregistration_s
        self._in_touch_since = math.inf
        self._last_answer = -math.inf
        # The last answer before the last interruption.
        self._interrupted_at = -math.inf
        # The interruption ended with a store that was restored from a copy.
        self._restored = False
        self._peers: dict[ids.InstanceId, _PeerContact] = {}

    @property
    def in_touch_since(self) -> float:
        """Since when the store has answered without interruption."""
        return self._in_touch_since

    def lost(self, now: float) -> None:
        """Record that the store does not answer."""
        if self._in_touch_since < math.inf:
            if now >= self.removals_real_from(now):
                self._restored = False
            self._interrupted_at = self._last_answer
            self._in_touch_since = math.inf

    def answered(self, now: float) -> None:
        """Record an answer of the store."""
        self._last_answer = now
        self._in_touch_since = min(self._in_touch_since, now)

    def restored(self, now: float) -> None:
        """Record that the store was restored from a copy.

        An entry that is not in the copy may be that of a runner that came
        later, even if a peer was never without the store. An interruption
        that has just ended was that of the restored store.
        """
        has_just_ended = (
            self._interrupted_at > -math.inf
            and self._in_touch_since >= now - PEER_CONTACT_VALID_S
        )
        if not has_just_ended:
            self._interrupted_at = now
        self._in_touch_since = now
        self._restored = True

    def peer_in_touch(
        self, peer: ids.InstanceId, since: float, now: float
    ) -> None:
        """Record since when a peer has had the store, as it tells now."""
        self._peers[peer] = _PeerContact(min(since, now), now)

    def forget_silent_peers(self, now: float) -> None:
        """Forget what peers told that have long been silent."""
        for peer, contact in list(self._peers.items()):
            if now - contact.told_at > PEER_CONTACT_KEPT_S:
                del self._peers[peer]

    def removals_real_from(self, now: float) -> float:
        """Return from when a missing entry is that of a runner that left.

        Negative infinity means that no entry expired for lack of the store,
        infinity that no instance is known to reach it. Example: this instance
        was without the store from 5 s to 12 s. With a peer that has had it
        since 1 s, removals are real at once; with one since 7 s, from 9 s on;
        without peers from 14 s on.
        """
        if self._interrupted_at == -math.inf:
            return -math.inf
        returned_at = self._in_touch_since
        told_from = min(returned_at, now) - PEER_CONTACT_VALID_S
        for contact in self._peers.values():
            if contact.told_at < told_from:
                continue
            if contact.since > self._interrupted_at:
                returned_at = min(returned_at, contact.since)
            elif not self._restored:
                return -math.inf
        return returned_at + self._reregistration_s
