"""Bounds the memory that responses take at a time.

A faulty runner may send bytes without end. A limit for each response alone
does not protect a process that reads from many runners at once, so what is
held of all of them has a common limit: input that is not parsed yet, the head
of a response, an incomplete event, and a body until it has been sent.
"""

__all__ = ['Reservation', 'ResponseMemory']

# Share of the memory of the process.
MEMORY_SHARE = 0.125
# The rest of the limit is kept for reservations that are small, so that one
# runner's endless responses do not break the streams of the others.
LARGE_SHARE = 0.8
SMALL_BYTES = 16 * 1024


class ResponseMemory:
    """Counts the bytes that are held of all responses."""

    def __init__(self, process_bytes: int) -> None:
        self._limit = int(MEMORY_SHARE * process_bytes)
        self._large_limit = int(LARGE_SHARE * self._limit)
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Bytes that are reserved now."""
        return self._reserved

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
            return False
        self._reserved += growth
        return True


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

    @property
    def size(self) -> int:
        """Bytes that are reserved."""
        return self._size

    def resize(self, size: int) -> bool:
        """Reserve so many bytes; return False if the limit forbids it."""
        if not self._memory.change(self._size, size):
            return False
        self._size = size
        return True

    def take(self, other: 'Reservation', size: int) -> None:
        """Take over a part of another reservation of the same memory."""
        size = min(size, other._size)
        other._size -= size
        self._size += size

    def release(self) -> None:
        """Reserve nothing any more."""
        self.resize(0)
