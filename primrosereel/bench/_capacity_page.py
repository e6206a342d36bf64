"""Formats the capacity report as the tables of docs/CAPACITY.md."""

from collections.abc import Iterable
from typing import Any

__all__ = ['lines']

SMALL = 1000.0


def lines(report: dict[str, Any]) -> Iterable[str]:
    """Yield the lines of the generated part of the page."""
    yield f'Measured on {report["machine"]}; {report["seconds"]:.0f} s.'
    for title, rows in (
        ('Roles', report['roles']),
        ('Bad day', report['bad_day']),
    ):
        yield from ('', f'### {title}', '')
        yield from _row_table(rows)
    yield from ('', '### Calls on the configuration service', '')
    yield '| occasion | calls/s | of 2,000 |'
    yield '|---|---:|---:|'
    for row in report['service']:
        share = row['calls_s'] / 2000
        yield f'| {row["occasion"]} | {row["calls_s"]:.3g} | {share:.1%} |'
    yield from ('', '### Growth with daemons times runners', '')
    yield '| cost | at full size | product part | error |'
    yield '|---|---:|---:|---:|'
    for row in report['products']:
        yield (
            f'| {row["cost"]} | {row["value"] * 1e6:.0f} us '
            f'| {row["share"]:.0%} | {row["error"]:.0%} |'
        )
    yield from ('', '### Calls to an engine', '')
    yield '| call | bytes on the wire | client processor time | spread |'
    yield '|---|---:|---:|---:|'
    for name, row in report['http'].items():
        yield (
            f'| {name} | {row["bytes"]:.0f} | {row["seconds"] * 1e3:.2f} ms '
            f'| {row["spread"]:.0%} |'
        )
    yield from ('', '### Slopes', '')
    yield from _fit_table(report['fits'])


def _row_table(rows: list[dict[str, Any]]) -> Iterable[str]:
    yield (
        '| row | mechanism | module | state | messages/s | bytes/s | core '
        '| memory | verdict | note |'
    )
    yield '|---|---|---|---:|---:|---:|---:|---:|---|---|'
    for row in rows:
        exceeded = ', '.join(row['over'])
        cells = (
            row['name'],
            row['mechanism'],
            row['module'],
            _format_bytes(row['state']),
            _format_number(row['messages_s']),
            _format_bytes(row['bytes_s']),
            '-' if row['core'] is None else f'{row["core"]:.2%}',
            _format_bytes(row['memory']),
            f'OVER ({exceeded}): {row["remedy"]}' if exceeded else 'within',
            row['note'] or '-',
        )
        yield f'| {" | ".join(cells)} |'


def _fit_table(line_fits: list[dict[str, Any]]) -> Iterable[str]:
    yield (
        '| figure | unit | sizes | medians | slope | intercept | spread '
        '| off |'
    )
    yield '|---|---|---|---|---:|---:|---:|---:|'
    for fit in line_fits:
        sizes = ', '.join(f'{size:g}' for size in fit['sizes'])
        medians = ', '.join(f'{value:.3g}' for value in fit['medians'])
        yield (
            f'| {fit["name"]} | {fit["unit"]} | {fit["against"]}: {sizes} '
            f'| {medians} | {fit["slope"]:.3g} | {fit["intercept"]:.3g} '
            f'| {fit["spread"]:.0%} | {fit["error"]:.0%} |'
        )


def _format_bytes(value: float | None) -> str:
    if value is None:
        return '-'
    for unit, size in (('MB', 1e6), ('KB', 1000)):
        if value >= size:
            return f'{value / size:.1f} {unit}'
    return f'{value:.0f} B'


def _format_number(value: float | None) -> str:
    return '-' if value is None else f'{value:.3g}'
