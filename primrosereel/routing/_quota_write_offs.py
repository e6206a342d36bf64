"""How much of an account's debt is written off instead of being paid.

Instances overspend a quota before they hear of each other, most of all when
an account's use rises suddenly. A debt that is paid by refusals costs callers
that are within the quota again. The bound on a window allows for more than
the rate, so a part of what it spares is given up.
"""

__all__ = ['WriteOffs']

# Part of what a window spares that may be written off at once. It is available
# again after two windows, so that no window has more than 0.38 of it; the rest
# covers what instances have spent and not yet reported.
SPARED_SHARE = 0.25
REFILL_WINDOWS = 2.0


class WriteOffs:
    """The units of debt that may be written off.

    Example::

        write_offs.set_spared(300_000.0, 8.0, now)
        level += write_offs.take(-level, now)
    """

    def __init__(self) -> None:
        self._is_set = False
        self._most = 0.0
        self._refill_s = 1.0
        self._available = 0.0
        self._updated_at = 0.0

    def set_spared(self, units: float, window_s: float, now: float) -> None:
        """Set the units that the bound spares in each window.

        A larger part than before becomes available with time only.
        """
        self._settle(now)
        self._most = max(0.0, SPARED_SHARE * units)
        self._refill_s = max(window_s, 1e-3) * REFILL_WINDOWS
        if self._is_set:
            self._available = min(self._available, self._most)
        else:
            self._available = self._most
        self._is_set = True

    def take(self, debt: float, now: float) -> float:
        """Return how much of a debt is written off now."""
        self._settle(now)
        taken = min(max(0.0, debt), self._available)
        self._available -= taken
        return taken

    def _settle(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        refill = self._most * elapsed_s / self._refill_s
        self._available = min(self._available + refill, self._most)
