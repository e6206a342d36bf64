"""Requests that the gateway refuses, and the reasons it gives."""

import anyio

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


run = gateway_fleet.run_scenario


def run_count(fleet, request_id):
    return sum(r.runs[request_id] for r in fleet.runners.values())


def test_new_runner_at_a_reused_address_runs_nothing():
    """Guards against a request that runs at another runner.

    Its address has been reused, and the new runner responds 421.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].options.runner += '-new'
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert run_count(fleet, 'r1') == 0

    run(scenario)


def test_requests_beyond_memory_are_refused_with_retry_after():
    """Guards against requests that are prefilled without decode memory.

    They must get 503 with Retry-After within their deadline.
    """

    async def scenario(fleet):
        context = fleet.gateway._context
        for name in ('d1', 'd2'):
            row = context.runners.get(name)
            row.tokens, row.in_flight = 49_000, 7
        for number in range(12):
            context.places._arrivals.add(9_000, context.clock())
            del number
        started_at = anyio.current_time()
        replies = []

        async def ask(number):
            replies.append(
                await fleet.ask(
                    '/once/1',
                    f'r{number}',
                    method='POST',
                    Token_Usage='45000,10',
                    Deadline_Ms=4000,
                )
            )

        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(ask, number)
        assert {reply.status for reply in replies} == {503}
        # Callers honour at most a third of their 4 s.
        assert all(
            0 < float(r.headers['retry-after']) <= 4 / 3 for r in replies
        )
        assert anyio.current_time() - started_at < 3.2
        assert not fleet.runners['p1'].prefills

    run(scenario)


def test_no_503_after_a_send_that_may_have_run():
    """Guards against a 503, which says not run, for a request that ran.

    The retry budget is spent after a send that may have run.
    """

    async def scenario(fleet):
        context = fleet.gateway._context
        context.runners.get('d2').tokens = 20_000
        context.runners.get('d2').in_flight = 4
        # The budget allows one retry: the one after the reset.
        fleet.gateway._max_instances_seen = 1
        context.budget.set_instances(1)
        context.budget.set_bounds(0.0, 2.0, 10.0)
        fleet.runners['d1'].faults.append(Fault.RESET_BEFORE_RUN)
        fleet.runners['d2'].faults.append(Fault.SHED)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert len(fleet.runners['d2'].requests) == 1
        assert reply.status == 502

    run(scenario)


def test_refusal_names_the_spent_retry_budget():
    """Guards against the reason no_runner for a spent retry budget."""

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.SHED)
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert reply.status == 503
        assert fleet.log.named('refused')[0]['reason'] == 'retry_budget'

    run(scenario, retry_slack=0.0)
