"""Checks of a soak run on answers, executions and routes."""

import collections

from tests.soak import callers as callers_module
from tests.soak import operator as operator_module
from tests.soak import processes as processes_module
from tests.soak import record as record_module
from tests.soak import runners as runners_module

__all__ = [
    'check_answers',
    'check_logs',
    'check_routes',
    'check_runs',
    'check_unanswered',
    'check_versions',
]

# Refusals that state that no runner has executed the request.
NOT_EXECUTED_STATUSES = (401, 408, 421, 429, 503)
DEADLINE_S = callers_module.DEADLINE_MS / 1000
STREAM_TIMEOUT_S = min(operator_module.STREAM_TIMEOUTS_MS) / 1000
PLAIN_TIMEOUT_S = min(operator_module.PLAIN_TIMEOUTS_MS) / 1000
# A request sent later than this after SIGTERM may still run at the end of the
# grace, and one that runs in the last sixth of it may be cut.
LATE_AFTER_STOP_S = 3.0
LAST_PART_OF_GRACE_S = processes_module.GRACE_S * 5 / 6
FAILURE_EVENTS = ('part failed', 'internal error', 'connection failed')


def check_answers(record):
    """A success is the whole answer to its request, in order."""
    for attempt in record.attempts.values():
        if attempt.reply is None or attempt.reply.status != 200:
            continue
        body, expected = attempt.reply.body, _expected_body(attempt)
        if expected is not None and body != expected:
            yield record_module.violation(
                attempt,
                f'{body[:80]!r} instead of {expected[:80]!r}, complete '
                f'{attempt.reply.complete}',
            )
    for request_id, received in record.unasked:
        yield record_module.Violation(
            f'{received[:80]!r} after the answer to {request_id}', request_id
        )


def _expected_body(attempt):
    reply = attempt.reply
    if attempt.path in callers_module.STREAM_PATHS:
        events = callers_module.EVENTS_PER_STREAM
        if not reply.complete:
            # The received part of an interrupted stream must be in order and
            # without duplicates.
            events = reply.body.count(b'\n\n')
        return b''.join(
            f'id: {number}\ndata: token {number}\n\n'.encode()
            for number in range(1, events + 1)
        )
    return (
        f'answer to {attempt.request_id}'.encode() if reply.complete else None
    )


def check_unanswered(record):
    """A request that a process has read gets a complete answer."""
    arrivals = collections.defaultdict(list)
    for name, arrival in record.arrivals():
        arrivals[arrival.request_id].append((name, arrival))
    for attempt in record.attempts.values():
        taken = arrivals[attempt.request_id]
        if _is_unanswered(attempt, bool(taken)) and not _excused(
            record, attempt, taken
        ):
            waited_s = attempt.ended_at - attempt.sent_at
            runners = [(name, str(a.fault)) for name, a in taken]
            yield record_module.violation(
                attempt,
                f'outcome {attempt.outcome!r} {waited_s:.3f} s after it was '
                f'sent, kept {attempt.on_kept_connection}, runners {runners}',
            )


def _is_unanswered(attempt, taken):
    if attempt.outcome == 'no answer':
        return True
    if attempt.outcome in ('not sent', 'left') or attempt.reply.complete:
        return False
    waited_s = attempt.ended_at - attempt.sent_at
    return taken or waited_s > processes_module.LOSS_SLACK_S


def _excused(record, attempt, taken):
    process = attempt.process
    start = attempt.sent_at
    end = min(attempt.ended_at, start + callers_module.ANSWER_TIMEOUT_S)
    used = {name for name, _ in taken}
    used |= record.move_targets(attempt.request_id)
    if process.halted.overlap(start, end):
        return True
    if any(record.link_disturbed(name, start, end) for name in used):
        return True
    if attempt.reply is None or not attempt.reply.status:
        # A runner's failure never excuses that no answer was begun.
        return False
    return (
        end - start >= _time_limit_s(attempt)
        or any(a.fault in runners_module.BREAKING_FAULTS for _, a in taken)
        or any(record.runners[name].is_down(start, end) for name in used)
        or _cut_at_end_of_grace(attempt)
    )


def _time_limit_s(attempt):
    is_stream = attempt.path in callers_module.STREAM_PATHS
    timeout_s = STREAM_TIMEOUT_S if is_stream else PLAIN_TIMEOUT_S
    return min(timeout_s, DEADLINE_S)


def _cut_at_end_of_grace(attempt):
    return any(
        attempt.sent_at <= stop + LATE_AFTER_STOP_S
        and attempt.ended_at >= stop + LAST_PART_OF_GRACE_S
        for stop in attempt.process.stops
    )


def check_runs(record):
    """Executions are asked for, unchanged, and happen as often as allowed."""
    runs = collections.Counter()
    for name, runner in record.runners.items():
        runs.update(runner.runs)
        if runner.running:
            yield record_module.Violation(
                f'{name} still runs {runner.running}', ''
            )
    for attempt in record.attempts.values():
        count = runs[attempt.request_id]
        if attempt.path not in callers_module.AT_MOST_ONCE_PATHS:
            continue
        if count > 1:
            yield record_module.violation(attempt, f'ran {count} times')
        if (
            count
            and attempt.reply is not None
            and attempt.reply.status in NOT_EXECUTED_STATUSES
        ):
            yield record_module.violation(
                attempt, 'ran although it was refused'
            )
    for name, arrival in record.arrivals():
        attempt = record.attempts.get(arrival.request_id)
        if attempt is None or arrival.request.body != attempt.body:
            yield record_module.Violation(
                f'{name} got {arrival.request_id!r} with a body of '
                f'{len(arrival.request.body)} bytes',
                arrival.request_id,
            )


def check_routes(record):
    """Added routes are served in time, and removed ones are not."""
    State = operator_module.RouteState
    for attempt in record.attempts.values():
        if attempt.reply is None:
            continue
        route = record.operator.route(attempt.path)
        status = attempt.reply.status
        if route is None:
            if status == 404:
                yield record_module.violation(
                    attempt, '404 on a route of all versions'
                )
            continue
        state = route.state(attempt.sent_at)
        wrong = (state is State.PRESENT and status == 404) or (
            state is State.ABSENT and status == 200
        )
        if wrong and record.in_touch(attempt.process, attempt.sent_at):
            yield record_module.violation(
                attempt,
                f'{status} on a route that is {state.value}: added '
                f'{attempt.sent_at - route.added_at:.3f} s before, removed '
                f'{attempt.sent_at - route.removed_at:.3f} s before',
            )


def check_versions(record):
    """Each process ends with the newest configuration in force."""
    for process in record.processes:
        versions = [
            event['version']
            for _, event in record.log_events(process)
            if event['event'] == 'configuration in force'
        ]
        if versions[-1:] != [record.operator.version]:
            yield record_module.Violation(
                f'{process.host} ends with version {versions[-1:]}, not '
                f'{record.operator.version}',
                '',
            )


def check_logs(record):
    """No part of a process fails, and no request ends in an exception."""
    for process in record.processes:
        for _, event in record.log_events(process):
            if event['event'] in FAILURE_EVENTS:
                yield record_module.Violation(str(event)[:2000], '')
