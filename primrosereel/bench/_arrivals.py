"""Requests of a workload and their outcomes."""

import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Arrival', 'RequestOutcome']


class Arrival(NamedTuple):
    """One request of a workload.

    ``prompt_key`` and ``prefix_hashes`` identify its prompt. Without a
    ``priority`` the one of the client account applies.
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
    """The outcome of one request for its caller, in virtual seconds."""

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
        """Mean time between tokens, including pauses."""
        if self.output_tokens < 2:
            return 0.0
        return (self.last_token_at - self.first_token_at) / (
            self.output_tokens - 1
        )
