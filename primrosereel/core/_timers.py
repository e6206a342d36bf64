"""Timers that are often rescheduled and seldom expire."""

from collections.abc import Hashable
from collections.abc import Iterator
import heapq
import itertools
import math
from typing import Generic
from typing import TypeVar

__all__ = ['Timers']

Key = TypeVar('Key', bound=Hashable)


class Timers(Generic[Key]):
    """One due time for each key.

    Moving a timer to a later time costs a dict write only: its heap entry
    stays and is pushed again when it reaches the top too early.
    """

    def __init__(self) -> None:
        self._due: dict[Key, float] = {}
        self._queued: dict[Key, float] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._sequence = itertools.count()

    def set(self, key: Key, when: float) -> None:
        """Set or reschedule a key's timer."""
        self._due[key] = when
        if when < self._queued.get(key, math.inf):
            self._push(key, when)

    def cancel(self, key: Key) -> None:
        """Remove a key's timer, if any."""
        self._due.pop(key, None)

    def next(self) -> float:
        """Return a time before which no timer expires."""
        return self._heap[0][0] if self._heap else math.inf

    def expired(self, now: float) -> Iterator[Key]:
        """Remove and yield the keys that are due."""
        while self._heap and self._heap[0][0] <= now:
            when, _, key = heapq.heappop(self._heap)
            if self._queued.get(key) != when:
                continue
            del self._queued[key]
            due = self._due.get(key, math.inf)
            if due <= now:
                del self._due[key]
                yield key
            elif due < math.inf:
                self._push(key, due)

    def _push(self, key: Key, when: float) -> None:
        self._queued[key] = when
        heapq.heappush(self._heap, (when, next(self._sequence), key))
