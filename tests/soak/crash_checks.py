"""The check of a soak run on requests that crash runners."""

import collections
import math

from tests.soak import deadly
from tests.soak import processes as processes_module
from tests.soak import record as record_module

__all__ = ['check_crashes']

# After so many crashes and a stable window, so many requests of the cause may
# still reach runners.
MAX_CRASHES_OF_REQUEST = 3
MAX_CRASHES_OF_PART = 5
MAX_LATER_ARRIVALS = 3


def check_crashes(record):
    """Few requests that crash runners reach runners once this is known.

    A prefill belongs to the attempt whose decode follows. The evidence counts
    anew after all processes have been replaced at once.
    """
    restarts = record.all_restarted_at()
    arrivals = collections.defaultdict(list)
    for name, arrival, attempt in record.attempted_arrivals():
        if attempt.cause is not None and not arrival.is_prefill:
            restart = max((r for r in restarts if r < arrival.at), default=0.0)
            key = attempt.cause, restart
            arrivals[key].append((name, arrival, attempt))
    for (cause, _), items in arrivals.items():
        known_at = _known_at(cause, [arrival for _, arrival, _ in items])
        late = [
            item
            for item in items
            if item[1].at > known_at and not _is_held_up(record, *item)
        ]
        if len(late) > MAX_LATER_ARRIVALS:
            _, last, attempt = late[-1]
            yield record_module.violation(
                attempt,
                f'{cause.value}: {len(late)} requests reached runners up to '
                f'{last.at - known_at:.3f} s after the bound, '
                f'{_count_crashes(items)} crashed',
            )


def _known_at(cause, arrivals):
    """Return when all processes in touch know that a cause is deadly."""
    crashes = sorted(
        arrival.crashed_at
        for arrival in arrivals
        if arrival.crashed_at < math.inf
    )
    needed = (
        MAX_CRASHES_OF_PART
        if cause is deadly.Cause.PART
        else MAX_CRASHES_OF_REQUEST
    )
    if len(crashes) < needed:
        return math.inf
    return crashes[needed - 1] + processes_module.STABLE_WINDOW_S


def _is_held_up(record, name, arrival, attempt):
    """Return whether the sender was out of touch or the request delayed."""
    start = arrival.at - processes_module.STABLE_WINDOW_S
    return record.link_disturbed(
        name, start, arrival.at
    ) or not record.in_touch(attempt.process, arrival.at)


def _count_crashes(items):
    return sum(arrival.crashed_at < math.inf for _, arrival, _ in items)
