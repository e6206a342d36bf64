"""Input from outside that is nested deeper than a decoder can follow."""

import anyio
import msgspec
import pytest
from returns import pipeline

from primrosereel import platform
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.routing import _model as model
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


def test_nested_datagram_does_not_end_the_exchange_with_peers():
    """Guards against a datagram that restarts all exchange with peers."""
    port = gateway_fleet.free_port()
    version = peer_datagram.DATAGRAM_VERSION
    datagram = peer_datagram.Datagram(version, 'i2', 'z', 1, 1, [], 0, [])
    fields = list(msgspec.structs.astuple(datagram))
    encoded = msgspec.msgpack.encode([*fields, None])
    # The last field is one that a later version of the program may add.
    nested = encoded[:-1] + b'\x91' * DEPTH + b'\xc0'

    async def scenario(fleet):
        async with await anyio.create_udp_socket(
            local_host='127.0.0.2'
        ) as socket:
            for data in (nested, encoded):
                await socket.sendto(data, '127.0.0.1', port)
        await fleet.wait_for(lambda: bool(fleet.log.named('peer found')))
        assert not fleet.log.named('part failed')
        body, _ = fleet.gateway._context.metrics.render()
        assert b'peers_total{reason="unreadable"} 1.0' in body

    run(scenario, peer=model.Address('127.0.0.1', port))


def test_nested_prefill_body_lets_the_decode_runner_prefill(monkeypatch):
    """Guards against a request that fails for a prefill runner's answer."""

    async def scenario(fleet):
        prefill = fleet.runners['p1']
        prefill_once = prefill._prefill

        async def prefill_and_nest(request):
            answer = await prefill_once(request)
            answer.body = NESTED_JSON
            return answer

        monkeypatch.setattr(prefill, '_prefill', prefill_and_nest)
        reply = await fleet.ask(
            '/once/1', 'r1', method='POST', Token_Usage='400,40', Model='m'
        )
        assert prefill.prefills['r1'] == 1
        assert (reply.status, reply.complete) == (200, True)

    run(scenario)
