"""Time limits of the requests in progress, which a stop shortens."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math

import anyio

from primrosereel.gateway import _final_poll as final_poll

__all__ = ['TimeLimit', 'TimeLimits']

# A smaller difference of the clocks is no suspend.
MIN_CLOCK_CHANGE_S = 0.05


class TimeLimits:
    """The time limits of all requests of a process.

    A process that stops answers each request before it ends. Only answers
    that have begun get a little longer, as nothing else can be sent instead
    of their rest.

    Example::

        limits = TimeLimits(clock)
        limit = limits.add(clock() + 4.0)
        with limit.enforce() as scope:
            await serve()
        if scope.cancelled_caught:
            await refuse()
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._answer_by = math.inf
        self._finish_by = math.inf
        self._enforced: set[TimeLimit] = set()
        # What the clock is ahead of that of the event loop, once known.
        self._clock_offset_s: float | None = None

    @property
    def clock(self) -> Callable[[], float]:
        """The clock of all deadlines."""
        return self._clock

    @property
    def enforced_count(self) -> int:
        """The requests whose time limit has not ended them yet."""
        return len(self._enforced)

    def shorten(self, answer_by: float, finish_by: float) -> None:
        """Bring the ends of requests forward, also of those in progress.

        Answers begin at ``answer_by`` at the latest; those that have begun
        end at ``finish_by``.
        """
        self._answer_by = answer_by
        self._finish_by = finish_by
        for limit in self._enforced:
            limit.apply()

    def follow_clock(self) -> None:
        """Move the limits in force if the process was suspended meanwhile.

        The event loop's clock stands still in a suspend, and the clock of
        the deadlines does not.
        """
        offset_s = self._clock() - anyio.current_time()
        known_s = self._clock_offset_s
        if known_s is None:
            self._clock_offset_s = offset_s
            return
        if abs(offset_s - known_s) < MIN_CLOCK_CHANGE_S:
            return
        self._clock_offset_s = offset_s
        for limit in self._enforced:
            limit.apply()

    def latest_end(self, answer_started: bool) -> float:
        """Return when a request must end, whatever its own deadline is."""
        return self._finish_by if answer_started else self._answer_by

    def add(self, deadline_at: float) -> 'TimeLimit':
        """Return the limit of a request with its own deadline."""
        return TimeLimit(self, self._enforced, deadline_at)


class TimeLimit:
    """The time limit of one request."""

    def __init__(
        self,
        limits: TimeLimits,
        enforced: 'set[TimeLimit]',
        deadline_at: float,
    ) -> None:
        self._limits = limits
        self._enforced = enforced
        self._deadline_at = deadline_at
        self._answer_started = False
        self._scope = final_poll.Scope()

    @property
    def remaining_s(self) -> float:
        """The time left; negative when it is over."""
        return self._remaining_s(self._answer_started)

    @property
    def answer_remaining_s(self) -> float:
        """The time left for an answer that begins in time."""
        return self._remaining_s(answer_started=True)

    def _remaining_s(self, answer_started: bool) -> float:
        latest_end = self._limits.latest_end(answer_started)
        return min(self._deadline_at, latest_end) - self._limits.clock()

    @property
    def is_shortened(self) -> bool:
        """Whether a stop ends the request before its own deadline."""
        latest_end = self._limits.latest_end(self._answer_started)
        return latest_end < self._deadline_at

    @contextlib.contextmanager
    def enforce(self) -> Iterator[final_poll.Scope]:
        """Cancel the block when the time is over.

        It goes on with what has arrived by then.
        """
        self._enforced.add(self)
        self.apply()
        try:
            with self._scope:
                yield self._scope
        finally:
            self._enforced.discard(self)

    def start_answer(self) -> None:
        """Record that the answer has begun."""
        self._answer_started = True
        self.apply()

    def progressed(self) -> None:
        """Record that the answer goes on with what has arrived."""
        self._scope.progressed()

    def apply(self) -> None:
        """Move the deadline of the block to the current limit."""
        self._scope.deadline = anyio.current_time() + self.remaining_s
