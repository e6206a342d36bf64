"""Priorities of requests, from their client accounts and routes.

Pairs are ordered lexicographically: the account's priority, then the route's.
A route's priority stands in for that of an account which has none. Where one
number is needed, it is the position of the pair among all pairs that a
configuration allows.
"""

import bisect
from collections.abc import Collection
import itertools
from typing import NamedTuple

__all__ = ['PriorityOrder', 'RequestPriority', 'route_only']

# The highest number that peers accept as the priority of a waiting request.
MAX_POSITION = 1_000_000


class RequestPriority(NamedTuple):
    """A request's priority; the lowest is the most urgent.

    ``position`` follows from the pair within one configuration version.
    """

    account: int
    route: int
    position: int


def route_only(priority: int) -> RequestPriority:
    """Return the priority of a request without client accounts."""
    return RequestPriority(priority, priority, priority)


class PriorityOrder:
    """The order of all pairs of a configuration with client accounts.

    The pairs are those of each account's priority with each route's, and the
    routes' own priorities for requests of accounts without one. The pairs
    themselves are not kept, as there may be very many.

    Example::

        order = PriorityOrder({0, 2}, {1, 5}, {5})
        order.of(2, 5).position  # 3: after (0, 1), (0, 5) and (2, 1)
        order.of(None, 5).position  # 4
    """

    def __init__(
        self,
        accounts: Collection[int],
        routes: Collection[int],
        own: Collection[int],
    ) -> None:
        self._accounts = frozenset(accounts)
        self._routes = sorted(set(routes))
        self._levels = sorted(self._accounts | set(own))
        pairs = [
            len(self._routes) if level in self._accounts else 1
            for level in self._levels
        ]
        self._pairs_before = list(itertools.accumulate(pairs, initial=0))

    def of(self, account: int | None, route: int) -> RequestPriority:
        """Return the priority of a request."""
        level = route if account is None else account
        position = self._pairs_before[bisect.bisect_left(self._levels, level)]
        if level in self._accounts:
            position += bisect.bisect_left(self._routes, route)
        return RequestPriority(level, route, min(position, MAX_POSITION))
