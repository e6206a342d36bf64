"""Plots the rows of the capacity report against the budget."""

from typing import Any

from matplotlib import figure as figures

from primrosereel.bench import _capacity_rows as rows

__all__ = ['write']

PANELS = (
    ('core', 'part of a core', rows.BUDGET.core),
    ('bytes_s', 'bytes/s', rows.BUDGET.bytes_s),
)


def write(report: dict[str, Any], path: str) -> None:
    """Write a plot of each row's processor time and bytes to ``path``."""
    rows_shown = report['roles'] + report['bad_day']
    figure = figures.Figure(figsize=(14, 6))
    axes = figure.subplots(1, len(PANELS))
    for axis, (field, label, budget) in zip(axes, PANELS, strict=True):
        names = [row['name'][:40] for row in rows_shown]
        values = [row[field] or 0.0 for row in rows_shown]
        axis.barh(names, values)
        axis.axvline(budget, color='red', label='budget')
        axis.set_xlabel(label)
        axis.invert_yaxis()
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
