"""Compares the event-driven batch with a simulation of every step."""

import math

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primrosereel.standin import _batch as batch

PLACES = 4
# Powers of two, so that both versions compute times without rounding errors
# and agree on the step boundaries.
FULL_STEP_S = 0.0625
GRID_S = 1 / 64

ACTIONS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from(['join', 'leave']),
        st.integers(0, PLACES - 1),
        st.integers(1, 9),
    ),
    max_size=40,
)


class NaiveBatch:
    """Simulates every step and counts every token."""

    def __init__(self):
        self.running = {}
        self.waiting = {}
        self.tokens = {}
        self.left = {}
        self.ends = []
        self.step_end = math.inf
        self.stepping = set()

    def join(self, key, tokens, now):
        self.waiting[key] = tokens
        self.tokens[key] = 0
        if not self.running:
            self._start(now)

    def leave(self, key, now):
        if self.waiting.pop(key, None) is None:
            del self.running[key]
            if not self.running:
                self._start(now)
        return self.tokens.pop(key)

    def advance(self, now):
        while self.step_end <= now:
            self._end_step(self.step_end)

    def _end_step(self, now):
        for key in list(self.running):
            self.tokens[key] += 1
            self.running[key] -= 1
            if not self.running[key]:
                del self.running[key]
                self.ends.append((now, key, self.tokens.pop(key)))
        self._start(now)

    def _start(self, now):
        self.running.update(self.waiting)
        self.waiting.clear()
        self.step_end = math.inf
        if self.running:
            self.step_end = now + batch.step_seconds(
                FULL_STEP_S, PLACES, len(self.running)
            )


def advance(event_driven, now, ends, totals):
    while (due := event_driven.next_time()) <= now:
        for event in event_driven.advance(due):
            if event.last:
                ends.append((due, event.key, totals[event.key]))


# A stream leaves and joins again, and the end of its first run would fall on
# the same step as the end of another stream.
REJOINED = [(0, 'join', 0, 4), (1, 'join', 1, 3)]
REJOINED += [(3, 'leave', 1, 1), (0, 'join', 1, 9)]


@settings(max_examples=100)
@example(REJOINED)
@given(ACTIONS)
def test_batch_equals_steps(actions):
    """Guards against tokens gained or lost when the batch changes."""
    event_driven = batch.Batch(FULL_STEP_S, PLACES)
    naive = NaiveBatch()
    ends, totals, now = [], {}, 0.0
    for ticks, action, name, tokens in [*actions, (999, '', 0, 0)]:
        # The fraction keeps the actions off the step boundaries, where
        # rounding would decide whether a version counts the step.
        now += (ticks + 0.37) * GRID_S
        advance(event_driven, now, ends, totals)
        naive.advance(now)
        key = str(name)
        assert event_driven.size == len(naive.tokens)
        for member, count in naive.tokens.items():
            assert event_driven.tokens_produced(member, now) == count
        if action == 'join' and key not in naive.tokens:
            totals[key] = tokens
            event_driven.join(key, tokens, now)
            naive.join(key, tokens, now)
        elif action == 'leave' and key in naive.tokens:
            assert event_driven.leave(key, now) == naive.leave(key, now)
    assert event_driven.size == 0
    assert sorted((k, n) for _, k, n in ends) == sorted(
        (k, n) for _, k, n in naive.ends
    )
    for actual, expected in zip(sorted(ends), sorted(naive.ends), strict=True):
        assert math.isclose(actual[0], expected[0], abs_tol=1e-9)
