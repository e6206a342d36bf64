"""Bounds the parts in which a runner sends the body of one response.

Pattern: token bucket. Each part takes processor time, however small it is, so
a body in chunks of one byte would keep the process from its other requests.
"""

__all__ = ['PartLimit']

# The parts that may arrive at once: what a stream of 150 events a second has
# sent while this process was suspended for several seconds.
BURST_PARTS = 1024
PARTS_PER_S = 500
# Larger parts are limited by the size of the body alone.
FREE_PART_BYTES = 128


class PartLimit:
    """Counts the parts of one body.

    Example::

        limit = PartLimit(now)
        if not limit.allows(len(part), now):
            ...  # drop the response
    """

    def __init__(self, now: float) -> None:
        self._level = 0.0
        self._updated_at = now

    def allows(self, part_bytes: int, now: float) -> bool:
        """Count a part; return False if there are too many small ones."""
        drained = PARTS_PER_S * (now - self._updated_at)
        self._updated_at = now
        weight = max(0.0, 1 - part_bytes / FREE_PART_BYTES)
        self._level = max(0.0, self._level - drained) + weight
        return self._level <= BURST_PARTS
