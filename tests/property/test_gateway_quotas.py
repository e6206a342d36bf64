"""Quotas at a gateway: requests that cost units without having run."""

import pytest

from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway_peers as peers_tests

TENANTS = [
    {'name': 'small', 'apiKeys': ['k1'], 'ratePerS': 0.001, 'burst': 2},
    {
        'name': 'tokens',
        'apiKeys': ['k2'],
        'unit': 'token_count',
        'plainTokens': 40,
        'ratePerS': 10,
        'burst': 100,
    },
    {'name': 'free', 'apiKeys': ['k3']},
    {'name': 'wide', 'apiKeys': ['k4'], 'ratePerS': 0.001, 'burst': 8},
]


async def configure(fleet, tenants, version=2):
    config = gateway_fleet.configuration(version=version)
    fleet.store.put('op/config', config | {'tenants': tenants})
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.table.version == version)


async def ask(fleet, key, request_id, path='/read/1', **headers):
    return await fleet.ask(
        path, request_id, Authorization=f'Token {key}', **headers
    )


def level(fleet, account):
    """Return the units that an account may still spend."""
    return level_at(fleet.gateway, account)


def level_at(gateway, account):
    context = gateway._context
    states = context.quotas.states(context.clock())
    return next(s.level for s in states if s.account == account)


@gateway_fleet.with_fleet
async def test_requests_over_the_quota_are_refused(fleet):
    """Guards against a request over the quota that runs."""
    await configure(fleet, TENANTS)
    replies = [await ask(fleet, 'k1', f'r{n}') for n in range(4)]
    assert [reply.status for reply in replies] == [200, 200, 429, 429]
    # The third fits after 1,000 s; a window is the longest wait.
    assert 8 <= float(replies[2].headers['retry-after']) <= 8.8
    runs = [fleet.runners[name].runs for name in ('s1', 's2')]
    assert {'r0', 'r1'} == {request for run in runs for request in run}
    line = fleet.log.named('refused')[-1]
    assert (line['account'], line['reason']) == ('small', 'rate_limited')
    for number in range(5):
        assert (await ask(fleet, 'k3', f'f{number}')).status == 200
    page = fleet.gateway._metrics_page().body.decode()
    assert 'quota_level{account="small"}' in page
    assert 'rate_limited_by_account_total{reason="small"} 2.0' in page


@pytest.mark.parametrize(
    ('headers', 'units'), [({}, 40), ({'Token_Usage': '20,15'}, 35)]
)
@gateway_fleet.with_fleet
async def test_units_of_a_request(fleet, headers, units):
    """Guards against tokens that are not counted as the caller stated them."""
    await configure(fleet, TENANTS)
    before = level(fleet, 'tokens')
    assert (await ask(fleet, 'k2', 'r', **headers)).status == 200
    # The quota refills by 11.25 units a second.
    assert before - units <= level(fleet, 'tokens') < before - units + 20


@gateway_fleet.with_fleet
async def test_request_that_did_not_run_costs_nothing(fleet):
    """Guards against units that a refused request keeps."""
    await configure(fleet, TENANTS)
    for name in ('s1', 's2'):
        fleet.runners[name].faults.extend([listed_runner.Fault.SHED] * 9)
    assert (await ask(fleet, 'k1', 'r0', '/file/1')).status == 503
    assert level(fleet, 'small') == pytest.approx(2, abs=0.01)


@gateway_fleet.with_fleet
async def test_lowered_quota_applies_with_its_configuration(fleet):
    """Guards against the quota of an earlier configuration."""
    await configure(fleet, TENANTS)
    await configure(fleet, [TENANTS[0] | {'burst': 1}], version=3)
    replies = [await ask(fleet, 'k1', f'r{n}') for n in range(2)]
    assert [reply.status for reply in replies] == [200, 429]


def test_instances_share_a_quota():
    """Guards against a quota that each instance grants by itself."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        await configure(fleet, TENANTS)
        other, _ = peers_tests.OtherInstances(fleet, port).start('127.0.0.2')
        context = other._context
        await fleet.wait_for(lambda: context.quotas.active)
        await fleet.wait_for(lambda: len(context.members) == 1)
        # Two instances are expected, and each begins with half the burst.
        assert level_at(other, 'wide') == pytest.approx(4, abs=0.1)
        for number in range(3):
            assert (await ask(fleet, 'k4', f'r{number}')).status == 200
        await fleet.wait_for(lambda: level_at(other, 'wide') < 1.1)

    gateway_fleet.run_scenario(scenario, peer=own, seeds=(own,))
