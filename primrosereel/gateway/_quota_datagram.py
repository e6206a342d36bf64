"""The small datagram that tells peers only what was spent of quotas.

It goes to all instances, most of which need no other news of each other. A
datagram without reports states that its sender is there.
"""

from collections.abc import Iterable

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.routing import _quotas as quotas_module

__all__ = [
    'QUOTA_DATAGRAM_VERSION',
    'QuotaDatagram',
    'QuotaNotice',
    'decode_reports',
    'encode_reports',
    'is_quota_datagram',
]

# No version of the other datagram. It is encoded in the second byte.
QUOTA_DATAGRAM_VERSION = 103

# Account, units spent since the start of the sender, and units a second.
QuotaNotice = tuple[str, numbers.Whole, numbers.Whole]


class QuotaDatagram(msgspec.Struct, array_like=True):
    """What an instance has spent of the accounts' quotas."""

    version: int
    incarnation: numbers.Whole
    sequence: numbers.Whole
    leaving: bool = False
    quotas: list[QuotaNotice] = []


def is_quota_datagram(data: bytes) -> bool:
    """Tell the small datagram from the other one by its version."""
    return data[1:2] == bytes([QUOTA_DATAGRAM_VERSION])


def encode_reports(
    reports: Iterable[quotas_module.Report],
) -> list[QuotaNotice]:
    """Encode reports, in whole units."""
    return [
        (
            report.account,
            numbers.whole(report.spent),
            numbers.whole(report.rate),
        )
        for report in reports
    ]


def decode_reports(
    notices: Iterable[QuotaNotice],
) -> list[quotas_module.Report]:
    """Decode the reports of a peer."""
    return [
        quotas_module.Report(ids.ClientAccountId(account), spent, rate)
        for account, spent, rate in notices
    ]
