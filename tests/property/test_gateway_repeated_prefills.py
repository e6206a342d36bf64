"""Prefills that are repeated instead of done at a decode runner.

A decode runner that prefills a prompt delays the events of all its streams.
"""

import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


def prefills_of(fleet, request_id):
    return [
        runner.prefills[request_id]
        for name, runner in sorted(fleet.runners.items())
        if runner.options.stage == 'prefill'
    ]


def decodes_without_handle(fleet, request_id):
    return [
        request
        for runner in fleet.runners.values()
        if runner.options.stage == 'decode'
        for request in runner.requests
        if request.headers.get('request-id') == request_id
        and 'kv-source' not in request.headers
    ]


@pytest.mark.parametrize('fault', [Fault.HANDLE_GONE, Fault.BREAK_STREAM])
def test_prompt_is_prefilled_again_for_the_next_decode_runner(fault):
    """Guards against prefill at a decode runner that has streams.

    The KV cache is gone, or was used by a stream that broke.
    """

    async def scenario(fleet):
        await fleet.add_runner('p2', 'llm', 'prefill')
        await fleet.wait_for(lambda: len(fleet.gateway._context.runners) > 5)
        context = fleet.gateway._context
        # The other decode runner is chosen first.
        context.runners.get('d2').suspect_until = context.clock() + 1.0
        fleet.runners['d1'].faults.append(fault)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.status == 200 and reply.complete
        assert sum(prefills_of(fleet, 'r1')) > 1
        assert not decodes_without_handle(fleet, 'r1')

    gateway_fleet.run_scenario(scenario, high_contention=True)


def test_prompt_is_prefilled_at_decode_without_contention():
    """Guards against a change where no contention is configured."""

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.HANDLE_GONE)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.status == 200 and reply.complete
        assert sum(prefills_of(fleet, 'r1')) == 1

    gateway_fleet.run_scenario(scenario)


def test_failed_prefill_is_repeated_at_another_runner():
    """Guards against prefill at a decode runner after a lost connection."""

    async def scenario(fleet):
        await fleet.add_runner('p2', 'llm', 'prefill')
        await fleet.wait_for(lambda: len(fleet.gateway._context.runners) > 5)
        for name in ('p1', 'p2'):
            fleet.runners[name].faults.append(Fault.RESET_BEFORE_RUN)
        reply = await fleet.ask('/ask/1', 'r1', method='POST', **STREAM)
        assert reply.status == 200 and reply.complete
        tries = [
            len(runner.requests)
            for runner in fleet.runners.values()
            if runner.options.stage == 'prefill'
        ]
        assert tries == [1, 1]

    gateway_fleet.run_scenario(scenario, high_contention=True)
