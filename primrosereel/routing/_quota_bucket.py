"""The token bucket of one client account, as one instance sees it.

Each instance keeps a bucket with the rate and burst of the whole fleet. Own
spending is deducted at once; that of a peer is extrapolated from its last
report and corrected by the next one. The level may be negative: spending that
is learned late is paid for by later refusals.
"""

import collections
import dataclasses

from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _demand as demand
from primrosereel.routing import _quota_peer_uses as quota_peer_uses

__all__ = ['Bucket', 'Terms']

# Time constant of the use of an account.
USE_DECAY_S = 2.0
# An instance reports a rate only from this many requests a second on. A lower
# one is too uneven to be extrapolated.
MIN_STEADY_PER_S = 2.0
# The largest debt, in windows of the account's rate. The bound of an older
# window cannot be kept by refusals any more.
MAX_DEBT_WINDOWS = 1.0
# Part of the fleet's tolerance that the deviations of all instances from
# their last reports may use up.
UNREPORTED_SHARE = 0.25
# Heartbeats for which the use of an account is remembered. A peer counts as
# silent for less than that when its silence is noticed.
REMEMBERED_USES = 3
# An account is busy while this share of its rate or burst is in use.
BUSY_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """The part of each quota that the instances in reach may use.

    ``margin`` is the share by which they may exceed the rate, and
    ``reachable`` the share of the instances that are in reach.
    """

    window_s: float
    tolerance: float
    slack: float = 0.0
    instances: int = 1
    margin: float = 0.0
    reachable: float = 1.0


