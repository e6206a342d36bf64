"""Plots the comparison of rules at mixed costs."""

from typing import Any

__all__ = ['write']

MEASURES = (('p50_ms', 'p50, ms'), ('p99_ms', 'p99, ms'))
BAR_SHARE = 0.8


def write(report: dict[str, Any], path: str) -> None:
    """Write bars for each scenario and rule to an image file."""
    # Imported here, because the rest of the package works without the extra.
    from matplotlib import figure

    rows = report['rows']
    scenarios = list(dict.fromkeys(row['scenario'] for row in rows))
    rules = list(dict.fromkeys(row['rule'] for row in rows))
    image = figure.Figure(figsize=(12, 5), layout='constrained')
    panels = image.subplots(1, len(MEASURES))
    for axes, (field, label) in zip(panels, MEASURES, strict=True):
        for number, rule in enumerate(rules):
            values = [row[field] for row in rows if row['rule'] == rule]
            width = BAR_SHARE / len(rules)
            positions = [
                place + number * width for place in range(len(scenarios))
            ]
            axes.bar(positions, values, width, label=rule)
        axes.set_xticks(range(len(scenarios)), scenarios, rotation=20)
        axes.set_ylabel(label)
        axes.set_yscale('log')
        axes.legend()
    image.savefig(path)
