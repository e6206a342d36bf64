"""Plots of measurements; requires matplotlib, an optional extra."""

from typing import Any

__all__ = ['plot_measures']

ROW_HEIGHT_INCHES = 0.4


def plot_measures(report: dict[str, Any], path: str) -> None:
    """Write a bar chart of the measures and their spread to an image file."""
    # Imported here, because the rest of the package works without the extra.
    from matplotlib import figure

    rows = report['rows'][::-1]
    height = 1.5 + ROW_HEIGHT_INCHES * len(rows)
    image = figure.Figure(figsize=(9, height), layout='constrained')
    axes = image.subplots()
    axes.barh(
        [row['measure'] for row in rows],
        [row['median'] for row in rows],
        xerr=[row['spread'] / 2 for row in rows],
        color=[_bar_color(row) for row in rows],
    )
    for number, row in enumerate(rows):
        target = row.get('target')
        if target is not None:
            bound = float(target.split()[1])
            axes.plot([bound, bound], [number - 0.4, number + 0.4], 'k-')
    axes.set_title(
        f'{report["workload"]} x{report["scale"]}, medians of '
        f'{len(report["seeds"])} seeds; black: target'
    )
    image.savefig(path)


def _bar_color(row: dict[str, Any]) -> str:
    if row.get('met') is None:
        return 'tab:gray'
    return 'tab:blue' if row['met'] else 'tab:red'
