"""The speeds of runners that all instances observe together."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.routing import _decode_speed as decode_speed
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners
from tests.property import test_gateway_odd_datagrams as datagrams_tests
from tests.property import test_routing_places as places_tests

DECODE = runner_speeds.Phase.DECODE
D0, D1 = ids.RunnerId('d0'), ids.RunnerId('d1')


def speeds_of(*names, born_ms=1):
    table = runners.RunnerTable()
    for number, name in enumerate(names):
        table.put(places_tests.listing(name, port=1 + number, born_ms=born_ms))
    return table, runner_speeds.RunnerSpeeds(table)


def observe(speeds, runner_id, slowness, count=1, now=0.0):
    for _ in range(count):
        speeds.observe(runner_id, DECODE, 0.01, 0.01 * slowness, now)


def test_few_or_old_observations_say_little():
    """Guards against a runner that is avoided after a single slow stream."""
    _, speeds = speeds_of('d0', 'd1')
    observe(speeds, D0, 1.6)
    observe(speeds, D1, 1.6, 30)
    assert speeds.slowness(D0, DECODE, 0.0) < 1.25
    assert speeds.slowness(D1, DECODE, 0.0) == pytest.approx(1.6, rel=0.05)
    assert speeds.slowness(D1, DECODE, 60.0) < 1.6
    assert speeds.slowness(D1, DECODE, 1000.0) == 1.0


def test_started_instance_knows_speeds_and_counts_none_twice():
    """Guards against an instance that starts without the speeds.

    Its peers tell the same observations with each heartbeat.
    """
    table, new = speeds_of('d0')
    for peer in range(6):
        _, speeds = speeds_of('d0')
        observe(speeds, D0, 1.6)
        notices = peer_datagram.encode_speeds(speeds.told(0.5))
        for _ in range(5):
            reports = peer_datagram.decode_speeds(notices)
            new.learn(ids.InstanceId(f'i{peer}'), reports, 0.5)
    assert new.told(0.5) == []
    new.refresh(0.5)
    assert 1.35 < table.get(D0).decode_slowness < 1.5


def test_observations_of_an_ended_run_are_dropped():
    """Guards against a speed that outlives the run of its runner."""
    table, speeds = speeds_of('d0')
    _, peer = speeds_of('d0')
    observe(peer, D0, 3.0, 20)
    told = peer.told(0.0)
    speeds.learn(ids.InstanceId('i2'), told, 0.0)
    observe(speeds, D0, 3.0, 20)
    assert table.get(D0).decode_slowness > 2.5
    table.put(places_tests.listing('d0', born_ms=2))
    speeds.refresh(1.0)
    speeds.learn(ids.InstanceId('i2'), told, 1.0)
    speeds.refresh(5.0)
    assert table.get(D0).decode_slowness == 1.0
    assert speeds.told(5.0) == []


@hypothesis.given(
    strategies.floats(0, 1e15), strategies.floats(0, 1e15), strategies.floats()
)
def test_nonsense_of_a_peer_is_clamped(slowness, samples, age_s):
    """Guards against a peer whose numbers make a runner unusable."""
    table, speeds = speeds_of('d0')
    report = runner_speeds.SpeedReport(D0, 1, DECODE, slowness, samples, age_s)
    speeds.learn(ids.InstanceId('i2'), [report], 1.0)
    assert 0.3 <= speeds.slowness(D0, DECODE, 1.0) <= 8.0


def test_told_runners_are_bounded():
    """Guards against datagrams that grow with the fleet."""
    names = [f'd{number}' for number in range(200)]
    _, speeds = speeds_of(*names)
    for name in names:
        observe(speeds, ids.RunnerId(name), 1.2)
    assert len(speeds.told(0.0)) == runner_speeds.MAX_REPORTS
    assert speeds.told(10.0, with_all=False) == []


def test_slow_runner_is_told_from_a_loaded_one():
    """Guards against runners that seem slow since they have more requests."""
    source = random.Random(3)
    table, speeds = speeds_of('d0', 'd1')
    usual = decode_speed.DecodeSpeed(speeds)
    for number in range(200):
        busy, slow = number % 2, number % 4 == 0
        requests = 40 if busy else 5
        step_s = (0.004 + 1e-4 * requests) * source.uniform(0.95, 1.05)
        usual.observe(table.get(D1), requests, step_s, number / 4)
        if slow:
            usual.observe(table.get(D0), 5, 1.6 * step_s, number / 4)
    ratio = table.get(D0).decode_slowness / table.get(D1).decode_slowness
    assert ratio == pytest.approx(1.6, rel=0.15)


def test_pauses_and_slow_callers_do_not_make_a_runner_slow():
    """Guards against a sound runner that seems slow after one silence."""
    pace = decode_speed.EventPace()
    for number in range(40):
        now = 0.01 * number + (1.3 if number > 20 else 0.0)
        pace.observe(1, now, now + 1e-4)
    assert pace.event_s() == pytest.approx(0.01, rel=0.02)
    pace.observe(1, 2.0, 3.0)
    assert pace.event_s() is None


def placements(seed, slowness, speeds=(1.0, 1.0, 1.0)):
    """Return the runners of some requests; each slowness applies to one."""
    source = random.Random(seed)
    instance = places_tests.Instance('i1', decode=3)
    for runner, factor in zip(instance.table, speeds, strict=True):
        runner.decode_slowness = factor
    if slowness is not None:
        instance.places._cost = slowness(instance.places)
    chosen, tickets = [], []
    for number in range(60):
        ticket = instance.submit(source.randint(500, 9000), number / 10)
        chosen.append(ticket.runner and ticket.runner.runner_id)
        tickets.append(ticket)
        if source.random() < 0.7:
            instance.places.release(
                tickets.pop(source.randrange(len(tickets)))
            )
    return chosen


def _cost_without_speeds(places):
    """Return the cost of a decode place before speeds were known."""

    def cost(runner, ticket, now):
        use: ledger_module.Use = places._memory.use(runner, now)
        cost = (use.tokens + ticket.tokens) / places._memory.capacity(runner)
        cost += use.requests / runner.listing.slots
        return cost + 0.02 * places._random.random()

    return cost


@pytest.mark.parametrize('seed', range(10))
def test_equally_fast_runners_are_chosen_as_before(seed):
    """Guards against other decisions where all runners are equally fast."""
    before = placements(seed, _cost_without_speeds)
    assert placements(seed, None) == before


def test_slow_runner_keeps_a_share():
    """Guards against a slow runner that gets no requests, or too many."""
    chosen = placements(1, None, (0.6, 1.0, 1.6))
    counts = [chosen.count(ids.RunnerId(f'd{n}')) for n in range(3)]
    assert counts[0] > counts[1] > counts[2] > 0


def test_prefill_runner_is_chosen_by_what_peers_observed():
    """Guards against a new instance that sends prompts to slow runners."""
    table = runners.RunnerTable()
    for number, name in enumerate(('p0', 'p1')):
        table.put(
            places_tests.listing(
                name, states.Role.PREFILL, port=1 + number, born_ms=1
            )
        )
    speeds = runner_speeds.RunnerSpeeds(table)
    plan = places_tests.prefill_plan.PrefillPlan(
        table, ledger_module.Ledger(), places_tests.ZONE, speeds
    )
    table.put(places_tests.listing('d0', port=9))
    report = runner_speeds.SpeedReport(
        ids.RunnerId('p0'), 1, runner_speeds.Phase.PREFILL, 1.6, 9.0, 1.0
    )
    speeds.learn(ids.InstanceId('i2'), [report], 0.0)
    chosen = plan.choose(table.get(D0), 5000, 0.0)
    assert chosen.runner_id == 'p1'


def test_instances_tell_each_other_over_the_network():
    """Guards against speeds that a datagram leaves out or nobody reads."""

    async def scenario(fleet, peer):
        table = fleet.gateway._context.runners
        born_ms = table.get(ids.RunnerId('d1')).listing.born_ms
        await peer.send(speeds=[('d1', born_ms, 'decode', 1600, 2000, 10)])
        await fleet.wait_for(
            lambda: table.get(ids.RunnerId('d1')).decode_slowness > 1.4
        )
        for number in range(9):
            reply = await fleet.ask(
                '/ask/1', f'r{number}', **datagrams_tests.STREAM
            )
            assert reply.status == 200
        told = []
        while not any(phase == 'prefill' for _, _, phase, *_ in told):
            told = (await peer.receive()).speeds

    datagrams_tests.run_with_peer(scenario, high_contention=True)
