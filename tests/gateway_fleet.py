"""A gateway on loopback, with stand-ins for the store and the runners."""

import contextlib
import functools
import inspect
import os

import anyio
import anyio.abc
import h11

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.bench import _ports as ports
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _settings as settings
from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from primrosereel.standin import _operator_config as operator_config

__all__ = [
    'Client',
    'ListLog',
    'Reply',
    'configuration',
    'fleet',
    'free_port',
    'run_scenario',
    'use_long_timeouts',
    'with_fleet',
]

HOST = operator_config.HOST
configuration = operator_config.configuration
free_port = ports.free_port
SCENARIO_LIMIT_S = 20.0


class ListLog:
    """A logger that keeps its lines in a list."""

    def __init__(self):
        self.lines = []

    def _line(self, event, **fields):
        self.lines.append({'event': event} | fields)

    debug = info = warning = error = _line

    def named(self, event):
        return [line for line in self.lines if line['event'] == event]


class Reply:
    """A response as the caller received it.

    ``complete`` is set once its end has arrived.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False


class Client:
    """One caller's connection."""

    def __init__(self, address):
        self._address = address
        self._stream = None
        self._parser = None

    async def __aenter__(self):
        self._stream = await anyio.connect_tcp(
            self._address.host, self._address.port
        )
        self._parser = h11.Connection(h11.CLIENT)
        return self

    async def __aexit__(self, *_):
        await anyio.aclose_forcefully(self._stream)

    def encode(self, target, request_id, method='GET', body=b'', **headers):
        """Return a request; dashes in header names are underscores."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        fields = [('Host', HOST), ('Request-Id', request_id)]
        fields += [
            (name.replace('_', '-'), str(value))
            for name, value in headers.items()
        ]
        if body:
            fields.append(('Content-Length', str(len(body))))
        data = self._parser.send(
            h11.Request(method=method, target=target, headers=fields)
        )
        if body:
            data += self._parser.send(h11.Data(data=body))
        return data + self._parser.send(h11.EndOfMessage())

    async def send(self, *request, **headers):
        """Send a request, given as for ``encode``."""
        await self.send_bytes(self.encode(*request, **headers))

    async def send_bytes(self, data):
        """Send a part of an encoded request."""
        await self._stream.send(data)

    def send_at_once(self, *request, **headers):
        """Send a request without giving the event loop a turn."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        os.write(raw.fileno(), self.encode(*request, **headers))

    async def receive(self, until=None):
        """Return the response; stop reading once it contains ``until``."""
        reply = Reply()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await self._stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    data = b''
                try:
                    self._parser.receive_data(data)
                    if not data:
                        self._parser.next_event()
                        return reply
                except h11.RemoteProtocolError:
                    return reply
            elif isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.headers = {
                    n.decode(): v.decode() for n, v in event.headers
                }
            elif isinstance(event, h11.Data):
                reply.body += bytes(event.data)
                if until is not None and until in reply.body:
                    return reply
            elif isinstance(event, h11.EndOfMessage):
                reply.complete = True
                return reply
            else:
                return reply

    async def ask(self, target, request_id, method='GET', body=b'', **headers):
        """Send a request and return its response."""
        await self.send(target, request_id, method, body, **headers)
        return await self.receive()


