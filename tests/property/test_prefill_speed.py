"""The observed speed of prefill runners."""

import random

import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _prefill_speed as prefill_speed
from primrosereel.routing import _runners as runners
from tests.property import test_routing_places as places_tests


def prompts(count, seed=1):
    """Return prompt sizes that differ as those of real requests do."""
    source = random.Random(seed)
    return [int(source.uniform(1_000, 11_000)) for _ in range(count)]


@pytest.mark.parametrize('fixed_s', [0.0, 0.02, 0.12, 0.4])
@pytest.mark.parametrize('token_s', [6.0e-6, 1.8e-5, 6.0e-5])
def test_speed_is_learned_at_any_site(fixed_s, token_s):
    """Guards against constants of one deployment's engines.

    With a fixed time that was six times too long, a prefill runner seemed to
    be three times as fast as it was, and was taken away on a quiet day.
    """
    speed = prefill_speed.PrefillSpeed()
    for tokens in prompts(200):
        speed.observe(tokens, fixed_s + token_s * tokens)
    assert speed.token_s == pytest.approx(token_s, rel=0.1)
    assert speed.fixed_s == pytest.approx(fixed_s, abs=0.01)


def test_equal_prompts_give_a_usable_speed():
    """Guards against a slope from prompts that all have the same size."""
    speed = prefill_speed.PrefillSpeed()
    for _ in range(500):
        speed.observe(5_000, 0.1)
    assert speed.expected_s(5_000) == pytest.approx(0.1, rel=0.05)
    assert 0.0 < speed.token_s <= 0.1 / 5_000 * 1.01


def test_noise_keeps_the_speed_near():
    """Guards against a speed that follows single slow prefills."""
    source = random.Random(2)
    speed = prefill_speed.PrefillSpeed()
    for tokens in prompts(400):
        noise = 3.0 if source.random() < 0.02 else source.uniform(0.9, 1.1)
        speed.observe(tokens, noise * (0.02 + 1.8e-5 * tokens))
    assert speed.token_s == pytest.approx(1.8e-5, rel=0.4)


def test_slowed_runner_is_told_from_its_peers():
    """Guards against a slow runner that only makes all seem slower."""
    table = runners.RunnerTable()
    for number in range(4):
        table.put(
            places_tests.listing(
                f'p{number}', states.Role.PREFILL, port=1 + number
            )
        )
    plan = prefill_plan.PrefillPlan(
        table, ledger_module.Ledger(), places_tests.ZONE
    )
    for index, tokens in enumerate(prompts(200)):
        runner = table.get(ids.RunnerId(f'p{index % 4}'))
        factor = 3.0 if index % 4 == 0 else 1.0
        plan.observe_prefill(
            runner, tokens, 0, 0.02 + factor * 1.8e-5 * tokens, float(index)
        )
    slow, *others = [table.get(ids.RunnerId(f'p{n}')) for n in range(4)]
    assert slow.slowness > 1.8 * max(runner.slowness for runner in others)
