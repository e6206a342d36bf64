"""Rate limits of client accounts over all daemons.

Each daemon has a token bucket for each client account, which is refilled at
the daemon's share of the client account's rate. The account's limit owner,
one of the listed instances, divides the rate in proportion to the demand that
the daemons report.
"""

import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _rate_shares as rate_shares
from primrosereel.core import _tables as tables

__all__ = ['RateLimitsSystem', 'limit_owner', 'take_token']

SHARE_LEASE_S = 3.0
REPORT_INTERVAL_S = 1.0
# The first call of an account is reported without waiting for the next
# regular report, but reports are at least this far apart.
NEW_ACCOUNT_REPORT_INTERVAL_S = 0.1
# A daemon's demand expires after this time without a report; one report may
# be lost.
DEMAND_LIFETIME_S = 2.5
# The demand of a client account is reported until it had no call for this
# long.
IDLE_AFTER_S = 10.0
# A client account without a call at this daemon for BORROW_AFTER_IDLE_S may
# use BORROWED_S seconds of its full rate before its share arrives.
BORROW_AFTER_IDLE_S = 60.0
BORROWED_S = 0.25
# Smallest bucket depth of an active client account, in tokens. With less, a
# daemon with a call every few seconds wastes a part of its share: 40 daemons
# that together offered 1.3 times a limit of 50/s reached 0.93 of it with a
# depth of 3, and 0.99 of it with 6.
MIN_ACTIVE_BUCKET_DEPTH = 6.0
# Weight of the newest interval in the exponential average of the demand that
# is reported.
DEMAND_SMOOTHING_WEIGHT = 0.5
# A new owner collects reports for this long before it grants shares: those
# of the previous owner are still in use, and the first reporter would get
# the full rate.
DEMAND_COLLECTION_S = 1.2


def take_token(
    world: tables.World, client_account: ids.ClientAccountId, now: float
) -> float:
    """Take a token for one request from a client account's bucket.

    Return 0 if the request is admitted, else the seconds after which to try
    again.
    """
    row = world.client_accounts[client_account]
    _refill(world, row, now)
    row.demand += 1
    row.last_call_at = now
    world.active_client_accounts.add(client_account)
    if row.tokens >= 1.0:
        row.tokens -= 1.0
        return 0.0
    if row.rate <= 0:
        return SHARE_LEASE_S
    return (1.0 - row.tokens) / row.rate


def _refill(
    world: tables.World, row: tables.ClientAccount, now: float
) -> None:
    """Add the tokens earned since the last refill."""
    if now > row.share_until:
        row.rate = row.facts.rate / _instance_count(world)
    idle_s = now - row.last_call_at
    if idle_s > BORROW_AFTER_IDLE_S:
        row.tokens = min(row.facts.burst, BORROWED_S * row.facts.rate)
        row.tokens = max(row.tokens, 1.0)
        row.share_until = -math.inf
    else:
        gained = row.rate * max(0.0, now - row.filled_at)
        depth = _bucket_depth(row, idle_s)
        if idle_s <= IDLE_AFTER_S:
            # Borrowed tokens may exceed the depth until they are used.
            depth = max(depth, row.tokens)
        row.tokens = min(row.tokens + gained, depth)
    row.filled_at = now


def _bucket_depth(row: tables.ClientAccount, idle_s: float) -> float:
    """Return the bucket depth: the burst in proportion to the share.

    For an idle client account the smallest depth is one token, since the
    buckets of all daemons together could admit a burst when it returns.
    """
    min_depth = MIN_ACTIVE_BUCKET_DEPTH if idle_s <= IDLE_AFTER_S else 1.0
    if row.facts.rate <= 0:
        return min_depth
    return max(min_depth, row.facts.burst * row.rate / row.facts.rate)


def _instance_count(world: tables.World) -> int:
    return max(1, len(_listed_instances(world)))


def _listed_instances(world: tables.World) -> list[ids.InstanceId]:
    """Return the listed instances of all regions that are not leaving."""
    return sorted(
        row.instance
        for row in world.listing.instances.values()
        if not row.leaving
    )


def limit_owner(
    world: tables.World, client_account: ids.ClientAccountId
) -> ids.InstanceId:
    """Return the listed instance that divides a client account's rate."""
    names = _listed_instances(world) or [world.identity.instance]
    return ownership.rank(f'limit/{client_account}', names, 1)[0]


