"""Runners that refuse connections, at a gateway on loopback."""

import collections

import anyio
import pytest

from primrosereel.gateway import _http as http
from tests import gateway_fleet
from tests.property import test_gateway
from tests.property import test_gateway_orders as orders

STREAM = test_gateway.STREAM
PLAIN_RUNNERS = ('s1', 's2')
DECODE_RUNNERS = ('d1', 'd2')


class Connects:
    """Counts the connects to each runner of a fleet."""

    def __init__(self, fleet, monkeypatch):
        self._fleet = fleet
        self._connect = http.connect
        self._open = collections.Counter()
        self.made = collections.Counter()
        self.most_at_once = collections.Counter()
        self.delay_s = 0.0
        # Runners that do not answer connects.
        self.dark = set()
        monkeypatch.setattr(http, 'connect', self._counted)

    async def _counted(self, address, timeout_s, *options):
        port = address.port
        self.made[port] += 1
        self._open[port] += 1
        self.most_at_once[port] = max(
            self.most_at_once[port], self._open[port]
        )
        try:
            await anyio.sleep(self.delay_s)
            if any(port == self._port(name) for name in self.dark):
                await anyio.sleep(timeout_s)
                raise http.ConnectFailed('timeout')
            return await self._connect(address, timeout_s, *options)
        finally:
            self._open[port] -= 1

    def to(self, *names):
        return sum(self.made[self._port(name)] for name in names)

    def at_once(self, *names):
        return max(self.most_at_once[self._port(name)] for name in names)

    def _port(self, name):
        return self._fleet.runners[name].server.port


async def crash(fleet, *names, restart_s=15.0):
    """Crash runners; their entries stay listed."""
    for name in names:
        fleet.runners[name].server.crash(restart_s)
    await anyio.sleep(0.05)


def set_clock(fleet, after_s=0.0):
    """Stop the gateway's clock at a time after now.

    A slow machine then makes no trial due.
    """
    context = fleet.gateway._context
    now = context.clock() + after_s
    context.clock = lambda: now


async def wait_until_listening(fleet, *names):
    for name in names:
        port = fleet.runners[name].server.port
        with anyio.fail_after(5.0):
            while True:
                try:
                    stream = await anyio.connect_tcp('127.0.0.1', port)
                except OSError:
                    await anyio.sleep(0.02)
                else:
                    await stream.aclose()
                    break


async def ask_many(fleet, count, path='/read/1', **options):
    """Send requests at once; return the replies."""
    replies = []

    async def ask(number):
        replies.append(await fleet.ask(path, f'm{number}', **options))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(ask, number)
    return replies


@gateway_fleet.with_fleet
async def test_one_connect_tries_a_plain_runner_that_is_down(
    fleet, monkeypatch
):
    """Guards against requests that each connect to each runner that is down.

    The callers are refused at once, and told when the runners are expected.
    """
    connects = Connects(fleet, monkeypatch)
    await crash(fleet, *PLAIN_RUNNERS)
    set_clock(fleet)
    await fleet.ask('/read/1', 'r0')
    assert connects.to(*PLAIN_RUNNERS) == 2
    for reply in await ask_many(fleet, 30):
        assert reply.status == 503
        assert 1.5 < float(reply.headers['retry-after']) < 3.1
    assert connects.to(*PLAIN_RUNNERS) == 2
    assert {line['reason'] for line in fleet.log.named('refused')} == {
        'no_runner'
    }
    connects.delay_s = 0.1
    set_clock(fleet, after_s=1.05)
    await ask_many(fleet, 30)
    assert connects.to(*PLAIN_RUNNERS) == 4
    assert connects.at_once(*PLAIN_RUNNERS) == 1


@gateway_fleet.with_fleet
async def test_one_connect_tries_a_decode_runner_that_is_down(
    fleet, monkeypatch
):
    """Guards against generations that each connect to each runner."""
    connects = Connects(fleet, monkeypatch)
    await crash(fleet, *DECODE_RUNNERS)
    set_clock(fleet)
    for path in ('/once/1', '/ask/1'):
        for reply in await ask_many(fleet, 10, path, method='POST', **STREAM):
            assert reply.status == 503
    assert connects.to(*DECODE_RUNNERS) <= 20
    connects.made.clear()
    started_at = anyio.current_time()
    for reply in await ask_many(fleet, 20, '/once/1', method='POST', **STREAM):
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 1.5
    assert anyio.current_time() - started_at < 1.0
    assert connects.to(*DECODE_RUNNERS) == 0
    assert not fleet.runners['p1'].requests


