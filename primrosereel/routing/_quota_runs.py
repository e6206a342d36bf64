"""The runs of peers whose counters an instance knows."""

import enum
from typing import NamedTuple

__all__ = ['Order', 'PeerRuns']

# Peers that started no longer than this before this instance have spent
# little without its knowledge.
START_S = 5.0
# After this time with a peer, an account without a report was not spent there
# before: two heartbeats have repeated all reports.
ALL_KNOWN_AFTER_S = 9.0


class Order(enum.Enum):
    """How a datagram relates to the earlier ones of its sender."""

    OUTDATED = 'outdated'
    FIRST = 'first'
    NEXT = 'next'
    RESTARTED = 'restarted'


class _Run(NamedTuple):
    incarnation: int
    sequence: int
    since: float


class PeerRuns:
    """Each peer's run, its last datagram, and since when it is known.

    ``incarnation`` is the Unix millisecond of this instance's start.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._runs: dict[str, _Run] = {}

    def observe(
        self, peer: str, incarnation: int, sequence: int, now: float
    ) -> Order:
        """Record a datagram unless a later one was recorded."""
        known = self._runs.get(peer)
        if known is None or incarnation > known.incarnation:
            self._runs[peer] = _Run(incarnation, sequence, now)
            return Order.FIRST if known is None else Order.RESTARTED
        if (incarnation, sequence) <= (known.incarnation, known.sequence):
            return Order.OUTDATED
        self._runs[peer] = known._replace(sequence=sequence)
        return Order.NEXT

    def counts_all(self, peer: str, now: float) -> bool:
        """Tell whether a first report of a peer is all new."""
        run = self._runs.get(peer)
        if run is None:
            return False
        started_s = (run.incarnation - self._incarnation) / 1000
        return started_s > -START_S or now - run.since > ALL_KNOWN_AFTER_S

    def remove(self, peer: str) -> None:
        """Forget a peer that is no member."""
        self._runs.pop(peer, None)
