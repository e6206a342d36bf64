"""Requests that come again and crash each runner that begins to run them.

The gateway runs as two instances, which receive such requests in turn, each
time with another request id.
"""

import functools

import anyio
import pytest

from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway_peers

Fault = listed_runner.Fault

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
IDEMPOTENT = ('/read/', {})
NON_IDEMPOTENT = ('/file/', {'method': 'POST', 'body': b'form'})
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
        await fleet.wait_until_open(self._other._settings.callers)
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

    @property
    def runners(self):
        """All runners by name."""
        return self._fleet.runners

    @property
    def log(self):
        """The log of the first instance."""
        return self._fleet.log

    def client(self):
        """Return a caller of the first instance."""
        return self._fleet.client()

    async def wait_for(self, condition):
        await self._fleet.wait_for(condition)

    def slow_down_runners(self, work_s):
        """Have plain runners take this long; return them."""
        plain = [
            runner
            for runner in self._fleet.runners.values()
            if runner.options.stage is None
        ]
        for runner in plain:
            runner.options.work_s = work_s
        return plain

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
        IDEMPOTENT,
        NON_IDEMPOTENT,
        WITHOUT_PARTS,
        NOT_RESUMABLE,
        WITH_SHARED_PART,
    ],
    ids=['idempotent', 'once', 'generation', 'not_resumable', 'shared_part'],
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


def test_crash_of_a_prefill_runner_counts_as_well():
    """Guards against a prompt that takes a prefill runner with each arrival.

    It crashes the decode runner after it, and only that crash was counted.
    """

    async def scenario(site):
        prefill = site.runners['p1']
        prefill.options.deadly_prefill = '/once/deadly'
        for _ in range(CRASHES):
            await site.ask_deadly()
            await anyio.sleep(prefill.options.restart_s + PAUSE_S)
        assert prefill.crashes == 1
        assert site.crashes <= CRASHES

    run(scenario, *NOT_RESUMABLE)


def test_calls_that_live_runners_fail_are_not_blamed():
    """Guards against calls that are refused for errors and lost connections.

    Runners fail the same call with a 500 or a reset, and go on.
    """

    async def scenario(fleet):
        for fault in (Fault.ERROR, Fault.RESET_AFTER_RUN) * 3:
            for name in ('s1', 's2'):
                fleet.runners[name].faults.append(fault)
            reply = await fleet.ask('/read/1', 'r1')
            assert reply.status >= 500
            await anyio.sleep(PAUSE_S)
        assert not fleet.log.named('request suspected of a crash')
        assert (await fleet.ask('/read/1', 'r2')).status == 200

    gateway_fleet.run_scenario(scenario)


def test_calls_at_runners_that_leave_are_not_blamed():
    """Guards against a call that is refused after a planned stop.

    Each runner says that it leaves, and ends while it still has the call.
    """

    async def scenario(fleet):
        for name in ('s1', 's2'):
            fleet.runners[name].options.work_s = 0.5
            fleet.runners[name].options.restart_s = 10.0
        for _ in range(2):
            async with fleet.client() as client:
                await client.send('/file/1', 'r1', 'POST')
                await fleet.wait_for(lambda: bool(running(fleet)))
                (runner,) = running(fleet)
                fleet.list_runner(runner.options.runner, 'draining')
                await fleet.wait_for(
                    lambda runner=runner: (
                        fleet.gateway._context.runners.get(
                            runner.options.runner
                        ).availability.said_leaving
                    )
                )
                runner.server.crash(10.0)
                assert (await client.receive()).status == 502
                runner.requests.clear()
        assert len(fleet.log.named('attempt failed')) == 2
        assert not fleet.log.named('request suspected of a crash')

    def running(fleet):
        plain = (fleet.runners[name] for name in ('s1', 's2'))
        return [r for r in plain if r.requests]

    gateway_fleet.run_scenario(scenario)


