"""Repeats releases of places that were not delivered to the group's owner.

An owner that misses a release keeps the place reserved until the lease of the
grant ends, 30 s later; a reset connection must not cost that much.
"""

import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables
from primrosereel.core import _timers as timers

__all__ = ['ReleaseRetries']

RETRY_INTERVAL_S = 1.0
# The place is free by then, since the lease of the grant has ended.
RETRY_LIMIT_S = 30.0


class AttemptKey(NamedTuple):
    """One attempt of a request."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(slots=True)
class PendingRelease:
    """A release to send again.

    ``sent`` is True if it was sent and no failure was reported since.
    """

    report: messages.Progress
    retry_until: float
    sent: bool = False


class ReleaseRetries:
    """Sends releases again whose delivery failed."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._pending: dict[AttemptKey, PendingRelease] = {}
        self._timers: timers.Timers[AttemptKey] = timers.Timers()

    def retry_later(self, report: messages.Progress, now: float) -> None:
        """Schedule a release whose delivery failed."""
        key = AttemptKey(report.request_id, report.attempt)
        release = self._pending.setdefault(
            key, PendingRelease(report, now + RETRY_LIMIT_S)
        )
        release.sent = False
        self._timers.set(key, now + RETRY_INTERVAL_S)

    def run(self, now: float) -> None:
        """Send the due releases; forget those that did not fail again."""
        for key in self._timers.expired(now):
            release = self._pending[key]
            if release.sent or now >= release.retry_until:
                del self._pending[key]
            else:
                self._send(key, release, now)
        if self._timers.next() < math.inf:
            self._world.wake_at(self._timers.next())

    def _send(
        self, key: AttemptKey, release: PendingRelease, now: float
    ) -> None:
        owner = ownership.group_owner(self._world, release.report.group)
        if owner is not None:
            self._world.send(owner, release.report)
        # The transport reports a failed delivery in less than this time.
        release.sent = True
        self._timers.set(key, now + 2 * RETRY_INTERVAL_S)
