"""Releases of places whose report did not reach the group's owner.

An owner that misses a release keeps the place until the grant's lease ends,
30 s later; a connection that was reset must not cost that much.
"""

import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables
from primrosereel.core import _timers as timers

__all__ = ['Releases']

REPEAT_S = 1.0
# The lease of the grant frees the place after this time.
GIVE_UP_S = 30.0


class Key(NamedTuple):
    """One attempt of a request."""

    request_id: ids.RequestId
    attempt: int


@dataclasses.dataclass(slots=True)
class Release:
    """A release to send again; ``sent`` until it fails again."""

    report: messages.Progress
    until: float
    sent: bool = False


class Releases:
    """Sends releases again that a peer did not get."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._pending: dict[Key, Release] = {}
        self._timers: timers.Timers[Key] = timers.Timers()

    def failed(self, report: messages.Progress, now: float) -> None:
        """Take a release that did not reach the owner."""
        key = Key(report.request_id, report.attempt)
        release = self._pending.setdefault(
            key, Release(report, now + GIVE_UP_S)
        )
        release.sent = False
        self._timers.set(key, now + REPEAT_S)

    def run(self, now: float) -> None:
        """Send what is due; forget what did not fail again."""
        for key in self._timers.expired(now):
            release = self._pending[key]
            if release.sent or now >= release.until:
                del self._pending[key]
            else:
                self._send(key, release, now)
        if self._timers.next() < math.inf:
            self._world.wake_at(self._timers.next())

    def _send(self, key: Key, release: Release, now: float) -> None:
        owner = ownership.group_owner(self._world, release.report.group)
        if owner is not None:
            self._world.send(owner, release.report)
        # The transport reports a failure in less than this time.
        release.sent = True
        self._timers.set(key, now + 2 * REPEAT_S)
