"""Instances discover each other and exchange their use over UDP."""

import anyio

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.gateway import _peers as peers
from primrosereel.routing import _model as model
from primrosereel.routing import _shards as shards
from tests import gateway_fleet

STREAM = {
    'Deadline_Ms': 4000,
    'Model': 'm',
    'Token_Usage': '1000,40',
}


run = gateway_fleet.run_scenario


def found_hosts(log):
    return {line['host'] for line in log.named('peer found')}


class OtherInstances:
    """Further instances beside a fleet's own, each with its own address."""

    def __init__(self, fleet, port):
        self._fleet = fleet
        self._port = port
        # Cancels the instance that was started last.
        self.scope = anyio.CancelScope()

    def start(self, host, **changes):
        log = gateway_fleet.ListLog()
        settings = gateway_fleet.make_settings(
            self._fleet,
            instance=ids.InstanceId(f'i-{host}'),
            peer=model.Address(host, self._port),
            seeds=(model.Address('127.0.0.1', self._port),),
            **changes,
        )
        gateway = composition.Gateway(
            settings, platform.Dialect(), platform.Store, log
        )
        self.scope = anyio.CancelScope()
        self._fleet.tasks.start_soon(self._run, gateway, self.scope)
        return gateway, log

    async def _run(self, gateway, scope):
        with scope:
            await gateway.run()


def test_instances_discover_each_other_from_a_seed():
    """Guards against instances that know the same seed but not each other."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        other_instances = OtherInstances(fleet, port)
        _, second = other_instances.start('127.0.0.2')
        _, third = other_instances.start('127.0.0.3')
        await fleet.wait_for(
            lambda: found_hosts(second) == {'127.0.0.1', '127.0.0.3'}
        )
        await fleet.wait_for(
            lambda: found_hosts(third) == {'127.0.0.1', '127.0.0.2'}
        )
        assert found_hosts(fleet.log) == {'127.0.0.2', '127.0.0.3'}

    run(scenario, peer=own, seeds=(own,))


def test_new_instance_gets_the_use_of_peers_at_once(
    monkeypatch,
):
    """Guards against a restarted instance that gives out occupied places.

    It does not know the use of its peers until they send it.
    """
    # Heartbeats would send it as well within a second.
    monkeypatch.setattr(peers, 'HEARTBEAT_INTERVAL_S', 60.0)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        fleet.runners['d1'].options.event_s = 0.5
        fleet.runners['d2'].options.event_s = 0.5
        other_instances = OtherInstances(fleet, port)
        _, before = other_instances.start('127.0.0.2')
        await fleet.wait_for(lambda: found_hosts(before) == {'127.0.0.1'})
        other_instances.scope.cancel()
        async with fleet.client() as client:
            await client.send('/ask/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(lambda: bool(fleet.gateway.engine_uses()))
            # The changes from placing the request have been sent by then.
            await anyio.sleep(0.3)
            gateway, _ = other_instances.start('127.0.0.2')
            await fleet.wait_for(lambda: bool(gateway.peer_uses()), 3.0)
            peer_runners = {runner for runner, _ in gateway.peer_uses()}
            assert peer_runners <= {'d1', 'd2', 'p1'}

    run(scenario, peer=own, seeds=(own,))


def test_other_shard_is_sent_a_spilled_request_until_it_ends(monkeypatch):
    """Guards against a spilled stream that its shard forgets.

    Other shards were only sent changes, and dropped a stream's use after
    2.5 s without an update.
    """
    monkeypatch.setattr(shards, 'DIVIDE_ABOVE_INSTANCES', 1)
    monkeypatch.setattr(shards, 'REJOIN_AT_INSTANCES', 1)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.events = 16
            fleet.runners[name].options.event_s = 0.3
        # The engines of zone-a belong to the shard of the second instance;
        # this instance's zone has one engine with one slot.
        await fleet.add_runner('d9', 'llm', 'decode', events=99, event_s=0.1)
        entry = fleet.runners['d9'].entry() | {'zone': 'zone-b', 'slots': 1}
        fleet.store.put('servers/d9', entry)
        gateway, log = OtherInstances(fleet, port).start(
            '127.0.0.2', availability_zone=ids.AvailabilityZone('zone-a')
        )
        await fleet.wait_for(
            lambda: any(
                line['divided'] for line in fleet.log.named('shards changed')
            )
        )
        # Wait until the other shard has sent its free memory.
        await anyio.sleep(1.5)
        async with fleet.client() as first, fleet.client() as second:
            await first.send('/ask/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: bool(fleet.runners['d9'].last_event_ids)
            )
            # In a large fleet, gossip rarely reaches a given instance.
            monkeypatch.setattr(peers, 'GOSSIP_TARGETS', 0)
            await second.send('/ask/1', 'r2', method='POST', **STREAM)

            def peer_runners():
                return {runner for runner, _ in gateway.peer_uses()}

            await fleet.wait_for(lambda: bool({'d1', 'd2'} & peer_runners()))
            await anyio.sleep(3.2)
            assert {'d1', 'd2'} & peer_runners()

    run(
        scenario,
        peer=own,
        seeds=(own,),
        availability_zone=ids.AvailabilityZone('zone-b'),
    )


def test_zone_without_decode_runners_is_no_shard(monkeypatch):
    """Guards against a shard that has no decode runners of its own.

    Its instances would have used the decode runners of other shards without
    sending them updates.
    """
    monkeypatch.setattr(shards, 'DIVIDE_ABOVE_INSTANCES', 1)
    monkeypatch.setattr(shards, 'REJOIN_AT_INSTANCES', 1)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        await fleet.add_runner('p9', 'llm', 'prefill')
        entry = fleet.runners['p9'].entry() | {'zone': 'zone-b'}
        fleet.store.put('servers/p9', entry)
        OtherInstances(fleet, port).start(
            '127.0.0.2', availability_zone=ids.AvailabilityZone('zone-a')
        )
        await fleet.wait_for(lambda: bool(found_hosts(fleet.log)))
        await anyio.sleep(1.5)
        assert not fleet.log.named('shards changed')

    run(
        scenario,
        peer=own,
        seeds=(own,),
        availability_zone=ids.AvailabilityZone('zone-b'),
    )


def test_unreadable_datagrams_are_ignored():
    """Guards against unreadable datagrams that stop the peer exchange."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        async with await anyio.create_udp_socket(
            local_host='127.0.0.9'
        ) as socket:
            for data in (b'', b'\xc1', b'\x93\x03\x01\x02', b'{"a": 1}'):
                await socket.sendto(data, '127.0.0.1', port)
        _, second = OtherInstances(fleet, port).start('127.0.0.2')
        await fleet.wait_for(lambda: found_hosts(second) == {'127.0.0.1'})
        assert found_hosts(fleet.log) == {'127.0.0.2'}

    run(scenario, peer=own, seeds=(own,))


def test_start_of_a_large_fleet_takes_few_log_lines():
    """Guards against a line per pair of instances, 8,000 in a fleet of 90."""
    own = model.Address('127.0.0.1', gateway_fleet.free_port())

    async def scenario(fleet):
        for number in range(90):
            fleet.gateway._peers._apply_datagram(
                f'127.0.1.{number}',
                peer_datagram.Datagram(3, f'p{number}', 'a', 1, 1, [], 0, []),
            )
        await fleet.wait_for(lambda: bool(fleet.log.named('more peers found')))
        [line] = fleet.log.named('more peers found')
        logged = len(fleet.log.named('peer found'))
        assert (logged, line['count']) == (peers.LOGGED_PEERS, 90 - logged)

    run(scenario, peer=own, seeds=(own,))
