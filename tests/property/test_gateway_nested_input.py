"""Input from outside that is nested deeper than a decoder can follow."""

import pytest
from returns import pipeline

from primrosereel import platform
from tests import gateway_fleet
from tests.property import test_fuzz_platform

run = gateway_fleet.run_scenario
# Decoders raise RecursionError long before this depth.
DEPTH = 5000
NESTED_JSON = b'{"other":' + b'[' * DEPTH + b']' * DEPTH + b'}'
NESTED_TOML = b'\n[other]\nx = ' + b'[' * DEPTH + b']' * DEPTH


@pytest.mark.parametrize('key', ['servers/s3', 'op/config'])
def test_nested_entry_does_not_hide_later_changes(key):
    """Guards against one entry of another writer that ends all reading.

    Its error ended each watch from the revision before it, so that no later
    change of the configuration or of a runner came into force.
    """

    async def scenario(fleet):
        fleet.store.put(key, NESTED_JSON)
        routes = [('/new/', 'plain', 'idempotent')]
        if key != 'op/config':
            config = gateway_fleet.configuration(9, routes)
            fleet.store.put('op/config', config)
            context = fleet.gateway._context
            await fleet.wait_for(lambda: context.table.version == 9)
            assert (await fleet.ask('/new/1', 'r1')).status == 200
        fleet.list_runner('s1', 'draining')
        runner = fleet.gateway._context.runners.get('s1')
        await fleet.wait_for(lambda: runner.listing.leaving)
        assert not fleet.log.named('part failed')

    run(scenario)


def test_nested_settings_are_refused():
    """Guards against a reload that ends the process.

    SIGHUP is handled outside the parts that are restarted after an error.
    """
    settings = platform.read_settings(
        test_fuzz_platform.SETTINGS + NESTED_TOML
    )
    assert not pipeline.is_successful(settings)
