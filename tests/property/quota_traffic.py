"""Counts the quota datagrams of a fleet; prints the table of CAPACITY.md.

Run it with ``python -m tests.property.quota_traffic 7 79 91 195``. The load
is that of a fleet of 91 with 16 accounts, of which each has half the share of
the one before, and all ask for 0.6 of their quotas.
"""

import sys

import msgspec

from primrosereel import _ids as ids
from primrosereel.gateway import _quota_datagram as quota_datagram
from primrosereel.routing import _client_accounts as client_accounts
from tests.property import quota_fleet
from tests.property import test_quotas

ACCOUNTS = [ids.ClientAccountId(f'account-{n:02d}') for n in range(16)]
SHARES = [0.5 ** min(n + 1, 8) for n in range(16)]
GENERATIONS_PER_S = 55.6
CALLS_PER_S = 82.0
UNITS = {'generation': 5_269, 'call': 60}
LOAD = 0.6


class Traffic(quota_fleet.Fleet):
    """A fleet with 16 accounts, which counts bytes that instances send."""

    def __init__(self, size):
        self.bytes = 0
        case = quota_fleet.Case('traffic', seconds=12)
        super().__init__(
            quota_fleet.SpendFirst, size, case, test_quotas.tokens(1.0)
        )
        per_s = GENERATIONS_PER_S * UNITS['generation']
        per_s += CALLS_PER_S * UNITS['call']
        scale = per_s / sum(SHARES) / LOAD
        accounts = [
            client_accounts.ClientAccount(
                name, None, test_quotas.tokens(scale * share)
            )
            for name, share in zip(ACCOUNTS, SHARES, strict=True)
        ]
        for instance in self.instances:
            instance.quotas.set_accounts(accounts, 0.0)

    def arrive(self, now):
        for kind, per_s in (
            ('generation', GENERATIONS_PER_S),
            ('call', CALLS_PER_S),
        ):
            rate = per_s * quota_fleet.STEP_S
            while self.random.random() < rate:
                rate -= 1
                account = self.random.choices(ACCOUNTS, SHARES)[0]
                self.random.choice(self.instances).quotas.try_spend(
                    account, UNITS[kind], now
                )

    def send(self, sender, message, now):
        born, sequence, reports = message
        data = msgspec.msgpack.encode(
            quota_datagram.QuotaDatagram(
                quota_datagram.QUOTA_DATAGRAM_VERSION,
                1_700_000_000_000 + born,
                sequence,
                False,
                quota_datagram.encode_reports(reports),
            )
        )
        self.bytes += len(data) * (self.size - 1)
        super().send(sender, message, now)


def main():
    """Print datagrams and bytes that an instance sends each second."""
    for size in map(int, sys.argv[1:]):
        fleet = Traffic(size)
        fleet.run()
        seconds = size * fleet.case.seconds
        print(
            f'| {size} | {fleet.messages / seconds / 0.98:.0f} | '
            f'{fleet.bytes / seconds / 1000:.1f} |',
            flush=True,
        )


if __name__ == '__main__':
    main()
