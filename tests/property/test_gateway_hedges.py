"""Requests that a second runner gets as well while the first is silent."""

import anyio
import pytest

from primrosereel.gateway import _attempts as attempts_module
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_given_up as given_up

Fault = listed_runner.Fault
STREAM = test_gateway.STREAM
# After a stream has gone on elsewhere, its first runner must not work on it
# for longer.
OVERLAP_LIMIT_S = 0.4
SETTLE_S = 0.2


def silence(fleet, name, pause_s, fault):
    """Let a runner fall silent under its next request and go on."""
    fleet.runners[name].faults.append(fault)
    fleet.runners[name].options.pause_s = pause_s


def use(fleet):
    """Return what this instance holds at its runners."""
    return {
        row.runner_id: (row.in_flight, row.tokens, row.local_prefill_tokens)
        for row in fleet.gateway._context.runners
    }


def left_by_gateway(runner):
    """Return the requests whose connections were closed by the gateway."""
    return [
        request.headers['request-id']
        for request in runner.disconnected_requests
    ]


@pytest.mark.parametrize('fault', [Fault.PAUSE, Fault.PAUSE_STREAM])
@gateway_fleet.with_fleet
async def test_silent_runner_is_left_once_another_one_goes_on(fleet, fault):
    """Guards against a stream that two runners work on at the same time."""
    before = use(fleet)
    given_up.make_second_choice(fleet, 'd2')
    silence(fleet, 'd1', 30.0, fault)
    async with fleet.client() as client:
        await client.send('/ask/1', 'r1', method='POST', **STREAM)
        await client.receive(until=b'id: 3\n')
        with anyio.fail_after(OVERLAP_LIMIT_S):
            while not left_by_gateway(fleet.runners['d1']):
                await anyio.sleep(0.01)
        await client.receive()
    await anyio.sleep(SETTLE_S)
    given_up.make_second_choice(fleet, 'd2')
    after = use(fleet)
    assert after['d1'] == before['d1']
    assert after['d2'] == (6, 20_000, 0)
    assert fleet.runners['d2'].runs['r1'] == 1


@pytest.mark.parametrize(
    ('path', 'pause_s', 'fault', 'names'),
    [
        ('/ask/1', 1.7, Fault.PAUSE_STREAM, ('d1', 'd2')),
        ('/ask/1', 2.3, Fault.PAUSE, ('d1', 'd2')),
        ('/read/1', 0.7, Fault.PAUSE, ('s1', 's2')),
    ],
)
@gateway_fleet.with_fleet
async def test_second_runner_is_left_once_the_first_goes_on(
    fleet, path, pause_s, fault, names
):
    """Guards against a runner that works on for an answered request."""
    first, second = names
    given_up.make_second_choice(fleet, second)
    silence(fleet, first, pause_s, fault)
    fleet.runners[second].options.work_s = 30.0
    fleet.runners[second].options.event_s = 30.0
    reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.headers['instance-signature'] == first
    await anyio.sleep(SETTLE_S)
    assert left_by_gateway(fleet.runners[second]) == ['r1']
    assert use(fleet)[second] == (6, 20_000, 0)


@gateway_fleet.with_fleet
async def test_stream_is_kept_until_the_other_runner_sends_an_event(fleet):
    """Guards against a stream that is cut as only a head had come.

    The second runner accepts the request, and its answer ends without an
    event.
    """
    given_up.make_second_choice(fleet, 'd2')
    silence(fleet, 'd1', 1.8, Fault.PAUSE_STREAM)
    fleet.runners['d2'].faults.append(Fault.UNFRAMED_EMPTY)
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    given_up.assert_events_once(reply)


@gateway_fleet.with_fleet
async def test_stream_goes_on_if_its_silent_runner_breaks(fleet):
    """Guards against a cut while another runner is about to go on."""
    given_up.make_second_choice(fleet, 'd2')
    silence(fleet, 'd1', 30.0, Fault.PAUSE_STREAM)
    fleet.runners['d1'].options.restart_s = 30.0
    fleet.runners['d2'].options.event_s = 0.3

    async def crash_once_asked():
        await fleet.wait_for(lambda: bool(fleet.runners['d2'].requests))
        fleet.runners['d1'].crash()

    fleet.tasks.start_soon(crash_once_asked)
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    given_up.assert_events_once(reply)
    assert test_gateway.run_count(fleet, 'r1') == 2


@gateway_fleet.with_fleet
async def test_stream_goes_on_if_its_silent_runner_refuses_it(fleet):
    """Guards against a 502 while another runner is about to go on.

    The first runner refuses late, and the budget is spent by then.
    """
    first = fleet.runners['d1']
    given_up.make_second_choice(fleet, 'd2')
    fleet.runners['d2'].options.event_s = 0.3

    async def refuse_late(request):
        await fleet.wait_for(lambda: bool(fleet.runners['d2'].requests))
        given_up.spend_budget(fleet)
        return first._refuse(request, Fault.SHED)

    first._serve = refuse_late
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    given_up.assert_events_once(reply)
    assert test_gateway.run_count(fleet, 'r1') == 1


