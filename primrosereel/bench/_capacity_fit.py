"""Straight lines through measured figures."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import statistics

import numpy

__all__ = ['LinearFit', 'fit_line', 'product_share']


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """A line through the medians at each size.

    ``spread`` is the largest difference between the runs of one size, as a
    part of their median; ``error`` is the largest distance of a median from
    the line, as a part of the largest median.
    """

    name: str
    unit: str
    against: str
    sizes: tuple[float, ...]
    medians: tuple[float, ...]
    slope: float
    intercept: float
    spread: float
    error: float

    def predict(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(
    name: str,
    unit: str,
    against: str,
    runs: Mapping[float, Sequence[float]],
) -> LinearFit:
    """Fit the medians of the runs at four sizes or more."""
    if len(runs) < 4:
        raise ValueError(f'{name}: a line needs four sizes, not {len(runs)}')
    sizes = tuple(runs)
    medians = tuple(statistics.median(found) for found in runs.values())
    slope, intercept = numpy.polyfit(sizes, medians, 1)
    largest = max(medians) or 1.0
    residuals = (
        abs(intercept + slope * size - median)
        for size, median in zip(sizes, medians, strict=True)
    )
    return LinearFit(
        name,
        unit,
        against,
        sizes,
        medians,
        float(slope),
        float(intercept),
        max(map(_relative_spread, runs.values())),
        float(max(residuals)) / largest,
    )


def product_share(
    points: Mapping[tuple[float, float], float],
) -> tuple[float, float]:
    """Return the part that a product of two sizes has in the largest point.

    Least squares on 1, a, b and a*b over a grid; the second value is the
    largest distance from that surface, as a part of the largest point.
    """
    pairs = list(points)
    largest_pair = max(pairs)
    design_rows = [(1.0, a, b, a * b) for a, b in pairs]
    values = numpy.array([points[pair] for pair in pairs])
    coefficients, *_ = numpy.linalg.lstsq(
        numpy.array(design_rows), values, rcond=None
    )
    residuals = numpy.abs(numpy.array(design_rows) @ coefficients - values)
    share = (
        coefficients[3]
        * largest_pair[0]
        * largest_pair[1]
        / points[largest_pair]
    )
    return float(share), float(residuals.max() / points[largest_pair])


def _relative_spread(values: Sequence[float]) -> float:
    median = statistics.median(values)
    return (max(values) - min(values)) / median if median else 0.0
