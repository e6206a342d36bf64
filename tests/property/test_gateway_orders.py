"""Role orders that an instance sends to runners."""

import anyio
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _roles as roles
from tests import gateway_fleet

run = gateway_fleet.run_scenario


def give_order(fleet, runner, address):
    """Order a runner to change its role, at any runner's address."""
    context = fleet.gateway._context
    [engine] = [s.engine for s in context.table.services.values() if s.engine]
    switch = roles.RoleSwitch(
        ids.RunnerId(runner), address, states.Role.PREFILL
    )
    return fleet.gateway._orders._give_order(switch, engine)


@pytest.mark.parametrize(
    ('answering', 'accepted'), [('d1', True), ('d2', False)]
)
def test_only_accepted_order_keeps_runner_avoided(answering, accepted):
    """Guards against a runner that gets no work after it refused an order.

    A runner that is not the one named in the order answers 421.
    """

    async def scenario(fleet):
        context = fleet.gateway._context
        address = context.runners.get(answering).listing.address
        assert await give_order(fleet, 'd1', address) is accepted
        now = context.clock()
        assert (context.runners.get('d1').full_until > now) is accepted
        assert ('d1' in context.avoided_runners) is accepted

    run(scenario)


def test_stopping_process_does_not_look_for_role_orders():
    """Guards against a stop whose requests wait behind other work."""

    async def scenario(fleet):
        samples = []
        for name in ('s1', 's2'):
            fleet.runners[name].options.work_s = 5.0
        fleet.gateway._orders._balance.sample = lambda *_: samples.append(1)
        await fleet.wait_for(lambda: bool(samples))
        fleet.gateway._stop_requested.set()
        await fleet.wait_for(lambda: fleet.gateway._context.draining)
        samples.clear()
        async with fleet.client() as client:
            await client.send('/file/1', 'r1', method='POST')
            await anyio.sleep(1.2)
        assert not samples

    run(scenario)


@pytest.mark.parametrize(
    ('seed', 'leads'), [('127.0.0.1', 1), ('127.0.0.2', 0)]
)
def test_process_that_reaches_no_seed_does_not_lead(seed, leads):
    """Guards against two leaders, one of which knows no other instance.

    One whose seeds name only itself is the first instance of a fleet.
    """
    port = gateway_fleet.free_port()

    async def scenario(fleet):
        samples = []
        fleet.gateway._orders._balance.sample = lambda *_: samples.append(1)
        await fleet.wait_for(lambda: len(samples) == 4)
        assert len(fleet.log.named('leads')) == leads

    run(
        scenario,
        peer=model.Address('127.0.0.1', port),
        seeds=(model.Address(seed, port),),
        lease_s=0.1,
    )


def test_process_without_contact_to_others_gives_up_the_lead():
    """Guards against a leader in each part of a divided fleet.

    An instance that is cut off forgets the others, and the zones with them.
    """
    leader = roles.Leadership(
        ledger_module.Process(1, ids.InstanceId('i1')), 3.0
    )
    assert not leader.update([], 0, 0.0)
    assert leader.update([], 0, 6.0)
    assert not leader.update([], 0, 7.0, in_contact=False)
    assert not leader.update([], 0, 8.0)
    assert leader.update([], 0, 14.0)
