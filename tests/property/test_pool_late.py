"""Scheduling of late requests beside on-time requests."""

from primrosereel import _states as states
from primrosereel.core import _prefill as prefill
from tests import pool_harness

Stage = states.Stage


def _pool_with_late_request(places=40):
    """Return a full group in which one late request waits."""
    harness = pool_harness.PoolHarness(
        decode=1, places=places, pieces=10 * places
    )
    for number in range(places):
        harness.start_stream(f'q{number}')
    assert not harness.granted(harness.request_grant('old'))
    harness.tick(1.0)
    return harness


def _release(harness, name):
    """Release a request; finish the prefill of those granted instead."""
    granted = set(
        harness.granted(harness.report_progress(name, Stage.RELEASED))
    )
    for other in granted:
        harness.report_progress(other, Stage.PREFILL_DONE)
    return granted


def test_late_requests_leave_places_to_on_time_ones():
    """Guards against a backlog of late requests that makes new ones late."""
    harness = _pool_with_late_request()
    harness.request_grant('fresh')
    assert _release(harness, 'q0') == {'fresh'}
    assert _release(harness, 'q1') == set()
    assert _release(harness, 'q2') == set()
    assert harness.granted(harness.request_grant('next'))
    assert _release(harness, 'q3') == set()
    assert _release(harness, 'q4') == {'old'}


def test_late_requests_use_free_places_when_none_is_on_time():
    """Guards against a reserve of free places that nothing will use."""
    harness = _pool_with_late_request()
    harness.tick(2.0)
    assert _release(harness, 'q0') == {'old'}


def test_late_request_is_granted_among_on_time_ones():
    """Guards against late requests that starve under steady new ones."""
    harness = _pool_with_late_request()
    served = []
    for number in range(40):
        harness.tick(0.1)
        harness.request_grant(f'f{number}')
        served.extend(_release(harness, f'q{number}'))
    assert served[0] == 'f0'
    assert 'old' in served


def test_small_requests_do_not_starve_a_large_one():
    """Guards against a large request that never gets enough free pieces."""
    harness = pool_harness.PoolHarness(decode=1, places=3, pieces=10)
    harness.start_stream('a', prompt_tokens=3000)
    harness.start_stream('b', prompt_tokens=3000)
    harness.start_stream('c', prompt_tokens=500, max_tokens=500)
    harness.request_grant('large', prompt_tokens=5000)
    harness.request_grant('small')
    harness.tick(1.0)
    assert _release(harness, 'c') == set()
    assert _release(harness, 'a') == {'large'}


def test_lost_prefill_does_not_count_as_overdue():
    """Guards against a runner avoided until the lease of a lost entry ends."""
    runner = prefill.PrefillRunner('p', 1000.0)
    runner.start('lost', prefill.PrefillJob(0.0, 0.1, 100), 0.0)
    runner.start('next', prefill.PrefillJob(0.3, 0.1, 100), 0.3)
    runner.finish('next', 0, 0.001, 0.4)
    assert runner.wait(0, 0.4) == 0


def test_lateness_includes_the_first_token_margin():
    """Guards against grants that narrowly miss the first token target."""
    harness = _pool_with_late_request(places=2)
    harness.request_grant('edge')
    waiting = harness.group().queue.get('edge')
    # 360 ms less 104 ms prefill, 10 ms transfer, 30 ms for one step and the
    # margin.
    assert not waiting.is_late(harness.now + 0.15)
    assert waiting.is_late(harness.now + 0.2)
