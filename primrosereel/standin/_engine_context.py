"""State that the parts of the engine model share.

It consists of the requests held, memory, places, counters and timers.
"""

from collections.abc import Callable
import heapq
import math

from primrosereel.standin import _faults as faults
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['Held', 'Shared']


class Held:
    """A request that the engine holds: a prefill or a stream."""

    __slots__ = (
        'bytes',
        'cached',
        'end',
        'lease_s',
        'needed',
        'pieces',
        'place',
        'priority',
        'produced',
        'prompt',
        'readers',
        'reason',
        'request_id',
        'stamp',
        'started',
        'state',
        'until',
    )

    def __init__(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        priority: int,
        state: types.State,
        needed: int,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.priority = priority
        self.state = state
        self.needed = needed
        self.pieces = 0
        self.place = False
        self.stamp = 0
        self.bytes = 0
        # Prefill: cached tokens, lease, and the times of start and end.
        self.cached = 0
        self.lease_s = math.inf
        self.started = 0.0
        self.until = 0.0
        # Decode: offset of the next token, end offset, finish reason and
        # number of readers.
        self.produced = 0
        self.end = 0
        self.reason = ''
        self.readers = 0


Action = Callable[[Held, float], None]


class Shared:
    """Requests, memory, places, counters, events and timers of an engine."""

    def __init__(self, config: types.EngineConfig) -> None:
        self.config = config
        self.counters = types.Counters()
        self.events: list[types.Event] = []
        self.faults = faults.EngineFaults()
        self.held: dict[str, Held] = {}
        self._heap: list[tuple[float, int, int, Held, Action]] = []
        self._sequence = 0

    @property
    def free_pieces(self) -> int:
        """Number of pieces of memory that no request holds."""
        return self.config.pieces - self.counters.pieces_held

    @property
    def free_places(self) -> int:
        """Number of places in the batch that no request holds."""
        return self.config.places - self.counters.places_held

    def pieces_for(self, count: int) -> int:
        """Return how many pieces a number of tokens occupies."""
        return -(-count // self.config.piece_tokens)

    def add(self, held: Held) -> None:
        """Keep a new request."""
        self.held[held.request_id] = held

    def take(self, held: Held, place: bool) -> bool:
        """Allocate a request's pieces, and a place if ``place`` is set.

        Allocates nothing and returns false if they are not free.
        """
        if held.needed > self.free_pieces:
            return False
        if place and self.free_places < 1:
            return False
        counters = self.counters
        held.pieces = held.needed
        counters.pieces_held += held.needed
        counters.pieces_highest = max(
            counters.pieces_highest, counters.pieces_held
        )
        if place:
            held.place = True
            counters.places_held += 1
            counters.places_highest = max(
                counters.places_highest, counters.places_held
            )
        return True

    def give_back(self, held: Held) -> None:
        """Free the pieces and the place of a request."""
        self.counters.pieces_held -= held.pieces
        self.counters.places_held -= held.place
        held.pieces = 0
        held.place = False

    def forget(self, held: Held, now: float) -> None:
        """Free everything and remove the request; also a timer action."""
        self.give_back(held)
        self.clear_timer(held)
        self.held.pop(held.request_id, None)

    def set_timer(self, held: Held, time: float, action: Action) -> None:
        """Call ``action`` at ``time``; replaces the request's timer."""
        held.stamp += 1
        self._sequence += 1
        entry = (time, self._sequence, held.stamp, held, action)
        heapq.heappush(self._heap, entry)

    def clear_timer(self, held: Held) -> None:
        """Cancel the request's timer."""
        held.stamp += 1

    def next_timer(self) -> float:
        """Return the time of the earliest timer, or infinity."""
        heap = self._heap
        while heap and heap[0][2] != heap[0][3].stamp:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def run_timers(self, now: float) -> None:
        """Run the timers that are due."""
        while self.next_timer() <= now:
            _, _, _, held, action = heapq.heappop(self._heap)
            held.stamp += 1
            action(held, now)

    def clear(self, now: float) -> None:
        """Remove every request and timer."""
        for held in list(self.held.values()):
            self.forget(held, now)
        self._heap.clear()
