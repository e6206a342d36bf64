"""Straggler detection in fleets of even and uneven speed."""

from hypothesis import given
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _stragglers as stragglers
from tests import entry_model

RUNNERS = entry_model.PREFILLS
SPEEDS = st.lists(
    st.floats(1.0, 2.5), min_size=len(RUNNERS), max_size=len(RUNNERS)
)


def _observe(system, runner, speed, now):
    progress = messages.Progress(
        ids.RequestId('entry-2.1.1'),
        1,
        ids.GroupId('g1'),
        states.Stage.PREFILL_DONE,
        runner,
        speed=speed,
    )
    system.receive(messages.FromPeer('entry-2', 1, progress), now)


def _suspects(world):
    return [n for n in RUNNERS if world.runners[n].suspect]


@given(SPEEDS, st.sampled_from((0.001, 1.0, 50.0)))
def test_even_fleet_has_no_suspects(speeds, scale):
    """Guards against suspects in a fleet that is slow but even."""
    world = entry_model.make_world()
    system = stragglers.StragglersSystem(world)
    for round_number in range(30):
        for runner, speed in zip(RUNNERS, speeds, strict=True):
            _observe(system, runner, speed * scale, round_number)
        system.run(round_number)
    assert _suspects(world) == []


@given(st.sampled_from(RUNNERS), st.floats(4.0, 7.0))
def test_slow_runner_is_suspected_and_recovers(slow, factor):
    """Guards against a straggler that keeps its work or never recovers."""
    world = entry_model.make_world()
    system = stragglers.StragglersSystem(world)
    for count in range(30):
        for runner in RUNNERS:
            speed = factor if runner == slow else 1.0
            _observe(system, runner, speed, count / 100)
    assert _suspects(world) == [slow]
    system.run(1.5)
    assert _suspects(world) == [] and world.runners[slow].probing
    stragglers.end_probe_window(world, slow)
    assert _suspects(world) == [slow]
    _observe(system, slow, 1.0, 1.7)
    system.run(2.0)
    assert _suspects(world) == []
    _observe(system, slow, factor, 2.1)
    assert _suspects(world) == [slow]


@given(st.sampled_from(RUNNERS))
def test_one_extreme_prefill_makes_a_runner_suspect(slow):
    """Guards against a stalled runner that is detected after ten reports."""
    world = entry_model.make_world()
    system = stragglers.StragglersSystem(world)
    for runner in RUNNERS:
        _observe(system, runner, 1.0, 0.0)
    _observe(system, slow, 9.0, 0.1)
    assert _suspects(world) == [slow]


@given(st.permutations(RUNNERS))
def test_at_most_a_third_is_suspect(order):
    """Guards against an outage caused by the detection itself."""
    world = entry_model.make_world()
    system = stragglers.StragglersSystem(world)
    for runner in RUNNERS:
        _observe(system, runner, 1.0, 0.0)
    for count in range(20):
        for number, runner in enumerate(order):
            _observe(system, runner, 100.0 ** (number + 1), count / 100)
            assert len(_suspects(world)) <= 1
