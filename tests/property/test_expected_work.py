"""Routing by the expected cost of requests and the outstanding work."""

import random
import statistics

import pytest

from primrosereel import _states as states
from primrosereel.bench import _mixed_costs as mixed_costs
from primrosereel.routing import _expected_work as expected_work
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _runners as runners
from tests import gateway_fleet
from tests.property import test_routing_places as places_tests

EQUAL = (1.0,) * 6
KEY = request_costs.CostKey('api', 'GET /a')


@pytest.mark.parametrize(
    ('target', 'shape'),
    [
        (b'/users/17/posts?x=1', 'GET /users/*/posts'),
        (b'/f/0a1b2c3d4e5f', 'GET /f/*'),
        (b'/v1/feed', 'GET /v1/feed'),
    ],
)
def test_calls_that_differ_in_an_id_are_of_one_kind(target, shape):
    """Guards against a distribution for each user."""
    key = request_costs.call_key('api', b'GET', target)
    assert key == ('api', shape)


def test_cost_has_a_tail_and_follows_changes():
    """Guards against a mean that hides the long calls, or is never left."""
    source = random.Random(1)
    costs = request_costs.RequestCosts(1e-4, 0.05)
    assert costs.expected(KEY, 0.0).mean == 0.05
    for number in range(2000):
        factor = 5.0 if number % 50 == 0 else source.uniform(0.9, 1.1)
        costs.observe(KEY, 0.03 * factor, number / 20)
    cost = costs.expected(KEY, 100.0)
    assert cost.mean == pytest.approx(0.0324, rel=0.03)
    assert cost.p99 > 0.12
    assert cost.rest(0.07) > 2 * cost.mean
    for number in range(4000):
        costs.observe(KEY, 0.3, 100.0 + number / 20)
    assert costs.expected(KEY, 300.0).mean == pytest.approx(0.3, rel=0.02)
    assert costs.expected(KEY, 2000.0).samples == 0.0


def test_kinds_are_bounded():
    """Guards against memory that callers fill with paths."""
    costs = request_costs.RequestCosts(1e-4, 0.05)
    for number in range(1000):
        key = request_costs.CostKey('api', f'{number}')
        costs.observe(key, 0.03, 0.0)
    assert len(costs._kinds) <= request_costs.MAX_KINDS + 1
    assert costs.expected(key, 0.0).mean == pytest.approx(0.03)


def seconds(rule, scenario, seeds):
    """Return the mean and the 99th percentile over the seeds."""
    runs = [
        sorted(
            answer.seconds
            for answer in mixed_costs.simulate(rule, scenario, seed)
        )
        for seed in seeds
    ]
    return (
        statistics.fmean(map(statistics.fmean, runs)),
        statistics.fmean(run[len(run) * 99 // 100] for run in runs),
    )


@pytest.mark.parametrize(
    ('errors', 'speeds'),
    [
        ((1.0,), mixed_costs.SPEEDS),
        ((10.0,), mixed_costs.SPEEDS),
        ((0.1,), mixed_costs.SPEEDS),
        ((0.1, 10.0), mixed_costs.SPEEDS),
        ((0.1, 10.0), EQUAL),
    ],
)
def test_wrong_predictions_are_no_worse_than_the_rule_without(errors, speeds):
    """Guards against a rule that trusts predictions which are wrong by 10.

    All rules get the same calls; the margin is for the tie-breaks.
    """
    seeds = random.Random(str((errors, speeds))).sample(range(1000), 3)
    scenario = mixed_costs.Scenario(
        0.7, errors=errors, duration_s=8.0, speeds=speeds
    )
    today_mean, today_p99 = seconds('expected-completion', scenario, seeds)
    mean, p99 = seconds('expected-work', scenario, seeds)
    assert mean <= 1.05 * today_mean
    assert p99 <= 1.15 * today_p99


def test_call_that_lasts_longer_than_predicted_counts_as_work():
    """Guards against queueing behind calls that should have ended."""
    table = runners.RunnerTable()
    for port, name in enumerate(('r0', 'r1'), 1):
        table.put(places_tests.listing(name, states.Role.PLAIN, port, slots=1))
    placement = expected_work.WorkPlacement(
        table, places_tests.ZONE, random.Random(1)
    )
    elapsed, rests = (0.0, 0.05, 0.1), (0.03, 0.02, 0.12)
    cost = request_costs.Cost(0.03, 0.2, 99.0, 0.03, elapsed, rests)
    for runner, started_at in zip(table, (0.85, 0.99), strict=True):
        runner.in_flight = 1
        runner.calls.append(request_costs.CallInProgress(started_at, cost))
    for _ in range(20):
        chosen = placement.choose(places_tests.SERVICE, (), 1.0, cost)
        assert chosen.runner_id == 'r1'


@pytest.mark.parametrize(('factor', 'runner'), [(4.0, 'd0'), (0.2, 'd1')])
def test_long_outputs_get_the_fast_decode_runner(factor, runner):
    """Guards against long streams at slow runners beside short ones."""
    instance = places_tests.Instance('i1')
    places = expected_work.WorkDecodePlaces(
        instance.table, instance.ledger, places_tests.ZONE, random.Random(1)
    )
    fast, slow = instance.table
    fast.tokens, fast.decode_slowness, slow.decode_slowness = 20_000, 0.8, 1.6
    service = places_tests.model.Service(
        places_tests.SERVICE, '/health', 9, places_tests.ENGINE
    )
    places.set_services({places_tests.SERVICE: service})
    ticket = places_tests.decode_places.Ticket(
        places_tests.SERVICE, 500, 1, 0.0, lambda _: 1.0
    )
    ticket.output_factor = factor
    assert places.choose(ticket, 0.0).runner_id == runner


@pytest.mark.parametrize('policy', ['expected-completion', 'expected-work'])
def test_served_lines_hold_the_inputs_of_decisions(policy):
    """Guards against decisions that cannot be explained afterwards."""

    async def scenario(fleet):
        for number in range(4):
            await fleet.ask('/read/1', f'c{number}')
            await fleet.ask(
                '/ask/1',
                f'r{number}',
                method='POST',
                Token_Usage='400,40',
                Model='m',
            )
        await fleet.wait_for(lambda: len(fleet.log.named('served')) == 8)
        lines = {line['request']: line for line in fleet.log.named('served')}
        assert lines['c3']['cost_samples'] == 3
        assert lines['c3']['expected_s'] > 0
        assert lines['r3']['expected_output'] > 0
        assert lines['r3']['decode_slowness'] == 1.0

    gateway_fleet.run_scenario(scenario, policy=policy)


def test_removed_route_does_not_keep_new_kinds_out():
    """Guards against a full table that learns nothing new."""
    costs = request_costs.RequestCosts(1e-4, 0.05)
    costs.observe(request_costs.CostKey('removed', 'GET /a'), 0.05, 0.0)
    for number in range(2 * request_costs.MAX_KINDS):
        key = request_costs.CostKey('kept', f'GET /{number}')
        costs.observe(key, 0.05, 100.0 + 70.0 * number)
    assert key in costs._kinds
