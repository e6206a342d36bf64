"""Tests of the capacity measurements, their fits and their page."""

import pytest

from primrosereel.bench import _capacity_core as capacity_core
from primrosereel.bench import _capacity_fit as fits
from primrosereel.bench import _capacity_page as page
from primrosereel.bench import _capacity_region as region
from primrosereel.bench import _capacity_rows as rows
from primrosereel.bench import _capacity_texts as fleet_texts

SMALL_FLEET = fleet_texts.FleetSize(18, 84, 14)


def test_fit_finds_the_line():
    # Guards against a wrong slope or a swapped intercept in the page.
    runs = {x: (3.0 * x + 5.0,) * 2 for x in (1.0, 2.0, 4.0, 8.0)}
    line = fits.fit_line('f', 's', 'x', runs)
    assert line.slope == pytest.approx(3.0)
    assert line.intercept == pytest.approx(5.0)
    assert line.predict(16.0) == pytest.approx(53.0)
    assert line.spread == 0.0


def test_fit_states_the_spread():
    # Guards against a page that does not show how far runs differ.
    runs = {1.0: (1.0,), 2.0: (2.0,), 3.0: (3.0,), 4.0: (3.0, 4.0, 5.0)}
    assert fits.fit_line('f', 's', 'x', runs).spread == pytest.approx(0.5)


def test_fit_needs_four_sizes():
    # Guards against a slope from fewer sizes than the page promises.
    with pytest.raises(ValueError, match='four sizes'):
        fits.fit_line('f', 's', 'x', {1.0: (1.0,), 2.0: (2.0,), 3.0: (3.0,)})


@pytest.mark.parametrize('factor, share', [(0.0, 0.0), (2.0, 0.5)])
def test_product_share_finds_products(factor, share):
    # Guards against missing a cost that grows with daemons times runners.
    points = {
        (a, b): 16.0 * a + 16.0 * b + factor * a * b
        for a in (1.0, 4.0, 8.0, 16.0)
        for b in (1.0, 4.0, 8.0, 16.0)
    }
    found_share, error = fits.product_share(points)
    assert found_share == pytest.approx(share, abs=1e-6)
    assert error == pytest.approx(0.0, abs=1e-6)


def test_owners_of_other_regions_are_not_worked_out():
    # Guards against hashing the groups of all regions with every instance of
    # their region for each instance list, which took 8.7 ms for 390 daemons
    # and 1,400 runners.
    simulated = region.SimulatedRegion(SMALL_FLEET)
    simulated.run(6.0)
    simulated.change_list()
    simulated.run(4.0)
    for core in simulated.cores:
        assert set(core.world.group_regions.values()) > {'r0'}
        assert set(core.world.owners) == {'r0'}


def test_memory_fits_have_the_names_that_the_rows_use(monkeypatch):
    # Guards against a report that stops with a KeyError after it measured
    # for minutes.
    monkeypatch.setattr(capacity_core, '_core_bytes', lambda size: 1.0)
    assert [fit.name for fit in capacity_core.measure_memory()] == [
        'core memory by daemons',
        'core memory by runners',
        'core memory by client accounts',
    ]


def test_region_serves_requests():
    # Guards against measuring the load of a region that refuses requests.
    simulated = region.SimulatedRegion(SMALL_FLEET)
    simulated.run(6.0)
    simulated.reset_counts()
    simulated.offer_load(0.5, 4.0)
    simulated.run(20.0)
    received = simulated.handled['CompletionReceived']
    assert simulated.finished_requests == received > 0
    assert simulated.effects['RefuseCaller'] == 0


def test_text_change_reaches_every_core():
    # Guards against counting the messages of a text change that does not
    # reach all cores.
    simulated = region.SimulatedRegion(SMALL_FLEET)
    simulated.run(6.0)
    simulated.publish_text()
    simulated.run(3.0)
    assert {core.world.revision for core in simulated.cores} == {2}
    assert simulated.sent['TextDifference'] > 0


@pytest.mark.parametrize(
    'values, over',
    [
        ({'core': 0.021, 'bytes_s': 4000.0}, ()),
        ({'core': 0.022}, ('core',)),
        ({'bytes_s': 4001.0, 'memory': 65.0 * 2**20}, ('memory', 'bytes')),
        ({'reads_s': 2001.0}, ('reads',)),
    ],
)
def test_row_over_its_budget_is_marked(values, over):
    # Guards against a page that marks a row over its budget as within it.
    empty = dict.fromkeys(('state', 'messages_s', 'bytes_s', 'core', 'memory'))
    row = rows.Row('r', 'm', 'f', **{**empty, **values})
    assert row.over == over
    shown = {**vars(row), 'over': list(row.over)}
    line = list(page._row_table([shown]))[-1]
    assert ('OVER' in line) is bool(over)
