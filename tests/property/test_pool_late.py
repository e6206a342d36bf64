"""Late requests: what they leave to others and what they still get."""

from primrosereel import _states as states
from primrosereel.core import _prefill as prefill
from tests import pool_harness

Stage = states.Stage


def _full_pool(places=40):
    """Return a full group in which one request waits that is late."""
    harness = pool_harness.PoolHarness(
        decode=1, places=places, pieces=10 * places
    )
    for number in range(places):
        harness.serve(f'q{number}')
    assert not harness.granted(harness.ask('old'))
    harness.tick(1.0)
    return harness


def _released(harness, name):
    """Release a request and prefill those that are granted for it."""
    granted = set(harness.granted(harness.progress(name, Stage.RELEASED)))
    for other in granted:
        harness.progress(other, Stage.PREFILL_DONE)
    return granted


def test_late_requests_leave_places_for_those_on_time():
    """Guards against a backlog that makes every later request late."""
    harness = _full_pool()
    harness.ask('fresh')
    assert _released(harness, 'q0') == {'fresh'}
    assert _released(harness, 'q1') == set()
    assert _released(harness, 'q2') == set()
    assert harness.granted(harness.ask('next'))
    assert _released(harness, 'q3') == set()
    assert _released(harness, 'q4') == {'old'}


def test_late_requests_use_free_places_when_none_is_on_time():
    """Guards against places that stay free while requests wait."""
    harness = _full_pool()
    harness.tick(2.0)
    assert _released(harness, 'q0') == {'old'}


def test_a_late_request_gets_a_turn():
    """Guards against late requests that starve behind steady new ones."""
    harness = _full_pool()
    served = []
    for number in range(40):
        harness.tick(0.1)
        harness.ask(f'f{number}')
        served.extend(_released(harness, f'q{number}'))
    assert served[0] == 'f0'
    assert 'old' in served


def test_small_requests_do_not_pass_a_large_one_for_ever():
    """Guards against a large request that never finds enough pieces."""
    harness = pool_harness.PoolHarness(decode=1, places=3, pieces=10)
    harness.serve('a', prompt_tokens=3000)
    harness.serve('b', prompt_tokens=3000)
    harness.serve('c', prompt_tokens=500, max_tokens=500)
    harness.ask('large', prompt_tokens=5000)
    harness.ask('small')
    harness.tick(1.0)
    assert _released(harness, 'c') == set()
    assert _released(harness, 'a') == {'large'}


def test_a_lost_prefill_does_not_make_its_runner_slow():
    """Guards against a runner that is avoided for a lost entry's lease."""
    runner = prefill.PrefillRunner('p', 1000.0)
    runner.start('lost', prefill.PrefillJob(0.0, 0.1, 100), 0.0)
    runner.start('next', prefill.PrefillJob(0.3, 0.1, 100), 0.3)
    runner.finish('next', 0, 0.001, 0.4)
    assert runner.wait(0, 0.4) == 0


def test_a_request_is_late_before_its_estimate_says_so():
    """Guards against grants that miss the first token target narrowly."""
    harness = _full_pool(places=2)
    harness.ask('edge')
    waiting = harness.group().queue.get('edge')
    # 360 ms less 104 ms prefill, 10 ms transfer and 30 ms for one step.
    assert not waiting.is_late(harness.now + 0.15)
    assert waiting.is_late(harness.now + 0.2)
