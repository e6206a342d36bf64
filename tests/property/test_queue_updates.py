"""What peers are told of requests that wait for a place."""

import types

import pytest

from primrosereel.gateway import _admission as admission


@pytest.mark.parametrize(
    ('told_s', 'updates'), [(0.05, 0), (0.15, 1), (float('inf'), 1)]
)
def test_peers_are_told_once_for_all_that_wait(told_s, updates):
    """Guards against one datagram to the shard for each waiting request.

    In a burst that fills the engines' memory many requests wait at each
    instance.
    """
    told = []
    context = types.SimpleNamespace(
        clock=lambda: 100.0,
        shard_told_at=100.0 - told_s,
        uses_changed=lambda: told.append(True),
    )
    admission._refresh_at_peers(context)
    assert len(told) == updates
