"""Requests that come again and crash each runner that begins to run them.

The gateway runs as two instances, which receive such requests in turn, each
time with another request id.
"""

import anyio
import pytest

from primrosereel.routing import _model as model
from tests import gateway_fleet
from tests.property import test_gateway_peers

STABLE_WINDOW_S = 0.5
RUNNERS = 6
# The platform's bound: how many requests under which three runners crashed
# may still reach runners.
CRASHES = 3
MAX_REQUESTS_AFTER_CRASHES = 3
PAUSE_S = 0.12

GENERATION = {
    'method': 'POST',
    'body': b'prompt',
    'Token_Usage': '400,40',
    'Model': 'm',
    'Deadline_Ms': 4000,
}
WITHOUT_PARTS = ('/ask/', GENERATION)
NOT_RESUMABLE = ('/once/', GENERATION)
WITH_SHARED_PART = ('/ask/', GENERATION | {'Prompt_Prefix': 'system:9,own:9'})


class Site:
    """Two instances before runners that requests for one target crash."""

    def __init__(self, fleet, port, prefix, request):
        self._fleet = fleet
        self._deadly = f'{prefix}deadly'
        self._prefix = prefix
        self._request = request
        self._sent = 0
        peers = test_gateway_peers.OtherInstances(fleet, port)
        self._other, self.other_log = peers.start(
            '127.0.0.2', stable_window_s=STABLE_WINDOW_S
        )
        self._clients = (
            fleet.client(),
            gateway_fleet.Client(self._other._settings.callers),
        )

    async def wait_until_ready(self):
        fleet = self._fleet
        for number in range(RUNNERS):
            await fleet.add_runner(f'e{number}', 'llm', 'decode')
            await fleet.add_runner(f't{number}', 'plain')
        for name, runner in fleet.runners.items():
            runner.options.deadly_target = self._deadly
            runner.on_crash = lambda name=name: fleet.list_runner(name)
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

    async def ask(self, name):
        """Send a request; return the reply."""
        self._sent += 1
        client = self._clients[self._sent % 2]
        async with client:
            return await client.ask(
                self._prefix + name, f'r{self._sent}', **self._request
            )

    async def ask_deadly(self):
        """Send the crashing request; return the reply and the crashes."""
        before = self.crashes
        reply = await self.ask('deadly')
        return reply, self.crashes - before


def run(scenario, prefix, request):
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def with_site(fleet):
        site = Site(fleet, port, prefix, request)
        await site.wait_until_ready()
        await scenario(site)

    gateway_fleet.run_scenario(
        with_site, peer=own, seeds=(own,), stable_window_s=STABLE_WINDOW_S
    )


@pytest.mark.parametrize(
    ('prefix', 'request_headers'),
    [
        WITHOUT_PARTS,
        NOT_RESUMABLE,
        WITH_SHARED_PART,
    ],
    ids=['generation', 'not_resumable', 'shared_part'],
)
def test_request_that_crashes_runners_is_refused_and_others_are_served(
    prefix, request_headers
):
    """Guards against one request that crashes runner after runner.

    Each arrival went to runners that were still up, at every instance: the
    retry, the caller's repeat under a new id, and later ones.
    """

    async def scenario(site):
        for _ in range(2 * CRASHES):
            if site.crashes >= CRASHES:
                break
            await site.ask_deadly()
            await anyio.sleep(PAUSE_S)
        await anyio.sleep(STABLE_WINDOW_S)
        arrivals = 0
        for number in range(8):
            reply, crashes = await site.ask_deadly()
            arrivals += crashes
            if not crashes:
                assert reply.status == 503
                assert float(reply.headers['retry-after']) > 0
            reply = await site.ask(f'sound{number}')
            assert (reply.status, reply.complete) == (200, True)
            await anyio.sleep(PAUSE_S)
        assert arrivals <= MAX_REQUESTS_AFTER_CRASHES

    run(scenario, prefix, request_headers)
