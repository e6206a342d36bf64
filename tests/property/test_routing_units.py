"""Routes, retry budget, runner list, plain placement, event streams."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _events as events
from primrosereel.routing import _model as model
from primrosereel.routing import _placement as placement
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _runners as runners
from primrosereel.routing import _table as table_module
from primrosereel.routing import _timeouts as timeouts
from tests.property import test_routing_places as places_tests

SERVICE = ids.ServiceId('plain')


def route(prefix, host='h.example', **changes):
    facts = {
        'name': prefix,
        'host': host,
        'prefix': prefix,
        'kind': model.RouteKind.IDEMPOTENT,
        'services': (model.WeightedService(SERVICE, 1.0),),
        'timeout_s': 1.0,
        'target_s': 0.2,
        'max_attempts': 2,
        'priority': 1,
    }
    return model.Route(**(facts | changes))


@pytest.mark.parametrize(
    ('host', 'path', 'prefix'),
    [
        ('h.example', '/a/b/c', '/a/b/'),
        ('H.example:80', '/a/x', '/a/'),
        ('h.example', '/ab/', None),
        ('other.example', '/a/', None),
    ],
)
def test_the_longest_prefix_of_the_host_matches(host, path, prefix):
    """Guards against requests that are sent to another route's service."""
    table = table_module.RoutingTable(
        1, [route('/a/'), route('/a/b/')], [], model.CallerLimits()
    )
    found = table.match(host, path)
    assert (found.prefix if found else None) == prefix


def test_services_are_picked_by_weight():
    """Guards against a traffic split that ignores the weights."""
    split = route(
        '/',
        services=(
            model.WeightedService(ids.ServiceId('a'), 90),
            model.WeightedService(ids.ServiceId('b'), 10),
        ),
    )
    rng = random.Random(3)
    picked = [table_module.pick_service(split, rng) for _ in range(1000)]
    assert 850 <= picked.count('a') <= 940


@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.floats(0, 40), st.booleans()),
        max_size=300,
    )
)
def test_all_instances_together_keep_the_retry_budget(asks):
    """Guards against retries of all instances beyond a window's bound."""
    ratio, slack, window_s, instances = 0.2, 54.0, 10.0, 7
    budgets = [
        retry_budget.RetryBudget(
            retry_budget.BudgetBounds(ratio, slack, window_s, instances)
        )
        for _ in range(instances)
    ]
    requests, sends = [], []
    for instance, now, is_request in sorted(asks, key=lambda a: a[1]):
        if is_request:
            budgets[instance].count_request(SERVICE, now)
            requests.append(now)
        elif budgets[instance].try_spend(SERVICE, now):
            sends.append(now)
    for end in sends:
        in_window = sum(end - window_s < t <= end for t in sends)
        asked = sum(end - 2 * window_s < t <= end for t in requests)
        assert in_window <= ratio * asked + slack


def test_a_spent_budget_allows_no_second_send():
    """Guards against a budget that never refuses."""
    budget = retry_budget.RetryBudget(
        retry_budget.BudgetBounds(0.2, 14.0, 10.0, 7)
    )
    assert budget.try_spend(SERVICE, 0.0)
    assert not budget.try_spend(SERVICE, 1.0)
    assert budget.try_spend(SERVICE, 10.5)


def entry(name, port=1, **changes):
    changes.setdefault('service', SERVICE)
    return places_tests.listing(name, states.Role.PLAIN, port, **changes)


def test_entries_missing_after_an_outage_are_kept_for_a_while():
    """Guards against the loss of all runners when the store restarts empty."""
    table = runners.RunnerTable()
    listed = runner_list.RunnerList(table)
    listed.store_recovered(0.0)
    listed.apply_snapshot([entry('r1'), entry('r2', 2)], 0.0)
    listed.store_lost(5.0)
    listed.store_recovered(10.0)
    listed.apply_snapshot([entry('r1')], 10.1)
    assert len(table) == 2
    assert listed.remove_missing(11.0) == []
    assert listed.remove_missing(12.1) == ['r2']
    assert [runner.runner_id for runner in table] == ['r1']


def test_an_entry_that_is_back_is_kept():
    """Guards against removal of a runner that registered again in time."""
    table = runners.RunnerTable()
    listed = runner_list.RunnerList(table)
    listed.store_recovered(0.0)
    listed.apply_snapshot([entry('r1')], 0.0)
    listed.store_lost(5.0)
    listed.store_recovered(10.0)
    listed.apply_change(
        runner_list.ListingChange(ids.RunnerId('r1'), None), 10.1
    )
    listed.apply_change(
        runner_list.ListingChange(ids.RunnerId('r1'), entry('r1')), 11.0
    )
    assert listed.remove_missing(13.0) == []
    assert len(table) == 1


def test_a_removed_entry_removes_its_runner_at_once():
    """Guards against requests to a runner whose entry was removed.

    Some runners end without an announcement.
    """
    table = runners.RunnerTable()
    listed = runner_list.RunnerList(table)
    listed.apply_snapshot([entry('r1')], 0.0)
    listed.apply_change(
        runner_list.ListingChange(ids.RunnerId('r1'), None), 5.0
    )
    assert len(table) == 0


