"""Requests of a workload, and what their callers saw."""

import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Arrival', 'RequestOutcome']


class Arrival(NamedTuple):
    """One request of a workload; ``prompt_key`` and
    ``prefix_hashes`` describe its prompt.

    ``priority`` is None for the one that the client account bought.
    """

    time: float
    client_account: str
    key_sha256: str
    service: ids.ServiceId
    prompt_tokens: int
    max_tokens: int
    prompt_key: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int | None = None


class RequestOutcome:
    """What the caller of one arrival saw; times are virtual seconds."""

    __slots__ = (
        'arrival',
        'complete',
        'ended_at',
        'first_token_at',
        'last_token_at',
        'longest_gap_s',
        'output_tokens',
        'reason',
    )

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.first_token_at = math.inf
        self.last_token_at = math.inf
        self.ended_at = math.inf
        self.longest_gap_s = 0.0
        self.output_tokens = 0
        self.complete = False
        self.reason = ''

    @property
    def first_token_s(self) -> float:
        """Time from arrival to the first token."""
        return self.first_token_at - self.arrival.time

    @property
    def mean_gap_s(self) -> float:
        """Mean time between tokens, pauses included."""
        if self.output_tokens < 2:
            return 0.0
        return (self.last_token_at - self.first_token_at) / (
            self.output_tokens - 1
        )
