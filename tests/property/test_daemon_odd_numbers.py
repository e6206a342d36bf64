"""Numbers from the daemon's platform and engines that no sound one sends."""

import json

import anyio
import httpx
import pytest

from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers
from primrosereel.daemon import _platform as platform
from tests.property import fuzzing
from tests.property import test_fuzz_engine as fuzz_engine

HUGE = 10**30
REQUEST = fuzz_engine.REQUEST
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


KV = {'handle': 'h', 'runner': 'p', 'tokens': 9, 'bytes': 9}
PREFILL = messages.StartPrefill(REQUEST, 1, 'p', 'm', '', '', 0, 1.0, 1.0)
LOAD = {'busy': 0, 'queued': 0, 'free_pieces': 1}
EVENTS = {'first': 0, 'next': 1, 'stored': [], 'evicted': []}


def call_engine(method, effect, answer):
    return fuzz_engine._execute(
        fuzz_engine.make_engine_client,
        method,
        effect,
        fuzz_engine._extra_arguments(method),
        fuzz_engine._responder(200, [json.dumps(answer).encode()], False),
    )


@pytest.mark.parametrize('number', [HUGE, -1])
@pytest.mark.parametrize(
    'field', ['busy', 'queued', 'free_pieces', 'backlog_tokens', 'incarnation']
)
def test_load_out_of_range_is_a_failed_poll(field, number):
    """Guards against a place that is counted as free or taken forever."""
    answer = LOAD | {field: number}
    delivered = call_engine('control', messages.PollLoad('d'), answer)
    assert delivered == [messages.LoadFailed('d')]


@pytest.mark.parametrize('field', ['tokens', 'bytes'])
@pytest.mark.parametrize('number', [HUGE, 2**64, -1])
def test_prefill_out_of_range_is_a_failed_prefill(field, number):
    """Guards against a size of a KV cache that peers cannot be told."""
    answer = {'request_id': fuzz_engine.ENGINE_ID, 'kv': KV | {field: number}}
    (message,) = call_engine('prefill', PREFILL, answer)
    assert message == messages.PrefillFailed(
        REQUEST, 1, 'p', states.UpstreamError.PROTOCOL, states.Ran.UNKNOWN
    )


@pytest.mark.parametrize('changes', [{'first': HUGE}, {'next': -1}])
def test_cache_events_out_of_range_are_ignored(changes):
    """Guards against a sequence number that no later event reaches."""
    effect = messages.PollCacheEvents('d', 0)
    assert call_engine('control', effect, EVENTS | changes) == []


def test_fencing_token_out_of_range_is_ignored():
    """Guards against a token that cannot be told to peers."""
    answer = {'role': 'decode', 'fencing_token': HUGE}
    effect = messages.ReadRunnerState('d')
    assert call_engine('control', effect, answer) == []


def test_numbers_in_range_are_delivered():
    """Guards against decoders that refuse every answer."""
    answer = {'request_id': fuzz_engine.ENGINE_ID, 'kv': KV}
    (message,) = call_engine('prefill', PREFILL, answer)
    assert isinstance(message, messages.PrefillDone)
    (message,) = call_engine('control', messages.PollLoad('d'), LOAD)
    assert isinstance(message, messages.LoadReported)
    events = {'stored': [2**64 - 1, 0], 'evicted': [-(2**63)]}
    effect = messages.PollCacheEvents('d', 0)
    (message,) = call_engine('control', effect, EVENTS | events)
    assert message.stored == (2**64 - 1, 0)
    state = {'role': 'decode', 'fencing_token': 3}
    effect = messages.ReadRunnerState('d')
    (message,) = call_engine('control', effect, state)
    assert message.fencing_token == 3
