"""Requests that crash each decode runner that begins to answer them.

The gateway runs as two instances, which receive such requests in turn.
"""

import anyio

from primrosereel import _ids as ids
from primrosereel.routing import _model as model
from primrosereel.routing import blame
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_peers

DEAD = blame.part_cause(ids.PromptPartId('dead'))
STABLE_WINDOW_S = 0.5
DECODE_RUNNERS = 6
# The platform's bound: how many requests with a part under which five runners
# crashed may still reach runners.
CRASHES = 5
MAX_REQUESTS_AFTER_CRASHES = 3
PAUSE_S = 0.12


class Site:
    """Two instances before decode runners that one prompt part crashes."""

    def __init__(self, fleet, port):
        self._fleet = fleet
        self._sent = 0
        self._peers = test_gateway_peers.OtherInstances(fleet, port)
        other = self.start_instance('127.0.0.2')
        self._other = other
        self._clients = (
            fleet.client(),
            gateway_fleet.Client(other._settings.callers),
        )

    def start_instance(self, host):
        """Start another instance of the fleet."""
        gateway, _ = self._peers.start(host, stable_window_s=STABLE_WINDOW_S)
        return gateway

    async def wait_until_ready(self):
        for number in range(DECODE_RUNNERS):
            name = f'e{number}'
            runner = await self._fleet.add_runner(
                name, 'llm', 'decode', deadly_part='dead'
            )
            runner.on_crash = lambda name=name: self._fleet.list_runner(name)
        for name in ('d1', 'd2'):
            self._fleet.runners[name].options.deadly_part = 'dead'
            self._fleet.runners[name].on_crash = lambda name=name: (
                self._fleet.list_runner(name)
            )
        fleet = self._fleet
        await fleet.wait_for(
            lambda: all(
                len(gateway._context.runners) == len(fleet.runners)
                and gateway._context.members
                for gateway in (fleet.gateway, self._other)
            )
        )

    @property
    def crashes(self):
        return sum(r.crashes for r in self._fleet.runners.values())

    def decode_arrivals(self, request_id):
        """Return how many decode runners a request reached."""
        return sum(
            request.headers.get('request-id') == request_id
            for runner in self._fleet.runners.values()
            if runner.options.stage == 'decode'
            for request in runner.requests
        )

    async def ask(self, *parts, client=None):
        """Send a request with shared parts; return its id and the reply."""
        self._sent += 1
        request_id = f'r{self._sent}'
        client = client or self._clients[self._sent % 2]
        prefix = ','.join(f'{part}:100' for part in (*parts, request_id))
        async with client:
            return request_id, await client.ask(
                '/ask/1',
                request_id,
                method='POST',
                Token_Usage='400,40',
                Model='m',
                Deadline_Ms=4000,
                Prompt_Prefix=prefix,
            )


def test_part_that_crashes_runners_is_refused_and_others_are_served():
    """Guards against requests of one kind that crash runner after runner.

    Each such request went to a runner that was still up, at every instance.
    Requests that share all other parts must still be served.
    """
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        site = Site(fleet, port)
        await site.wait_until_ready()
        for _ in range(2 * CRASHES):
            if site.crashes >= CRASHES:
                break
            await site.ask('system', 'dead')
            await site.ask('system', 'other')
            await anyio.sleep(PAUSE_S)
        await anyio.sleep(STABLE_WINDOW_S)
        arrivals = 0
        for _ in range(8):
            request_id, reply = await site.ask('system', 'dead')
            arrivals += site.decode_arrivals(request_id)
            if not site.decode_arrivals(request_id):
                assert reply.status == 503
                assert float(reply.headers['retry-after']) > 0
            request_id, reply = await site.ask('system', 'other')
            assert (reply.status, reply.complete) == (200, True)
            assert site.decode_arrivals(request_id) == 1
            await anyio.sleep(PAUSE_S)
        assert arrivals <= MAX_REQUESTS_AFTER_CRASHES

    gateway_fleet.run_scenario(
        scenario, peer=own, seeds=(own,), stable_window_s=STABLE_WINDOW_S
    )


def test_sound_prompt_with_the_body_of_deadly_ones_is_served():
    """Guards against sound prompts that are refused for two deadly parts.

    All have the same path and body, and differ in the header with the parts.
    """
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        site = Site(fleet, port)
        await site.wait_until_ready()
        for part in ('dead', 'second'):
            for runner in fleet.runners.values():
                runner.options.deadly_part = part
            await site.ask(f'before-{part}', part)
            await anyio.sleep(4 * PAUSE_S)
        assert site.crashes > 2
        _, reply = await site.ask('other')
        assert (reply.status, reply.complete) == (200, True)

    gateway_fleet.run_scenario(
        scenario, peer=own, seeds=(own,), stable_window_s=STABLE_WINDOW_S
    )


def test_instance_that_starts_refuses_what_its_peers_refuse():
    """Guards against a restart that sends a deadly prompt to runners again."""
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        site = Site(fleet, port)
        await site.wait_until_ready()
        while not fleet.log.named('cause quarantined'):
            await site.ask('system', 'dead')
            await anyio.sleep(PAUSE_S)
        started = site.start_instance('127.0.0.3')
        await fleet.wait_for(lambda: started.ready)
        await fleet.wait_for(
            lambda: bool(started._context.quarantine.crash_count(DEAD))
        )
        client = gateway_fleet.Client(started._settings.callers)
        request_id, reply = await site.ask('system', 'dead', client=client)
        assert reply.status == 503
        assert site.decode_arrivals(request_id) == 0

    gateway_fleet.run_scenario(
        scenario, peer=own, seeds=(own,), stable_window_s=STABLE_WINDOW_S
    )


def test_connections_that_live_runners_lose_blame_no_prompt():
    """Guards against prompts that are refused because of a faulty network.

    Each stream with the part is reset before its first event, by runners that
    go on accepting connections.
    """

    async def scenario(fleet):
        for _ in range(4):
            for runner in test_gateway.decode_runners(fleet):
                runner.faults.append(listed_runner.Fault.RESET_BEFORE_RUN)
            await fleet.ask(
                '/ask/1',
                'r1',
                method='POST',
                Prompt_Prefix='system:100,r1:300',
                **test_gateway.STREAM,
            )
            await anyio.sleep(PAUSE_S)
        assert len(fleet.log.named('attempt failed')) >= 4
        assert not fleet.log.named('request suspected of a crash')

    gateway_fleet.run_scenario(scenario)
