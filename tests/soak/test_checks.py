"""Tests of the soak's checks on records that are written by hand.

A soak in which a check finds nothing proves something only if the check finds
what it is for.
"""

import types

import pytest

from primrosereel.standin import _raw_http as raw_http
from tests import gateway_fleet
from tests.soak import account_checks
from tests.soak import answer_checks
from tests.soak import callers
from tests.soak import crash_checks
from tests.soak import deadly
from tests.soak import leaving_checks
from tests.soak import loss_checks
from tests.soak import operator
from tests.soak import process_faults
from tests.soak import processes
from tests.soak import runners
from tests.soak import spans

SENT_AT = 100.0


class Process:
    """A process of the record."""

    def __init__(self):
        self.host = '127.0.0.1'
        self.halted = spans.Spans()
        self.store_link = types.SimpleNamespace(disturbed=spans.Spans())
        self.starved = spans.Spans()
        self.starts = []
        self.stops = []
        self.ends = []

    end_after = processes.GatewayProcess.end_after
    runs_calmly = processes.GatewayProcess.runs_calmly
    replaced_between = processes.GatewayProcess.replaced_between


class Record:
    """A record of one process and one runner without disturbances."""

    def __init__(self):
        self.process = Process()
        self.processes = [self.process]
        self.attempts = {}
        self.unasked = []
        self.items = []
        runner = types.SimpleNamespace(
            runs={}, running=0, is_down=lambda start, end: False
        )
        self.runners = {'s0': runner}
        self.operator = types.SimpleNamespace(
            disturbed=spans.Spans(),
            leaving={'s0': spans.Spans()},
            routes=[],
            route=lambda path: next(iter(self.operator.routes), None),
        )

    def add(self, sent_at, status=200, complete=True, path='/read/1', **reply):
        """Add an attempt that reached the runner."""
        attempt = callers.Attempt(
            f'r{len(self.attempts)}', path, self.process, sent_at=sent_at
        )
        attempt.ended_at = sent_at + 0.5
        attempt.reply = gateway_fleet.Reply()
        attempt.reply.status = status
        attempt.reply.complete = complete
        request = raw_http.Request('POST', path, '', {}, b'', path)
        request.headers['request-id'] = attempt.request_id
        arrival = runners.Arrival(request, sent_at, 1, answered_at=sent_at)
        for name, value in reply.items():
            setattr(arrival, name, value)
        self.attempts[attempt.request_id] = attempt
        self.items.append(('s0', arrival, attempt))
        return attempt

    def attempted_arrivals(self):
        return self.items

    def arrivals(self):
        return [item[:2] for item in self.items]

    def link_disturbed(self, runner, start, end):
        return False

    def move_targets(self, request_id):
        return set()

    def in_touch(self, process, at):
        return process.runs_calmly(at - processes.STABLE_WINDOW_S, at)

    def store_regained_at(self, process):
        return []

    def all_restarted_at(self):
        return self.process.starts


def halt(record, start, end):
    record.process.halted._spans.append([start, end])


@pytest.mark.parametrize('halted', [False, True])
def test_connection_that_ends_without_an_answer_is_found(halted):
    """Guards against a check that excuses a request without an answer."""
    record = Record()
    record.add(SENT_AT, status=0, complete=False)
    if halted:
        halt(record, SENT_AT + 0.1, SENT_AT + 0.2)
    found = list(answer_checks.check_unanswered(record))
    assert len(found) == (0 if halted else 1)


def test_failure_of_a_runner_excuses_a_cut_stream_only():
    """Guards against a runner's reset that excuses a missing answer."""
    record = Record()
    fault = runners.Fault.RESET_AFTER_RUN
    record.add(SENT_AT, 200, False, '/once/1', fault=fault)
    record.add(SENT_AT, 0, False, '/once/1', fault=fault)
    assert [v.request_id for v in answer_checks.check_unanswered(record)] == [
        'r1'
    ]


