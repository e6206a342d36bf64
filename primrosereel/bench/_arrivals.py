"""Requests of a workload, and what their callers saw."""

import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Arrival', 'Outcome']


class Arrival(NamedTuple):
    """One request of a workload; ``key`` and ``hashes`` describe its prompt.

    ``priority`` is None for the one that the client account bought.
    """

    time: float
    client_account: str
    key_sha256: str
    service: ids.ServiceId
    tokens: int
    max_tokens: int
    key: int
    hashes: tuple[int, ...] = ()
    priority: int | None = None


class Outcome:
    """What the caller of one arrival saw; times are virtual seconds."""

    __slots__ = (
        'arrival',
        'ended_at',
        'first_at',
        'longest_gap_s',
        'last_at',
        'reason',
        'tokens',
        'whole',
    )

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.first_at = math.inf
        self.last_at = math.inf
        self.ended_at = math.inf
        self.longest_gap_s = 0.0
        self.tokens = 0
        self.whole = False
        self.reason = ''

    @property
    def first_token_s(self) -> float:
        """Time from arrival to the first token."""
        return self.first_at - self.arrival.time

    @property
    def mean_gap_s(self) -> float:
        """Mean time between tokens, pauses included."""
        if self.tokens < 2:
            return 0.0
        return (self.last_at - self.first_at) / (self.tokens - 1)
