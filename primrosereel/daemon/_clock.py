"""The clocks of the process."""

import time

__all__ = ['SystemClock']


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return a time that never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()
