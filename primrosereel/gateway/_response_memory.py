"""Bounds the memory that responses take at a time.

A faulty runner may send bytes without end. A limit for each response alone
does not protect a process that reads from many runners at once, so what is
held of all of them has a common limit: input that is not parsed yet, the head
of a response, an incomplete event, and a body until it has been sent.
"""

import anyio

__all__ = ['Reservation', 'ResponseMemory']

# Share of the memory of the process.
MEMORY_SHARE = 0.125
# The rest of the limit is kept for reservations that are small, so that one
# runner's endless responses do not break the streams of the others.
LARGE_SHARE = 0.8
SMALL_BYTES = 16 * 1024
# How long the next large response waits until others have been sent. Then it
# is read anyway, as a faulty runner may announce more than it sends.
MAX_WAIT_S = 1.0
# The large responses that may wait before new calls are refused.
MAX_WAITING = 8


class ResponseMemory:
    """Counts the bytes that are held of all responses."""

    def __init__(self, process_bytes: int) -> None:
        self._limit = int(MEMORY_SHARE * process_bytes)
        self._large_limit = int(LARGE_SHARE * self._limit)
        self._reserved = 0
        # What the responses that are read have announced and not sent yet.
        self._expected = 0
        self._waiting = 0
        # The bytes that were not granted, or are waited for.
        self._refused = self._wanted = 0
        self._turn = anyio.Lock()
        self._shrunk = anyio.Event()

    @property
    def limit(self) -> int:
        """Bytes that can be reserved."""
        return self._limit

    @property
    def reserved(self) -> int:
        """Bytes that are reserved now."""
        return self._reserved

    @property
    def is_crowded(self) -> bool:
        """Whether so many responses wait that no others should follow."""
        return self._waiting >= MAX_WAITING

    def take_missing(self) -> int:
        """Return the bytes that were missing since the last call."""
        missing = self._wanted + self._refused
        self._refused = 0
        return min(missing, self._limit)

    def reservation(self) -> 'Reservation':
        """Return an empty reservation."""
        return Reservation(self)

    def change(self, old_size: int, new_size: int) -> bool:
        """Change the size of a reservation; False if the limit forbids it.

        One that does not grow is always allowed.
        """
        growth = new_size - old_size
        is_large = new_size > SMALL_BYTES
        limit = self._large_limit if is_large else self._limit
        if growth > 0 and self._reserved + growth > limit:
            self._refused = max(self._refused, growth)
            return False
        self._reserved += growth
        if growth < 0:
            self._shrunk.set()
        return True

    def expect(self, growth: int) -> None:
        """Change what responses have announced and not sent yet."""
        self._expected += growth
        if growth < 0:
            self._shrunk.set()

    async def wait_for_room(self, size: int) -> None:
        """Wait until a response of so many bytes fits, one after the other.

        Many that are read at once would all break before one is complete.
        """
        self._waiting += 1
        self._wanted += size
        try:
            async with self._turn:
                with anyio.move_on_after(MAX_WAIT_S):
                    while not self._fits(size):
                        self._shrunk = anyio.Event()
                        await self._shrunk.wait()
        finally:
            self._waiting -= 1
            self._wanted -= size

    def _fits(self, size: int) -> bool:
        room = self._large_limit - self._reserved - self._expected
        return size <= room or size > self._large_limit


class Reservation:
    """The bytes that are held of one response.

    Example::

        reservation = memory.reservation()
        if not reservation.resize(len(data)):
            ...  # drop the response
        reservation.release()
    """

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._size = 0
        self._announced = 0

    @property
    def size(self) -> int:
        """Bytes that are reserved."""
        return self._size

    def resize(self, size: int) -> bool:
        """Reserve so many bytes; return False if the limit forbids it."""
        if not self._memory.change(self._size, size):
            return False
        self._set(size, self._announced)
        return True

    async def announce(self, size: int) -> None:
        """Expect a response of so many bytes; wait until it fits."""
        if size <= SMALL_BYTES:
            return
        await self._memory.wait_for_room(size)
        self._set(self._size, size)

    def forget_announced(self) -> None:
        """Expect no more bytes of the response."""
        self._set(self._size, 0)

    def _set(self, size: int, announced: int) -> None:
        old = max(0, self._announced - self._size)
        self._size, self._announced = size, announced
        self._memory.expect(max(0, announced - size) - old)

    def take(self, other: 'Reservation', size: int) -> None:
        """Take over a part of another reservation of the same memory."""
        size = min(size, other._size)
        other._set(other._size - size, 0)
        self._set(self._size + size, 0)

    def release(self) -> None:
        """Reserve nothing any more."""
        self.resize(0)
        self.forget_announced()
