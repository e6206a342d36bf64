"""Virtual time: calls in the order of their times; nothing sleeps."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ['Timeline']


class Timeline:
    """Runs calls at virtual times, those of one time in their order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Run a call at a virtual time."""
        heapq.heappush(self._heap, (when, next(self._numbers), call))

    def run(self, until: float) -> None:
        """Run everything up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until
