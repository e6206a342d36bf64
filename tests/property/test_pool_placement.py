"""Placement: estimates, corrections, polls and dispatched groups."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosereel import _registry as registry
from primrosereel import _states as states
from primrosereel.core import _group_owner as group_owner
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _prefill as prefill
from tests import pool_harness

Stage = states.Stage


@given(
    st.lists(st.tuples(st.floats(0, 1), st.floats(0.01, 0.5)), max_size=8),
    st.floats(0, 0.05),
)
def test_wait_matches_a_naive_queue(work, later):
    """Guards against a wait that differs from that of jobs run in sequence."""
    runner = prefill.PrefillRunner('p', 1000.0)
    now = end = 0.0
    for number, (pause, seconds) in enumerate(work):
        now += pause
        end = max(end, now) + seconds
        runner.start(number, prefill.PrefillJob(now, seconds, 100), now)
        for request, job in list(runner.jobs.items()):
            if job.granted_at + 2 < now:
                runner.abandon(request, now)
                return
    now += later
    done = [j for j in runner.jobs.values() if j.granted_at + j.seconds < now]
    if not done:
        assert runner.wait(0, now) == pytest.approx(max(0, end - now))
    assert runner.wait(0, now) >= max(0, end - now) - 1e-9


@given(st.floats(2, 40))
def test_slow_prefill_raises_estimates_and_recovers(factor):
    """Guards against a slow runner that is never, or forever, avoided."""
    runner = prefill.PrefillRunner('p', 1000.0)
    now = 0.0
    for number in range(4):
        runner.start(number, prefill.PrefillJob(now, 0.1, 100), now)
        now += 0.1 * factor
        runner.finish(number, 0, 0.001 * factor, now)
    assert runner.slowdown(now) > 1 + (factor - 1) / 2
    assert runner.slowdown(now + 100) < 1.1


@given(st.integers(0, 40), st.integers(0, 40), st.floats(0, 2))
def test_report_counts_only_when_newer(busy, free, age_s):
    """Guards against stale reports that undo a grant, and ignored new ones."""
    harness = pool_harness.PoolHarness(
        prefill=1, decode=1, places=20, pieces=40
    )
    harness.start_stream('a')
    granted_at = harness.now
    harness.tick(1.0)
    report = messages.LoadReport(busy, 0, free, age_s=age_s)
    message = messages.LoadReported('g0-d0', report)
    harness.system.receive(message, harness.now)
    runner = harness.group().ledger.decode_runners['g0-d0']
    if harness.now - age_s > granted_at:
        assert runner.free_places(harness.now) == max(0, 20 - busy)
        assert runner.free_pieces(harness.now) == min(38, free)
    else:
        assert runner.free_places(harness.now) == 19
        assert runner.free_pieces(harness.now) == 38


def test_cached_prefix_attracts_requests_and_follows_events():
    """Guards against needless prefills and blocks wrongly expected cached."""
    harness = pool_harness.PoolHarness(
        prefill=3, decode=2, places=9, pieces=90
    )
    hashes = tuple(range(8))
    options = {'prompt_tokens': 4000, 'prefix_hashes': hashes}
    first = harness.start_stream('a', **options).prefill_runner
    second = harness.granted(harness.request_grant('b', **options))['b']
    assert second.prefill_runner == first
    assert '2048 of 4000 tokens cached' in second.explanation
    assert harness.world.explanations['b'] == [second.explanation]
    cache = harness.group().ledger.prefill_runners[first].cache
    cache.add((99,), harness.now)
    events = messages.CacheEventsReceived(first, 0, 0, 3, (), hashes)
    harness.system.receive(events, harness.now)
    assert 0 in cache
    harness.tick(2.0)
    events = messages.CacheEventsReceived(first, 3, 9, 10, (7,), ())
    harness.system.receive(events, harness.now)
    assert 0 not in cache and 99 not in cache and 7 in cache


def test_missing_block_removes_older_blocks():
    """Guards against placement by blocks that the engine has evicted."""
    harness = pool_harness.PoolHarness(
        prefill=1, decode=1, places=9, pieces=90
    )
    cache = harness.group().ledger.prefill_runners['g0-p0'].cache
    cache.add((50,), harness.now - 9)
    cache.add((1, 2), harness.now - 5)
    cache.add((60,), harness.now - 1)
    harness.request_grant('a', prefix_hashes=(1, 2))
    harness.report_progress('a', Stage.PREFILL_DONE, cached_tokens=256)
    assert 50 not in cache
    assert all(block in cache for block in (1, 2, 60))


def test_message_dispatches_only_its_group(monkeypatch):
    """Guards against a cost per message that grows with the groups."""
    harness = pool_harness.PoolHarness(groups=20)
    harness.tick(1.0)
    dispatched = []
    dispatch = group_owner.GroupOwner.dispatch

    def spy(group, now):
        dispatched.append(group.group)
        dispatch(group, now)

    monkeypatch.setattr(group_owner.GroupOwner, 'dispatch', spy)
    harness.request_grant('a', service='s7', group='g7')
    harness.report_progress('a', Stage.PREFILL_DONE, group='g7')
    assert dispatched == ['g7', 'g7']


def test_polls_every_two_seconds_only_for_owned_groups():
    """Guards against two instances that poll the same runners.

    Also guards against a runner that is polled less often than the others.
    """
    harness = pool_harness.PoolHarness(prefill=1, decode=1)
    harness.effects.clear()
    harness.tick(6.05)
    polls = [type(e).__name__ for e in harness.effects]
    assert polls.count('PollLoad') == 6
    assert polls.count('PollCacheEvents') == 3
    polled = [
        e.runner for e in harness.effects if isinstance(e, messages.PollLoad)
    ]
    assert polled in (['g0-p0', 'g0-d0'] * 3, ['g0-d0', 'g0-p0'] * 3)
    harness.set_owner('other')
    harness.effects.clear()
    harness.tick(3.0)
    assert not any(isinstance(e, messages.PollLoad) for e in harness.effects)


def test_direct_choice_takes_only_ready_runners():
    """Guards against direct placement on leaving or suspect runners."""
    harness = pool_harness.PoolHarness(prefill=3, decode=3)
    world = harness.world
    world.runners['g0-p0'].leaving = True
    world.runners['g0-d1'].suspect = True
    chosen = {
        placement.direct_choice(world, 's0', 'g0', ('g0-p1',), None)
        for _ in range(50)
    }
    assert chosen == {('g0-p2', 'g0-d0'), ('g0-p2', 'g0-d2')}
    world.runners['g0-d0'].report = messages.LoadReport(20, 5, 0)
    kv = messages.KvTransfer('h', 'g0-p0', 1, 1)
    chosen = {
        placement.direct_choice(world, 's0', 'g0', (), kv) for _ in range(50)
    }
    assert chosen == {(None, 'g0-d2')}
    excluded = ('g0-d0', 'g0-d1', 'g0-d2')
    assert placement.direct_choice(world, 's0', 'g0', excluded, kv) is None


def test_naive_policy_ignores_load():
    """Guards against a baseline that takes load into account."""
    assert {'reserving', 'naive'} <= set(registry.names('placement'))
    harness = pool_harness.PoolHarness(policy='pool-naive', decode=1, places=1)
    for number in range(5):
        assert harness.granted(harness.request_grant(f'q{number}'))


def test_most_grants_avoid_a_slowed_runner():
    """Guards against a slowed prefill runner that keeps getting work."""
    harness = pool_harness.PoolHarness(
        prefill=3, decode=2, places=400, pieces=4000
    )
    rng = random.Random(3)
    busy = {}
    slow_grants = 0
    for number in range(200):
        harness.tick(rng.expovariate(8.0), step=0.02)
        for name, (until, speed) in list(busy.items()):
            if until <= harness.now:
                del busy[name]
                harness.report_progress(name, Stage.PREFILL_DONE, speed=speed)
        name = f'q{number}'
        for grant in harness.granted(harness.request_grant(name)).values():
            slowed = grant.prefill_runner == 'g0-p1'
            slow_grants += slowed
            speed = 1e-3 if slowed else 1e-4
            busy[name] = harness.now + 1000 * speed, speed
    assert slow_grants <= 10
