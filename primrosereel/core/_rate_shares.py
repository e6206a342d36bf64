"""Division of a client account's rate among the daemons."""

from collections.abc import Mapping
from typing import TypeVar

__all__ = ['divide_rate']

Daemon = TypeVar('Daemon')

# This fraction of the rate is divided evenly, so that a daemon whose demand
# has just begun is not starved by those with a long queue of callers.
FLOOR_RATIO = 0.1
# A daemon's floor is at most its demand plus this, in requests per second;
# with a higher floor, a part of the rate would stay unused.
FLOOR_MARGIN_PER_S = 0.05


def divide_rate(
    rate: float, demands: Mapping[Daemon, float]
) -> dict[Daemon, float]:
    """Divide a rate in proportion to demand, with a floor for each daemon.

    Returns the shares, which add up to the rate::

        divide_rate(10.0, {'a': 30.0, 'b': 10.0})  # about 7.5 and 2.5
    """
    if not demands:
        return {}
    even = FLOOR_RATIO * rate / len(demands)
    floors = {d: min(even, v + FLOOR_MARGIN_PER_S) for d, v in demands.items()}
    remaining_rate = rate - sum(floors.values())
    total_demand = sum(demands.values())
    if total_demand <= 0:
        return dict.fromkeys(demands, rate / len(demands))
    # The quotient comes first: the product of a rate and a subnormal demand
    # is rounded to a multiple of the smallest float.
    return {
        d: floors[d] + remaining_rate * (v / total_demand)
        for d, v in demands.items()
    }
