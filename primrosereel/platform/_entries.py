"""Decodes the values of the platform's entries."""

import base64
from collections.abc import Callable
import hashlib
import re
from typing import TypeVar

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel import _states as states
from primrosereel.gateway import _ports as ports
from primrosereel.platform import _settings as settings
from primrosereel.platform import _steps as steps
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _model as model
from primrosereel.routing import _table as table_module

__all__ = [
    'ClientAccount',
    'Configuration',
    'EntryError',
    'Route',
    'decode_configuration',
    'decode_listing',
    'table_steps',
]

Fault = ports.EntryFault
Body = TypeVar('Body', bound=msgspec.Struct)
Converted = TypeVar('Converted')

ROUTE_KINDS = {
    'idempotent': model.RouteKind.IDEMPOTENT,
    'non_idempotent': model.RouteKind.NON_IDEMPOTENT,
    'streaming': model.RouteKind.STREAMING,
}
ROLES_BY_STAGE = {
    None: states.Role.PLAIN,
    'prefill': states.Role.PREFILL,
    'decode': states.Role.DECODE,
}
MAX_DETAIL_LENGTH = 200
# Routes or services that are converted in one step; a configuration may have
# tens of thousands, which would hold the event loop for too long.
CONVERTED_PER_STEP = 200
JSON_NUMBER = re.compile(rb'-?[0-9][0-9.eE+-]*')
# Keys that are checked and hashed in one step; each takes about 2 us.
KEYS_PER_STEP = 1000
# A quota with any other unit counts requests.
QUOTA_UNITS = {'token_count': client_accounts.QuotaUnit.TOKENS}
LEAVING_BY_STATE = {'ready': False, 'draining': True}


class Split(msgspec.Struct):
    service: str
    weight: numbers.Weight


class Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: numbers.PositiveMs
    target_latency_ms: numbers.DurationMs = 1000
    priority: numbers.Priority = 5
    max_attempts: numbers.Attempts = 1
    service: str | None = None
    traffic_split: list[Split] = []
    resumable: bool = False
    gap_target_ms: numbers.DurationMs | None = None
    public: bool = False


class Engine(msgspec.Struct, rename='camel'):
    slots: numbers.Slots = 1
    kv_cache_tokens: numbers.Whole = 0
    kv_token_bytes: numbers.Rate = 0
    link_mbps: numbers.Rate = 0
    handle_ttl_s: numbers.DurationS = 0.5
    stage_switch_s: numbers.DurationS = 6.0
    moves: bool = False


class Service(msgspec.Struct, rename='camel'):
    name: str
    health_path: str = '/health'
    max_connections: numbers.Whole = 100
    engine: Engine | None = None


class Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: numbers.HeadBytes = 16384
    max_body_bytes: numbers.Bytes = 4194304
    header_timeout_ms: numbers.PositiveMs = 3000
    idle_timeout_ms: numbers.PositiveMs = 15000


