"""Authentication of callers by the keys of client accounts."""

import json

import anyio
import pytest

from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from primrosereel.standin import _operator_config as operator_config
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_given_up as given_up
from tests.property import test_gateway_moves as test_moves

Fault = listed_runner.Fault
STREAM = test_gateway.STREAM
KEY, OTHER_KEY, SECOND_KEY = 'k-7b2ex5wa5x', 'k-other9c1', 'k-second4d'
KEYS = {'acme': [KEY, SECOND_KEY], 'other': [OTHER_KEY]}
TOKEN = f'Token {KEY}'
# What a runner is sent apart from callers' requests.
OWN_CALLS = ('/v1/', '/health')


async def use_accounts(fleet, version=2, keys=KEYS, **options):
    """Put a configuration with client accounts into force."""
    config = gateway_fleet.configuration(version)
    config = operator_config.add_accounts(config, keys, **options)
    fleet.store.put('op/config', config)
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.version == version)


async def status(fleet, path='/read/1', **headers):
    return (await fleet.ask(path, 'r1', **headers)).status


def runner_requests(fleet):
    return [q for r in fleet.runners.values() for q in r.requests]


def assert_told(fleet, account='acme'):
    """Check the fields of all requests that runners got; return the number."""
    forwarded = 0
    for request in runner_requests(fleet):
        names = [name for name, _ in request.fields]
        told = [v.decode() for n, v in request.fields if n == b'tenant']
        assert b'authorization' not in names
        assert KEY not in str(request)
        is_own = request.path.startswith(OWN_CALLS)
        is_own = is_own or request.method == 'DELETE'
        assert told == ([] if is_own else [account]), request
        forwarded += not is_own
    return forwarded


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ([f'Authorization: Token {KEY}'], 200),
        ([f'AUTHORIZATION:   tOKEN    {KEY}  '], 200),
        ([f'Authorization: Token {KEY}', 'Tenant: other'], 200),
        ([f'Authorization: Token {KEY}', 'Connection: tenant'], 200),
        ([f'Authorization: Token {KEY}'] * 2, 401),
        (['Authorization: x', f'Authorization: Token {KEY}'], 401),
        ([f'Authorization: Bearer {KEY}'], 401),
        ([f'Authorization: Token\t{KEY}'], 401),
        ([f'Authorization: Token {KEY}, Token {KEY}'], 401),
        ([f'Authorization: Token "{KEY}"'], 401),
        ([f'Authorization: Token{KEY}'], 401),
        ([f'Authorization: {KEY}'], 401),
        (['Authorization: Token'], 401),
        (['Authorization:'], 401),
        ([f'Authorization: Token {"x" * 10_000}'], 401),
        ([f'Proxy-Authorization: Token {KEY}', 'Tenant: acme'], 401),
        ([], 401),
    ],
)
@gateway_fleet.with_fleet
async def test_only_one_well_formed_key_is_accepted(fleet, fields, expected):
    """Guards against keys that are read in two ways, and callers' Tenant."""
    await use_accounts(fleet)
    async with fleet.client() as client:
        data = client.encode('/read/1', 'r1')
        lines = ''.join(f'{field}\r\n' for field in fields).encode()
        start, _, rest = data.partition(b'\r\n')
        await client.send_bytes(start + b'\r\n' + lines + rest)
        reply = await client.receive()
    assert reply.status == expected
    assert reply.headers.get('www-authenticate') == (
        'Token' if expected == 401 else None
    )
    assert assert_told(fleet) == (expected == 200)


@pytest.mark.parametrize('send', ['retry', 'prefill', 'resume', 'hedge'])
@gateway_fleet.with_fleet
async def test_runners_are_told_the_account_with_each_send(fleet, send):
    """Guards against a second send without the account, or with the key."""
    await use_accounts(fleet)
    path = '/read/1' if send == 'retry' else '/ask/1'
    sends = 2
    if send == 'retry':
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.RESET_BEFORE_RUN)
        given_up.make_second_choice(fleet, 's2')
        fleet.runners['s2'].faults.clear()
    elif send == 'resume':
        given_up.make_second_choice(fleet, 'd2')
        fleet.runners['d1'].faults.append(Fault.BREAK_STREAM)
        sends = 3
    elif send == 'hedge':
        given_up.make_second_choice(fleet, 'd2')
        fleet.runners['d1'].options.pause_s = 30.0
        fleet.runners['d1'].faults.append(Fault.PAUSE_STREAM)
        sends = 3
    reply = await fleet.ask(
        path, 'r1', method='POST', Authorization=TOKEN, **STREAM
    )
    assert (reply.status, reply.complete) == (200, True)
    assert assert_told(fleet) >= sends


