"""Numbers from the daemon's platform and engines that no sound one sends."""

import json

import anyio
import httpx
import pytest

from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers
from primrosereel.daemon import _platform as platform
from tests.property import fuzzing

HUGE = 10**30
LIST = {
    'revision': 2,
    'as_of': fuzzing.EPOCH,
    'instances': [
        {
            'instance': name,
            'incarnation': 1,
            'region': 'r',
            'availability_zone': 'z',
            'address': f'10.0.0.2:{number}',
        }
        for number, name in enumerate(('n1', 'n2'), 1)
    ],
}


def call_platform(adapter, method, response, *arguments):
    """Return what an adapter of the platform delivers for a response."""
    delivered = []

    async def run():
        transport = httpx.MockTransport(lambda _: response)
        async with httpx.AsyncClient(transport=transport) as client:
            call = getattr(adapter(client, 'http://p'), method)
            await call(*arguments, delivered.append)

    anyio.run(run)
    return delivered


def read_list(**changes):
    body = json.dumps(LIST | changes)
    response = httpx.Response(200, content=body.encode())
    return call_platform(platform.HttpInstanceList, 'read', response)


def watch(revision):
    response = httpx.Response(
        200, content=b'{}', headers={'X-Revision': revision}
    )
    return call_platform(
        platform.HttpConfigurationService,
        'watch',
        response,
        messages.WatchConfiguration(1, 1.0),
    )


def instances(**changes):
    return [LIST['instances'][0], LIST['instances'][1] | changes]


@pytest.mark.parametrize(
    'changes',
    [
        {'revision': HUGE},
        {'revision': -1},
        {'instances': instances(incarnation=HUGE)},
        {'instances': instances(incarnation=2**64)},
        {'instances': instances(incarnation=-1)},
        {'as_of': -1.0},
        {'as_of': 1e300},
    ],
)
def test_instance_list_out_of_range_is_not_used(changes):
    """Guards against a list that no daemon can tell its peers of.

    No later list replaces one with a huge revision.
    """
    core = fuzzing.make_core(peers=('n2',))
    now = 1.0
    for message in [*read_list(**changes), *read_list()]:
        for _ in range(3):
            now += 1.0
            effects = core.handle(message, now, fuzzing.EPOCH + now)
            effects += core.tick(now, fuzzing.EPOCH + now)
            for effect in effects:
                if isinstance(effect, messages.SendPeer):
                    peers.encode(peers.Envelope('n1', 1, [effect.message]))
    assert core.world.listing.revision == 2
    assert read_list(**changes) == []


@pytest.mark.parametrize('revision', ['-5', '1_0', '1' + '0' * 30, '٣', ''])
def test_revision_of_a_configuration_out_of_range_is_a_failed_read(revision):
    """Guards against a text that no later one replaces."""
    (message,) = watch(revision.encode())
    assert message == messages.ConfigurationFailed()


def test_revision_of_a_configuration_in_range_is_read():
    """Guards against a service whose texts are never used."""
    assert watch('7') == [messages.ConfigurationRead(7, b'{}')]
