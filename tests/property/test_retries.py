"""The retry budget and the timers, compared with naive versions."""

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from primrosereel.core import _retry_budget as retry_budget
from primrosereel.core import _timers as timers

STEPS = st.lists(
    st.tuples(
        st.sampled_from(('accept', 'retry', 'retry')),
        st.sampled_from((0.0, 0.0, 0.01, 0.5, 3.0)),
        st.integers(1, 60),
    ),
    max_size=60,
)


# A retry is younger than the slot in which it is counted.
LATE_IN_SLOT = [
    ('accept', 0.0, 1),
    ('retry', 0.5, 1),
    ('accept', 0.5, 1),
    ('accept', 3.0, 1),
    ('accept', 3.0, 1),
    ('retry', 3.0, 30),
]
# Requests leave the window before the retries that they allowed.
EXPIRY = [('accept', 0.0, 600), ('retry', 9.0, 60), ('retry', 3.0, 1)]


@given(STEPS)
@example(EXPIRY)
@example(LATE_IN_SLOT)
def test_budget_bounds_retries(steps):
    """Guards against retries that multiply an overload."""
    budget = retry_budget.RetryBudget()
    now = 0.0
    accepted, retried = [], []
    for kind, wait, count in steps:
        now += wait
        for _ in range(count):
            remaining = budget.remaining(now)
            assert remaining >= 0
            if kind == 'accept':
                budget.count_accepted(now)
                accepted.append(now)
            else:
                taken = budget.take(now)
                assert taken == (remaining > 0)
                retried += [now] * taken
        # Slots of a second expire together, at most a second late.
        recent = sum(t > now - retry_budget.WINDOW_S for t in retried)
        known = sum(
            t > now - retry_budget.WINDOW_S - retry_budget.SLOT_S
            for t in accepted
        )
        share = retry_budget.RETRY_SHARE * known
        # Retries allowed under earlier requests may still be in the window.
        floor = retry_budget.MIN_RETRIES_PER_S * retry_budget.WINDOW_S
        ever = retry_budget.RETRY_SHARE * len(accepted)
        assert recent <= max(floor, ever)
        if not retried:
            assert budget.remaining(now) <= max(floor, share)


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.one_of(st.none(), st.integers(0, 20)),
            st.integers(0, 3),
        ),
        max_size=50,
    )
)
def test_timers_match_naive(steps):
    """Guards against a timer that is lost, early or repeated."""
    lazy = timers.Timers()
    naive = {}
    now = 0
    for key, delay, wait in steps:
        if delay is None:
            lazy.cancel(key)
            naive.pop(key, None)
        else:
            lazy.set(key, now + delay)
            naive[key] = now + delay
        assert lazy.next() <= min(naive.values(), default=float('inf'))
        now += wait
        due = {k for k, when in naive.items() if when <= now}
        assert sorted(lazy.expired(now)) == sorted(due)
        for k in due:
            del naive[k]
