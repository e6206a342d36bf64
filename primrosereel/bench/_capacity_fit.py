"""Least-squares fits of measured values against a size."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import statistics

import numpy

__all__ = ['LinearFit', 'fit_line', 'product_share']


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """A straight line fitted to the median of the runs at each size.

    ``against`` names the size. ``spread`` is the largest range of the runs
    of one size, relative to their median; ``error`` is the largest residual
    of a median, relative to the largest median.
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
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size


def fit_line(
    name: str,
    unit: str,
    against: str,
    runs: Mapping[float, Sequence[float]],
) -> LinearFit:
    """Fit a line to the medians of the runs at each size.

    Raises ``ValueError`` for fewer than four sizes.
    """
    if len(runs) < 4:
        raise ValueError(f'{name}: a line needs four sizes, not {len(runs)}')
    sizes = tuple(runs)
    medians = tuple(statistics.median(values) for values in runs.values())
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
    """Return the share of the interaction term at the largest point.

    Fits 1, a, b and a*b by least squares to values over a grid of two sizes
    a and b. The second result is the largest residual, relative to the
    value at the largest point.
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
