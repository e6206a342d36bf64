"""Bounds, answers and states of quotas."""

import dataclasses
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _quota_bucket as quota_bucket

__all__ = ['Denied', 'Grant', 'QuotaBounds', 'QuotaState']


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The window, and the share and units by which it may exceed a quota.

    ``instances`` is the number of instances that are expected at the start.
    """

    window_s: float = 8.0
    overage: float = 0.25
    slack: float = 0.0
    instances: int = 1


class Denied(NamedTuple):
    """The request exceeds its account's quota."""

    retry_after_s: float


class QuotaState(NamedTuple):
    """An account's level, and its rate that is left for this instance."""

    account: ids.ClientAccountId
    level: float
    available_rate: float


@dataclasses.dataclass(slots=True)
class Grant:
    """Units that a request has spent."""

    _bucket: quota_bucket.Bucket | None
    _units: float

    def refund(self, now: float) -> None:
        """Return the units; the request did not and will not run."""
        bucket, self._bucket = self._bucket, None
        if bucket is not None:
            bucket.refund(self._units, now)
