"""Works out what each role of a daemon takes at full size."""

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
    """Measure everything and return the report; ``text`` is its page."""
    started = time.monotonic()
    fleet_sizes = [
        fleet_texts.FleetSize(390, count, round(760 * count / 1400))
        for count in core.RUNNERS
    ]
    # Another process, so that neither part holds up the other.
    with futures.ProcessPoolExecutor(
        1, mp_context=multiprocessing.get_context('spawn')
    ) as pool:
        processes = pool.submit(fleet.measure, fleet_sizes)
        report = _report(processes)
    report['seconds'] = time.monotonic() - started
    report['text'] = '\n'.join(page.lines(report))
    return report


def _report(processes: futures.Future) -> dict[str, Any]:
    http = anyio.run(wire.http_calls)
    found = [*_wire_fits(), *_core_fits()]
    grid = core.grid()
    found.append(_list_fit(grid['list']))
    runs = core.region_runs()
    found += _fleet_fits(processes.result())
    slopes = rows.Slopes({'region': runs, 'fits': found, 'http': http})
    return {
        'machine': _machine(),
        'roles': [_row(row) for row in rows.roles(slopes)],
        'bad_day': [_row(row) for row in bad_day.bad_day(slopes)],
        'service': [
            {'occasion': name, 'calls_s': value}
            for name, value in rows.service(slopes)
        ],
        'products': [_product(name, runs) for name, runs in grid.items()],
        'http': http,
        'fits': [dataclasses.asdict(f) for f in slopes.fits.values()],
    }


def _machine() -> str:
    load = os.getloadavg()[0]
    return (
        f'{os.cpu_count()} processors, Python {platform.python_version()}, '
        f'load average {load:.1f} at the end'
    )


def _row(row: rows.Row) -> dict[str, Any]:
    return {**dataclasses.asdict(row), 'over': list(row.over)}


def _wire_fits() -> list[fits.LinearFit]:
    calls = anyio.run(wire.grpc_calls)
    return [
        fits.fit_line(
            'bytes of an Exchange call', 'B', 'body', calls['bytes']
        ),
        fits.fit_line(
            'seconds of an Exchange call', 's', 'body', calls['seconds']
        ),
    ]


def _fleet_fits(measured: dict[str, fleet.Found]) -> list[fits.LinearFit]:
    found = []
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
            found.append(fits.fit_line(label, unit, against, runs[key]))
    memory = measured['memory']['resident']
    found.append(
        fits.fit_line('resident memory by runners', 'B', 'runners', memory)
    )
    return found


def _core_fits() -> list[fits.LinearFit]:
    return [
        *core.texts().values(),
        *core.claims().values(),
        core.request_memory(),
        *core.memory(),
    ]


def _list_fit(found: dict[tuple[float, float], list[float]]) -> fits.LinearFit:
    runs = {
        daemons: values
        for (daemons, runners), values in found.items()
        if runners == core.FULL.runners
    }
    return fits.fit_line('list change by daemons', 's', 'daemons', runs)


def _product(
    name: str, found: dict[tuple[float, float], list[float]]
) -> dict[str, Any]:
    points = {place: statistics.median(v) for place, v in found.items()}
    share, error = fits.product_share(points)
    labels = {'tick': 'one tick', 'list': 'a changed instance list'}
    return {
        'cost': labels[name],
        'value': points[max(points)],
        'share': share,
        'error': error,
    }
