"""Requests that crash each decode runner that begins to answer them.

The gateway runs as two instances, which receive such requests in turn.
"""

import anyio

from primrosereel.routing import _model as model
from tests import gateway_fleet
from tests.property import test_gateway_peers

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
        peers = test_gateway_peers.OtherInstances(fleet, port)
        other, _ = peers.start('127.0.0.2', stable_window_s=STABLE_WINDOW_S)
        self._other = other
        self._clients = (
            fleet.client(),
            gateway_fleet.Client(other._settings.callers),
        )

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

    async def ask(self, *parts):
        """Send a request with shared parts; return its id and the reply."""
        self._sent += 1
        request_id = f'r{self._sent}'
        client = self._clients[self._sent % 2]
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
