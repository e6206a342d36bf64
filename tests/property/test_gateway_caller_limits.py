"""Limits of callers that change while their connections are open."""

import anyio

from tests import gateway_fleet

run = gateway_fleet.run_scenario


def test_longer_idle_limit_applies_to_open_connections():
    """Guards against a connection that lives by replaced limits.

    Clients reuse connections for most of the current idle limit, so the
    shorter limit closes connections in front of their requests.
    """

    async def scenario(fleet):
        fleet.store.put(
            'op/config',
            gateway_fleet.configuration(version=2, idleTimeoutMs=600),
        )
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.table.version == 2)
        async with fleet.client() as kept:
            assert (await kept.ask('/read/1', 'r1')).status == 200
            fleet.store.put(
                'op/config',
                gateway_fleet.configuration(version=3, idleTimeoutMs=3000),
            )
            await fleet.wait_for(lambda: context.table.version == 3)
            await anyio.sleep(1.0)
            reply = await kept.ask('/read/1', 'r2')
            assert (reply.status, reply.complete) == (200, True)

    run(scenario)


def test_larger_sizes_apply_to_open_connections():
    """Guards against a request refused by a size limit that was replaced."""

    async def scenario(fleet):
        context = fleet.gateway._context
        async with fleet.client() as kept:
            assert (await kept.ask('/read/1', 'r1')).status == 200
            fleet.store.put(
                'op/config',
                gateway_fleet.configuration(
                    version=2, maxBodyBytes=200_000, maxHeaderBytes=65536
                ),
            )
            await fleet.wait_for(lambda: context.table.version == 2)
            reply = await kept.ask(
                '/file/1', 'r2', method='POST', body=b'b' * 150_000
            )
            assert reply.status == 200
            reply = await kept.ask('/read/1', 'r3', X_Long='h' * 30_000)
            assert reply.status == 200

    run(scenario)
