"""Compares approaches to quotas; prints the table of docs/design/quotas.md.

Run it with ``python -m tests.property.quota_approaches 7 79 91 195``.
"""

import sys

from primrosereel.core import _rate_shares as rate_shares
from primrosereel.routing import _demand as demand
from primrosereel.routing import _quotas as quotas
from tests.property import quota_fleet
from tests.property import test_quotas

RATES = (10_000, 100_000)


class EqualShares:
    """Each instance has the same part of the rate and of the burst."""

    def __init__(self, fleet, number):
        self.fleet, self.level, self.at = fleet, 0.0, 0.0

    def share(self, now):
        return 1 / self.fleet.size

    def try_spend(self, units, now):
        quota, share = self.fleet.quota, self.share(now)
        depth = max(units, quota.burst * share)
        gained = quota.rate * share * (now - self.at)
        self.level, self.at = min(depth, self.level + gained), now
        if self.level < units:
            return False
        self.level -= units
        return True

    def configure(self, quota, now):
        pass

    def next_report(self):
        return float('inf')

    def message(self, now, heartbeat):
        return None

    def receive(self, sender, message, now):
        pass


class SharesByDemand(EqualShares):
    """Each instance has a part by its demand, as told each second."""

    def __init__(self, fleet, number):
        super().__init__(fleet, number)
        self.number, self.demand = number, demand.DecayingRate(1.0)
        self.told = {}

    def share(self, now):
        demands = {n: d for n, (d, at) in self.told.items() if now - at < 2.5}
        demands[self.number] = self.demand.per_s(now)
        rate = self.fleet.quota.rate
        return rate_shares.divide_rate(rate, demands)[self.number] / rate

    def try_spend(self, units, now):
        self.demand.add(units, now)
        return super().try_spend(units, now)

    def message(self, now, heartbeat):
        return self.demand.per_s(now) if heartbeat else None

    def receive(self, sender, message, now):
        self.told[sender] = message, now


def measure(approach, size, case, rate):
    """Return the most in a window, and what was served, as shares."""
    quota = test_quotas.tokens(rate)
    fleet = quota_fleet.Fleet(approach, size, case, quota).run()
    window_s = quota_fleet.BOUNDS.window_s
    since = case.lowered[0] + window_s if case.lowered else 0.0
    most = quota_fleet.most_in_window(fleet.spent, window_s, since)
    allowed = fleet.quota.rate * window_s + fleet.quota.burst
    shared = test_quotas.single(quota, instances=size)
    ideal = 0
    for at, units in fleet.asked:
        if case.lowered and at >= case.lowered[0]:
            test_quotas.configure(shared, fleet.quota, at)
        answer = shared.try_spend(quota_fleet.ACCOUNT, units, at)
        ideal += units * isinstance(answer, quotas.Grant)
    bound = allowed * 1.25 + quota_fleet.SLACK
    served = quota_fleet.sum_after(fleet.spent, 0.0) / ideal
    return most / allowed, most / bound, served


def main():
    """Print the worst cases of each approach by size."""
    approaches = (EqualShares, SharesByDemand, quota_fleet.SpendFirst)
    for size in map(int, sys.argv[1:]):
        for approach in approaches:
            rows = [
                (*measure(approach, size, case, rate), case.name, rate)
                for case in test_quotas.CASES
                for rate in RATES
            ]
            over = max(rows, key=lambda row: row[1])
            under = min(rows, key=lambda row: row[2])
            print(
                f'| {size} | {approach.__name__} | {over[0]:.2f} '
                f'({over[1]:.2f} of the bound: {over[3]}, {over[4]}) | '
                f'{under[2]:.2f} ({under[3]}, {under[4]}) |',
                flush=True,
            )


if __name__ == '__main__':
    main()
