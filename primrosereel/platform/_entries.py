"""Decodes the values of the platform's entries."""

import base64
import binascii
import hashlib

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.platform import _settings as settings
from primrosereel.routing import _model as model
from primrosereel.routing import _table as table_module

__all__ = ['decode_listing', 'decode_table']

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
LEAVING_BY_STATE = {'ready': False, 'draining': True}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 5
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[_Split] = []
    resumable: bool = False
    gap_target_ms: float | None = None


class _Engine(msgspec.Struct, rename='camel'):
    slots: int = 1
    kv_cache_tokens: int = 0
    kv_token_bytes: float = 0
    link_mbps: float = 0
    handle_ttl_s: float = 0.5
    stage_switch_s: float = 6.0
    moves: bool = False


class _Service(msgspec.Struct, rename='camel'):
    name: str
    health_path: str = '/health'
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Runner(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    sequence: int
    version: str = ''
    cold_remaining_ms: float = 0
    stage: str | None = None
    # Start time of the runner in Unix milliseconds.
    born: int = 0


def _decode_value(value: str | None, value_type):
    if value is None:
        return None
    try:
        body = base64.b64decode(value, validate=True)
        return msgspec.json.decode(body, type=value_type)
    except (
        binascii.Error,
        ValueError,
        msgspec.DecodeError,
        RecursionError,
    ):
        # A value that is nested too deeply raises RecursionError.
        return None


def decode_listing(
    runner: ids.RunnerId, value: str | None
) -> model.RunnerListing | None:
    """Decode a runner's entry; None if it names no runner to use."""
    entry = _decode_value(value, _Runner)
    if entry is None or entry.state not in LEAVING_BY_STATE:
        return None
    if entry.stage not in ROLES_BY_STAGE or entry.slots < 1:
        return None
    if not _is_header_value(runner):
        return None
    try:
        address = settings.parse_address(entry.address)
    except ValueError:
        return None
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


def _is_header_value(text: str) -> bool:
    """Tell whether a text can be sent in a header, as a runner's id is."""
    return bool(text) and text.isprintable() and text == text.strip()


def decode_table(value: str | None) -> table_module.RoutingTable | None:
    """Decode a configuration; None if it cannot be used."""
    configuration = _decode_value(value, _Configuration)
    if configuration is None:
        return None
    if any(
        route.route_type not in ROUTE_KINDS for route in configuration.routes
    ):
        return None
    limits = configuration.limits
    return table_module.RoutingTable(
        configuration.version,
        map(_to_route, configuration.routes),
        map(_to_service, configuration.services),
        model.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        hashlib.sha256((value or '').encode()).hexdigest(),
    )


def _to_route(route: _Route) -> model.Route:
    targets = route.traffic_split
    if route.service is not None:
        targets = [_Split(route.service, 1.0)]
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
    )


def _to_service(service: _Service) -> model.Service:
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
