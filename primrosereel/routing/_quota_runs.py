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
    """The run of a peer that a datagram is from."""

    OUTDATED = 'outdated'
    CURRENT = 'current'
    RESTARTED = 'restarted'


class _Run(NamedTuple):
    incarnation: int
    since: float


class PeerRuns:
    """Each peer's run, and since when it is known.

    ``incarnation`` is the Unix millisecond of this instance's start.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._runs: dict[str, _Run] = {}

    def observe(self, peer: str, incarnation: int, now: float) -> Order:
        """Record the run of a datagram unless a later one was recorded."""
        known = self._runs.get(peer)
        if known is None or incarnation > known.incarnation:
            self._runs[peer] = _Run(incarnation, now)
            return Order.CURRENT if known is None else Order.RESTARTED
        if incarnation < known.incarnation:
            return Order.OUTDATED
        return Order.CURRENT

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