class ClientAccount(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: numbers.Priority | None = None
    unit: str = ''
    plain_tokens: numbers.Tokens = 1
    rate_per_s: numbers.Rate = 0
    burst: numbers.Rate = 0


class Configuration(msgspec.Struct):
    version: numbers.Whole
    routes: list[Route]
    services: list[Service]
    limits: Limits = msgspec.field(default_factory=Limits)
    # Not null: a mistake there must not switch authentication off.
    tenants: list[ClientAccount] | msgspec.UnsetType = msgspec.UNSET


class _Runner(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    slots: numbers.Slots
    sequence: numbers.Whole
    version: str = ''
    cold_remaining_ms: numbers.DurationMs = 0
    stage: str | None = None
    # Start time of the runner in Unix milliseconds.
    born: numbers.UnixMs = 0


class _AnyNumbers(msgspec.Struct, rename='camel'):
    """A runner's entry whose numbers are of any size."""

    service: str
    address: str
    zone: str
    state: str
    slots: msgspec.Raw
    sequence: msgspec.Raw
    version: str = ''
    cold_remaining_ms: msgspec.Raw = msgspec.Raw(b'0')
    stage: str | None = None
    born: msgspec.Raw = msgspec.Raw(b'0')

    def has_numbers(self) -> bool:
        """Tell whether all values that must be numbers are numbers."""
        values = (
            self.slots,
            self.sequence,
            self.cold_remaining_ms,
            self.born,
        )
        return all(
            JSON_NUMBER.fullmatch(bytes(value)) is not None for value in values
        )


class EntryError(Exception):
    """An entry cannot be used; the text says why.

    Texts of another writer, which a detail may quote, can be of any length.
    """

    def __init__(self, detail: str, fault: Fault = Fault.UNREADABLE) -> None:
        super().__init__(detail[:MAX_DETAIL_LENGTH])
        self.fault = fault


def decode_listing(
    runner: ids.RunnerId, value: str | None
) -> model.RunnerListing:
    """Decode a runner's entry; raise EntryError for one that is not valid."""
    body = _decode_text(value)
    try:
        entry = _decode_body(body, _Runner)
    except EntryError as error:
        # Raises another error if the numbers are not the only fault.
        shape = _decode_body(body, _AnyNumbers)
        _check_runner(runner, shape)
        if shape.has_numbers():
            raise EntryError(str(error), Fault.OUT_OF_RANGE) from error
        raise
    _check_runner(runner, entry)
    try:
        address = settings.parse_address(entry.address)
    except settings.PortOutOfRange as error:
        raise EntryError(str(error), Fault.OUT_OF_RANGE) from error
    except ValueError as error:
        raise EntryError(str(error)) from error
    return model.RunnerListing(
        runner,
        ids.ServiceId(entry.service),
        address,
        ids.AvailabilityZone(entry.zone),
        ROLES_BY_STAGE[entry.stage],
        entry.slots,
        LEAVING_BY_STATE[entry.state],
        entry.cold_remaining_ms / 1000,
        entry.born,
        entry.sequence,
    )


def _decode_text(value: str | None) -> bytes:
    if value is None:
        raise EntryError('no value')
    try:
        return base64.b64decode(value, validate=True)
    except ValueError as error:
        raise EntryError(str(error)) from error


def _decode_body(body: bytes, body_type: type[Body]) -> Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except (ValueError, RecursionError) as error:
        # A value that is nested too deeply raises RecursionError.
        raise EntryError(str(error)) from error


def _check_runner(runner: ids.RunnerId, entry: _Runner | _AnyNumbers) -> None:
    """Raise EntryError for an entry that names no runner to use."""
    if not _is_header_value(runner):
        raise EntryError('the id cannot be sent in a header')
    if entry.state not in LEAVING_BY_STATE:
        raise EntryError('the state is not known')
    if entry.stage not in ROLES_BY_STAGE:
        raise EntryError('the stage is not known')


def _is_header_value(text: str) -> bool:
    """Tell whether a text can be sent in a header, as a runner's id is."""
    return bool(text) and text.isprintable() and text == text.strip()


def decode_configuration(value: str | None) -> Configuration:
    """Decode a configuration's fields; raise EntryError on a wrong one.

    ``table_steps`` refuses some of the values that this accepts.
    """
    return _decode_body(_decode_text(value), Configuration)


def table_steps(
    value: str | None,
) -> steps.Steps[table_module.RoutingTable]:
    """Decode a configuration; raise EntryError for one that is not valid.

    Example::

        table = await steps.run_in_turns(table_steps(value))
    """
    body = _decode_text(value)
    yield
    configuration = _decode_body(body, Configuration)
    yield
    for position, route in enumerate(configuration.routes):
        if route.route_type not in ROUTE_KINDS:
            path = f'$.routes[{position}].routeType'
            raise EntryError(f'the type of a route is not known - {path}')
    routes = yield from _convert(configuration.routes, _to_route)
    services = yield from _convert(configuration.services, _to_service)
    accounts = None
    if configuration.tenants is not msgspec.UNSET:
        accounts = yield from _convert_accounts(configuration.tenants)
    digest = hashlib.sha256((value or '').encode()).hexdigest()
    yield
    limits = configuration.limits
    return table_module.RoutingTable(
        configuration.version,
        routes,
        services,
        model.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        digest,
        accounts,
    )


def _convert(
    bodies: list[Body], convert: Callable[[Body], Converted]
) -> steps.Steps[list[Converted]]:
    converted: list[Converted] = []
    for start in range(0, len(bodies), CONVERTED_PER_STEP):
        part = bodies[start : start + CONVERTED_PER_STEP]
        converted.extend(map(convert, part))
        yield
    return converted


def _to_route(route: Route) -> model.Route:
    targets = route.traffic_split
    if route.service is not None:
        targets = [Split(route.service, 1.0)]
    gap_ms = route.gap_target_ms
    return model.Route(
        route.name,
        route.host,
        route.prefix,
        ROUTE_KINDS[route.route_type],
        tuple(
            model.WeightedService(ids.ServiceId(t.service), t.weight)
            for t in targets
        ),
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        route.max_attempts,
        route.priority,
        route.resumable,
        None if gap_ms is None else gap_ms / 1000,
        route.public,
    )


def _convert_accounts(
    bodies: list[ClientAccount],
) -> steps.Steps[client_accounts.ClientAccounts]:
    """Index the accounts; raise EntryError for one that is not valid.

    The error names the place of the account and none of its values.
    """
    accounts = client_accounts.ClientAccounts()
    unfinished_keys = 0
    for position, body in enumerate(bodies):
        path = f'$.tenants[{position}]'
        if not _is_header_value(body.name):
            raise EntryError(f'the name cannot be sent in a header - {path}')
        if ids.ClientAccountId(body.name) in accounts.by_name:
            raise EntryError(f'two accounts have the same name - {path}')
        account = _to_account(body)
        accounts.add(account, ())
        for start in range(0, len(body.api_keys), KEYS_PER_STEP):
            keys = body.api_keys[start : start + KEYS_PER_STEP]
            _add_keys(accounts, account, keys, path)
            unfinished_keys += len(keys)
            if unfinished_keys >= KEYS_PER_STEP:
                unfinished_keys = 0
                yield
        if position % CONVERTED_PER_STEP == CONVERTED_PER_STEP - 1:
            yield
    return accounts


def _add_keys(
    accounts: client_accounts.ClientAccounts,
    account: client_accounts.ClientAccount,
    texts: list[str],
    path: str,
) -> None:
    keys = [text.encode() for text in texts]
    if not all(map(client_accounts.is_key, keys)):
        raise EntryError(f'a key cannot be sent in a header - {path}.apiKeys')
    try:
        accounts.add(account, keys)
    except client_accounts.DuplicateKey as error:
        raise EntryError(
            f'a key belongs to another account too - {path}.apiKeys'
        ) from error


def _to_account(body: ClientAccount) -> client_accounts.ClientAccount:
    quota = None
    if body.rate_per_s > 0:
        unit = QUOTA_UNITS.get(body.unit, client_accounts.QuotaUnit.REQUESTS)
        counts_tokens = unit is client_accounts.QuotaUnit.TOKENS
        quota = client_accounts.Quota(
            body.rate_per_s,
            # Without a burst of its own, an account may use one second's rate.
            body.burst or body.rate_per_s,
            unit,
            body.plain_tokens if counts_tokens else 1,
        )
    return client_accounts.ClientAccount(
        ids.ClientAccountId(body.name), body.priority, quota
    )


def _to_service(service: Service) -> model.Service:
    engine = None
    if service.engine is not None:
        engine = model.Engine(
            service.engine.slots,
            service.engine.kv_cache_tokens,
            service.engine.kv_token_bytes,
            service.engine.link_mbps,
            service.engine.handle_ttl_s,
            service.engine.stage_switch_s,
            service.engine.moves,
        )
    return model.Service(
        ids.ServiceId(service.name),
        service.health_path,
        service.max_connections,
        engine,
    )