@pytest.mark.parametrize('path', ['/ask/1', '/read/1'])
@gateway_fleet.with_fleet
async def test_refusal_by_the_second_runner_is_not_passed_on(fleet, path):
    """Guards against 503, "not run", while the first runner still runs it."""
    for name in ('d2', 's2'):
        given_up.make_second_choice(fleet, name)
        fleet.runners[name].faults.extend([Fault.SHED] * given_up.MANY)
    for name in ('d1', 's1'):
        silence(fleet, name, 30.0, Fault.PAUSE)
    reply = await fleet.ask(path, 'r1', method='POST', **STREAM)
    assert (reply.status, reply.complete) == (504, True)


@gateway_fleet.with_fleet
async def test_budget_is_kept_if_nothing_was_sent(fleet):
    """Guards against a budget that runners which are down use up."""
    context = fleet.gateway._context
    given_up.make_second_choice(fleet, 'd2')
    given_up.make_unwilling(fleet.runners['d2'], given_up.CRASHED)
    silence(fleet, 'd1', 1.8, Fault.PAUSE_STREAM)
    reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
    given_up.assert_events_once(reply)
    assert not context.budget._sends['llm']


@pytest.mark.parametrize('change', ['service', 'runner', 'timeout'])
@gateway_fleet.with_fleet
async def test_silence_beside_a_change_of_the_configuration(fleet, change):
    """Guards against requests that are lost beside a change.

    The service, the other runner or the time limit is replaced while their
    runners are silent.
    """
    for name in ('d1', 'd2'):
        silence(fleet, name, 1.7, Fault.PAUSE_STREAM)
    for name in ('s1', 's2'):
        silence(fleet, name, 0.7, Fault.PAUSE)
    replies = {}

    async def ask(path):
        replies[path] = await fleet.ask(path, path, method='POST', **STREAM)

    async with anyio.create_task_group() as tasks:
        for path in ('/ask/1', '/once/1', '/read/1', '/file/1'):
            tasks.start_soon(ask, path)
        await anyio.sleep(0.4)
        apply_change(fleet, change)
    assert {
        path: (reply.status, reply.complete) for path, reply in replies.items()
    } == dict.fromkeys(replies, (200, True))
    for path in ('/ask/1', '/once/1'):
        given_up.assert_events_once(replies[path])


def apply_change(fleet, change):
    configuration = gateway_fleet.configuration(2)
    if change == 'service':
        for route in configuration['routes']:
            route['service'] = 'other'
    if change == 'timeout':
        for route in configuration['routes']:
            route['timeoutMs'] = 300
    fleet.store.put('op/config', configuration)
    if change == 'runner':
        for name in ('d2', 's2'):
            fleet.list_runner(name, 'draining')


def test_refund_gives_back_one_send():
    """Guards against a budget that is lost, or given back twice."""
    budget = retry_budget.RetryBudget(
        retry_budget.BudgetBounds(0.0, 8.0, 10.0, 1)
    )
    for now in (1.0, 2.0):
        assert budget.try_spend('llm', now)
    assert budget.remaining('llm', 2.0) == 2.0
    for _ in range(2):
        budget.refund('llm', 1.0)
    assert budget.remaining('llm', 2.0) == 3.0
    budget.refund('unknown', 1.0)


def test_attempts_end_with_their_outcomes():
    """Guards against an attempt's error that ends the other attempts."""

    async def fail():
        raise ValueError('injected')

    async def answer():
        await anyio.sleep(0.01)
        return 'answer'

    async def main():
        async with anyio.create_task_group() as tasks:
            attempts = attempts_module.Attempts(tasks)
            attempts.start(answer)
            attempts.start(fail)
            with pytest.raises(ValueError, match='injected'):
                await attempts.next_outcome()
            assert attempts.in_flight == 1
            assert await attempts.next_outcome() == 'answer'
            assert not attempts.in_flight

    anyio.run(main)


def test_cancelled_attempts_have_no_outcome():
    """Guards against an answer of an attempt that was given up."""
    ended = []

    async def answer():
        try:
            await anyio.sleep(30.0)
        finally:
            ended.append('cancelled')

    async def main():
        async with anyio.create_task_group() as tasks:
            attempts = attempts_module.Attempts(tasks)
            attempts.start(answer)
            await anyio.sleep(0.01)
            attempts.cancel()
            assert not attempts.in_flight
            with anyio.move_on_after(0.05) as waiting:
                await attempts.next_outcome()
            assert waiting.cancelled_caught
            assert ended == ['cancelled']

    anyio.run(main)