@gateway_fleet.with_fleet
async def test_moved_stream_goes_on_by_the_version_it_began_with(fleet):
    """Guards against a stream that is cut or renamed by a later version.

    The calls of a move are not the caller's, so they name no account.
    """
    await use_accounts(fleet)
    test_moves.make_streams_long(fleet)
    async with fleet.client() as client:
        await client.send(
            '/once/1', 'r1', method='POST', Authorization=TOKEN, **STREAM
        )
        runners = test_gateway.decode_runners(fleet)
        await fleet.wait_for(
            lambda: any(r.last_event_ids.get('r1', 0) > 2 for r in runners)
        )
        await use_accounts(fleet, 3, {'other': [OTHER_KEY, KEY]})
        await use_accounts(fleet, 4, {'other': [OTHER_KEY]})
        (source,) = [r for r in runners if r.last_event_ids]
        fleet.list_runner(source.options.runner, 'draining')
        reply = await client.receive()
    assert (reply.status, reply.complete) == (200, True)
    assert len(fleet.log.named('stream moved')) == 1
    assert source.moves
    assert assert_told(fleet) >= 3
    assert await status(fleet, Authorization=TOKEN) == 401


@gateway_fleet.with_fleet
async def test_keys_and_public_routes_follow_the_version(fleet):
    """Guards against keys and routes of an older version."""

    forwarded = []

    async def told(path, **headers):
        reply = await fleet.ask(path, 'r1', **headers)
        if reply.status != 200:
            return reply.status
        runner = fleet.runners[reply.headers['instance-signature']]
        forwarded.append(runner.requests[-1])
        return runner.requests[-1].headers.get('tenant')

    # Without accounts, the caller's headers are forwarded as they are.
    assert await told('/read/1', Authorization=TOKEN, Tenant='x') == 'x'
    assert forwarded[-1].headers['authorization'] == TOKEN
    await use_accounts(fleet)
    assert await told('/read/1', Authorization=TOKEN) == 'acme'
    assert await told('/read/1') == 401
    await use_accounts(fleet, 3, {'other': [KEY]}, public=['/read/'])
    assert await told('/file/1', Authorization=TOKEN) == 'other'
    assert await told('/read/1', Authorization=TOKEN) == 'other'
    assert await told('/read/1', Tenant='acme') is None
    unknown = f'Token {SECOND_KEY}'
    assert await told('/read/1', Authorization=unknown) is None
    assert 'authorization' not in forwarded[-1].headers
    assert await told('/file/1', Authorization=unknown) == 401
    await use_accounts(fleet, 4, {})
    assert await told('/read/1', Authorization=TOKEN) == 401
    assert await told('/none/1') == 401
    await use_accounts(fleet, 5)
    assert await told('/none/1', Authorization=TOKEN) == 404


@gateway_fleet.with_fleet
async def test_outdated_configuration_refuses_no_key_for_good(fleet):
    """Guards against 401 for a key that only a newer version has."""
    await use_accounts(fleet)
    context = fleet.gateway._context
    context.peer_versions.observe('127.0.0.9', 3, context.clock())
    reply = await fleet.ask('/read/1', 'r1', Authorization='Token k-new')
    assert (reply.status, 'www-authenticate' in reply.headers) == (503, False)
    assert float(reply.headers['retry-after']) > 0
    assert await status(fleet, Authorization=TOKEN) == 200
    counters = context.metrics._counters
    assert counters['refused.unauthenticated_stale'] == 1
    assert counters['refused.unauthenticated'] == 0
    # A process that has not read a configuration knows of no keys.
    context.table = None
    assert await status(fleet) == 503
    assert await status(fleet, '/none/1', Authorization=TOKEN) == 503


@pytest.mark.parametrize('strict', [True, False])
def test_keys_need_a_confirmed_version_only_if_revocation_is_strict(strict):
    """Guards against a withdrawn key that is accepted for an outage's time."""

    async def scenario(fleet):
        await use_accounts(fleet, public=['/file/'])
        # Quiet watches confirm the version as well.
        await anyio.sleep(1.0)
        assert await status(fleet, Authorization=TOKEN) == 200
        fleet.store.mode = metadata_store.StoreMode.SILENT
        await anyio.sleep(1.0)
        reply = await fleet.ask('/read/1', 'r1', Authorization=TOKEN)
        assert reply.status == (503 if strict else 200)
        assert ('retry-after' in reply.headers) == strict
        assert await status(fleet) == (503 if strict else 401)
        assert await status(fleet, '/file/1') == 200
        counters = fleet.gateway._context.metrics._counters
        assert counters['refused.unconfirmed_version'] == 2 * strict
        fleet.store.mode = metadata_store.StoreMode.UP
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.unconfirmed_s == 0)
        assert await status(fleet, Authorization=TOKEN) == 200

    gateway_fleet.run_scenario(
        scenario, strict_revocation=strict, revoke_s=0.8, stable_window_s=3.0
    )


def test_an_answer_that_is_read_late_confirms_nothing(monkeypatch):
    """Guards against a suspended process that trusts an old answer."""

    async def scenario(fleet):
        await use_accounts(fleet)
        store = fleet.gateway._reader._store
        watch = store.watch
        answers = 0

        async def watch_late(after, _):
            nonlocal answers
            state = await watch(after, 0.0)
            await anyio.sleep(1.2)
            answers += 1
            return state

        monkeypatch.setattr(store, 'watch', watch_late)
        await fleet.wait_for(lambda: answers > 1)
        await anyio.sleep(0.05)
        assert await status(fleet, Authorization=TOKEN) == 503
        monkeypatch.setattr(store, 'watch', watch)
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.unconfirmed_s == 0)

    gateway_fleet.run_scenario(
        scenario, strict_revocation=True, revoke_s=0.8, stable_window_s=3.0
    )


