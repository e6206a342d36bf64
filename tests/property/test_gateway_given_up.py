"""Sound runners that are silent, where no other runner takes the request.

The first runner of each case falls silent for longer than the gateway waits
before it asks another one, and goes on before the request's time limit.
"""

import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway

Fault = listed_runner.Fault
STREAM = test_gateway.STREAM
# More faults than a request has attempts.
MANY = 6
STREAM_SILENCE_S = 1.8
FIRST_EVENT_SILENCE_S = 2.4
PLAIN_SILENCE_S = 0.75
# What the second runner does with the request: a fault, or it has crashed.
CRASHED = 'crashed'
UNWILLING = [
    Fault.SHED,
    Fault.BACK_OFF,
    Fault.RESET_BEFORE_RUN,
    Fault.ERROR,
    Fault.SILENT,
    CRASHED,
]


def make_second_choice(fleet, name):
    """Let the gateway choose the other runner of a kind first."""
    row = fleet.gateway._context.runners.get(name)
    row.in_flight, row.tokens = 6, 20_000


def make_unwilling(runner, fault):
    """Let a runner not take the request over."""
    if fault is CRASHED:
        runner.options.restart_s = 30.0
        runner.crash()
    else:
        runner.faults.extend([fault] * MANY)


def spend_budget(fleet):
    """Leave no retry budget."""
    fleet.gateway._context.budget.set_bounds(0.0, 0.0, 10.0)


def assert_events_once(reply):
    """Check that a stream has each of its events once, and its end."""
    assert (reply.status, reply.complete) == (200, True)
    lines = reply.body.decode().split('\n')
    ids = [line for line in lines if line.startswith('id: ')]
    assert ids == [f'id: {number}' for number in range(1, 6)]


@pytest.mark.parametrize('fault', UNWILLING)
@gateway_fleet.with_fleet
async def test_silent_stream_is_kept_until_another_runner_has_it(fleet, fault):
    """Guards against a stream that is cut though its runner goes on.

    Its connection was closed before another runner had accepted it.
    """
    make_second_choice(fleet, 'd2')
    make_unwilling(fleet.runners['d2'], fault)
    fleet.runners['d1'].faults.append(Fault.PAUSE_STREAM)
    fleet.runners['d1'].options.pause_s = STREAM_SILENCE_S
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    assert_events_once(reply)


@pytest.mark.parametrize('fault', UNWILLING)
@gateway_fleet.with_fleet
async def test_stream_is_kept_before_its_first_event(fleet, fault):
    """Guards against a 502 for a stream whose runner is about to begin."""
    make_second_choice(fleet, 'd2')
    make_unwilling(fleet.runners['d2'], fault)
    fleet.runners['d1'].faults.append(Fault.PAUSE)
    fleet.runners['d1'].options.pause_s = FIRST_EVENT_SILENCE_S
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    assert_events_once(reply)


@pytest.mark.parametrize('fault', [*UNWILLING, Fault.RESET_AFTER_RUN])
@gateway_fleet.with_fleet
async def test_call_is_kept_until_another_runner_answers(fleet, fault):
    """Guards against a 502 for a call whose answer is on its way.

    The first attempt was ended after a share of the caller's time, whatever
    came of the second one.
    """
    make_second_choice(fleet, 's2')
    make_unwilling(fleet.runners['s2'], fault)
    fleet.runners['s1'].faults.append(Fault.PAUSE)
    fleet.runners['s1'].options.pause_s = PLAIN_SILENCE_S
    reply = await fleet.ask('/read/1', 'r1')
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == b'answer to r1'


@pytest.mark.parametrize(
    ('path', 'pause_s', 'fault'),
    [
        ('/ask/1', STREAM_SILENCE_S, Fault.PAUSE_STREAM),
        ('/ask/1', FIRST_EVENT_SILENCE_S, Fault.PAUSE),
        ('/read/1', PLAIN_SILENCE_S, Fault.PAUSE),
    ],
)
@gateway_fleet.with_fleet
async def test_request_is_kept_without_a_retry_budget(
    fleet, path, pause_s, fault
):
    """Guards against an answer that is given up for want of a budget."""
    for name in ('d2', 's2'):
        make_second_choice(fleet, name)
    spend_budget(fleet)
    for name in ('d1', 's1'):
        fleet.runners[name].faults.append(fault)
        fleet.runners[name].options.pause_s = pause_s
    reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (200, True)
    assert test_gateway.run_count(fleet, 'r1') == 1
