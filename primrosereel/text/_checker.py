"""Checks across the fields of the operators' text.

Fields that failed their own check may be None; they are skipped here.
"""

from collections.abc import Iterator
import functools
import graphlib
import ipaddress

from primrosereel import _options as options
from primrosereel import _states as states
from primrosereel.text import _model as model

__all__ = ['MAX_GROUP_RUNNERS', 'check_references']

Fault = options.Fault
Faults = list[Fault]

MAX_GROUP_RUNNERS = 16
# Bounds the number of searches for a cycle, as each visits all services.
MAX_CYCLES = 20

LLM_ROLES = (states.Role.PREFILL, states.Role.DECODE)


def check_references(text: model.Text, faults: Faults) -> None:
    """Add the faults that are found by comparing several fields."""
    for name, service in text.services.items():
        path = f'services.{name}'
        if service.kind is states.ServiceKind.LLM:
            _check_llm(text, service, path, faults)
        elif service.kind is states.ServiceKind.PLAIN:
            _check_plain(service, path, faults)
        _check_service_names(
            service.depends_on, text.services, f'{path}.depends_on', faults
        )
        _check_calls(service, path, faults)
    _check_cycles(text, faults)
    _check_runners(text, faults)
    _check_client_accounts(text, faults)


def _check_llm(text, service, path, faults) -> None:
    if service.model is None:
        faults.append(Fault(f'{path}.model', None, 'the name of a model'))
    elif service.model not in text.models:
        faults.append(
            Fault(f'{path}.model', service.model, 'a model of the text')
        )
    _check_roles(service, path, LLM_ROLES, faults)
    counts = {
        role: sum(r.role is role for r in service.runners.values())
        for role in LLM_ROLES
    }
    for role, count in counts.items():
        if not count:
            faults.append(
                Fault(
                    f'{path}.runners', 0, f'at least one {role.value} runner'
                )
            )
    # A group needs both roles and has at most MAX_GROUP_RUNNERS runners, which
    # bounds the ratio of the roles.
    fewer, more = sorted(counts.values())
    if fewer and more > fewer * (MAX_GROUP_RUNNERS - 1):
        faults.append(
            Fault(
                f'{path}.runners',
                f'{fewer} of one role and {more} of the other',
                f'at most {MAX_GROUP_RUNNERS - 1} runners of one role for '
                'each runner of the other',
            )
        )


def _check_plain(service, path, faults) -> None:
    _check_roles(service, path, (states.Role.PLAIN,), faults)
    if not service.runners:
        faults.append(Fault(f'{path}.runners', 0, 'at least one runner'))
    if not service.calls:
        faults.append(Fault(f'{path}.calls', 0, 'at least one call'))


def _check_roles(service, path, allowed, faults) -> None:
    choices = ', '.join(role.value for role in allowed)
    for name, runner in service.runners.items():
        if runner.role is not None and runner.role not in allowed:
            faults.append(
                Fault(
                    f'{path}.runners.{name}.role',
                    runner.role.value,
                    f'one of {choices} in this kind of service',
                )
            )


def _check_service_names(names, services, path, faults) -> None:
    for name in names:
        if name not in services:
            faults.append(Fault(path, name, 'a service of the text'))


def _check_calls(service, path, faults) -> None:
    seen = set()
    for position, call in enumerate(service.calls):
        key = (call.method, call.path)
        if None not in key and key in seen:
            faults.append(
                Fault(
                    f'{path}.calls.{position}',
                    f'{call.method} {call.path}',
                    'a method and path listed once',
                )
            )
        seen.add(key)


def _check_cycles(text, faults) -> None:
    graph = {
        name: {d for d in service.depends_on if d in text.services}
        for name, service in text.services.items()
    }
    for cycle in _find_cycles(graph):
        faults.append(
            Fault(
                f'services.{cycle[0]}.depends_on',
                ' -> '.join(cycle),
                'no cycle',
            )
        )


def _find_cycles(graph: dict[str, set[str]]) -> Iterator[list[str]]:
    """Yield cycles that share no edge."""
    for _ in range(MAX_CYCLES):
        try:
            graphlib.TopologicalSorter(graph).prepare()
            return
        except graphlib.CycleError as error:
            # The sorter lists a dependency before its dependent; the message
            # has them in the opposite order.
            cycle = error.args[1][::-1]
        yield cycle
        for service, dependency in zip(cycle, cycle[1:], strict=False):
            graph[service].discard(dependency)


def _check_runners(text, faults) -> None:
    ids_seen: dict[str, str] = {}
    addresses_seen: dict[object, str] = {}
    for service_name, service in text.services.items():
        for name, runner in service.runners.items():
            path = f'services.{service_name}.runners.{name}'
            _check_unique(name, name, path, ids_seen, faults)
            if runner.address is not None:
                _check_unique(
                    _canonical_address(runner.address),
                    runner.address,
                    f'{path}.address',
                    addresses_seen,
                    faults,
                )


def _check_unique(identity, value, path, seen, faults) -> None:
    first = seen.setdefault(identity, path)
    if first != path:
        faults.append(Fault(path, value, f'a unique value (also at {first})'))


# 10,000 addresses take about 2 MB. Most texts have the same addresses as the
# one before.
@functools.lru_cache(maxsize=10_000)
def _canonical_address(address: str) -> tuple[object, int]:
    """Return a value that is equal for all spellings of an address."""
    host, _, port = address.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    return ipaddress.ip_address(host), int(port)


def _check_client_accounts(text, faults) -> None:
    seen: dict[str, str] = {}
    for name, client_account in text.client_accounts.items():
        path = f'client_accounts.{name}'
        if client_account.key_sha256:
            _check_unique(
                client_account.key_sha256,
                client_account.key_sha256,
                f'{path}.key_sha256',
                seen,
                faults,
            )
        _check_service_names(
            client_account.services, text.services, f'{path}.services', faults
        )
