"""Closes of callers' connections by the gateway."""

from tests import gateway_fleet

run = gateway_fleet.run_scenario


async def apply(fleet, version, **limits):
    """Put a configuration with other limits into force."""
    fleet.store.put(
        'op/config', gateway_fleet.configuration(version, **limits)
    )
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.table.version == version)


def test_connections_that_a_change_closes_are_logged():
    """Guards against a change that closes connections without a trace."""

    async def scenario(fleet):
        async with fleet.client() as first, fleet.client() as second:
            for client in (first, second):
                assert (await client.ask('/read/1', 'r1')).complete
            await apply(fleet, 2, idleTimeoutMs=100)
            named = fleet.log.named
            # The limit of the wait that has begun is looked up at its end.
            await fleet.wait_for(
                lambda: len(named('idle connection closed')) == 2
            )
        line = named('idle connection closed')[-1]
        assert (line['version'], line['limit_s']) == (2, 0.1)
        assert line['open_connections'] == 0

    run(scenario)