class Fleet:
    """A gateway, a store and runners that run in one process."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.store = metadata_store.MetadataStore()
        self.runners = {}
        self.log = ListLog()
        self.gateway = None
        self.callers = None
        self.readiness = None

    def client(self):
        return Client(self.callers)

    async def ask(self, target, request_id, **headers):
        """Send a request on a new connection and return its response."""
        async with self.client() as client:
            return await client.ask(target, request_id, **headers)

    async def add_runner(self, name, service, stage=None, **options):
        runner = listed_runner.ListedRunner(
            listed_runner.RunnerOptions(name, service, stage, **options)
        )
        await self.tasks.start(runner.server.serve)
        self.runners[name] = runner
        self.list_runner(name)
        return runner

    def list_runner(self, name, state='ready', **changes):
        entry = self.runners[name].entry(state) | changes
        self.store.put(f'servers/{name}', entry)

    async def start(self, policy=composition.DEFAULT_POLICY, **changes):
        """Start the store and the gateway, and wait until it is ready."""
        await self.tasks.start(self.store.server.serve)
        gateway_settings = make_settings(self, **changes)
        self.callers, self.readiness = (
            gateway_settings.callers,
            gateway_settings.readiness,
        )
        self.gateway = composition.Gateway(
            gateway_settings,
            platform.Dialect(),
            platform.Store,
            self.log,
            composition.Options(policy),
        )
        self.tasks.start_soon(self.gateway.run)
        await self.wait_for(lambda: self.gateway.ready)
        # The listeners open shortly after the first read of the store.
        await self.wait_for(lambda: bool(self.log.named('started')))
        await anyio.sleep(0.05)

    async def wait_until_open(self, address, limit_s=5.0):
        """Wait until a connection to an address is accepted."""
        with anyio.fail_after(limit_s):
            while True:
                try:
                    stream = await anyio.connect_tcp(*address)
                except OSError:
                    await anyio.sleep(0.01)
                    continue
                return await anyio.aclose_forcefully(stream)

    async def wait_for(self, condition, limit_s=5.0):
        with anyio.fail_after(limit_s):
            while not condition():
                await anyio.sleep(0.01)


async def use_long_timeouts(fleet):
    """Let only a stop end requests."""
    config = configuration(version=2)
    for route in config['routes']:
        route['timeoutMs'] = 30_000
    fleet.store.put('op/config', config)
    context = fleet.gateway._context
    await fleet.wait_for(lambda: context.table.version == 2)


def make_settings(fleet, **changes):
    """Return the settings of an instance that uses a fleet's store."""
    defaults = {
        'instance': ids.InstanceId('i1'),
        'availability_zone': ids.AvailabilityZone('zone-a'),
        'callers': model.Address('127.0.0.1', free_port()),
        'readiness': model.Address('127.0.0.1', free_port()),
        'store': model.Address('127.0.0.1', fleet.store.server.port),
        'peer': None,
        'seeds': (),
        'file_descriptors': 1024,
        'memory_bytes': 128_000_000,
        'drain_limit_s': 2.0,
        'runner_drain_s': 0.2,
        'configuration_s': 0.2,
        'stable_window_s': 1.0,
        'lease_s': 1.0,
        'retry_ratio': 0.2,
        'retry_slack': 50.0,
        'retry_window_s': 10.0,
    }
    return settings.GatewaySettings(**(defaults | changes))


def with_fleet(test):
    """Run a test, a coroutine function, with a fleet as its first argument.

    Example::

        @gateway_fleet.with_fleet
        async def test_read(fleet):
            assert (await fleet.ask('/read/1', 'r1')).status == 200
    """

    @functools.wraps(test)
    def run(**arguments):
        run_scenario(lambda fleet: test(fleet, **arguments))

    # pytest asks for the other arguments only.
    signature = inspect.signature(test)
    _, *others = signature.parameters.values()
    run.__signature__ = signature.replace(parameters=others)
    return run


def run_scenario(scenario, **changes):
    """Run a scenario against a fleet; it must end within 20 s."""

    async def main():
        with anyio.fail_after(SCENARIO_LIMIT_S):
            async with fleet(**changes) as running_fleet:
                await scenario(running_fleet)

    anyio.run(main)


@contextlib.asynccontextmanager
async def fleet(**changes):
    """Run a gateway with a prefill, a decode and two plain runners."""
    async with anyio.create_task_group() as tasks:
        running_fleet = Fleet(tasks)
        running_fleet.store.put('op/config', configuration())
        await running_fleet.add_runner('p1', 'llm', 'prefill')
        await running_fleet.add_runner('d1', 'llm', 'decode')
        await running_fleet.add_runner('d2', 'llm', 'decode')
        await running_fleet.add_runner('s1', 'plain')
        await running_fleet.add_runner('s2', 'plain')
        await running_fleet.start(**changes)
        yield running_fleet
        tasks.cancel_scope.cancel()
