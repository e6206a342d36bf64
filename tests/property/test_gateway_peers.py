"""Instances find each other by datagrams and tell what they use."""

import anyio

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _peers as peers
from primrosereel.routing import _model as model
from primrosereel.routing import _shards as shards
from tests import gateway_fleet

STREAM = {
    'Deadline_Ms': 4000,
    'Model': 'm',
    'Token_Usage': '1000,40',
}


def run(scenario, **changes):
    async def main():
        with anyio.fail_after(20):
            async with gateway_fleet.fleet(**changes) as fleet:
                await scenario(fleet)

    anyio.run(main)


def _found(log):
    return {line['host'] for line in log.named('peer found')}


class Others:
    """More instances beside a fleet's own, each on a host of its own."""

    def __init__(self, fleet, port):
        self._fleet = fleet
        self._port = port
        # Ends the instance that was started last.
        self.scope = anyio.CancelScope()

    def start(self, host, **changes):
        log = gateway_fleet.ListLog()
        settings = gateway_fleet.made_settings(
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


def test_instances_find_each_other_from_a_seed():
    """Instances that only know a seed did not hear of each other."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        others = Others(fleet, port)
        _, second = others.start('127.0.0.2')
        _, third = others.start('127.0.0.3')
        await fleet.wait_for(
            lambda: _found(second) == {'127.0.0.1', '127.0.0.3'}
        )
        await fleet.wait_for(
            lambda: _found(third) == {'127.0.0.1', '127.0.0.2'}
        )
        assert _found(fleet.log) == {'127.0.0.2', '127.0.0.3'}

    run(scenario, peer=own, seeds=(own,))


def test_an_instance_that_starts_is_told_at_once_what_is_under_way(
    monkeypatch,
):
    """A restarted instance gave out places that others had taken."""
    # Heartbeats would tell it as well, within a second.
    monkeypatch.setattr(peers, 'HEARTBEAT_S', 60.0)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        fleet.runners['d1'].options.event_s = 0.5
        fleet.runners['d2'].options.event_s = 0.5
        others = Others(fleet, port)
        _, before = others.start('127.0.0.2')
        await fleet.wait_for(lambda: _found(before) == {'127.0.0.1'})
        others.scope.cancel()
        async with fleet.client() as client:
            await client.send('/ask/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(lambda: bool(fleet.gateway.engine_uses()))
            # The changes of placing the request have been told by then.
            await anyio.sleep(0.3)
            gateway, _ = others.start('127.0.0.2')
            await fleet.wait_for(lambda: bool(gateway.told_uses()), 3.0)
            told = {runner for runner, _ in gateway.told_uses()}
            assert told <= {'d1', 'd2', 'p1'}

    run(scenario, peer=own, seeds=(own,))


def test_a_shard_hears_of_a_spilled_request_until_it_ends(monkeypatch):
    """Other shards heard of changes only, and forgot a stream after 2.5 s."""
    monkeypatch.setattr(shards, 'LARGEST_WHOLE', 1)
    monkeypatch.setattr(shards, 'SMALLEST_DIVIDED', 1)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        for name in ('d1', 'd2'):
            fleet.runners[name].options.events = 16
            fleet.runners[name].options.event_s = 0.3
        # The engines of zone-a belong to the second instance, and this one's
        # zone has one engine with one slot.
        await fleet.add_runner('d9', 'llm', 'decode', events=99, event_s=0.1)
        entry = fleet.runners['d9'].entry() | {'zone': 'zone-b', 'slots': 1}
        fleet.store.put('servers/d9', entry)
        gateway, log = Others(fleet, port).start(
            '127.0.0.2', availability_zone=ids.AvailabilityZone('zone-a')
        )
        await fleet.wait_for(
            lambda: any(
                line['divided'] for line in fleet.log.named('shards changed')
            )
        )
        # Until the room of the other shard has been told.
        await anyio.sleep(1.5)
        async with fleet.client() as first, fleet.client() as second:
            await first.send('/ask/1', 'r1', method='POST', **STREAM)
            await fleet.wait_for(
                lambda: bool(fleet.runners['d9'].last_event_ids)
            )
            # In a large fleet gossip rarely reaches one instance.
            monkeypatch.setattr(peers, 'GOSSIP_TARGETS', 0)
            await second.send('/ask/1', 'r2', method='POST', **STREAM)

            def told():
                return {runner for runner, _ in gateway.told_uses()}

            await fleet.wait_for(lambda: bool({'d1', 'd2'} & told()))
            await anyio.sleep(3.2)
            assert {'d1', 'd2'} & told()

    run(
        scenario,
        peer=own,
        seeds=(own,),
        availability_zone=ids.AvailabilityZone('zone-b'),
    )


def test_a_zone_that_only_reads_prompts_is_no_shard(monkeypatch):
    """Its instances would have used all decode runners without telling."""
    monkeypatch.setattr(shards, 'LARGEST_WHOLE', 1)
    monkeypatch.setattr(shards, 'SMALLEST_DIVIDED', 1)
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        await fleet.add_runner('p9', 'llm', 'prefill')
        entry = fleet.runners['p9'].entry() | {'zone': 'zone-b'}
        fleet.store.put('servers/p9', entry)
        Others(fleet, port).start(
            '127.0.0.2', availability_zone=ids.AvailabilityZone('zone-a')
        )
        await fleet.wait_for(lambda: bool(_found(fleet.log)))
        await anyio.sleep(1.5)
        assert not fleet.log.named('shards changed')

    run(
        scenario,
        peer=own,
        seeds=(own,),
        availability_zone=ids.AvailabilityZone('zone-b'),
    )


def test_a_datagram_that_cannot_be_read_is_counted_and_left():
    """Bytes from another sender ended the exchange with peers."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        async with await anyio.create_udp_socket(
            local_host='127.0.0.9'
        ) as socket:
            for data in (b'', b'\xc1', b'\x93\x03\x01\x02', b'{"a": 1}'):
                await socket.sendto(data, '127.0.0.1', port)
        _, second = Others(fleet, port).start('127.0.0.2')
        await fleet.wait_for(lambda: _found(second) == {'127.0.0.1'})
        assert _found(fleet.log) == {'127.0.0.2'}

    run(scenario, peer=own, seeds=(own,))
