"""Quotas of client accounts over all instances, without an owner.

Pattern: token bucket with replicated counters. Each instance spends from its
own copy of an account's bucket and tells the others by cumulative counters,
so that the next report makes up for a lost one. See docs/design/quotas.md.
"""

from collections.abc import Iterable
import dataclasses
import math
import random as random_module

from primrosereel import _ids as ids
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _quota_bucket as quota_bucket
from primrosereel.routing import _quota_presence as quota_presence
from primrosereel.routing import _quota_runs as quota_runs
from primrosereel.routing._quota_peer_uses import Report
from primrosereel.routing._quota_types import Denied
from primrosereel.routing._quota_types import Grant
from primrosereel.routing._quota_types import QuotaBounds
from primrosereel.routing._quota_types import QuotaState

__all__ = [
    'Denied',
    'Grant',
    'QuotaBounds',
    'QuotaState',
    'Quotas',
    'Report',
]

# Spending of a busy account within this time is reported in one datagram.
COALESCE_MIN_S = 0.05
COALESCE_MAX_S = 0.1
# An instance that did nothing for this long was suspended. Its peers went on
# spending meanwhile, so it waits for one heartbeat, or until it has heard
# from this share of them.
SUSPENDED_AFTER_S = 2.0
RESUME_WAIT_S = 1.0
RESUME_HEARD_SHARE = 0.5
# One of this many heartbeats repeats all reports, for peers that missed them.
REPEAT_HEARTBEATS = 4
# The margin applies while at most this share of the instances is silent.
MAX_SILENT_SHARE = 0.1
# An account that appears this long after the start of the process is new to
# all instances and begins with its whole burst.
START_S = 5.0
# Retry-After is lengthened by up to this share at random.
RETRY_AFTER_JITTER = 0.1
MIN_RETRY_AFTER_S = 0.05


