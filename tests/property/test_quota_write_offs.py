"""Debts of quotas that are written off."""

from primrosereel.routing import _quota_write_offs as quota_write_offs

WINDOW_S = 8.0


def test_window_has_a_bounded_part_of_what_is_spared():
    """Guards against debts that are never paid while an account overspends."""
    write_offs = quota_write_offs.WriteOffs()
    write_offs.set_spared(1000.0, WINDOW_S, 0.0)
    taken = [
        (step / 10, write_offs.take(100.0, step / 10)) for step in range(300)
    ]
    for start, _ in taken:
        in_window = sum(u for t, u in taken if start <= t < start + WINDOW_S)
        assert in_window <= 380.0


def test_nothing_is_written_off_while_nothing_is_spared():
    """Guards against overspending while peers are silent."""
    write_offs = quota_write_offs.WriteOffs()
    write_offs.set_spared(1000.0, WINDOW_S, 0.0)
    write_offs.set_spared(0.0, WINDOW_S, 1.0)
    assert write_offs.take(100.0, 2.0) == 0.0
    write_offs.set_spared(1000.0, WINDOW_S, 3.0)
    assert write_offs.take(100.0, 3.0) == 0.0
    assert 0.0 < write_offs.take(100.0, 4.0) < 100.0
