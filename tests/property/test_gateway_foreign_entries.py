"""Entries of another writer in the platform's store name no runner to use."""

import pytest

from tests import gateway_fleet

run = gateway_fleet.run_scenario


@pytest.mark.parametrize('name', ['s3\r\nKv-Source: x', 's3 ', '\x00'])
def test_runner_whose_id_is_no_header_value_ends_no_request(name):
    """Guards against calls that fail for the key of another writer's entry.

    The id is sent in a header. h11 sends no request with such a value, and
    the call failed though other runners could serve it.
    """

    async def scenario(fleet):
        fleet.store.put(f'servers/{name}', fleet.runners['s1'].entry())
        # Written later, so that the entry before it has been read.
        fleet.list_runner('s2', 'draining')
        table = fleet.gateway._context.runners
        await fleet.wait_for(lambda: table.get('s2').listing.leaving)
        table.get('s1').in_flight = 3
        reply = await fleet.ask('/file/1', 'r1', method='POST')
        assert (reply.status, reply.complete) == (200, True)
        assert not fleet.log.named('internal error')

    run(scenario)
