"""Options of the C library's allocator."""

import ctypes

__all__ = ['return_large_blocks']

# mallopt(3)
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1024


def return_large_blocks() -> None:
    """Have each large block returned to the system when it is freed.

    By default the C library raises the threshold with the first large block
    that is freed, and bodies then leave holes in the heap that stay resident.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
