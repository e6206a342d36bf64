"""Checks a configuration before its operators send it to the store.

Errors are what the gateway's own decoder refuses. Warnings are entries that
have no effect or contradict each other. Changes are what callers will notice
when the configuration replaces the one in force. No text holds a key of a
client account.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterator
import enum
import json
import math
import re
from typing import NamedTuple

import msgspec

from primrosereel.platform import _entries as entries
from primrosereel.platform import _steps as steps

__all__ = ['Finding', 'Severity', 'check_configuration']

# The decoder and msgspec put the path at the end of a text.
PATH_AT_END = re.compile(r'(.*) - (?:at `)?(\$[^ `]*)`?', re.DOTALL)
TOKENS_UNIT = 'token_count'
# Compared by other rules, or not noticed by callers.
UNCOMPARED = ('name', 'host', 'prefix', 'service', 'traffic_split', 'api_keys')

Configuration = entries.Configuration
RouteKey = tuple[str, str]
# Paths and texts.
Notes = Iterator[tuple[str, str]]


class Severity(enum.Enum):
    """What a finding means for the configuration."""

    ERROR = 'error'
    WARNING = 'warning'
    CHANGE = 'change'


class Finding(NamedTuple):
    """One sentence about the place that ``path`` names."""

    severity: Severity
    path: str
    text: str


def check_configuration(
    body: bytes, in_force: bytes | None = None
) -> tuple[Finding, ...]:
    """Return what is to be said of a configuration.

    The decoder stops at the first error, so there is at most one of its own.
    With ``in_force``, the configuration is compared with that one.
    """
    findings: list[Finding] = []
    value = _encode(body)
    try:
        steps.run_at_once(entries.table_steps(value))
    except entries.EntryError as error:
        findings.append(_refusal(error))
    try:
        configuration = entries.decode_configuration(value)
    except entries.EntryError:
        return tuple(findings)
    for rule in RULES:
        notes = rule(configuration)
        findings += [Finding(Severity.WARNING, *note) for note in notes]
    if in_force is not None:
        findings += _compare(configuration, in_force)
    return tuple(findings)


def _encode(body: bytes) -> str:
    """Return the form in which the store holds a value."""
    return base64.b64encode(body).decode()


def _refusal(error: entries.EntryError) -> Finding:
    text, path = str(error), '$'
    located = PATH_AT_END.fullmatch(text)
    if located is not None:
        text, path = located.groups()
    return Finding(
        Severity.ERROR, path, f'the gateway refuses the configuration: {text}'
    )


def _compare(new: Configuration, in_force: bytes) -> list[Finding]:
    try:
        old = entries.decode_configuration(_encode(in_force))
    except entries.EntryError as error:
        text = f'the configuration in force cannot be decoded: {error}'
        return [Finding(Severity.ERROR, '$', text)]
    findings = []
    if new.version <= old.version:
        text = f'{new.version} is not above {old.version}, which is in force'
        findings.append(Finding(Severity.ERROR, '$.version', text))
    for compare in COMPARISONS:
        notes = compare(old, new)
        findings += [Finding(Severity.CHANGE, *note) for note in notes]
    return findings


def _route_key(route: entries.Route) -> RouteKey:
    """Return the requests that a route matches; hosts ignore case."""
    return route.host.lower(), route.prefix


def _weights(route: entries.Route) -> dict[str, float]:
    """Return the weights by service; ``service`` overrides a split."""
    if route.service is not None:
        return {route.service: 1.0}
    weights: dict[str, float] = {}
    # The gateway ignores the weight of a single target.
    is_single = len(route.traffic_split) == 1
    for target in route.traffic_split:
        weight = 1.0 if is_single else target.weight
        weights[target.service] = weights.get(target.service, 0) + weight
    return weights


def _shares(route: entries.Route) -> dict[str, float]:
    """Return the shares of requests by service."""
    weights = _weights(route)
    total = sum(weights.values())
    return {
        service: round(weight / total, 4)
        for service, weight in weights.items()
        if weight > 0
    }


def _accounts(configuration: Configuration) -> list[entries.ClientAccount]:
    if configuration.tenants is msgspec.UNSET:
        return []
    return configuration.tenants


def _shadowed_routes(configuration: Configuration) -> Notes:
    served = _routes(configuration)
    for position, route in enumerate(configuration.routes):
        path, winner = f'$.routes[{position}]', served[_route_key(route)][0]
        if winner != path:
            text = f'{winner} has the same host and prefix and is used instead'
            yield f'{path}.prefix', text


def _route_services(configuration: Configuration) -> Notes:
    known = {service.name for service in configuration.services}
    for position, route in enumerate(configuration.routes):
        path = f'$.routes[{position}]'
        if route.service is not None:
            if route.traffic_split:
                yield f'{path}.trafficSplit', 'service overrides the split'
            if route.service not in known:
                yield f'{path}.service', _unknown(route.service)
            continue
        if not route.traffic_split:
            yield path, 'the route has no service, so callers get 404'
        elif not _shares(route):
            text = 'all weights are 0, so all requests are refused'
            yield f'{path}.trafficSplit', text
        elif [target.weight for target in route.traffic_split] == [0]:
            text = 'a single target gets all requests in spite of weight 0'
            yield f'{path}.trafficSplit[0].weight', text
        for number, target in enumerate(route.traffic_split):
            if target.service not in known:
                place = f'{path}.trafficSplit[{number}].service'
                yield place, _unknown(target.service)


def _unknown(service: str) -> str:
    return f'no entry of services has the name {service!r}'


def _unused_services(configuration: Configuration) -> Notes:
    used = {
        service for route in configuration.routes for service in _shares(route)
    }
    last = {s.name: n for n, s in enumerate(configuration.services)}
    for position, service in enumerate(configuration.services):
        path = f'$.services[{position}].name'
        if last[service.name] != position:
            other = f'$.services[{last[service.name]}]'
            yield path, f'{other} has the same name and is used instead'
        elif service.name not in used:
            yield path, f'no route sends requests to {service.name!r}'


def _account_keys(configuration: Configuration) -> Notes:
    """Find accounts without keys, and keys that are held twice."""
    places: dict[str, str] = {}
    for position, account in enumerate(_accounts(configuration)):
        path = f'$.tenants[{position}].apiKeys'
        if not account.api_keys:
            yield path, f'the account {account.name!r} has no keys'
        for number, key in enumerate(account.api_keys):
            place = f'{path}[{number}]'
            first = places.setdefault(key, place)
            if first != place:
                yield place, f'the key is held at {first} too'


def _route_limits(configuration: Configuration) -> Notes:
    for position, route in enumerate(configuration.routes):
        path = f'$.routes[{position}]'
        for name, target in (
            ('targetLatencyMs', route.target_latency_ms),
            ('gapTargetMs', route.gap_target_ms or 0),
        ):
            if target > route.timeout_ms:
                limit = f'timeoutMs, which is {_show(route.timeout_ms)}'
                yield f'{path}.{name}', f'{_show(target)} is above {limit}'
        once = route.route_type == 'non_idempotent' or (
            route.route_type == 'streaming' and not route.resumable
        )
        if once and route.max_attempts > 1:
            text = (
                f'{route.max_attempts} is above 1, but requests run once only'
            )
            yield f'{path}.maxAttempts', text


def _quota_limits(configuration: Configuration) -> Notes:
    for position, account in enumerate(_accounts(configuration)):
        path = f'$.tenants[{position}]'
        rate, burst = account.rate_per_s, account.burst
        counts_tokens = account.unit == TOKENS_UNIT
        units = account.plain_tokens if counts_tokens else 1
        if not rate:
            if burst:
                yield f'{path}.burst', 'it has no effect without ratePerS'
            continue
        if units > (burst or rate):
            text = f'a request counts {units}, more than the burst'
            text = f'{text}, and passes only while none of the burst is used'
            yield f'{path}.burst' if burst else f'{path}.ratePerS', text
        if counts_tokens and units > rate + burst:
            total = _show(rate + burst)
            text = f'{units} is above ratePerS + burst, which is {total}'
            yield f'{path}.plainTokens', text


def _caller_limits(configuration: Configuration) -> Notes:
    limits = configuration.limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        idle = f'idleTimeoutMs, which is {_show(limits.idle_timeout_ms)}'
        text = f'{_show(limits.header_timeout_ms)} is above {idle}'
        yield '$.limits.headerTimeoutMs', text


def _engine_memory(configuration: Configuration) -> Notes:
    for position, service in enumerate(configuration.services):
        if service.engine is not None and not service.engine.kv_cache_tokens:
            path = f'$.services[{position}].engine.kvCacheTokens'
            yield path, 'the engine has no memory for prompts'


RULES: tuple[Callable[[Configuration], Notes], ...] = (
    _shadowed_routes,
    _route_services,
    _unused_services,
    _account_keys,
    _route_limits,
    _quota_limits,
    _caller_limits,
    _engine_memory,
)


def _routes(
    configuration: Configuration,
) -> dict[RouteKey, tuple[str, entries.Route]]:
    """Return the routes that match requests, with their paths."""
    routes: dict[RouteKey, tuple[str, entries.Route]] = {}
    for position, route in enumerate(configuration.routes):
        routes.setdefault(_route_key(route), (f'$.routes[{position}]', route))
    return routes


def _compare_routes(old: Configuration, new: Configuration) -> Notes:
    before, after = _routes(old), _routes(new)
    for key in before:
        if key not in after:
            yield '$.routes', f'the route {"".join(key)!r} is removed'
    for key, (path, route) in after.items():
        label = f'the route {"".join(key)!r}'
        if key not in before:
            yield path, f'{label} is added'
            continue
        previous = before[key][1]
        if _shares(previous) != _shares(route):
            shares = f'{_list(_shares(previous))} to {_list(_shares(route))}'
            yield path, f'{label} moves from {shares}'
        yield from _compare_fields(path, label, previous, route)


def _compare_accounts(old: Configuration, new: Configuration) -> Notes:
    if (old.tenants is msgspec.UNSET) != (new.tenants is msgspec.UNSET):
        need = 'no key' if new.tenants is msgspec.UNSET else 'a key'
        yield '$.tenants', f'requests need {need} from now on'
    before = {account.name: account for account in _accounts(old)}
    names = {account.name for account in _accounts(new)}
    for name, account in before.items():
        if name not in names:
            keys = len({*account.api_keys})
            yield '$.tenants', f'the account {name!r} is removed, keys: {keys}'
    for position, account in enumerate(_accounts(new)):
        path, label = f'$.tenants[{position}]', f'the account {account.name!r}'
        if account.name in before:
            previous = before[account.name]
            yield from _compare_account(path, label, previous, account)
        else:
            keys = len({*account.api_keys})
            yield path, f'{label} is added, keys: {keys}'


def _compare_account(
    path: str,
    label: str,
    old: entries.ClientAccount,
    new: entries.ClientAccount,
) -> Notes:
    added = len({*new.api_keys} - {*old.api_keys})
    withdrawn = len({*old.api_keys} - {*new.api_keys})
    if added or withdrawn:
        text = f'keys added: {added}, withdrawn: {withdrawn}'
        yield f'{path}.apiKeys', f'{label}: {text}'
    yield from _compare_fields(path, label, _in_force(old), _in_force(new))


def _in_force(account: entries.ClientAccount) -> entries.ClientAccount:
    """Return an account with the quota that its fields stand for."""
    limited = account.rate_per_s > 0
    counts_tokens = limited and account.unit == TOKENS_UNIT
    return msgspec.structs.replace(
        account,
        rate_per_s=account.rate_per_s if limited else math.inf,
        burst=account.burst or account.rate_per_s if limited else math.inf,
        unit='tokens' if counts_tokens else 'requests',
        plain_tokens=account.plain_tokens if counts_tokens else 1,
    )


def _compare_limits(old: Configuration, new: Configuration) -> Notes:
    label = "callers' requests"
    return _compare_fields('$.limits', label, old.limits, new.limits)


COMPARISONS: tuple[Callable[[Configuration, Configuration], Notes], ...] = (
    _compare_routes,
    _compare_accounts,
    _compare_limits,
)


def _compare_fields(
    path: str, label: str, old: msgspec.Struct, new: msgspec.Struct
) -> Notes:
    for field in msgspec.structs.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name in UNCOMPARED or before == after:
            continue
        change = 'changes'
        if {type(before), type(after)} <= {int, float}:
            change = 'is raised' if after > before else 'is lowered'
        name = field.encode_name
        values = f'from {_show(before)} to {_show(after)}'
        yield f'{path}.{name}', f'{label}: {name} {change} {values}'


def _show(value: float | bool | str | None) -> str:
    """Return a value as JSON has it, without a needless fraction."""
    if value == math.inf:
        return 'unlimited'
    if isinstance(value, float):
        return f'{value:.15g}'
    return json.dumps(value)


def _list(shares: dict[str, float]) -> str:
    parts = [f'{name!r} ({share:.4g})' for name, share in shares.items()]
    return ', '.join(parts) or 'no service'
