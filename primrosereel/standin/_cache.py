"""The prefix cache of an engine and the events it publishes."""

from collections import deque
from collections import OrderedDict
import random
from typing import NamedTuple

import msgspec

__all__ = ['CacheEvents', 'EventLog', 'PrefixCache']

# Older events are discarded, so a reader that is further behind sees a gap.
KEPT_EVENTS = 4096


class CacheEvents(msgspec.Struct, frozen=True):
    """Prefix cache changes ``since`` (inclusive) up to ``next`` (exclusive).

    Events are numbered from 0. ``first`` is the number of the oldest event
    included; if it is above ``since``, events were lost. A block that was
    both stored and evicted in the range is listed once, under its last
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
    """Cache events that become visible after a lag or are lost."""

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
    """Least recently used (LRU) cache of prompt prefix blocks."""

    def __init__(self, capacity: int, log: EventLog) -> None:
        self._capacity = capacity
        self._log = log
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def matched(self, hashes: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached and mark them used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._touch(hashes[:count])
        return count

    def store(self, hashes: tuple[int, ...], now: float) -> None:
        """Store the blocks of a prompt and evict what exceeds capacity."""
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
        """Mark blocks used, the last of the prefix as the oldest use.

        The end of a prefix is then evicted before its start. A block cannot
        be used without those before it.
        """
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
