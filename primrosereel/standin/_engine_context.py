"""State that the parts of the engine model share.

It consists of the requests held, memory, places, counters and timers.
"""

from collections.abc import Callable
import heapq
import math

from primrosereel.standin import _faults as faults
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['EngineContext', 'EngineRequest']


class EngineRequest:
    """A request that the engine holds: a prefill or a stream."""

    __slots__ = (
        'bytes',
        'cached_tokens',
        'end_offset',
        'ends_at',
        'finish_reason',
        'has_place',
        'lease_s',
        'needed_pieces',
        'next_offset',
        'pieces',
        'priority',
        'prompt',
        'readers',
        'request_id',
        'started_at',
        'state',
        'timer_version',
    )

    def __init__(
        self,
        request_id: str,
        prompt: tokens.Prompt,
        priority: int,
        state: types.State,
        needed_pieces: int,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.priority = priority
        self.state = state
        self.needed_pieces = needed_pieces
        self.pieces = 0
        self.has_place = False
        self.timer_version = 0
        self.bytes = 0
        # Prefill: cached tokens, lease, and the times of start and end.
        self.cached_tokens = 0
        self.lease_s = math.inf
        self.started_at = 0.0
        self.ends_at = 0.0
        # Decode: offset of the next token, end offset, finish reason and
        # number of readers.
        self.next_offset = 0
        self.end_offset = 0
        self.finish_reason = ''
        self.readers = 0


Action = Callable[[EngineRequest, float], None]


class EngineContext:
    """Requests, memory, places, counters, events and timers of an engine."""

    def __init__(self, config: types.EngineConfig) -> None:
        self.config = config
        self.counters = types.Counters()
        self.events: list[types.Event] = []
        self.faults = faults.EngineFaults()
        self.requests: dict[str, EngineRequest] = {}
        self._heap: list[tuple[float, int, int, EngineRequest, Action]] = []
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

    def add(self, request: EngineRequest) -> None:
        """Keep a new request."""
        self.requests[request.request_id] = request

    def allocate(self, request: EngineRequest, with_place: bool) -> bool:
        """Allocate a request's pieces, and a place if ``with_place``.

        Allocates nothing and returns false if they are not free.
        """
        if request.needed_pieces > self.free_pieces:
            return False
        if with_place and self.free_places < 1:
            return False
        counters = self.counters
        request.pieces = request.needed_pieces
        counters.pieces_held += request.needed_pieces
        counters.pieces_highest = max(
            counters.pieces_highest, counters.pieces_held
        )
        if with_place:
            request.has_place = True
            counters.places_held += 1
            counters.places_highest = max(
                counters.places_highest, counters.places_held
            )
        return True

    def release(self, request: EngineRequest) -> None:
        """Free the pieces and the place of a request."""
        self.counters.pieces_held -= request.pieces
        self.counters.places_held -= request.has_place
        request.pieces = 0
        request.has_place = False

    def remove(self, request: EngineRequest, now: float) -> None:
        """Free everything and remove the request; also a timer action."""
        self.release(request)
        self.clear_timer(request)
        self.requests.pop(request.request_id, None)

    def set_timer(
        self, request: EngineRequest, time: float, action: Action
    ) -> None:
        """Call ``action`` at ``time``; replaces the request's timer."""
        request.timer_version += 1
        self._sequence += 1
        entry = (time, self._sequence, request.timer_version, request, action)
        heapq.heappush(self._heap, entry)

    def clear_timer(self, request: EngineRequest) -> None:
        """Cancel the request's timer."""
        request.timer_version += 1

    def next_timer(self) -> float:
        """Return the time of the earliest timer, or infinity."""
        heap = self._heap
        while heap and heap[0][2] != heap[0][3].timer_version:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def run_timers(self, now: float) -> None:
        """Run the timers that are due."""
        while self.next_timer() <= now:
            _, _, _, request, action = heapq.heappop(self._heap)
            request.timer_version += 1
            action(request, now)

    def clear(self, now: float) -> None:
        """Remove every request and timer."""
        for request in list(self.requests.values()):
            self.remove(request, now)
        self._heap.clear()