@pytest.mark.parametrize(
    'changes', [{'born_ms': 9}, {'port': 7}, {'service': ids.ServiceId('x')}]
)
def test_a_runner_that_started_again_is_a_new_one(changes):
    """Guards against observations of an old run that count for a new one."""
    table = runners.RunnerTable()
    table.put(entry('r1', born_ms=1))
    table.get(ids.RunnerId('r1')).observe_failure(0.0)
    table.put(entry('r1', **({'born_ms': 1} | changes)))
    assert not table.get(ids.RunnerId('r1')).is_suspect(0.1)


def test_a_newer_runner_at_an_address_replaces_the_old_entry():
    """Guards against requests to the entry of a crashed runner.

    The new runner at its address answers them with status 421.
    """
    table = runners.RunnerTable()
    table.put(entry('old', born_ms=1))
    table.put(entry('new', born_ms=2))
    assert [runner.runner_id for runner in table] == ['new']


def test_an_older_runner_does_not_replace_a_newer_one():
    """Guards against a delayed entry that hides the current runner."""
    table = runners.RunnerTable()
    table.put(entry('new', born_ms=2))
    table.put(entry('old', born_ms=1))
    assert table.get(ids.RunnerId('new')) is not None


def plain_fleet():
    table = runners.RunnerTable()
    for number in range(3):
        table.put(entry(f'r{number}', 1 + number, slots=6))
    policy = placement.Placement(table, places_tests.ZONE, random.Random(2))
    return table, policy


def choose(policy, now=0.0, excluded=()):
    return policy.choose(SERVICE, excluded, now)


@pytest.mark.parametrize(
    'spoil',
    [
        lambda runner: runner.observe_failure(0.0),
        lambda runner: runner.observe_rejection(0.0),
        lambda runner: runner.observe_report(model.LoadReport(6, 4, 6), 0.0),
        lambda runner: [runner.observe_error() for _ in range(6)],
        lambda runner: setattr(runner, 'in_flight', 5),
    ],
)
def test_plain_calls_avoid_a_bad_runner(spoil):
    """Guards against equal load on failing, full and healthy runners."""
    table, policy = plain_fleet()
    spoil(table.get(ids.RunnerId('r1')))
    chosen = [choose(policy, 0.05).runner_id for _ in range(50)]
    assert 'r1' not in chosen


def test_calls_go_on_while_all_runners_are_suspect():
    """Guards against a service without calls after one failure each."""
    table, policy = plain_fleet()
    for runner in table:
        runner.observe_failure(0.0)
    assert choose(policy) is not None
    assert choose(policy, excluded={'r0', 'r1', 'r2'}) is None


def test_calls_are_spread_over_equal_runners():
    """Guards against instances that all choose the same runner."""
    _, policy = plain_fleet()
    assert len({choose(policy).runner_id for _ in range(60)}) == 3


EVENTS = [b'id: %d\ndata: t%d\n\n' % (n, n) for n in range(1, 9)]


@given(st.lists(st.integers(1, 40), min_size=1), st.integers(0, 20))
def test_events_are_complete_however_they_are_split(sizes, missing):
    """Guards against an incomplete event that corrupts the stream."""
    whole = b''.join(EVENTS)
    data = whole[: len(whole) - missing]
    splitter = events.EventSplitter()
    found = []
    position = 0
    step = 0
    while position < len(data):
        size = sizes[step % len(sizes)]
        found += splitter.feed(data[position : position + size])
        position += size
        step += 1
    assert found == EVENTS[: len(found)]
    assert b''.join(found) + splitter.incomplete == data


def test_a_resumed_stream_repeats_and_skips_nothing():
    """Guards against missing or repeated events in a resumed stream."""
    progress = events.StreamProgress()
    assert [progress.accept(event) for event in EVENTS[:4]] == [True] * 4
    assert not progress.accept(EVENTS[2])
    with pytest.raises(events.SequenceError):
        progress.accept(EVENTS[6])
    assert progress.last_id == 4


@pytest.mark.parametrize(
    ('lasted_s', 'after_s'), [(0.0, 0.5), (1.2, 1.2), (60.0, 3.0)]
)
def test_retry_after_grows_with_the_outage(lasted_s, after_s):
    """Guards against callers whose only retry falls into the outage."""
    assert timeouts.outage_retry_after_s(lasted_s) == after_s


def test_the_wait_for_a_place_leaves_time_for_the_prefill():
    """Guards against admission of requests that can only be late."""
    asked = route('/', target_s=0.9, gap_target_s=0.3)
    assert timeouts.on_time_wait_s(asked, 0.3) == pytest.approx(0.45)
    assert timeouts.on_time_wait_s(asked, 0.9) < 0
    assert timeouts.place_wait_s(asked) < timeouts.caller_gap_s(asked)
