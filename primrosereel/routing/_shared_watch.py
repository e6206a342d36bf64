"""Shares one watch of the platform's store among the instances.

Pattern: feedback suppression, as in IGMP membership reports. Every instance
has to know each change of the store within a bound. It polls when its
knowledge is older than a pause with a random extension, and tells its peers
what it learned and when. That renews the knowledge of the peers, so that they
do not poll: a pause costs a few calls, whatever the number of instances. An
instance that hears nothing polls for itself, so lost messages, a reader that
ended and a partition cost calls and no time.
"""

import enum
import math
import random as random_module
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Notice', 'NoticeUse', 'SharedWatch']

# The pause is extended by up to this share of it at random. Most extensions
# are long and few are short (an exponential density with this steepness), so
# that in a fleet of any size few instances poll before the first one's notice.
POLL_JITTER_SHARE = 0.35
POLL_JITTER_STEEPNESS = 6.0


class Notice(NamedTuple):
    """What an instance knows of the store, and as of when.

    ``revision`` is the store's as of ``confirmed_at``. Nothing that concerns
    routing changed after ``unchanged_since``; ``change_known`` tells whether
    something changed just then, or the sender read a snapshot of that
    revision. ``content`` holds the relevant changes after the revision
    ``since``; it is empty if they are not part of the notice. Revisions are
    those of the history with ``era``.
    """

    revision: int
    confirmed_at: float
    unchanged_since: int
    change_known: bool = False
    since: int = 0
    content: bytes = b''
    era: ids.StoreEra | None = None


class NoticeUse(enum.Enum):
    """What a received notice is good for."""

    NOTHING = 'nothing'
    # Nothing relevant changed since the own revision.
    CONFIRMS = 'confirms'
    # The content completes the own knowledge.
    COMPLETES = 'completes'
    # There are relevant changes that the notice does not hold.
    BEHIND = 'behind'


class SharedWatch:
    """The revision that this instance knows, and how old its knowledge is.

    Example::

        use = watch.classify(notice)
        if use is NoticeUse.CONFIRMS:
            watch.accept(notice)
        ...
        watch.due_at(pause_s)  # when to poll
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._revision = 0
        self._unchanged_since = 0
        self._change_known = False
        self._confirmed_at = 0.0
        self._behind = False
        self._jitter = 0.0

    @property
    def revision(self) -> int:
        """The known revision of the store; 0 before the first read."""
        return self._revision

    def reset(self) -> None:
        """Forget the revision: the store's history was lost."""
        self._revision = 0

    def snapshot_read(self, revision: int, now: float) -> None:
        """Record that all entries were read."""
        self._revision = revision
        self._unchanged_since, self._change_known = revision, False
        self._confirm(now)

    def changes_read(
        self, revision: int, changed_at: int | None, now: float
    ) -> None:
        """Record a response to a watch.

        ``changed_at`` is the revision of its last relevant change, None if it
        had none.
        """
        self._revision = max(self._revision, revision)
        if changed_at is not None and changed_at >= self._unchanged_since:
            self._unchanged_since, self._change_known = changed_at, True
        self._confirm(now)

    def classify(self, notice: Notice) -> NoticeUse:
        """Return what a peer's notice is good for."""
        if not self._revision or notice.confirmed_at <= self._confirmed_at:
            return NoticeUse.NOTHING
        if notice.revision < self._revision:
            # It was long under way, and knows less than this instance.
            return NoticeUse.NOTHING
        if notice.unchanged_since <= self._revision:
            return NoticeUse.CONFIRMS
        if not notice.change_known:
            return NoticeUse.NOTHING
        if notice.content and notice.since <= self._revision:
            return NoticeUse.COMPLETES
        return NoticeUse.BEHIND

    def accept(self, notice: Notice) -> None:
        """Adopt a notice that confirms or completes the own knowledge."""
        if notice.unchanged_since > self._revision or (
            notice.unchanged_since < self._unchanged_since
            and not self._change_known
        ):
            self._unchanged_since = notice.unchanged_since
            self._change_known = notice.change_known
        self._revision = max(self._revision, notice.revision)
        self._confirm(notice.confirmed_at)

    def fall_behind(self) -> None:
        """Record that a peer knows relevant changes that are unknown here."""
        self._behind = True

    def due_at(self, pause_s: float) -> float:
        """Return when this instance has to poll, unless notices arrive."""
        if self._behind:
            return self._confirmed_at
        return self._confirmed_at + pause_s * (1 + self._jitter)

    def notice(self) -> Notice | None:
        """Return what peers are told; None before the first read."""
        if not self._revision:
            return None
        return Notice(
            self._revision,
            self._confirmed_at,
            self._unchanged_since,
            self._change_known,
        )

    def _confirm(self, when: float) -> None:
        self._confirmed_at = max(self._confirmed_at, when)
        self._behind = False
        exponential = -math.log(1.0 - self._random.random())
        self._jitter = POLL_JITTER_SHARE * max(
            0.0, 1.0 - exponential / POLL_JITTER_STEEPNESS
        )
