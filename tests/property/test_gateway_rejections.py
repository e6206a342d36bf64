"""Decode runners that reject a request whose prompt was prefilled."""

import dataclasses

import anyio
import pytest

from primrosereel.bench import _ports as ports
from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}


run = gateway_fleet.run_scenario


def fill(fleet, name, tokens):
    """Let a decode runner count as used; it has 48,500 usable tokens."""
    row = fleet.gateway._context.runners.get(name)
    row.tokens, row.in_flight = tokens, 7
    return row


def decode_requests(fleet, name):
    return [
        request
        for request in fleet.runners[name].requests
        if request.headers.get('request-id') == 'r1'
    ]


def test_rejected_request_waits_for_a_runner_with_room():
    """Guards against requests that try one full runner after another.

    Each rejection took one from the retry budget, and the prompt was lost
    although a place became free while its handle was valid.
    """

    async def scenario(fleet):
        places = fleet.gateway._context.places
        fill(fleet, 'd1', 47_900)
        other = fill(fleet, 'd2', 50_000)
        fleet.runners['d1'].faults.append(Fault.SHED)

        async def free_other():
            await fleet.wait_for(lambda: bool(decode_requests(fleet, 'd1')))
            await anyio.sleep(0.1)
            assert not decode_requests(fleet, 'd2')
            assert places.waiting_count == 1
            other.tokens = other.in_flight = 0

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(free_other)
            reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, True)
        [request] = decode_requests(fleet, 'd2')
        assert 'kv-source' in request.headers
        assert fleet.runners['p1'].prefills['r1'] == 1

    run(scenario)


def test_request_is_refused_when_its_handle_expires():
    """Guards against a wait for a place beyond the life of the prompt."""

    async def scenario(fleet):
        fill(fleet, 'd1', 47_900)
        fill(fleet, 'd2', 50_000)
        fleet.runners['d1'].faults.extend([Fault.SHED] * 4)
        with anyio.fail_after(1.5):
            reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert not decode_requests(fleet, 'd2')

    run(scenario)


def test_rejection_of_a_nearly_full_runner_keeps_the_handle():
    """Guards against a prompt that is prefilled a second time.

    A runner whose streams had grown beyond what was reserved rejected the
    request, and the handle was taken to have expired.
    """

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fill(fleet, name, 47_900)
            fleet.runners[name].faults.append(Fault.SHED)
        await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        requests = [
            q for name in ('d1', 'd2') for q in decode_requests(fleet, name)
        ]
        assert requests
        assert all('kv-source' in q.headers for q in requests)

    run(scenario)


def test_replaced_runner_does_not_invalidate_the_handle():
    """Guards against a prompt that is prefilled a second time.

    Another runner answered at the address, and the request was sent to it
    again without its handle.
    """

    async def scenario(fleet):
        fleet.runners['d1'].options.runner = 'another'
        fleet.runners['d2'].options.runner = 'another'
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert reply.status == 503
        for name in ('d1', 'd2'):
            requests = decode_requests(fleet, name)
            assert len(requests) <= 1
            assert all('kv-source' in q.headers for q in requests)
        reasons = {
            line['reason'] for line in fleet.log.named('attempt failed')
        }
        assert reasons == {'runner_replaced'}

    run(scenario)


@pytest.mark.parametrize('fault', ['gone', 'replaced', 'full'])
def test_prompt_goes_to_another_prefill_runner(fault):
    """Guards against prompts that decode runners prefill after a crash.

    They did so although other prefill runners were idle, which slowed all
    their streams.
    """

    async def scenario(fleet):
        await fleet.add_runner('p2', 'llm', 'prefill')
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get('p2') is not None)
        # The second prefill runner seems to take longer.
        table.get('p2').slowness = 1.5
        if fault == 'gone':
            row = table.get('p1')
            port = ports.free_port()
            row.listing = dataclasses.replace(
                row.listing, address=model.Address('127.0.0.1', port)
            )
        elif fault == 'replaced':
            fleet.runners['p1'].options.runner = 'another'
        else:
            fleet.runners['p1'].faults.append(Fault.SHED)
        reply = await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        assert (reply.status, reply.complete) == (200, True)
        assert fleet.runners['p2'].prefills['r1'] == 1
        [request] = [
            q for name in ('d1', 'd2') for q in decode_requests(fleet, name)
        ]
        assert 'kv-source' in request.headers

    run(scenario)