@pytest.mark.parametrize(
    ('status', 'sent_after_s', 'removed', 'found'),
    [
        (404, operator.IN_FORCE_S - 0.1, False, 0),
        (404, operator.IN_FORCE_S + 0.1, False, 1),
        (200, operator.IN_FORCE_S + 0.1, False, 0),
        (200, operator.IN_FORCE_S + 0.1, True, 1),
        (404, operator.IN_FORCE_S + 0.1, True, 0),
    ],
)
def test_route_of_an_older_version_is_found(
    status, sent_after_s, removed, found
):
    """Guards against a check that misses a late change of the routes."""
    record = Record()
    route = operator.AddedRoute('/added-0/', SENT_AT)
    if removed:
        route.added_at, route.removed_at = SENT_AT - 10, SENT_AT
    record.operator.routes.append(route)
    record.add(SENT_AT + sent_after_s, status, path='/added-0/1')
    assert len(list(answer_checks.check_routes(record))) == found


@pytest.mark.parametrize(('after_s', 'found'), [(-0.1, 0), (0.1, 1)])
def test_request_to_a_runner_that_left_is_found(after_s, found):
    """Guards against a check that misses a use of a runner that left."""
    record = Record()
    record.operator.leaving['s0']._spans.append([SENT_AT, SENT_AT + 9])
    record.add(SENT_AT + processes.DRAIN_S + after_s)
    assert len(list(leaving_checks.check_left_runners(record))) == found


@pytest.mark.parametrize('restarted', [False, True])
def test_request_after_a_leaving_answer_is_found(restarted):
    """Guards against a check that misses what follows Server-Leaving."""
    record = Record()
    told = record.add(SENT_AT, leaving=True)
    record.add(told.ended_at + processes.DRAIN_S - 0.1)
    record.add(told.ended_at + processes.DRAIN_S + 0.1)
    if restarted:
        record.process.starts.append(SENT_AT + 1.0)
    found = list(leaving_checks.check_leaving_answers(record))
    assert [v.request_id for v in found] == ([] if restarted else ['r2'])


@pytest.mark.parametrize(
    ('count', 'born_ms', 'found'), [(2, 1, 0), (3, 1, 1), (3, 2, 0)]
)
def test_requests_in_the_time_of_retry_after_are_found(count, born_ms, found):
    """Guards against a check that misses requests to a runner that refused."""
    record = Record()
    refused = record.add(SENT_AT, retry_after_s=2.0)
    record.items[0][1].status = 503
    for number in range(count):
        record.add(SENT_AT + 0.6 + number / 10, born_ms=born_ms)
    violations = list(leaving_checks.check_back_off(record))
    assert [v.request_id for v in violations] == [refused.request_id] * found


@pytest.mark.parametrize(
    ('crashes', 'requests', 'restarted', 'found'),
    [
        (3, 3, False, 0),
        (3, 4, False, 1),
        (2, 4, False, 0),
        (3, 4, True, 0),
    ],
)
def test_requests_after_the_third_crash_are_found(
    crashes, requests, restarted, found
):
    """Guards against a check that misses a request which goes on crashing.

    Evidence that no process has any more is not held against them.
    """
    record = Record()
    for number in range(crashes):
        sent_at = SENT_AT + number
        record.add(sent_at, crashed_at=sent_at)
    known_at = SENT_AT + crashes - 1 + processes.STABLE_WINDOW_S
    if restarted:
        record.process.starts.append(known_at - 1.0)
    for number in range(requests):
        record.add(known_at + 2.0 + number)
    for attempt in record.attempts.values():
        attempt.cause = deadly.Cause.CALL
    record.add(known_at + 9.0)
    assert len(list(crash_checks.check_crashes(record))) == found