@gateway_fleet.with_fleet
async def test_calls_that_lost_a_runner_at_once_share_one_look_at_it(
    fleet, monkeypatch
):
    """Guards against a failed connect for each request that a crash takes.

    A call that is sent after the crash was found is no suspect of it.
    """
    context = fleet.gateway._context
    runner = context.runners.get('s1')
    crash_reports = fleet.gateway._server._crash_reports
    ended_runs = crash_reports._ended_runs
    sent_at = context.clock()
    fleet.runners['s1'].server.crash(10.0)
    found, looks = [], []
    refuses_connections = upstream.refuses_connections

    async def count_look(context, runner):
        looks.append(runner.runner_id)
        return await refuses_connections(context, runner)

    monkeypatch.setattr(upstream, 'refuses_connections', count_look)

    async def look():
        found.append(await ended_runs.has_crashed(runner, sent_at))

    async with anyio.create_task_group() as tasks:
        for _ in range(5):
            tasks.start_soon(look)
    assert found == [True] * 5
    assert looks == ['s1']
    assert not ended_runs._checks
    assert not await ended_runs.has_crashed(runner, context.clock())


def test_call_that_waits_at_a_runner_is_taken_back_when_it_is_refused():
    """Guards against a deadly call that crashes a runner when its turn comes.

    It was sent before the call was known to crash runners.
    """

    async def scenario(site):
        slow = site.slow_down_runners(2.0)
        async with site.client() as client:
            await client.send('/read/deadly', 'early')
            await site.wait_for(lambda: any(r.requests for r in slow))
            site.slow_down_runners(0.01)
            # This instance uses other runners, as it knows that one is in use.
            async with site.client() as other:
                await other.ask('/read/deadly', 'late')
            before = site.crashes
            reply = await client.receive()
        assert reply.status == 502
        (taken_back,) = site.log.named('request taken back')
        assert taken_back['request'] == 'early'
        await anyio.sleep(2.0)
        assert site.crashes == before

    run(scenario, *IDEMPOTENT)


def test_prompt_that_is_prefilled_is_taken_back_when_it_is_refused():
    """Guards against a deadly prompt that crashes a prefill runner as well.

    Its prefill was begun before the prompt was known to crash runners.
    """

    async def scenario(site):
        prefill = site.runners['p1']
        prefill.options.work_s = 2.0
        async with site.client() as client:
            await client.send('/once/deadly', 'early', **GENERATION)
            await site.wait_for(lambda: bool(prefill.requests))
            prefill.options.work_s = 0.01
            while not site.log.named('cause quarantined'):
                await site.ask_deadly()
            before = site.crashes
            reply = await client.receive()
        assert reply.status == 503
        (taken_back,) = site.log.named('request taken back')
        assert taken_back['request'] == 'early'
        assert site.crashes == before

    run(scenario, *NOT_RESUMABLE)


@gateway_fleet.with_fleet
async def test_plain_calls_blame_no_part_of_prompts(fleet):
    """Guards against generations that are refused for what calls crashed.

    The calls had the header that lists the parts of a prompt, as a caller may
    send it with any request.
    """
    prompt = {'Prompt_Prefix': 'system:9,own:9'}
    for name in ('s1', 's2'):
        fleet.runners[name].options.restart_s = 0.1
        fleet.runners[name].on_crash = functools.partial(
            fleet.list_runner, name
        )
        fleet.runners[name].options.deadly_requests = frozenset(
            listed_runner.DeadlyRequest('POST', f'/read/{number}', b'')
            for number in range(3)
        )
    for number in range(3):
        reply = await fleet.ask(
            f'/read/{number}', f'r{number}', method='POST', **prompt
        )
        assert reply.status in (502, 503)
        # Longer than the pause before a runner is tried again.
        await anyio.sleep(1.5)
    assert sum(runner.crashes for runner in fleet.runners.values()) > 2
    reply = await fleet.ask('/ask/1', 'sound', **GENERATION | prompt)
    assert reply.status == 200
