"""The prefix cache of an engine and the events it publishes."""

from collections import deque
from collections import OrderedDict
import random
from typing import NamedTuple

import msgspec

__all__ = ['CacheEvents', 'EventLog', 'PrefixCache']

# Older events are no longer given; a reader that is this far behind sees a
# gap.
KEPT_EVENTS = 4096


class CacheEvents(msgspec.Struct, frozen=True):
    """Prefix cache changes ``since`` (inclusive) up to ``next`` (exclusive).

    Events are numbered from 0. ``first`` is the number of the oldest event
    given, so ``first`` above ``since`` shows that events were lost. A block
    that was stored and evicted in the same range is listed once, by its last
    change.
    """

    since: int
    first: int
    next: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class _Event(NamedTuple):
    number: int
    time: float
    stored: bool
    block: int
    lost: bool


class EventLog:
    """Cache events that become visible late; some never do."""

    def __init__(
        self, lag_s: float, loss: float, random: random.Random
    ) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._random = random
        self._events: deque[_Event] = deque(maxlen=KEPT_EVENTS)
        self._next = 0

    def add(self, stored: bool, block: int, now: float) -> None:
        """Record one change."""
        lost = self._loss > 0 and self._random.random() < self._loss
        event = _Event(self._next, now, stored, block, lost)
        self._events.append(event)
        self._next += 1

    def read(self, since: int, now: float) -> CacheEvents:
        """Return the events that are visible at ``now``."""
        visible = now - self._lag_s
        last: dict[int, bool] = {}
        first = None
        following = since
        for event in self._events:
            if event.time > visible:
                break
            if event.number < since:
                continue
            following = event.number + 1
            if event.lost:
                continue
            if first is None:
                first = event.number
            last[event.block] = event.stored
        return CacheEvents(
            since=since,
            first=following if first is None else first,
            next=following,
            stored=tuple(b for b, stored in last.items() if stored),
            evicted=tuple(b for b, stored in last.items() if not stored),
        )


class PrefixCache:
    """Blocks of cached prompt prefixes, evicted by least recent use."""

    def __init__(self, capacity: int, log: EventLog) -> None:
        self._capacity = capacity
        self._log = log
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def matched(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached, and mark their use."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._touch(hashes[:count])
        return count

    def store(self, hashes: tuple[int, ...], now: float) -> None:
        """Keep the blocks of a prompt."""
        kept = hashes[: self._capacity]
        for block in kept:
            if block not in self._blocks:
                self._blocks[block] = None
                self._log.add(True, block, now)
        self._touch(kept)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._log.add(False, block, now)

    def clear(self) -> None:
        """Drop every block, as a restart does, without events."""
        self._blocks.clear()

    def _touch(self, hashes: tuple[int, ...]) -> None:
        """Mark use, so that the end of a prefix is evicted before its start.

        A later block is useless without those before it.
        """
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
