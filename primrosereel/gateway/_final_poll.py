"""Time limits that look once more at what has arrived before they end a block.

Pattern: deadline with a final poll. A limit that runs while the process has no
processor time says nothing about the other side, whose answer may lie unread
in a socket. At its end, the event loop therefore polls all sockets and lets
the block go on for some more turns. Only a block that waits on is cancelled.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import math
from types import TracebackType

import anyio

__all__ = ['Scope', 'fail_after', 'move_on_after']

# The turns of the event loop within which a block must go on with what has
# arrived. It takes some turns to read, parse and send a part.
POLL_TURNS = 10
# The time for a block that went on, or whose deadline was noticed late. What
# arrives after a deadline that was noticed in time is no reason to wait.
POLL_S = 0.02
LATE_S = 0.05
# The turns after a pause of the loop, or after the longest time is over.
LAST_TURNS = 6
# A block that goes on and on is cancelled after this time of the event loop.
# A turn that takes longer counts as one of MAX_TURN_S: the process had no
# time meanwhile.
MAX_POLL_S = 0.25
MAX_TURN_S = 0.01
# After a turn that took as long as this, more may have arrived. That is taken
# into account a few times, as each turn of a busy process takes long.
PAUSE_S = 0.05
MAX_PAUSES = 3


class Scope:
    """A cancel scope whose deadline leaves time for what has arrived.

    ``deadline`` is in seconds of the event loop's clock and may be moved at
    any time, also outside the block. It needs the asyncio back end.

    Example::

        with final_poll.Scope(deadline=anyio.current_time() + 2.0) as scope:
            answer = await stream.receive()
        if scope.cancelled_caught:
            answer = None
    """

    def __init__(self, deadline: float = math.inf) -> None:
        self._scope = anyio.CancelScope()
        self._deadline = deadline
        self._active = False
        self._handle: asyncio.Handle | None = None
        # The final poll: its turns that are left, the time of the last one
        # and of all, and the pauses that may still prolong it.
        self._polling = False
        self._needs_time = False
        self._turns_left = 0
        self._turn_at = 0.0
        self._polled_s = 0.0
        self._pauses_left = 0
        self._expired = False

    @property
    def deadline(self) -> float:
        """When the block is to end."""
        return self._deadline

    @deadline.setter
    def deadline(self, value: float) -> None:
        self._deadline = value
        if self._active:
            self._wait_for_deadline()

    @property
    def cancel_called(self) -> bool:
        """Whether the block was cancelled."""
        return self._scope.cancel_called

    @property
    def cancelled_caught(self) -> bool:
        """Whether the cancellation ended the block."""
        return self._scope.cancelled_caught

    @property
    def expired(self) -> bool:
        """Whether the deadline, and not a call of cancel, ended the block."""
        return self._expired and self.cancelled_caught

    def cancel(self) -> None:
        """Cancel the block at once."""
        self._stop_timer()
        self._scope.cancel()

    def progressed(self) -> None:
        """Record that the block goes on with what has arrived."""
        if self._polling and self._polled_s < MAX_POLL_S:
            self._needs_time = True
            self._turns_left = POLL_TURNS

    def __enter__(self) -> 'Scope':
        self._scope.__enter__()
        self._active = True
        self._wait_for_deadline()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_val: BaseException | None,
        exc_tb: TracebackType | None,
    ) -> bool | None:
        self._active = False
        self._stop_timer()
        return self._scope.__exit__(exc_type, exc_val, exc_tb)

    def _stop_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait_for_deadline(self) -> None:
        self._stop_timer()
        self._polling = False
        if self._deadline < math.inf:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_at(self._deadline, self._begin_poll)

    def _begin_poll(self) -> None:
        self._polling = True
        self._turns_left = POLL_TURNS
        self._turn_at = anyio.current_time()
        self._needs_time = self._turn_at - self._deadline >= LATE_S
        self._polled_s = 0.0
        self._pauses_left = MAX_PAUSES
        self._poll()

    def _poll(self) -> None:
        """Give the block another turn, or cancel it."""
        loop = asyncio.get_running_loop()
        self._count_turn(loop.time())
        if self._turns_left > 0:
            self._turns_left -= 1
            self._handle = loop.call_soon(self._poll)
            return
        wait_s = POLL_S - self._polled_s
        if wait_s > 0 and self._needs_time:
            self._polled_s = POLL_S
            self._turns_left = LAST_TURNS
            self._handle = loop.call_later(wait_s, self._poll)
            return
        self._expire()

    def _count_turn(self, now: float) -> None:
        """Count the last turn, and bound the turns that are left."""
        turn_s = now - self._turn_at
        self._turn_at = now
        self._polled_s += min(turn_s, MAX_TURN_S)
        if turn_s >= PAUSE_S and self._pauses_left:
            self._pauses_left -= 1
            self._turns_left = max(self._turns_left, LAST_TURNS)
        if self._polled_s >= MAX_POLL_S:
            self._turns_left = min(self._turns_left, LAST_TURNS)

    def _expire(self) -> None:
        self._expired = True
        self._scope.cancel()


def move_on_after(delay_s: float) -> Scope:
    """Return a scope that ends its block after a delay, given in seconds."""
    return Scope(anyio.current_time() + delay_s)


@contextlib.contextmanager
def fail_after(delay_s: float) -> Iterator[Scope]:
    """End the block after a delay in seconds; raise TimeoutError then.

    A block that ``cancel`` of the scope ends raises nothing.
    """
    with move_on_after(delay_s) as scope:
        yield scope
    if scope.expired:
        raise TimeoutError
