"""What the peers of an instance spend of one account.

Between two reports a peer is assumed to continue at the rate of the last
one. The assumed rates are kept as one sum, so that spending costs the same in
a fleet of any size.
"""

import dataclasses
from typing import NamedTuple

from primrosereel.routing import _demand as demand

__all__ = ['Correction', 'PeerUses', 'Report']

# Time constant of a peer's usual rate, which is assumed while it is silent.
USUAL_DECAY_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one instance has spent of an account since it started.

    ``rate`` is what it is going to spend each second until its next report.
    """

    account: str
    spent: float
    rate: float


class Correction(NamedTuple):
    """Units that a peer has spent, and how many of them were not assumed."""

    spent: float
    not_assumed: float


@dataclasses.dataclass(slots=True)
class _PeerUse:
    """A peer's last report, and what it is assumed to have spent since."""

    since: float
    sequence: int = 0
    spent: float = 0.0
    reported_rate: float = 0.0
    assumed_rate: float = 0.0
    assumed_units: float = 0.0
    # The rate that is assumed at first while the peer is silent.
    silent_rate: float = 0.0
    # Whether the peer's counter is known, of which the next report goes on.
    is_known: bool = False
    usual: demand.DecayingRate = dataclasses.field(
        default_factory=lambda: demand.DecayingRate(USUAL_DECAY_S)
    )


class PeerUses:
    """The use of an account by each peer."""

    def __init__(self) -> None:
        self._by_peer: dict[str, _PeerUse] = {}
        self._assumed_rate = 0.0

    @property
    def assumed_rate(self) -> float:
        """The units that all peers are assumed to spend each second."""
        return self._assumed_rate

    def apply(
        self,
        peer: str,
        sequence: int,
        report: Report,
        most_new: float,
        now: float,
    ) -> Correction:
        """Replace what was assumed of a peer by its report.

        A report that is older than the last one changes nothing.

        A first report of more than ``most_new`` units counts what was spent
        before this instance knew the peer, and changes nothing.
        """
        use = self._use(peer, now)
        if sequence < use.sequence:
            return Correction(0.0, 0.0)
        use.sequence = sequence
        self._extrapolate(use, now)
        if not use.is_known and report.spent > most_new:
            use.spent = report.spent - use.assumed_units
        use.is_known = True
        spent = report.spent - use.spent
        correction = Correction(spent, spent - use.assumed_units)
        use.usual.add(max(0.0, spent), now)
        use.spent = report.spent
        use.assumed_units = 0.0
        use.reported_rate = report.rate
        self._assume(use, report.rate, now)
        return correction

    def restart(self, peer: str, now: float) -> None:
        """Expect a peer's counter to begin again at 0.

        What it was assumed to have spent stays deducted.
        """
        use = self._use(peer, now)
        self._assume(use, 0.0, now)
        use.spent = use.assumed_units = use.reported_rate = 0.0
        use.sequence = 0
        use.is_known = True

    def set_silent(self, peer: str, unused_rate: float, now: float) -> None:
        """Assume the usual rate of a silent peer, and a part of the rest."""
        use = self._use(peer, now)
        usual = max(use.reported_rate, use.usual.per_s(now))
        use.silent_rate = usual + unused_rate
        self._assume(use, use.silent_rate, now)

    def weigh_silent(self, peer: str, weight: float, now: float) -> None:
        """Assume a part of the rate that was assumed at first."""
        use = self._use(peer, now)
        self._assume(use, weight * use.silent_rate, now)

    def set_heard(self, peer: str, now: float) -> None:
        """Assume the reported rate of a peer that is no longer silent."""
        use = self._use(peer, now)
        self._assume(use, use.reported_rate, now)

    def remove(self, peer: str, now: float) -> None:
        """Assume nothing more of a peer that is no member."""
        self._assume(self._use(peer, now), 0.0, now)
        del self._by_peer[peer]

    def _use(self, peer: str, now: float) -> _PeerUse:
        use = self._by_peer.get(peer)
        if use is None:
            use = self._by_peer[peer] = _PeerUse(since=now)
        return use

    def _assume(self, use: _PeerUse, rate: float, now: float) -> None:
        self._extrapolate(use, now)
        self._assumed_rate += rate - use.assumed_rate
        use.assumed_rate = rate

    def _extrapolate(self, use: _PeerUse, now: float) -> None:
        use.assumed_units += use.assumed_rate * max(0.0, now - use.since)
        use.since = max(use.since, now)