@gateway_fleet.with_fleet
async def test_malformed_account_changes_nothing(fleet):
    """Guards against a mistake that withdraws keys or lets anyone in."""
    await use_accounts(fleet)
    for number, change in enumerate(
        [
            {'tenants': None},
            {'tenants': {}},
            {'tenants': [{'name': 'a'}, {'name': 'a'}]},
            {'tenants': [{'name': 'a\r\nX: 1'}]},
            {'tenants': [{'name': 'a', 'apiKeys': [KEY, 'with space']}]},
            {'tenants': [{'name': 'a', 'apiKeys': [KEY, 9]}]},
            {'tenants': [{'name': n, 'apiKeys': [KEY]} for n in 'ab']},
            {'tenants': [{'name': 'a', 'priority': -1}]},
            {'tenants': [{'name': 'a', 'ratePerS': -1}]},
            {'tenants': [{'apiKeys': [KEY]}]},
        ]
    ):
        config = gateway_fleet.configuration(3 + number) | change
        fleet.store.put('op/config', config)
        await fleet.wait_for(
            lambda n=number: len(fleet.log.named('store entry unusable')) > n
        )
        assert await status(fleet, Authorization=TOKEN) == 200
        assert await status(fleet) == 401
    details = [
        line['detail'] for line in fleet.log.named('store entry unusable')
    ]
    assert all('$.tenants' in detail for detail in details)
    assert KEY not in str(fleet.log.lines)


def test_key_is_in_no_line_metric_or_datagram():
    """Guards against keys that leave the process, also as an open hash."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)
    received = []

    async def scenario(fleet):
        await use_accounts(fleet)
        for path in ('/read/1', '/file/1', '/ask/1', '/none/1'):
            for token in (TOKEN, f'Token {KEY}x', f'Bearer {KEY}'):
                for name in ('s1', 's2'):
                    fleet.runners[name].faults.append(Fault.RESET_BEFORE_RUN)
                await fleet.ask(
                    path, 'r1', method='POST', Authorization=token, **STREAM
                )
        async with fleet.client() as client:
            await client.send_bytes(
                f'GET / HTTP/1.1\r\nAuthorization: {TOKEN}\0\r\n\r\n'.encode()
            )
        await anyio.sleep(1.2)
        metrics, _ = fleet.gateway._context.metrics.render()
        assert b'requests_by_account_total{reason="acme"}' in metrics
        assert KEY.encode() not in metrics
        lines = json.dumps(fleet.log.lines, default=repr)
        assert '"account": "acme"' in lines
        assert KEY not in lines
        assert received
        assert not any(KEY.encode() in data for data in received)

    async def main(fleet):
        peer = await anyio.create_udp_socket(
            local_host='127.0.0.2', local_port=port
        )

        async def receive():
            async with peer:
                async for data, _ in peer:
                    received.append(data)

        fleet.tasks.start_soon(receive)
        await scenario(fleet)

    gateway_fleet.run_scenario(
        main, peer=own, seeds=(model.Address('127.0.0.2', port),)
    )


@gateway_fleet.with_fleet
async def test_request_key_depends_on_the_account_and_not_on_the_key(fleet):
    """Guards against a hash of a key in lines and datagrams.

    It also guards against a quarantine that a second key evades.
    """
    await use_accounts(fleet)
    request_keys = []
    for key in (KEY, SECOND_KEY, OTHER_KEY):
        for name in ('s1', 's2'):
            fleet.runners[name].faults.append(Fault.RESET_AFTER_RUN)
        await fleet.ask('/file/1', 'r1', Authorization=f'Token {key}')
        line = fleet.log.named('attempt failed')[-1]
        request_keys.append(line['request_key'])
    assert request_keys[0] == request_keys[1] != request_keys[2]


@gateway_fleet.with_fleet
async def test_priority_of_the_account_comes_before_that_of_the_route(fleet):
    """Guards against an urgent route that outranks an urgent account."""
    config = gateway_fleet.configuration(2)
    config['routes'][1]['priority'] = 0
    config = operator_config.add_accounts(config, KEYS)
    config['tenants'][0]['priority'] = 3
    config['tenants'][1]['priority'] = 2
    fleet.store.put('op/config', config)
    await fleet.wait_for(lambda: fleet.gateway._context.version == 2)
    sent = []
    for key in (OTHER_KEY, KEY):
        for path in ('/file/1', '/read/1'):
            reply = await fleet.ask(path, 'r1', Authorization=f'Token {key}')
            runner = fleet.runners[reply.headers['instance-signature']]
            sent.append(runner.requests[-1].headers['request-priority'])
    assert sent == ['0', '1', '2', '3']
