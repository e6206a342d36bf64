"""Checks of a soak run on runners that leave or want nothing for a while."""

import collections

from tests.soak import processes as processes_module
from tests.soak import record as record_module

__all__ = ['check_back_off', 'check_leaving_answers', 'check_left_runners']

# After a refusal with Retry-After a process may still send this long, and then
# at most this often until the end of that time.
BACK_OFF_DELAY_S = 0.5
MAX_ARRIVALS_IN_BACK_OFF = 2
# Within this time an answer has reached the process on a calm link.
ANSWER_ARRIVES_S = 0.3
# Entries that lapsed with the store are back this long after its return.
REREGISTRATION_S = 2.0


def check_left_runners(record):
    """No request reaches a runner long after the store told of its leaving."""
    regained = {p: record.store_regained_at(p) for p in record.processes}
    for name, arrival, attempt in record.attempted_arrivals():
        left_at = record.operator.leaving[name].begin_around(arrival.at)
        if left_at is None or _is_held_up(record, name, arrival, attempt):
            continue
        process = attempt.process
        known_at = max(
            _known_at(record.operator.disturbed, left_at, arrival.at),
            _regained_at(process, regained[process], left_at, arrival.at),
        )
        late_s = arrival.at - known_at - processes_module.DRAIN_S
        if late_s > 0:
            yield record_module.violation(
                attempt,
                f'reached {name} {late_s:.3f} s after the bound, '
                f'{arrival.at - left_at:.3f} s after it began to leave',
            )


def _is_held_up(record, name, arrival, attempt):
    """Return whether a disturbance may have delayed request or process."""
    start = arrival.at - processes_module.STABLE_WINDOW_S
    process = attempt.process
    return (
        record.link_disturbed(name, start, arrival.at)
        or not process.runs_calmly(start, arrival.at)
        or process.store_link.disturbed.overlap(arrival.at, arrival.at)
        or record.operator.disturbed.overlap(start, arrival.at)
    )


def _known_at(disturbed, left_at, at):
    """Return when it was clear that an entry had not merely lapsed."""
    if not disturbed.overlap(left_at, left_at):
        return left_at
    return max(left_at, disturbed.end_before(at) + REREGISTRATION_S)


def _regained_at(process, regained, left_at, at):
    """Return when a process had the store again after its link failed.

    It is in touch once the link has been calm for the stable window.
    """
    link_end = process.store_link.disturbed.end_before(at)
    in_touch_at = link_end + processes_module.STABLE_WINDOW_S
    if in_touch_at <= left_at:
        return left_at
    return min([in_touch_at, *(w for w in regained if link_end <= w <= at)])


def check_leaving_answers(record):
    """No request reaches a runner whose leaving a process has passed on."""
    told = {}
    for name, arrival, attempt in record.attempted_arrivals():
        key = attempt.process, name, arrival.born_ms
        if arrival.leaving and attempt.reply and attempt.reply.status:
            told[key] = min(told.get(key, attempt.ended_at), attempt.ended_at)
    for name, arrival, attempt in record.attempted_arrivals():
        process = attempt.process
        told_at = told.get((process, name, arrival.born_ms))
        if told_at is None or process.replaced_between(told_at, arrival.at):
            continue
        late_s = attempt.sent_at - told_at - processes_module.DRAIN_S
        if late_s > 0:
            yield record_module.violation(
                attempt,
                f'sent to {name} {late_s:.3f} s after the bound that began '
                'with Server-Leaving',
            )


def check_back_off(record):
    """Few requests reach a runner in the time of its Retry-After."""
    arrivals = collections.defaultdict(list)
    for name, arrival, attempt in record.attempted_arrivals():
        arrivals[name, attempt.process].append((arrival, attempt))
    for (name, process), items in arrivals.items():
        for refusal, attempt in items:
            if refusal.retry_after_s is None or refusal.status != 503:
                continue
            start = refusal.answered_at + BACK_OFF_DELAY_S
            end = refusal.answered_at + refusal.retry_after_s
            # A runner that starts again knows nothing of what it asked for.
            count = sum(
                start < a.at < end and a.born_ms == refusal.born_ms
                for a, _ in items
            )
            if (
                count > MAX_ARRIVALS_IN_BACK_OFF
                and not process.replaced_between(refusal.at, end)
                and not _answer_disturbed(record, name, refusal)
            ):
                yield record_module.violation(
                    attempt,
                    f'{name} refused it for {refusal.retry_after_s} s and '
                    f'got {count} requests in that time',
                )


def _answer_disturbed(record, name, refusal):
    return record.link_disturbed(
        name, refusal.at, refusal.answered_at + ANSWER_ARRIVES_S
    )
