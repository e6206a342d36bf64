"""Rendezvous assignment: balanced, and stable when instances change."""

from hypothesis import given
from hypothesis import strategies as st

from primrosereel.core import _ownership as ownership

NAMES = st.lists(
    st.text('abcdef', min_size=1, max_size=4),
    min_size=1,
    max_size=12,
    unique=True,
)


@given(NAMES, NAMES)
def test_assignment_is_even(keys, candidates):
    """Guards against one instance that owns more groups than its share."""
    owners = ownership.assign(keys, candidates)
    assert set(owners) == set(keys)
    share = -(-len(keys) // len(candidates))
    for candidate in candidates:
        assert list(owners.values()).count(candidate) <= share


@given(NAMES, NAMES)
def test_rank_matches_naive_sort(keys, candidates):
    """Guards against daemons that compute different orders."""
    for key in keys:
        naive = sorted(
            candidates, key=lambda c: ownership.score(key, c), reverse=True
        )
        ordered = ownership.rank(key, reversed(candidates), 3)
        assert [ownership.score(key, c) for c in ordered] == [
            ownership.score(key, c) for c in naive[:3]
        ]


@given(NAMES, NAMES)
def test_rank_keeps_order_when_one_leaves(keys, candidates):
    """Guards against a change of the list that moves unrelated keys."""
    for key in keys:
        ordered = ownership.rank(key, candidates, len(candidates))
        rest = [c for c in candidates if c != ordered[0]]
        assert ownership.rank(key, rest, len(rest)) == ordered[1:]
