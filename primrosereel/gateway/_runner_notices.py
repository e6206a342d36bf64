"""What instances tell each other of runners' availability, in datagrams.

A change that this instance learned from a runner is told at once. Heartbeats
repeat what is new, as a datagram may be lost, and gossip tells all of it.
"""

from collections.abc import Iterable
import enum
import math

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.routing import _availability as availability

__all__ = ['RunnerNotice', 'Scope', 'decode', 'encode', 'in_touch_ms']

# Heartbeats repeat a notice for this time.
REPEAT_S = 3.0

# Runner, start of its run in Unix ms, its availability, the age of what is
# known and the rest of its back-off, both in ms.
RunnerNotice = tuple[str, numbers.UnixMs, str, numbers.AgeMs, numbers.AgeMs]


class Scope(enum.Enum):
    """Which notices a datagram holds."""

    NONE = 'none'
    NEW = 'new'
    ALL = 'all'


def encode(
    table: availability.AvailabilityTable, scope: Scope, now: float
) -> list[RunnerNotice]:
    """Return the notices of a datagram."""
    if scope is Scope.NONE:
        return []
    return [
        (
            notice.runner,
            notice.born_ms,
            notice.availability.value,
            numbers.age_ms(notice.age_s),
            numbers.age_ms(notice.remaining_s),
        )
        for notice in table.notices(now)
        if scope is Scope.ALL
        or notice.age_s <= REPEAT_S
        or notice.remaining_s > 0
    ]


def decode(
    notices: Iterable[RunnerNotice],
) -> tuple[list[availability.Notice], int]:
    """Return a peer's notices, and the number of those not understood.

    A later version of the peer may know further states. A negative age would
    let a notice override what is newer.
    """
    decoded = []
    unknown = 0
    for runner, born_ms, state, age_ms, remaining_ms in notices:
        try:
            known = availability.Availability(state)
        except ValueError:
            unknown += 1
            continue
        decoded.append(
            availability.Notice(
                ids.RunnerId(runner),
                born_ms,
                known,
                max(0, age_ms) / 1000,
                max(0, remaining_ms) / 1000,
            )
        )
    return decoded, unknown


def in_touch_ms(since: float, now: float) -> int | None:
    """Return for how long the sender has had the store; None without it."""
    return numbers.age_ms(now - since) if math.isfinite(since) else None
