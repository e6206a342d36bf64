"""Decides when this daemon reads or watches the configuration service.

The service answers a bounded number of reads for the whole fleet, and a
waiting watch counts as one. So 2 readers per region watch, chosen again for
each revision; all others read only at start and after a pause.
"""

import math

from primrosereel import _ids as ids
from primrosereel.core import _backoff as backoff
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['READERS_PER_REGION', 'ConfigurationReads']

READERS_PER_REGION = 2
WATCH_WAIT_S = 20.0
# The adapter reports each end of a read; this covers a report that is lost.
ANSWER_MARGIN_S = 5.0
# With these, 390 daemons that wait for the service make at most 390 reads in
# a second, at their start, and about 52 later on, of the 2,000 it serves.
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 10.0


class ConfigurationReads:
    """One daemon's reads of the configuration service."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._backoff = backoff.Backoff(
            world.random, MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S
        )
        self._catching_up = True
        self._answer_deadline: float | None = None
        self._sent_at = -math.inf
        self._wait_s = 0.0
        self._not_before = -math.inf
        self._reader = False
        self._reader_key: tuple[int, ids.Revision] | None = None

    def is_reader(self) -> bool:
        """Return whether this daemon watches for the next revision."""
        world = self._world
        key = (world.view, world.revision)
        if key != self._reader_key:
            self._reader_key = key
            self._reader = not world.draining and world.identity.instance in (
                ownership.rank(
                    f'configuration/{world.identity.region}/{world.revision}',
                    ownership.live_instances(world, world.identity.region),
                    READERS_PER_REGION,
                )
            )
        return self._reader

    def catch_up(self) -> None:
        """Read at once, even if this daemon is not a reader."""
        self._catching_up = True
        self._answer_deadline = None
        self._not_before = -math.inf
        self._backoff.reset()

    def on_answer(self, now: float, has_newer_text: bool) -> None:
        """Record an answer and schedule the next read."""
        ended_early = now - self._sent_at < self._wait_s / 2
        self._answer_deadline = None
        self._catching_up = False
        if has_newer_text or not ended_early:
            self._backoff.reset()
            self._not_before = self._sent_at + MIN_RETRY_DELAY_S
        else:
            # Without a delay a service that does not wait would be polled
            # continuously.
            self._not_before = now + self._backoff.next_s()

    def on_failure(self, now: float) -> None:
        """Record that a read or watch failed."""
        self._answer_deadline = None
        self._not_before = now + self._backoff.next_s()

    def run(self, now: float, after: ids.Revision) -> None:
        """Start a read or watch if one is due."""
        if self._answer_deadline is not None:
            if now < self._answer_deadline:
                return
            self.on_failure(now)
        wait_s = self._due_wait_s()
        if wait_s is None:
            return
        if now < self._not_before:
            self._world.wake_at(self._not_before)
            return
        self._sent_at = now
        self._wait_s = wait_s
        self._answer_deadline = now + wait_s + ANSWER_MARGIN_S
        self._world.emit(messages.WatchConfiguration(after, wait_s))

    def _due_wait_s(self) -> float | None:
        if self._catching_up or self._world.text is None:
            return 0.0
        return WATCH_WAIT_S if self.is_reader() else None
