"""Exponential backoff with jitter."""

import random as random_module

__all__ = ['Backoff']


class Backoff:
    """Returns the delay before the next attempt.

    The upper bound doubles with each attempt up to ``limit_s``. The delay is
    drawn from the upper half of the range, so that attempts of many daemons
    spread out, and is never below ``first_s``.
    """

    def __init__(
        self, random: random_module.Random, first_s: float, limit_s: float
    ) -> None:
        self._random = random
        self._first_s = first_s
        self._limit_s = limit_s
        self._bound_s = first_s

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        self._bound_s = min(self._limit_s, 2 * self._bound_s)
        lowest = max(self._first_s, self._bound_s / 2)
        return self._random.uniform(lowest, self._bound_s)

    def reset(self) -> None:
        """Start again with the shortest delay."""
        self._bound_s = self._first_s