@dataclasses.dataclass(slots=True)
class DemandRecord:
    """The daemons' reported demands of one client account."""

    since: float
    demands: dict[ids.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    reported_at: dict[ids.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )

    def drop_expired(self, now: float) -> None:
        """Drop the demands of daemons that no longer report."""
        for name, at in list(self.reported_at.items()):
            if now - at > DEMAND_LIFETIME_S:
                del self.reported_at[name]
                del self.demands[name]


class RateLimitsSystem:
    """Reports demand to limit owners and, as an owner, grants shares."""

    inputs: tuple[type, ...] = (messages.DemandReport, messages.ShareReply)

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._demand_records: dict[ids.ClientAccountId, DemandRecord] = {}
        self._smoothed_demands: dict[ids.ClientAccountId, float] = {}
        self._reported_at: float | None = None
        self._instance_names: list[ids.InstanceId] = []
        self._listing_revision = -1
        self._collecting_until = -math.inf
        self._owners: dict[ids.ClientAccountId, ids.InstanceId] = {}

    def receive(self, message, now: float) -> None:
        """Process a daemon's demand report or an owner's share reply."""
        if isinstance(message.message, messages.DemandReport):
            self._update_instances(now)
            self._process_demand_report(message.sender, message.message, now)
        else:
            self._process_share_reply(message, now)

    def run(self, now: float) -> None:
        """Report demand once a second, that of new accounts earlier."""
        self._update_instances(now)
        if self._reported_at is None:
            # Spreads the reports of daemons that start at the same time.
            spread_s = self._world.random.uniform(0.0, REPORT_INTERVAL_S)
            self._reported_at = now - spread_s
        elapsed_s = now - self._reported_at
        if elapsed_s >= REPORT_INTERVAL_S:
            self._reported_at = now
            self._report_active_accounts(elapsed_s, now)
            self._drop_idle_records(now)
        elif elapsed_s >= NEW_ACCOUNT_REPORT_INTERVAL_S:
            self._report_new_accounts()
        self._world.wake_at(self._reported_at + REPORT_INTERVAL_S)

    def _update_instances(self, now: float) -> None:
        listing = self._world.listing
        if listing.revision == self._listing_revision:
            return
        first = self._listing_revision < 0
        self._listing_revision = listing.revision
        names = _listed_instances(self._world)
        if names != self._instance_names:
            self._instance_names = names
            self._owners.clear()
            if not first:
                self._collecting_until = now + DEMAND_COLLECTION_S

    def _cached_owner(
        self, client_account: ids.ClientAccountId
    ) -> ids.InstanceId:
        owner = self._owners.get(client_account)
        if owner is None:
            owner = limit_owner(self._world, client_account)
            self._owners[client_account] = owner
        return owner

    def _report_active_accounts(self, elapsed_s: float, now: float) -> None:
        demands = {}
        for name in sorted(self._world.active_client_accounts):
            row = self._world.client_accounts.get(name)
            if row is None or now - row.last_call_at > IDLE_AFTER_S:
                self._world.active_client_accounts.discard(name)
                self._smoothed_demands.pop(name, None)
                continue
            newest = row.demand / elapsed_s
            previous = self._smoothed_demands.get(name, newest)
            demands[name] = previous + DEMAND_SMOOTHING_WEIGHT * (
                newest - previous
            )
            row.demand = 0
        self._send_reports(demands)

    def _report_new_accounts(self) -> None:
        """Report accounts that had their first call since the last report."""
        demands = {}
        for name in sorted(self._world.active_client_accounts):
            row = self._world.client_accounts.get(name)
            if row is not None and name not in self._smoothed_demands:
                demands[name] = float(row.demand)
        self._send_reports(demands)

    def _send_reports(self, demands: dict[ids.ClientAccountId, float]) -> None:
        """Send each owner the demands of its accounts in one message."""
        self._smoothed_demands.update(demands)
        batches: dict[
            ids.InstanceId, list[tuple[ids.ClientAccountId, float]]
        ] = {}
        for client_account, demand in demands.items():
            batch = batches.setdefault(self._cached_owner(client_account), [])
            batch.append((client_account, demand))
        for owner, batch in batches.items():
            self._world.send(owner, messages.DemandReport(tuple(batch)))

    def _process_demand_report(
        self,
        sender: ids.InstanceId,
        report: messages.DemandReport,
        now: float,
    ) -> None:
        """Record the sender's demands and reply with its shares."""
        shares_of_sender = []
        for client_account, demand in report.demands:
            row = self._world.client_accounts.get(client_account)
            if row is None:
                continue
            record = self._demand_records.setdefault(
                client_account, DemandRecord(now)
            )
            record.drop_expired(now)
            record.demands[sender] = demand
            record.reported_at[sender] = now
            if (
                now < self._collecting_until
                and now < record.since + DEMAND_COLLECTION_S
            ):
                continue
            divided = rate_shares.divide_rate(row.facts.rate, record.demands)
            shares_of_sender.append((client_account, divided[sender]))
        if shares_of_sender:
            self._world.send(
                sender,
                messages.ShareReply(tuple(shares_of_sender), SHARE_LEASE_S),
            )

    def _process_share_reply(
        self, message: messages.FromPeer, now: float
    ) -> None:
        """Adopt the shares that the limit owner granted, for their lease."""
        reply = message.message
        assert isinstance(reply, messages.ShareReply)
        for client_account, share in reply.shares:
            row = self._world.client_accounts.get(client_account)
            if (
                row is None
                or self._cached_owner(client_account) != message.sender
            ):
                continue
            # Tokens up to now are earned at the old rate.
            _refill(self._world, row, now)
            if row.share_until == -math.inf:
                # Borrowed tokens only cover the time before the first share.
                row.tokens = min(row.tokens, 1.0)
            row.rate = share
            row.share_until = now + reply.lease_s

    def _drop_idle_records(self, now: float) -> None:
        """Drop the records of client accounts that no daemon reports."""
        for client_account, record in list(self._demand_records.items()):
            record.drop_expired(now)
            if not record.demands:
                del self._demand_records[client_account]
