"""A group owner's model of the prefix cache of a prefill runner.

It is built from cache events, which are late and have gaps, and from the
prefills that the owner granted; ``cached_tokens`` of each finished prefill
corrects it. A wrong entry costs time, never correctness.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import NamedTuple

from primrosereel import _prefix as prefix
from primrosereel.core import _messages as messages

__all__ = ['Match', 'PrefixCache', 'cached_blocks']

# A block costs about 150 bytes here, so 16 full runners take 10 MB.
MAX_BLOCKS = 4096
# Events arrive up to about this long after the change that they report.
MAX_EVENT_LAG_S = 1.0


class Match(NamedTuple):
    """How much of a prompt is expected to be cached.

    ``used_at`` is the previous use of the last matching block.
    """

    blocks: int
    tokens: int
    used_at: float


def cached_blocks(tokens: int) -> int:
    """Return the number of cached blocks for a number of cached tokens.

    An engine always computes the last token of a prompt, so the last cached
    block may be reported with one token less.
    """
    return math.ceil(tokens / prefix.BLOCK_TOKENS)


class PrefixCache:
    """A bounded set of prefix block hashes, least recently used first."""

    def __init__(self, limit: int = MAX_BLOCKS) -> None:
        self._limit = limit
        self._blocks: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._next_event = 0

    @property
    def next_event(self) -> int:
        """The sequence number of the first event that was not read yet."""
        return self._next_event

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def match(self, hashes: Sequence[int], prompt_tokens: int) -> Match:
        """Return how many leading blocks of a prompt are expected cached."""
        blocks = 0
        used_at = -math.inf
        for block in hashes:
            last_used_at = self._blocks.get(block)
            if last_used_at is None:
                break
            used_at = last_used_at
            blocks += 1
        if not blocks:
            return Match(0, 0, used_at)
        tokens = min(blocks * prefix.BLOCK_TOKENS, prompt_tokens - 1)
        return Match(blocks, tokens, used_at)

    def add(self, hashes: Iterable[int], now: float) -> tuple[int, ...]:
        """Record the use of blocks; return those that were not cached."""
        added = []
        for block in hashes:
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = now
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return tuple(added)

    def discard(self, hashes: Iterable[int]) -> None:
        """Remove blocks that may not be present."""
        for block in hashes:
            self._blocks.pop(block, None)

    def forget_until(self, used_at: float) -> None:
        """Remove all blocks that were last used at ``used_at`` or before.

        Engines evict the least recently used blocks first: if one block is
        missing, those used before it are probably missing as well.
        """
        while self._blocks:
            block = next(iter(self._blocks))
            if self._blocks[block] > used_at:
                return
            del self._blocks[block]

    def apply_events(
        self, events: messages.CacheEventsReceived, now: float
    ) -> None:
        """Apply cache events; after a gap older blocks are removed."""
        if events.next < self._next_event:
            # The engine restarted its sequence and has an empty cache.
            self._blocks.clear()
        elif events.since < self._next_event:
            # An answer to an older poll, whose events were applied already.
            return
        elif events.first > events.since:
            self.forget_until(now - MAX_EVENT_LAG_S)
        self._next_event = events.next
        # The block may have been used again after its eviction.
        evicted = [
            block
            for block in events.evicted
            if self._blocks.get(block, -math.inf) <= now - MAX_EVENT_LAG_S
        ]
        self.add((b for b in events.stored if b not in self._blocks), now)
        self.discard(evicted)

    def clear(self) -> None:
        """Remove all blocks, as after a restart of the engine.

        The sequence number is kept, so that events from before the restart
        are not read again.
        """
        self._blocks.clear()
