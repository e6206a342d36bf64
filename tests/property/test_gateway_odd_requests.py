"""Numbers in requests and capacities that nothing can be done with."""

from tests import gateway_fleet


def test_engine_without_a_known_memory_does_not_end_the_exchange():
    """Guards against free memory that cannot be told to other shards."""

    async def scenario(fleet):
        config = gateway_fleet.configuration(2)
        del config['services'][1]['engine']['kvCacheTokens']
        fleet.store.put('op/config', config)
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.table.version == 2)
        free = context.places.free_memory(context.clock())
        assert [tokens > 0 for _, tokens in free] == [True, True]

    gateway_fleet.run_scenario(scenario)
