"""What peers are told of runners' availability, and for how long.

A runner that left is also remembered as long as peers are told of it: a store
that was restored from a copy lists it again.
"""

import math

from primrosereel import _ids as ids
from primrosereel.routing._availability_record import AvailabilityRecord
from primrosereel.routing._availability_states import Availability
from primrosereel.routing._availability_states import BARRED
from primrosereel.routing._availability_states import Notice

__all__ = ['RunnerNotices', 'TOLD']

# How long peers are told that a runner is back.
RETURN_TOLD_S = 10.0
# Peers are told of at most this many runners at a time, newest first.
MAX_NOTICES = 64

# States of which peers are told.
TOLD = BARRED | {Availability.BACKING_OFF}


class RunnerNotices:
    """The records of which peers are told; bounded in time and number."""

    def __init__(self, tombstone_s: float, max_tombstones: int) -> None:
        self._tombstone_s = tombstone_s
        self._max_tombstones = max_tombstones
        self._records: dict[ids.RunnerId, AvailabilityRecord] = {}

    def add(self, runner_id: ids.RunnerId, record: AvailabilityRecord) -> None:
        """Tell peers of a runner."""
        self._records[runner_id] = record

    def notices(self, now: float) -> list[Notice]:
        """Return what peers are told, newest first."""
        notices = [
            Notice(
                runner_id,
                record.version.born_ms,
                record.state,
                max(0.0, now - _told_since(record)),
                max(0.0, record.back_off_until - now),
            )
            for runner_id, record in self._records.items()
            if self._is_told(record, now)
        ]
        notices.sort(key=lambda notice: notice.age_s)
        return notices[:MAX_NOTICES]

    def expire(self, now: float) -> list[ids.RunnerId]:
        """Stop telling old news; return the runners to forget."""
        over = [
            runner_id
            for runner_id, record in self._records.items()
            if not self._is_told(record, now)
        ]
        tombstones = sorted(
            (record.since, runner_id)
            for runner_id, record in self._records.items()
            if _is_tombstone(record)
        )
        excess = max(0, len(tombstones) - self._max_tombstones)
        over += [runner_id for _, runner_id in tombstones[:excess]]
        forgotten = []
        for runner_id in over:
            record = self._records.pop(runner_id, None)
            if record is not None and _is_tombstone(record):
                forgotten.append(runner_id)
        return forgotten

    def _is_told(self, record: AvailabilityRecord, now: float) -> bool:
        if record.state is Availability.BACKING_OFF:
            return now < record.back_off_until
        if record.state in BARRED:
            return now - record.since < self._tombstone_s
        return now - record.returned_at < RETURN_TOLD_S


def _told_since(record: AvailabilityRecord) -> float:
    """Return since when what is told of a runner holds."""
    return record.since if record.state in TOLD else record.returned_at


def _is_tombstone(record: AvailabilityRecord) -> bool:
    """Tell whether only the memory of a runner is left."""
    unlisted = record.entry_seen_at == -math.inf
    return record.state is Availability.GONE or (
        record.state is Availability.LEAVING and unlisted
    )
