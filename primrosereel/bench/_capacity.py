"""Estimates the control cost of each daemon role at full fleet size.

Smaller configurations are measured, and straight lines through the
measurements give the values at full size.
"""

from concurrent import futures
import dataclasses
import multiprocessing
import os
import platform
import statistics
import time
from typing import Any

import anyio

from primrosereel.bench import _capacity_bad_day as bad_day
from primrosereel.bench import _capacity_core as core
from primrosereel.bench import _capacity_fit as fits
from primrosereel.bench import _capacity_fleet as fleet
from primrosereel.bench import _capacity_page as page
from primrosereel.bench import _capacity_rows as rows
from primrosereel.bench import _capacity_texts as fleet_texts
from primrosereel.bench import _capacity_wire as wire

__all__ = ['run']


def run() -> dict[str, Any]:
    """Run all measurements and return the report.

    ``text`` holds the report as the lines of the capacity page.
    """
    started = time.monotonic()
    fleet_sizes = [
        fleet_texts.FleetSize(390, count, round(760 * count / 1400))
        for count in core.RUNNER_COUNTS
    ]
    # A separate process, so that neither part of the measurements delays the
    # other.
    with futures.ProcessPoolExecutor(
        1, mp_context=multiprocessing.get_context('spawn')
    ) as pool:
        fleet_samples = pool.submit(fleet.measure, fleet_sizes)
        report = _report(fleet_samples)
    report['seconds'] = time.monotonic() - started
    report['text'] = '\n'.join(page.lines(report))
    return report


def _report(fleet_samples: futures.Future) -> dict[str, Any]:
    http_calls = anyio.run(wire.measure_http_calls)
    line_fits = [*_grpc_fits(), *_core_fits()]
    grid = core.measure_grid()
    line_fits.append(_list_change_fit(grid['list']))
    region_runs = core.measure_regions()
    line_fits += _fleet_fits(fleet_samples.result())
    measurements = rows.Measurements(
        {'region': region_runs, 'fits': line_fits, 'http': http_calls}
    )
    return {
        'machine': _machine(),
        'roles': [_row_fields(row) for row in rows.role_rows(measurements)],
        'bad_day': [
            _row_fields(row) for row in bad_day.bad_day_rows(measurements)
        ],
        'service': [
            {'occasion': name, 'calls_s': value}
            for name, value in rows.service_call_rates(measurements)
        ],
        'products': [
            _product_fields(name, samples) for name, samples in grid.items()
        ],
        'http': http_calls,
        'fits': [dataclasses.asdict(f) for f in measurements.fits.values()],
    }


def _machine() -> str:
    load_average = os.getloadavg()[0]
    return (
        f'{os.cpu_count()} processors, Python {platform.python_version()}, '
        f'load average {load_average:.1f} at the end'
    )


def _row_fields(row: rows.Row) -> dict[str, Any]:
    return {**dataclasses.asdict(row), 'over': list(row.over)}


def _grpc_fits() -> list[fits.LinearFit]:
    samples = anyio.run(wire.measure_grpc_calls)
    return [
        fits.fit_line(
            'bytes of an Exchange call', 'B', 'body', samples['bytes']
        ),
        fits.fit_line(
            'seconds of an Exchange call', 's', 'body', samples['seconds']
        ),
    ]


def _fleet_fits(measured: dict[str, fleet.Samples]) -> list[fits.LinearFit]:
    line_fits = []
    for against in ('daemons', 'runners'):
        runs = measured[against]
        names = {
            'core': ('core of an idle daemon', 's/s'),
            'loopback': ('loopback bytes of a daemon', 'B/s'),
            'resident': ('resident memory', 'B'),
            'reads': ('reads of configuration', '1/s'),
            'watches': ('watches that wait', ''),
            'list reads': ('reads of the list', '1/s'),
        }
        for key, (name, unit) in names.items():
            label = f'{name} by {against}'
            if key == 'resident' and against == 'runners':
                label = 'resident memory by polled runners'
            line_fits.append(fits.fit_line(label, unit, against, runs[key]))
    memory = measured['memory']['resident']
    line_fits.append(
        fits.fit_line('resident memory by runners', 'B', 'runners', memory)
    )
    return line_fits


def _core_fits() -> list[fits.LinearFit]:
    return [
        *core.measure_texts().values(),
        *core.measure_claims().values(),
        core.measure_request_memory(),
        *core.measure_memory(),
    ]


def _list_change_fit(
    samples: dict[tuple[float, float], list[float]],
) -> fits.LinearFit:
    runs = {
        daemons: values
        for (daemons, runners), values in samples.items()
        if runners == core.FULL_SIZE.runners
    }
    return fits.fit_line('list change by daemons', 's', 'daemons', runs)


def _product_fields(
    name: str, samples: dict[tuple[float, float], list[float]]
) -> dict[str, Any]:
    medians = {place: statistics.median(v) for place, v in samples.items()}
    share, error = fits.product_share(medians)
    labels = {'tick': 'one tick', 'list': 'a changed instance list'}
    return {
        'cost': labels[name],
        'value': medians[max(medians)],
        'share': share,
        'error': error,
    }
