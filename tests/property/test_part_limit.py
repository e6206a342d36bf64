"""Bound on the parts in which a body arrives."""

import pytest

from primrosereel.gateway import _part_limit as part_limit

HOUR_S = 3600


def parts_until_refused(part_bytes, per_s, seconds):
    """Return how many parts were allowed at a constant rate."""
    limit = part_limit.PartLimit(0.0)
    for number in range(int(per_s * seconds)):
        if not limit.allows(part_bytes, number / per_s):
            return number
    return None


def test_endless_parts_of_one_byte_are_refused():
    """Guards against a body that takes processor time without end."""
    assert parts_until_refused(1, 50_000, 10) <= 1100


@pytest.mark.parametrize(
    ('part_bytes', 'per_s', 'seconds'),
    [
        # A stream of one event a step of an engine, with small parts.
        (16, 150, HOUR_S),
        # The fields of each event in parts of their own.
        (8, 450, 600),
        # A large body.
        (1400, 100_000, 10),
        (128, 100_000, 10),
        # A short answer in parts of one byte.
        (1, 1_000_000, 0.001),
    ],
)
def test_sound_parts_are_allowed(part_bytes, per_s, seconds):
    """Guards against sound responses that are given up for their parts."""
    assert parts_until_refused(part_bytes, per_s, seconds) is None


def test_parts_of_a_suspended_time_are_allowed_at_once():
    """Guards against streams that break as a suspended process wakes."""
    limit = part_limit.PartLimit(0.0)
    assert all(limit.allows(16, 4.0) for _ in range(600))
    assert all(limit.allows(16, 4.0 + n / 150) for n in range(3000))
