"""Time limits of what is read from a caller."""

from collections.abc import Iterator
import contextlib
import math

import anyio

from primrosereel.gateway import _final_poll as final_poll

__all__ = ['ReadLimit', 'TooSlow']


class TooSlow(Exception):
    """The caller took too long, or paused for too long."""


class ReadLimit:
    """Bounds the time of a read and the pauses between its parts.

    What has arrived by the end of the time is read first: the process may
    have had no processor time since then.

    Example::

        limit = ReadLimit(longest_s=3.0, pause_s=1.0)
        with limit.enforce():  # raises TooSlow
            while not complete:
                add(await stream.receive())
                limit.progressed()
    """

    def __init__(self, longest_s: float, pause_s: float = math.inf) -> None:
        self._pause_s = pause_s
        self._ends_at = anyio.current_time() + longest_s
        self._scope = final_poll.Scope()

    @contextlib.contextmanager
    def enforce(self) -> Iterator[None]:
        """Raise TooSlow if the block takes too long."""
        self._scope.deadline = self._next_deadline()
        with self._scope:
            yield
            return
        raise TooSlow

    def progressed(self) -> None:
        """Record that a part was read."""
        if anyio.current_time() < self._ends_at:
            self._scope.deadline = self._next_deadline()
        else:
            self._scope.progressed()

    def _next_deadline(self) -> float:
        return min(self._ends_at, anyio.current_time() + self._pause_s)