class Bucket:
    """The level of an account, and what this instance reports of it."""

    def __init__(
        self,
        quota: client_accounts.Quota,
        terms: Terms,
        level_share: float,
        spent: float,
        now: float,
    ) -> None:
        self._quota = quota
        self._terms = terms
        self._level = level_share * max(1.0, quota.burst)
        self._updated_at = now
        self._peers = quota_peer_uses.PeerUses()
        self._use = demand.DecayingRate(USE_DECAY_S)
        self._past_uses = collections.deque[float](maxlen=REMEMBERED_USES)
        self._spent = spent
        self._own_units = demand.DecayingRate(USE_DECAY_S)
        self._own_requests = demand.DecayingRate(USE_DECAY_S)
        self._reported = quota_peer_uses.Report('', spent, 0.0)
        self._reported_at = now
        # When the next refused request of this instance may be granted.
        self._next_retry_at = now

    @property
    def quota(self) -> client_accounts.Quota:
        """The quota in force."""
        return self._quota

    @property
    def spent(self) -> float:
        """What this instance has spent since it started."""
        return self._spent

    def level(self, now: float) -> float:
        """Return the units that may be spent now; negative for a debt."""
        self._settle(now)
        return self._level

    def drained_share(self, now: float) -> float:
        """Return how much of the burst is used up, from 0 to 1."""
        self._settle(now)
        return min(1.0, max(0.0, 1 - self._level / self._depth))

    def available_rate(self) -> float:
        """Return the units a second that are left for this instance."""
        return max(0.0, self._refill - self._peers.assumed_rate)

    def set_quota(self, quota: client_accounts.Quota, now: float) -> None:
        """Apply a changed quota; a lower burst lowers the level."""
        self._settle(now)
        self._quota = quota
        self._level = min(self._level, self._depth)

    def set_terms(self, terms: Terms, now: float) -> None:
        """Apply the part of the quota that may be used from now on."""
        self._settle(now)
        self._terms = terms
        self._level = min(self._level, self._depth)

    def try_spend(self, units: float, now: float) -> bool:
        """Deduct units if the level allows it."""
        self._settle(now)
        if self._level < min(units, self._depth) or units > self._most:
            return False
        self._level -= units
        self._spent += units
        self._use.add(units, now)
        self._own_units.add(units, now)
        self._own_requests.add(1, now)
        return True

    def refund(self, units: float, now: float) -> None:
        """Return units that were not used."""
        self._settle(now)
        self._level = min(self._level + units, self._depth)
        self._spent -= units
        self._use.add(-units, now)
        self._own_units.add(-units, now)

    def retry_after_s(self, units: float, now: float) -> float:
        """Return when a request may be granted.

        Refused callers are spread by the rate at which this instance's share
        of the quota allows their requests, so that each call returns a later
        time, up to one window. A request that no window allows gets a time
        as well.
        """
        missing = max(0.0, min(units, self._depth) - self._level)
        limit_s = self._terms.window_s
        rate = self.available_rate()
        wait_s = min(missing / rate, limit_s) if rate > 0 else limit_s
        share = max(
            1 / self._terms.instances,
            self._own_units.per_s(now) / max(1.0, self._use.per_s(now)),
        )
        retry_at = max(now + wait_s, self._next_retry_at)
        retry_at = min(retry_at, now + limit_s)
        self._next_retry_at = retry_at + units / (
            self._quota.rate * min(1.0, share)
        )
        return retry_at - now

    def is_busy(self, now: float) -> bool:
        """Tell whether peers are to learn of spending without delay."""
        return (
            self._use.per_s(now) > BUSY_SHARE * self._quota.rate
            or self._level < BUSY_SHARE * self._depth
        )

    def deviates(self, now: float) -> bool:
        """Tell whether peers assume too little of this instance.

        All instances together may deviate by a part of the tolerance.
        """
        terms = self._terms
        tolerated = terms.tolerance * self._window_units
        assumed = self._reported.spent + self._reported.rate * (
            now - self._reported_at
        )
        return (
            self._spent - assumed
            > UNREPORTED_SHARE * tolerated / terms.instances
        )

    def is_changed(self, now: float) -> bool:
        """Tell whether peers know less than this instance."""
        return (
            self._spent != self._reported.spent
            or self._reported.rate != self._steady_rate(now)
        )

    def report(self, account: str, now: float) -> quota_peer_uses.Report:
        """Return the report for peers, who extrapolate it from now on."""
        report = quota_peer_uses.Report(
            account, max(0.0, self._spent), self._steady_rate(now)
        )
        self._reported = report
        self._reported_at = now
        return report

    def apply(
        self,
        peer: str,
        sequence: int,
        report: quota_peer_uses.Report,
        counts_all: bool,
        now: float,
    ) -> None:
        """Replace what was assumed of a peer by its report.

        ``counts_all`` is set if all of a first report is new, as far as a
        window can spend that much.
        """
        self._settle(now)
        most_new = self._window_units + self._depth if counts_all else 0.0
        correction = self._peers.apply(peer, sequence, report, most_new, now)
        level = self._level - correction.not_assumed
        # A single request may be larger than what a window refills.
        max_debt = max(self._max_debt, min(correction.spent, self._most))
        level = max(level, min(self._level, -max_debt))
        self._level = min(level, self._depth)
        if correction.spent > 0:
            self._use.add(correction.spent, now)

    def peers(self, now: float) -> quota_peer_uses.PeerUses:
        """Return the use by peers, for a change from now on."""
        self._settle(now)
        return self._peers

    def remember_use(self, now: float) -> None:
        """Remember the use; called with each heartbeat."""
        self._past_uses.append(self._use.per_s(now))

    def unused_rate(self, now: float) -> float:
        """Return the part of the rate that no instance used lately.

        What this instance has spent since peers fell silent is theirs as
        well, so the least use of the last heartbeats counts.
        """
        use = min([*self._past_uses, self._use.per_s(now)])
        return max(0.0, self._quota.rate - use)

    @property
    def _window_units(self) -> float:
        """The units that the rate refills in a window."""
        return self._quota.rate * self._terms.window_s

    @property
    def _max_debt(self) -> float:
        return MAX_DEBT_WINDOWS * self._window_units

    @property
    def _most(self) -> float:
        """The units of the largest request that any window allows."""
        return self._window_units + self._quota.burst + self._terms.slack

    @property
    def _refill(self) -> float:
        return self._quota.rate * (1 + self._terms.margin)

    @property
    def _depth(self) -> float:
        return max(1.0, self._quota.burst * self._terms.reachable)

    def _steady_rate(self, now: float) -> float:
        if self._own_requests.per_s(now) < MIN_STEADY_PER_S:
            return 0.0
        return max(0.0, self._own_units.per_s(now))

    def _settle(self, now: float) -> None:
        """Bring the level up to date."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        gained = (self._refill - self._peers.assumed_rate) * elapsed_s
        lowest = min(self._level, -self._max_debt)
        self._level = min(max(self._level + gained, lowest), self._depth)
        self._updated_at = now
