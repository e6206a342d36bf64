"""The clocks of the process."""

import time

__all__ = ['SystemClock']


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes backwards."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