# Times are in seconds after the runner had sent its whole answer.
@pytest.mark.parametrize(
    ('case', 'found'),
    [
        ({}, 1),
        ({'complete': True}, 0),
        ({'complete': True, 'status': 504}, 1),
        ({'limit_s': 0.4}, 0),
        ({'fault': runners.Fault.BREAK_STREAM}, 0),
        ({'own_end_s': 0.6, 'starved': (0.0, 0.55)}, 1),
        ({'own_end_s': 0.4}, 0),
        ({'killed_s': 2.0, 'starved': (0.0, 1.4)}, 1),
        ({'killed_s': 2.0, 'starved': (0.0, 1.6)}, 0),
        ({'starved': (0.0, 5.0)}, 1),
        ({'starved': (0.0, callers.ANSWER_TIMEOUT_S)}, 0),
        ({'starved': (-1.0, 3.0), 'limit_s': 2.0}, 1),
    ],
)
def test_answer_that_its_runner_has_ended_is_found_lost(case, found):
    """Guards against a lack of processor time that excuses a lost answer.

    A soak found no answer lost around a stop, as a pause of the process
    excused all requests of that time (issue 48).
    """
    record = Record()
    process = record.process
    ended_at = SENT_AT + 1.0
    record.add(
        SENT_AT,
        case.get('status', 200),
        case.get('complete', False),
        '/ask/1',
        ended_at=ended_at,
        fault=case.get('fault'),
    )
    arrival = record.items[0][1]
    arrival.status = 200
    limit_ms = 1000 * (1.0 + case.get('limit_s', 2.0))
    arrival.request.headers['deadline-ms'] = f'{limit_ms:.0f}'
    for name, killed in (('own_end_s', False), ('killed_s', True)):
        if name in case:
            process.ends.append(processes.End(ended_at + case[name], killed))
    if 'starved' in case:
        start, end = case['starved']
        process.starved.add(ended_at + start, ended_at + end)
    assert len(list(loss_checks.check_lost_answers(record))) == found


def test_time_outside_of_overlapping_periods_is_counted_once():
    """Guards against periods that count twice where they overlap."""
    periods = spans.Spans()
    for start, end in ((4.0, 6.0), (1.0, 3.0), (2.0, 5.0)):
        periods.add(start, end)
    assert periods.outside_s(0.0, 7.0) == 2.0
    assert periods.outside_s(2.5, 5.5) == 0.0


@pytest.mark.parametrize(
    ('status', 'starved', 'in_time'),
    [
        (0, None, True),
        (1, (0.0, processes.GRACE_S), False),
        (None, None, False),
        (None, (0.0, processes.GRACE_S - 1.1), False),
        (None, (0.0, processes.GRACE_S - 0.9), True),
    ],
)
def test_stop_that_outlasts_its_grace_is_found(status, starved, in_time):
    """Guards against a pause early in a stop that excuses a late end."""
    process = Process()
    if starved:
        process.starved.add(*(SENT_AT + at for at in starved))
    found = process_faults.stopped_in_time(process, SENT_AT, status)
    assert found == in_time


def test_keys_that_are_taken_or_told_wrongly_are_found(tmp_path):
    """Guards against checks of accounts that excuse everything."""
    record = Record()
    withdrawn = operator.Key('k', 'changing', 10.0, 20.0)
    lasting = operator.Key('k', 'changing', 10.0)
    for key, status, told, wrong in (
        (operator.STEADY_KEY, 200, ['steady'], ''),
        (operator.STEADY_KEY, 401, ['steady'], 'key'),
        (operator.STEADY_KEY, 200, ['steady', 'steady'], 'field'),
        (withdrawn, 200, ['changing'], 'key'),
        (withdrawn, 401, ['changing'], ''),
        (lasting, 401, ['changing'], 'key'),
        (lasting, 200, ['steady'], 'field'),
        (None, 200, [], 'key'),
        (None, 401, [], ''),
    ):
        attempt = record.add(SENT_AT, status)
        attempt.key = key
        arrival = record.items[-1][1]
        arrival.request.fields = [(b'tenant', t.encode()) for t in told]
        record.runners['s0'].arrivals = [arrival]
        found = list(account_checks.check_account_fields(record))
        assert bool(found) == (wrong == 'field')
        record.attempts = {attempt.request_id: attempt}
        assert bool([*account_checks.check_keys(record)]) == (wrong == 'key')
    record.process.log = tmp_path / 'log'
    record.process.log.write_text(f'{{"x": "{operator.STEADY_KEY.text}"}}')
    assert list(account_checks.check_key_texts(record))
