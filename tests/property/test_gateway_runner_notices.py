"""Instances tell each other what runners say of themselves."""

import math

from primrosereel.gateway import _peers as peers
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _runner_notices as runner_notices
from primrosereel.routing import _availability as availability
from primrosereel.routing import _model as model
from tests import gateway_fleet
from tests.property import test_gateway_back_off as back_offs
from tests.property import test_gateway_leaving_runners as leaving
from tests.property import test_gateway_peers as gateway_peers

Availability = availability.Availability

HOST = '127.0.0.2'


def state(gateway, name):
    context = gateway._context
    return context.runners.availability.state(name, context.clock())


def run_with_peer(scenario):
    """Run a scenario with a second instance that knows the first one."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def run(fleet):
        instances = gateway_peers.OtherInstances(fleet, port)
        other, log = instances.start(HOST)
        await fleet.wait_for(lambda: bool(gateway_peers.found_hosts(log)))
        await fleet.wait_for(
            lambda: bool(gateway_peers.found_hosts(fleet.log))
        )
        await fleet.wait_for(lambda: other.ready)
        await scenario(fleet, other, log, instances)

    gateway_fleet.run_scenario(run, peer=own, seeds=(own,))


def test_peers_are_told_at_once_of_a_leaving_runner(monkeypatch):
    """Guards against requests of instances that the runner has not told."""
    # Heartbeats would tell it as well.
    monkeypatch.setattr(peers, 'HEARTBEAT_INTERVAL_S', 60.0)

    async def scenario(fleet, other, log, _):
        fleet.runners['s1'].leaving = True
        await leaving.ask_plain(fleet)
        await fleet.wait_for(
            lambda: state(other, 's1') is Availability.LEAVING, 0.5
        )
        (line,) = log.named('runner availability changed')
        assert (line['runner'], line['source']) == ('s1', 'peer')

    run_with_peer(scenario)


def test_instance_without_the_store_is_told_what_the_store_says(monkeypatch):
    """Guards against requests to a runner that left during an outage.

    The store turns this instance away; its peers read that the runner drains.
    """
    monkeypatch.setattr(peers, 'HEARTBEAT_INTERVAL_S', 60.0)

    async def scenario(fleet, other, *_):
        async def turn_away(*_):
            raise ports.StoreUnavailable('turned away')

        other._reader._store.watch = turn_away
        await fleet.wait_for(lambda: not other._reader._available, 3.0)
        fleet.list_runner('s1', 'draining')
        await fleet.wait_for(
            lambda: state(fleet.gateway, 's1') is Availability.LEAVING
        )
        # Any use of an engine sends a datagram.
        await back_offs.ask_stream(fleet)
        await fleet.wait_for(
            lambda: state(other, 's1') is Availability.LEAVING, 0.5
        )

    run_with_peer(scenario)


def test_heartbeats_repeat_what_a_lost_datagram_told(monkeypatch):
    """Guards against a peer that misses one datagram and never knows."""
    monkeypatch.setattr(peers.Peers, 'send_runner_notices', lambda *_: None)
    monkeypatch.setattr(peers, 'GOSSIP_TARGETS', 0)

    async def scenario(fleet, other, *_):
        fleet.runners['s1'].leaving = True
        await leaving.ask_plain(fleet)
        await fleet.wait_for(
            lambda: state(other, 's1') is Availability.LEAVING, 2.0
        )

    run_with_peer(scenario)


def test_a_restarted_instance_is_told_which_runners_left():
    """Guards against a new instance that sends to runners that left."""

    async def scenario(fleet, _, __, instances):
        fleet.runners['s1'].leaving = True
        await leaving.ask_plain(fleet)
        instances.scope.cancel()
        other, _ = instances.start(HOST)
        await fleet.wait_for(lambda: other.ready)
        await fleet.wait_for(
            lambda: state(other, 's1') is Availability.LEAVING, 1.0
        )

    run_with_peer(scenario)


def test_back_off_of_a_peer_is_a_hint_only():
    """Guards against a service that is refused as a peer was refused."""

    async def scenario(fleet, other, *_):
        back_offs.back_off(fleet, 's1', 5.0)
        context = other._context
        table = context.runners.availability
        await fleet.wait_for(
            lambda: table.is_hinted('s1', context.clock()), 0.5
        )
        assert table.accepts('s1', context.clock())
        assert state(other, 's1') is Availability.READY
        chosen = {
            context.placement.choose('plain', (), context.clock()).runner_id
            for _ in range(20)
        }
        assert chosen == {'s2'}

    run_with_peer(scenario)


def test_instances_tell_since_when_they_have_had_the_store():
    """Guards against an entry that left and is taken for one that lapsed."""

    async def scenario(fleet, other, *_):
        since = fleet.gateway._reader.in_touch_since
        assert since < math.inf
        contacts = other._reader._runner_list._contact._peers
        await fleet.wait_for(lambda: 'i1' in contacts)
        # Ages are sent in whole milliseconds.
        assert abs(contacts['i1'].since - since) < 0.05

    run_with_peer(scenario)


def test_notices_that_are_not_understood_are_left_out():
    """Guards against a peer whose notices stop the exchange, or override."""
    notices, unknown = runner_notices.decode(
        [
            ('s1', 5, 'asleep', 10, 0),
            ('s2', 5, 'leaving', -2000, -10),
        ]
    )
    assert unknown == 1
    assert notices == [
        availability.Notice('s2', 5, Availability.LEAVING, 0.0, 0.0)
    ]
    assert runner_notices.in_touch_ms(math.inf, 9.0) is None
