"""The routing table of one configuration version."""

from collections.abc import Iterable
from collections.abc import Sequence
import random as random_module

from primrosereel import _ids as ids
from primrosereel.routing import _client_accounts as client_accounts_module
from primrosereel.routing import _model as model
from primrosereel.routing import _priorities as priorities

__all__ = ['RoutingTable', 'pick_service']


class RoutingTable:
    """Finds a request's route by host and longest matching path prefix.

    Example::

        table = RoutingTable(7, routes, services, limits)
        route = table.match('registry.example', '/events/2f')
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[model.Route],
        services: Iterable[model.Service],
        limits: model.CallerLimits,
        digest: str = '',
        client_accounts: client_accounts_module.ClientAccounts | None = None,
    ) -> None:
        self._version = version
        self._digest = digest
        self._limits = limits
        self._client_accounts = client_accounts
        routes = tuple(routes)
        self._priorities = _priority_order(routes, client_accounts)
        self._services = {service.name: service for service in services}
        self._by_host: dict[str, list[model.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._route_count = len(routes)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def version(self) -> int:
        """The version number set by the operators; versions increase."""
        return self._version

    @property
    def route_count(self) -> int:
        """The number of routes of all hosts."""
        return self._route_count

    def replaces(self, other: 'RoutingTable') -> bool:
        """Tell whether this table, read later, replaces another one.

        A version number that the operators gave out again with another text,
        after a return of the store from a copy, replaces the lost text.
        Otherwise instances that had read the lost text would keep it.
        """
        if self._version == other.version:
            return self._digest != other._digest
        return self._version > other.version

    @property
    def limits(self) -> model.CallerLimits:
        """The limits of callers' requests."""
        return self._limits

    @property
    def services(self) -> dict[ids.ServiceId, model.Service]:
        """The services by name."""
        return self._services

    @property
    def client_accounts(
        self,
    ) -> client_accounts_module.ClientAccounts | None:
        """The accounts; None if requests are not authenticated."""
        return self._client_accounts

    def priority(
        self,
        route: model.Route,
        account: client_accounts_module.ClientAccount | None,
    ) -> priorities.RequestPriority:
        """Return the priority of an account's requests on a route."""
        if self._priorities is None:
            return priorities.route_only(route.priority)
        own = account.priority if account is not None else None
        return self._priorities.of(own, route.priority)

    def match(self, host: str, path: str) -> model.Route | None:
        """Return the route of a host and path; None if none matches."""
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(':')[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


def _priority_order(
    routes: Sequence[model.Route],
    accounts: client_accounts_module.ClientAccounts | None,
) -> priorities.PriorityOrder | None:
    """Return the order of all priorities; None without client accounts."""
    if accounts is None:
        return None
    by_account = {a.priority for a in accounts.by_name.values()}
    uses_own = None in by_account
    return priorities.PriorityOrder(
        {priority for priority in by_account if priority is not None},
        {route.priority for route in routes},
        {route.priority for route in routes if uses_own or route.public},
    )


def pick_service(
    route: model.Route, random: random_module.Random
) -> ids.ServiceId | None:
    """Pick a service of a route at random by the weights.

    Returns None if no service has a weight above 0.
    """
    if len(route.services) == 1:
        return route.services[0].service
    targets = [target for target in route.services if target.weight > 0]
    if not targets:
        return None
    weights = [target.weight for target in targets]
    return random.choices(targets, weights)[0].service
