"""Event queue under virtual time."""

from collections.abc import Callable
import heapq
import itertools

__all__ = ['Timeline']


class Timeline:
    """Runs callbacks in order of time, then in order of scheduling.

    The clock jumps from one callback to the next; nothing sleeps.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self._heap, (time, next(self._sequence), callback))

    def run(self, until: float) -> None:
        """Run the callbacks that are due up to and including a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
