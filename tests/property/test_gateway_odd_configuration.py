"""A configuration with a number out of range changes nothing."""

import json

import pytest

from tests import gateway_fleet
from tests.property import test_gateway_odd_numbers as odd_numbers

ROUTE = ('routes', 2)
SPLIT = ('routes', 0, 'trafficSplit', 0)
SERVICE = ('services', 1)
ENGINE = (*SERVICE, 'engine')
LIMITS = ('limits',)
HUGE = '1' + '0' * 30


def configuration(path, number):
    """Return a configuration with a number that is given as JSON text."""
    value = gateway_fleet.configuration(9)
    route = value['routes'][0]
    del route['service']
    # The sum of two weights of 1e308 is infinite.
    route['trafficSplit'] = [
        {'service': 'plain', 'weight': 1},
        {'service': 'plain', 'weight': 1e308 if number == '1e308' else 1},
    ]
    inner = value
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = 'NUMBER'
    return json.dumps(value).replace('"NUMBER"', number).encode()


@pytest.mark.parametrize(
    ('path', 'number'),
    [
        (('version',), HUGE),
        (('version',), '-1'),
        ((*ROUTE, 'timeoutMs'), '0'),
        ((*ROUTE, 'timeoutMs'), '-1'),
        ((*ROUTE, 'timeoutMs'), HUGE),
        ((*ROUTE, 'targetLatencyMs'), '-1'),
        ((*ROUTE, 'gapTargetMs'), '1e999'),
        ((*ROUTE, 'maxAttempts'), '0'),
        ((*ROUTE, 'maxAttempts'), HUGE),
        ((*ROUTE, 'priority'), '-1'),
        ((*ROUTE, 'priority'), HUGE),
        ((*SPLIT, 'weight'), '-1'),
        ((*SPLIT, 'weight'), '1e308'),
        ((*SERVICE, 'maxConnections'), HUGE),
        ((*ENGINE, 'slots'), '0'),
        ((*ENGINE, 'kvCacheTokens'), '1' + '0' * 400),
        ((*ENGINE, 'kvCacheTokens'), '-1'),
        ((*ENGINE, 'kvTokenBytes'), '1e308'),
        ((*ENGINE, 'linkMbps'), '-1'),
        ((*ENGINE, 'handleTtlS'), '-1'),
        ((*ENGINE, 'stageSwitchS'), '1e300'),
        ((*LIMITS, 'maxHeaderBytes'), '0'),
        ((*LIMITS, 'maxBodyBytes'), '-1'),
        ((*LIMITS, 'headerTimeoutMs'), '0'),
        ((*LIMITS, 'idleTimeoutMs'), '1e300'),
    ],
)
def test_configuration_out_of_range_leaves_the_last_good_one(path, number):
    """Guards against a number that refuses or fails all requests.

    The sum of weights may be infinite, and memory too large to compare.
    """

    async def scenario(fleet):
        fleet.store.put('op/config', configuration(path, number))
        await odd_numbers.read_all(fleet)
        (line,) = fleet.log.named('store entry unusable')
        assert line['key'] == 'op/config'
        assert fleet.gateway._context.table.version == 1
        reply = await fleet.ask('/read/1', 'r1')
        assert (reply.status, reply.complete) == (200, True)
        reply = await fleet.ask(
            '/ask/1', 'r2', method='POST', Token_Usage='400,4', Model='m'
        )
        assert (reply.status, reply.complete) == (200, True)

    gateway_fleet.run_scenario(scenario)


def test_configuration_with_weights_in_range_is_used():
    """Guards against a decoder that refuses every configuration."""

    async def scenario(fleet):
        fleet.store.put('op/config', configuration((*SPLIT, 'weight'), '2'))
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.table.version == 9)
        assert (await fleet.ask('/read/1', 'r1')).status == 200

    gateway_fleet.run_scenario(scenario)
