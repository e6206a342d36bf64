"""Bounds the memory that the bodies of responses take at a time.

A faulty runner may send bytes without end. A limit for each response alone
does not protect a process that reads from many runners at once.
"""

__all__ = ['ResponseMemory']

# Share of the memory of the process.
MEMORY_SHARE = 0.125


class ResponseMemory:
    """Counts the bytes of all bodies that are being read.

    Example::

        if not memory.reserve(len(part)):
            ...  # drop the response
        memory.release(total)
    """

    def __init__(self, process_bytes: int) -> None:
        self._limit = int(MEMORY_SHARE * process_bytes)
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Bytes that are reserved now."""
        return self._reserved

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if that would exceed the limit."""
        if self._reserved + size > self._limit:
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self._reserved -= size
