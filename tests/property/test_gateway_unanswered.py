"""Requests that were read must get a final and true answer."""

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 3000}

run = gateway_fleet.run_scenario


@pytest.mark.parametrize(
    ('reason', 'path'), [('caller_gone', '/file/1'), ('stream_cut', '/once/1')]
)
def test_unanswered_request_is_logged_with_its_reason(reason, path):
    """Guards against a lost request that leaves no trace in the log."""

    async def scenario(fleet):
        fleet.runners['s1'].faults.append(Fault.SILENT)
        fleet.gateway._context.runners.get('s2').in_flight = 3
        for name in ('d1', 'd2'):
            fleet.runners[name].faults.append(Fault.BREAK_STREAM)
        async with fleet.client() as client:
            await client.send(path, 'r1', method='POST', **STREAM)
            if reason == 'stream_cut':
                await client.receive()
            await anyio.sleep(0.2)
        named = fleet.log.named
        await fleet.wait_for(lambda: bool(named('request unanswered')))
        (line,) = named('request unanswered')
        assert (line['request'], line['reason']) == ('r1', reason)
        assert line['seconds'] > 0
        metrics, _ = fleet.gateway._context.metrics.render()
        assert f'unanswered_total{{reason="{reason}"}} 1.0' in metrics.decode()

    run(scenario)
