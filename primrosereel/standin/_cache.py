"""The prefix cache of an engine and the events it publishes."""

from collections import deque
from collections import OrderedDict
import random
from typing import NamedTuple

import msgspec

__all__ = ['CacheEventLog', 'CacheEvents', 'PrefixCache']

# Older events are discarded, so a reader that is further behind sees a gap.
MAX_KEPT_EVENTS = 4096


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


class CacheEventLog:
    """Cache events that become visible after a lag or are lost."""

    def __init__(
        self, lag_s: float, loss: float, random: random.Random
    ) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._random = random
        self._events: deque[_Event] = deque(maxlen=MAX_KEPT_EVENTS)
        self._next_number = 0

    def record(self, stored: bool, block: int, now: float) -> None:
        """Record one change."""
        lost = self._loss > 0 and self._random.random() < self._loss
        event = _Event(self._next_number, now, stored, block, lost)
        self._events.append(event)
        self._next_number += 1

    def read(self, since: int, now: float) -> CacheEvents:
        """Return the events that are visible at ``now``."""
        visible_until = now - self._lag_s
        last_changes: dict[int, bool] = {}
        first = None
        next_number = since
        for event in self._events:
            if event.time > visible_until:
                break
            if event.number < since:
                continue
            next_number = event.number + 1
            if event.lost:
                continue
            if first is None:
                first = event.number
            last_changes[event.block] = event.stored
        return CacheEvents(
            since=since,
            first=next_number if first is None else first,
            next=next_number,
            stored=tuple(b for b, stored in last_changes.items() if stored),
            evicted=tuple(
                b for b, stored in last_changes.items() if not stored
            ),
        )


class PrefixCache:
    """Least recently used (LRU) cache of prompt prefix blocks."""

    def __init__(self, capacity: int, log: CacheEventLog) -> None:
        self._capacity = capacity
        self._log = log
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def match_prefix(self, hashes: tuple[int, ...]) -> int:
        """Count the leading blocks that are cached and mark them used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._mark_used(hashes[:count])
        return count

    def store(self, hashes: tuple[int, ...], now: float) -> None:
        """Store the blocks of a prompt and evict what exceeds capacity."""
        kept = hashes[: self._capacity]
        for block in kept:
            if block not in self._blocks:
                self._blocks[block] = None
                self._log.record(True, block, now)
        self._mark_used(kept)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._log.record(False, block, now)

    def clear(self) -> None:
        """Drop every block, as a restart does, without events."""
        self._blocks.clear()

    def _mark_used(self, hashes: tuple[int, ...]) -> None:
        """Mark blocks used, the last of the prefix as the oldest use.

        The end of a prefix is then evicted before its start. A block cannot
        be used without those before it.
        """
        for block in reversed(hashes):
            self._blocks.move_to_end(block)
