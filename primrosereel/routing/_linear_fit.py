"""A line through observations, of which later ones count more.

Pattern: online linear regression with exponential forgetting.
"""

__all__ = ['LinearFit']

# Weight that an observation keeps with each later one.
RETAINED_WEIGHT = 0.97


class LinearFit:
    """A fixed amount and an amount for each unit, from observed pairs.

    Example::

        fit = LinearFit()
        fit.observe(5_000, 0.11)
        fit.observe(8_000, 0.16)
        fit.slope()
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._mean_units = 0.0
        self._mean_value = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def weight(self) -> float:
        """The number of observations, without what was forgotten."""
        return self._weight

    def slope(self) -> float | None:
        """Return the amount for each unit; None if all units are equal.

        The fixed amount is not negative.
        """
        if self._variance <= 0.0:
            return None
        return min(
            self._covariance / self._variance,
            self._mean_value / self._mean_units,
        )

    def fixed(self, slope: float) -> float:
        """Return the fixed amount beside that for the units."""
        return max(0.0, self._mean_value - slope * self._mean_units)

    def observe(self, units: float, value: float) -> None:
        """Add an observation."""
        self._weight = RETAINED_WEIGHT * self._weight + 1.0
        share = 1.0 / self._weight
        unit_distance = units - self._mean_units
        value_distance = value - self._mean_value
        self._mean_units += share * unit_distance
        self._mean_value += share * value_distance
        kept = 1.0 - share
        self._variance = kept * (self._variance + share * unit_distance**2)
        self._covariance = kept * (
            self._covariance + share * unit_distance * value_distance
        )
