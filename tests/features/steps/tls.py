"""Steps that run TLS servers in the test process on free loopback ports."""

import contextlib
import hashlib
import pathlib
import ssl
import tempfile

import anyio
from behave import given
from behave import then
from behave import when
import grpc.aio
import httpx
import trustme

from primrosereel import settings as settings_module
from primrosereel.bench import _ports as ports_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _clock as clock
from primrosereel.daemon import _composition as composition
from primrosereel.daemon import _peers as peers

HEARTBEAT = messages.Heartbeat(1, 1, 1.0)
REPLY = messages.Heartbeat(2, 1, 1.0, reply=True)
TOKEN = 'token'
# A port must answer within this many attempts, 0.05 s apart.
CONNECT_ATTEMPTS = 200


def _authority(context, name):
    if not hasattr(context, 'authorities'):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.folder = pathlib.Path(folder.name)
        context.authorities = {}
    if name not in context.authorities:
        context.authorities[name] = trustme.CA()
    return context.authorities[name]


def _tls(context, *names, issuer='ours'):
    """Issue a certificate; return the settings that use it."""
    issued = _authority(context, issuer).issue_cert(*names)
    stem = context.folder / f'{issuer}-{names[0]}'
    paths = [stem.with_suffix(s) for s in ('.pem', '.key', '.ca')]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    _authority(context, 'ours').cert_pem.write_to_path(paths[2])
    return settings_module.Tls(*map(str, paths))


def _without_certificate(context):
    """Return a transport that trusts the authority but has no certificate."""
    trusted = _authority(context, 'ours').cert_pem.bytes()

    class Transport(peers.GrpcPeerTransport):
        """Opens channels without a client certificate."""

        def _channel(self, peer, address):
            return grpc.aio.secure_channel(
                address,
                grpc.ssl_channel_credentials(trusted),
                (('grpc.ssl_target_name_override', peer),),
            )

    return Transport, None


def _transport(context, case):
    if case == 'no certificate':
        return _without_certificate(context)
    tls = {
        'no encryption': lambda: None,
        'its own certificate': lambda: _tls(context, 'entry-1'),
        "another authority's certificate": lambda: _tls(
            context, 'entry-1', issuer='another'
        ),
        "another instance's certificate": lambda: _tls(context, 'entry-9'),
    }[case]()
    return peers.GrpcPeerTransport, tls


async def _exchange(server_tls, transport_class, tls):
    """Send one message; return what each side received."""
    received = []
    delivered = []
    ended = anyio.Event()

    def exchange(envelope):
        received.extend(envelope.messages)
        return [REPLY]

    def deliver(message):
        delivered.append(message)
        ended.set()

    server = peers.PeerServer('entry-2', 1, exchange, server_tls)
    port = await server.start('127.0.0.1:0')
    async with anyio.create_task_group() as tasks:
        transport = transport_class(
            'entry-1', 1, tasks, clock.SystemClock(), deliver, tls
        )
        transport.send('entry-2', f'127.0.0.1:{port}', (HEARTBEAT,))
        await ended.wait()
        await transport.close()
    await server.stop(0)
    return received, delivered


@given('tls: a peers\' port whose certificate names "{name}"')
def given_port(context, name):
    """Issue the server's certificate."""
    context.server_tls = _tls(context, name)


@when('tls: "entry-1" sends to "entry-2" with {case}')
def send(context, case):
    """Send one message from the transport of the case."""
    transport_class, tls = _transport(context, case)
    context.received, context.delivered = anyio.run(
        _exchange, context.server_tls, transport_class, tls
    )


@then(
    'tls: the server received {count:d} messages and the sender got {outcome}'
)
def check_exchange(context, count, outcome):
    """Compare what each side received."""
    assert context.received == [HEARTBEAT] * count, context.received
    expected = {
        'reply': messages.FromPeer('entry-2', 1, REPLY),
        'failure': messages.PeerFailed('entry-2', (HEARTBEAT,)),
    }[outcome]
    assert context.delivered == [expected], context.delivered


@given('tls: a daemon with a certificate for callers')
def given_daemon(context):
    """Run a daemon; record the responses that the steps compare."""
    tls = _tls(context, '127.0.0.1')
    ports = [f'127.0.0.1:{ports_module.free_port()}' for _ in range(4)]
    unreachable_url = f'http://{ports[3]}'
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    settings = settings_module.Settings(
        'entry-1',
        'r',
        'z',
        settings_module.Callers(
            ports[0], settings_module.Tls(tls.certificate, tls.key)
        ),
        settings_module.Operators(ports[1], digest),
        settings_module.Peers(ports[2]),
        settings_module.Platform(unreachable_url, unreachable_url),
        settings_module.Drain(grace_s=0),
    )
    trusted = ssl.create_default_context(cafile=tls.authority)
    anyio.run(_run_daemon, context, settings, trusted)


async def _run_daemon(context, settings, trusted):
    context.stopped = False
    context.https = context.http = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(composition.serve, settings)
        async with httpx.AsyncClient(verify=trusted) as client:
            callers = settings.callers.address
            context.https = await _get(client, f'https://{callers}/v1/models')
            with contextlib.suppress(httpx.HTTPError):
                context.http = await client.get(f'http://{callers}/v1/models')
            operators = settings.operators.address
            await _get(client, f'http://{operators}/livez')
            await client.post(
                f'http://{operators}/drain',
                headers={'authorization': f'Bearer {TOKEN}'},
            )
    context.stopped = True


async def _get(client, url):
    for _ in range(CONNECT_ATTEMPTS):
        with contextlib.suppress(httpx.ConnectError):
            return await client.get(url)
        await anyio.sleep(0.05)
    raise AssertionError(f'no connection to {url} within the time limit')


@then('tls: a request over https is answered with {status:d}')
def check_https(context, status):
    """Compare the status."""
    assert context.https.status_code == status, context.https


@then('tls: a request over http is not answered')
def check_http(context):
    """Check that there was no response."""
    assert context.http is None, context.http


@then('tls: the daemon stops when it is drained')
def check_stopped(context):
    """Check that the daemon's task ended without being cancelled."""
    assert context.stopped