class Quotas:
    """Grants units of the accounts' quotas.

    ``incarnation`` is the Unix millisecond of this instance's start. Example::

        grant = quotas.try_spend(account, 5_200, now)
        if isinstance(grant, quotas_module.Denied):
            refuse(grant.retry_after_s)
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        incarnation: int,
        random: random_module.Random,
    ) -> None:
        self._bounds = bounds
        self._random = random
        self._buckets: dict[ids.ClientAccountId, quota_bucket.Bucket] = {}
        # What was spent of accounts that lost their quota. Counters go on
        # when it returns.
        self._spent_before: dict[ids.ClientAccountId, float] = {}
        self._presence = quota_presence.Presence(bounds.window_s)
        self._runs = quota_runs.PeerRuns(incarnation)
        self._terms = self._new_terms(-math.inf)
        # The part of each rate that was unused when peers became silent.
        self._unused_rates: dict[ids.ClientAccountId, float] = {}
        self._started_at: float | None = None
        self._active_at: float | None = None
        self._wait_until = -math.inf
        self._heard_since: set[str] = set()
        self._next_report_at = math.inf
        self._heartbeats = 0

    @property
    def active(self) -> bool:
        """Whether any account has a quota."""
        return bool(self._buckets)

    @property
    def next_report_at(self) -> float:
        """When peers are to be told of spending; inf if nothing is due."""
        return self._next_report_at

    def set_bounds(
        self, window_s: float, overage: float, slack: float, now: float
    ) -> None:
        """Apply changed bounds."""
        self._bounds = dataclasses.replace(
            self._bounds, window_s=window_s, overage=overage, slack=slack
        )
        self._presence.set_window(window_s)
        self._update_terms(now)

    def set_accounts(
        self, accounts: Iterable[client_accounts.ClientAccount], now: float
    ) -> None:
        """Apply the accounts of a new configuration."""
        self._advance(now)
        assert self._started_at is not None
        is_start = now - self._started_at < START_S
        share = 1 / self._bounds.instances if is_start else 1.0
        quotas = {
            account.name: account.quota
            for account in accounts
            if account.quota is not None and account.quota.rate > 0
        }
        if not self._buckets:
            # Peers send reports only while an account has a quota.
            self._presence.hear_all(now)
        for name in self._buckets.keys() - quotas.keys():
            self._spent_before[name] = self._buckets.pop(name).spent
        for name, quota in quotas.items():
            bucket = self._buckets.get(name)
            if bucket is not None and bucket.quota.unit is quota.unit:
                bucket.set_quota(quota, now)
                continue
            # What was counted in another unit means nothing in this one.
            spent = self._spent_before.pop(name, 0.0)
            if bucket is not None:
                spent = bucket.spent
            self._buckets[name] = quota_bucket.Bucket(
                quota, self._terms, share, spent, now
            )

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Set the other instances that spend from the same quotas."""
        self._advance(now)
        removed = self._presence.set_members(members, now)
        for peer in removed:
            self._runs.remove(peer)
            for bucket in self._buckets.values():
                bucket.peers(now).remove(peer, now)
        self._update_terms(now)

    def try_spend(
        self, account: ids.ClientAccountId, units: float, now: float
    ) -> Grant | Denied:
        """Spend units of an account; one without a quota has no limit."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return Grant(None, units)
        self._advance(now)
        if now < self._wait_until:
            return self._denied(self._wait_until - now)
        if not bucket.try_spend(units, now):
            return self._denied(bucket.retry_after_s(units, now))
        if (
            len(self._presence)
            and self._next_report_at == math.inf
            and bucket.is_busy(now)
            and bucket.deviates(now)
        ):
            self._next_report_at = now + self._random.uniform(
                COALESCE_MIN_S, COALESCE_MAX_S
            )
        return Grant(bucket, units)

    def drained_share(self, account: ids.ClientAccountId, now: float) -> float:
        """Return how much of an account's burst is used up, from 0 to 1.

        A process that has just started counts its share of the burst as all
        that is left.
        """
        bucket = self._buckets.get(account)
        return 0.0 if bucket is None else bucket.drained_share(now)

    def reports(self, now: float, heartbeat: bool = False) -> list[Report]:
        """Return what peers are to be told now.

        With ``heartbeat``, which is needed each second, that is all news;
        otherwise news of busy accounts.
        """
        self._advance(now)
        self._next_report_at = math.inf
        if not heartbeat:
            return [
                bucket.report(name, now)
                for name, bucket in self._buckets.items()
                if bucket.is_busy(now) and bucket.deviates(now)
            ]
        self._reduce_silent(now)
        for bucket in self._buckets.values():
            bucket.remember_use(now)
        self._heartbeats += 1
        repeat = self._heartbeats % REPEAT_HEARTBEATS == 0
        return [
            bucket.report(name, now)
            for name, bucket in self._buckets.items()
            if bucket.is_changed(now) or (repeat and bucket.spent > 0)
        ]

    def apply(
        self,
        peer: str,
        incarnation: int,
        sequence: int,
        reports: Iterable[Report],
        now: float,
    ) -> None:
        """Apply a datagram of a peer, with or without reports.

        ``sequence`` orders the reports of one run of the peer.
        """
        self._advance(now)
        order = self._runs.observe(peer, incarnation, now)
        if order is quota_runs.Order.OUTDATED:
            return
        if order is quota_runs.Order.RESTARTED:
            self._presence.set_leaving(peer, False)
            for bucket in self._buckets.values():
                bucket.peers(now).restart(peer, now)
        if self._presence.hear(peer, now):
            for bucket in self._buckets.values():
                bucket.peers(now).set_heard(peer, now)
            self._update_terms(now)
        self._end_wait(peer, now)
        counts_all = self._runs.counts_all(peer, now)
        for report in reports:
            account = self._buckets.get(ids.ClientAccountId(report.account))
            if account is not None:
                account.apply(peer, sequence, report, counts_all, now)

    def set_leaving(self, peer: str) -> None:
        """Assume nothing of a peer that stops in order once it is silent."""
        self._presence.set_leaving(peer, True)

    def describe(self, account: ids.ClientAccountId, now: float) -> str:
        """Return the state behind a decision on an account, for the log."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return 'no quota in force'
        presence = self._presence
        return (
            f'level {bucket.level(now):.0f}, '
            f'{bucket.available_rate():.0f} of {bucket.quota.rate:.0f} '
            f'units/s left by peers, {len(presence.silent)} of '
            f'{len(presence)} peers silent'
            + (
                ', waits for reports after a suspension'
                if now < self._wait_until
                else ''
            )
        )

    def states(self, now: float) -> list[QuotaState]:
        """Return the state of each account with a quota."""
        return [
            QuotaState(name, bucket.level(now), bucket.available_rate())
            for name, bucket in self._buckets.items()
        ]

    def _denied(self, retry_after_s: float) -> Denied:
        jitter = 1 + RETRY_AFTER_JITTER * self._random.random()
        return Denied(max(MIN_RETRY_AFTER_S, retry_after_s) * jitter)

    def _advance(self, now: float) -> None:
        """Handle suspensions of this process and peers that became silent."""
        if self._started_at is None:
            self._started_at = now
        last, self._active_at = self._active_at, now
        if not self._buckets or not len(self._presence):
            return
        if last is not None and now - last > SUSPENDED_AFTER_S:
            self._resume(now)
        newly_silent = self._presence.pop_newly_silent(now)
        if not newly_silent:
            return
        if len(newly_silent) == len(self._presence.silent):
            self._unused_rates = {
                name: bucket.unused_rate(now)
                for name, bucket in self._buckets.items()
            }
        for name, bucket in self._buckets.items():
            unused = self._unused_rates.get(name, bucket.quota.rate)
            uses = bucket.peers(now)
            for peer in newly_silent:
                uses.set_silent(peer, unused / (len(self._presence) + 1), now)
        self._reduce_silent(now)
        self._update_terms(now)

    def _resume(self, now: float) -> None:
        """Wait for reports of what peers spent during a suspension."""
        for peer in self._presence.hear_all(now):
            for bucket in self._buckets.values():
                bucket.peers(now).set_heard(peer, now)
        self._update_terms(now)
        self._wait_until = now + RESUME_WAIT_S
        self._heard_since.clear()

    def _end_wait(self, peer: str, now: float) -> None:
        if now >= self._wait_until:
            return
        self._heard_since.add(peer)
        if len(self._heard_since) > RESUME_HEARD_SHARE * len(self._presence):
            self._wait_until = now

    def _reduce_silent(self, now: float) -> None:
        """Assume less of the peers that are silent for over a window."""
        for peer in self._presence.silent:
            weight = self._presence.weight(peer, now)
            if weight < 1:
                for bucket in self._buckets.values():
                    bucket.peers(now).weigh_silent(peer, weight, now)
        if self._presence.silent:
            self._update_terms(now)

    def _new_terms(self, now: float) -> quota_bucket.Terms:
        reachable = self._presence.reachable_share(now)
        tolerance = self._bounds.overage / 2
        return quota_bucket.Terms(
            self._bounds.window_s,
            tolerance,
            self._bounds.slack,
            len(self._presence) + 1,
            tolerance if 1 - reachable <= MAX_SILENT_SHARE else 0.0,
            reachable,
        )

    def _update_terms(self, now: float) -> None:
        terms = self._new_terms(now)
        if terms == self._terms:
            return
        self._terms = terms
        for bucket in self._buckets.values():
            bucket.set_terms(terms, now)