@gateway_fleet.with_fleet
async def test_waiting_generations_are_refused_once_all_runners_are_down(
    fleet,
):
    """Guards against requests that wait although no runner takes any."""
    context = fleet.gateway._context
    for name in DECODE_RUNNERS:
        context.runners.get(name).in_flight = 8
    replies = []

    async def ask():
        replies.append(
            await fleet.ask('/once/1', 'r1', method='POST', **STREAM)
        )

    started_at = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ask)
        await fleet.wait_for(lambda: context.places.waiting_count == 1)
        for name in DECODE_RUNNERS:
            context.runners.outages.observe_refusal(
                context.runners.get(name).listing, context.clock()
            )
    assert anyio.current_time() - started_at < 0.6
    assert replies[0].status == 503
    assert float(replies[0].headers['retry-after']) > 1.0


@gateway_fleet.with_fleet
async def test_prompts_go_elsewhere_while_a_prefill_runner_is_down(
    fleet, monkeypatch
):
    """Guards against prompts that each connect to a runner that is down."""
    connects = Connects(fleet, monkeypatch)
    await crash(fleet, 'p1')
    set_clock(fleet)
    for number in range(6):
        reply = await fleet.ask(
            '/once/1', f'r{number}', method='POST', **STREAM
        )
        assert reply.status == 200
    assert connects.to('p1') <= 2


@gateway_fleet.with_fleet
async def test_order_is_no_second_connect_to_a_runner_that_is_down(
    fleet, monkeypatch
):
    """Guards against orders that connect beside requests."""
    connects = Connects(fleet, monkeypatch)
    address = fleet.gateway._context.runners.get('d1').listing.address
    await crash(fleet, 'd1')
    set_clock(fleet)
    for _ in range(4):
        assert not await orders.give_order(fleet, 'd1', address)
    assert connects.to('d1') == 1


@pytest.mark.parametrize('listed', [False, True])
@gateway_fleet.with_fleet
async def test_runner_that_is_back_serves_all(fleet, listed):
    """Guards against a sound runner that is not used.

    The first connect that succeeds opens it for all; an entry of a new run
    does so at once.
    """
    await crash(fleet, *PLAIN_RUNNERS, restart_s=0.8)
    assert (await fleet.ask('/read/1', 'r0')).status == 503
    await wait_until_listening(fleet, *PLAIN_RUNNERS)
    if listed:
        for name in PLAIN_RUNNERS:
            fleet.runners[name].born_ms += 1
            fleet.list_runner(name)
        await fleet.wait_for(
            lambda: not len(fleet.gateway._context.runners.outages)
        )
    else:
        await anyio.sleep(1.05)
        assert (await fleet.ask('/read/1', 'r1')).status == 200
    for reply in await ask_many(fleet, 10):
        assert reply.status == 200


@gateway_fleet.with_fleet
async def test_retry_after_follows_the_outages_that_were_observed(fleet):
    """Guards against callers that return before the runners do."""
    context = fleet.gateway._context
    outages = context.runners.outages
    listings = [context.runners.get(name).listing for name in PLAIN_RUNNERS]
    now = context.clock()
    for listing in listings:
        outages.observe_refusal(listing, now - 6.0)
        outages.observe_return(listing.address, now - 1.0)
    for listing in listings:
        outages.observe_refusal(listing, now)
    reply = await fleet.ask('/read/1', 'r1')
    assert reply.status == 503
    assert 4.8 < float(reply.headers['retry-after']) < 7.6


@gateway_fleet.with_fleet
async def test_dark_runner_costs_its_neighbours_callers_no_time(
    fleet, monkeypatch
):
    """Guards against requests that try a dark runner beside a sound one."""
    connects = Connects(fleet, monkeypatch)
    connects.dark.add('s1')
    for _ in range(3):
        for reply in await ask_many(fleet, 6):
            assert reply.status == 200
    connects.made.clear()
    await ask_many(fleet, 10)
    assert connects.to('s1') <= 1


@gateway_fleet.with_fleet
async def test_service_whose_entries_are_gone_names_a_true_time(fleet):
    """Guards against callers that return each 0.2 s as no runner is listed."""
    for name in (*PLAIN_RUNNERS, *DECODE_RUNNERS):
        fleet.store.delete(f'servers/{name}')
    runners = fleet.gateway._context.runners
    await fleet.wait_for(lambda: len(runners) == 1)
    plain = await fleet.ask('/read/1', 'r1')
    stream = await fleet.ask('/once/1', 'r2', method='POST', **STREAM)
    for reply in (plain, stream):
        assert reply.status == 503
        assert float(reply.headers['retry-after']) >= 0.5


@gateway_fleet.with_fleet
async def test_runner_that_is_gone_is_not_counted_as_down(fleet):
    """Guards against a gauge that stays up after a runner was removed."""
    runners = fleet.gateway._context.runners
    await crash(fleet, 's1', 's2')
    await fleet.ask('/read/1', 'r1')
    assert runners.down_count() == 2
    fleet.store.delete('servers/s1')
    await fleet.wait_for(lambda: runners.down_count() == 1)
