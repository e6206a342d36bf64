"""Tests of the bench's bounds and measures against simple versions."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosereel.bench import _bounds as bounds
from primrosereel.bench import _decisions as decisions
from primrosereel.bench import _rates as rates
from primrosereel.bench import _workloads as workloads

FIRST_TOKEN_S = 0.36
WORKLOAD = workloads.make_workload('lynreg')


def _make_arrivals(times, max_tokens):
    workload = WORKLOAD._replace(output_tokens=max_tokens)
    template = workloads.poisson_arrivals(workload, 100.0, 1.0, 1)[0]
    return [template._replace(time=t, max_tokens=max_tokens) for t in times]


def _meets_deadlines(chosen, gap_s):
    """Return whether one machine serves all chosen in order of deadlines."""
    free_at = 0.0
    for arrival in sorted(chosen, key=lambda a: a.time):
        decode_s = arrival.max_tokens / workloads.decode_tokens_s(WORKLOAD)
        free_at = max(free_at, arrival.time) + decode_s
        deadline_s = FIRST_TOKEN_S + (arrival.max_tokens - 1) * gap_s
        if free_at > arrival.time + deadline_s:
            return False
    return True


@settings(max_examples=60, deadline=None)
@given(
    times=st.lists(st.floats(1.0, 3.0), min_size=1, max_size=7),
    max_tokens=st.sampled_from([500, 1000, 2000]),
    gap_s=st.sampled_from([0.0, 0.0005, 0.001]),
)
def test_decode_bound_equals_the_best_subset(times, max_tokens, gap_s):
    """Guards against a bound that is too low or higher than necessary."""
    arrivals = _make_arrivals(times, max_tokens)
    best = max(
        size
        for size in range(len(arrivals) + 1)
        for chosen in itertools.combinations(arrivals, size)
        if _meets_deadlines(chosen, gap_s)
    )
    assert (
        bounds._decode_bound(WORKLOAD, arrivals, FIRST_TOKEN_S, gap_s) == best
    )


@settings(max_examples=50, deadline=None)
@given(rate=st.floats(1.0, 60.0), seed=st.integers(0, 1000))
def test_bound_is_within_prefill_capacity(rate, seed):
    """Guards against a bound above the capacity of the prefill runners."""
    arrivals = workloads.poisson_arrivals(WORKLOAD, rate, 5.0, seed)
    bound = bounds.goodput_bound(WORKLOAD, arrivals, FIRST_TOKEN_S, 0.069)
    prompt_tokens = sorted(a.prompt_tokens for a in arrivals)[:bound]
    cached_tokens = WORKLOAD.shared_fraction * WORKLOAD.prefix_tokens * bound
    computed = workloads.prefill_tokens_s(WORKLOAD) * (5.0 + FIRST_TOKEN_S)
    assert bound <= len(arrivals)
    assert sum(prompt_tokens) - cached_tokens <= computed + 1


@pytest.mark.parametrize('loses_owner', [False, True])
def test_measured_rate_is_near_the_limit(loses_owner):
    """Guards against a measure that counts calls that were not admitted."""
    admitted = rates.admitted_rate(4, 20.0, 3.0, loses_owner, 1)
    assert abs(admitted - 20.0) <= 2.0


def test_measured_decisions_are_grants():
    """Guards against a measure of requests that are queued, not granted."""
    assert 0 < decisions.median_decision_cpu_s('lynreg', 14, 1) < 1
