"""Reads the platform's metadata store and decodes its entries."""

import base64
import binascii
import hashlib
from typing import NamedTuple
import urllib.parse

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _ports as ports
from primrosereel.platform import _settings as settings
from primrosereel.routing import _model as model
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _table as table_module

__all__ = ['Store']

CONFIGURATION_KEY = 'op/config'
CONFIGURATION_PREFIX = 'op/'
RUNNER_PREFIX = 'servers/'
ERA_HEADER = b'Store-Era'
# An era rises by one with each return of the store.
MAX_ERA_DIGITS = 18
# How often a reading is begun while its pages belong to several histories.
MAX_READINGS = 3
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
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


class _Item(msgspec.Struct):
    """An entry of a range, or an event of a watch."""

    key: str
    value: str | None = None
    revision: int = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename='camel'):
    items: list[_Item]
    has_more: bool
    at: int


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


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


class _Target(NamedTuple):
    path: str
    query: dict[str, str | int]

    def encode(self) -> bytes:
        query = urllib.parse.urlencode(self.query, safe='/')
        return f'{self.path}?{query}'.encode()


class _Pages:
    """The pages of one reading, which must be of one history."""

    def __init__(self) -> None:
        self._changes: list[ports.StoreChange] = []
        self._revisions: list[int] = []
        self._origin = ports.NO_ORIGIN

    def add(self, page: _Page, origin: ports.StoreOrigin) -> bool:
        """Add a page; return False if it is of another history."""
        eras = {self._origin.era, origin.era} - {None}
        if len(eras) > 1 or page.at < max(self._revisions, default=0):
            return False
        self._changes.extend(map(_decode_change, page.items))
        self._revisions.append(page.at)
        if self._origin.era is None:
            self._origin = origin
        return True

    def state(self) -> ports.StoreState:
        """Return the entries and the lowest revision.

        A watch from there misses no change.
        """
        return ports.StoreState(
            tuple(self._changes),
            min(self._revisions, default=0),
            origin=self._origin,
        )


class Store:
    """Client of the store; ``call`` makes the HTTP requests."""

    def __init__(self, call: ports.HttpCall) -> None:
        self._call = call

    async def read(self) -> ports.StoreState:
        """Read the configuration and the runners, page by page.

        The reading is begun again if the store came back from a copy during
        it.
        """
        for _ in range(MAX_READINGS):
            state = await self._read_pages()
            if state is not None:
                return state
        raise ports.StoreUnavailable('the pages are of several histories')

    async def _read_pages(self) -> ports.StoreState | None:
        """Return all entries; None if the pages are of several histories."""
        pages = _Pages()
        for prefix in (CONFIGURATION_PREFIX, RUNNER_PREFIX):
            after = ''
            while True:
                query: dict[str, str | int] = {'prefix': prefix}
                if after:
                    query['after'] = after
                page, origin = await self._get(
                    _Target('/v1/kv-range', query), _Page
                )
                if not pages.add(page, origin):
                    return None
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        return pages.state()

    async def watch(self, after: int, wait_s: float) -> ports.StoreState:
        """Wait for changes after a revision.

        Raises HistoryLost if the store no longer has the changes since then.
        """
        query: dict[str, str | int] = {
            'prefix': '',
            'after': after,
            'waitMs': int(wait_s * 1000),
        }
        response, origin = await self._get(
            _Target('/v1/kv-watch', query), _Events, wait_s
        )
        relevant = [e for e in response.events if _is_relevant(e.key)]
        changes = tuple(map(_decode_change, relevant))
        if not relevant:
            return ports.StoreState(changes, response.at, origin=origin)
        return ports.StoreState(
            changes,
            response.at,
            max(event.revision for event in relevant),
            msgspec.msgpack.encode(relevant),
            origin,
        )

    def decode(self, content: bytes) -> tuple[ports.StoreChange, ...]:
        """Return the changes that another instance has read."""
        try:
            items = msgspec.msgpack.decode(content, type=list[_Item])
        except msgspec.DecodeError as error:
            raise ports.StoreUnavailable(f'notice: {error}') from error
        return tuple(map(_decode_change, items))

    async def _get(self, target: _Target, response_type, wait_s: float = 0.0):
        response = await self._call(
            b'GET', target.encode(), MAX_RESPONSE_BYTES, wait_s
        )
        origin = _read_origin(response.headers)
        if response.status == 410:
            raise ports.HistoryLost('status 410', origin)
        if response.status != 200:
            raise ports.StoreUnavailable(
                f'{target.path} returned status {response.status}', origin
            )
        try:
            body = msgspec.json.decode(response.body, type=response_type)
        except msgspec.DecodeError as error:
            raise ports.StoreUnavailable(
                f'{target.path}: {error}', origin
            ) from error
        return body, origin


def _read_origin(headers: ports.Headers) -> ports.StoreOrigin:
    name = ERA_HEADER.lower()
    values = {value for header, value in headers if header.lower() == name}
    if not values:
        return ports.NO_ORIGIN
    text = b', '.join(sorted(values))
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return ports.StoreOrigin(unreadable=text[:80].decode('latin-1'))
    return ports.StoreOrigin(ids.StoreEra(int(text)))


def _is_relevant(key: str) -> bool:
    return key.startswith(RUNNER_PREFIX) or key == CONFIGURATION_KEY


def _decode_change(item: _Item) -> ports.StoreChange:
    """Decode an item; ``unreadable`` marks one that cannot be decoded."""
    if item.key.startswith(RUNNER_PREFIX):
        runner = ids.RunnerId(item.key[len(RUNNER_PREFIX) :])
        listing = _decode_listing(runner, item)
        return ports.StoreChange(
            runner=runner_list.ListingChange(runner, listing),
            unreadable=listing is None and not item.deleted,
            revision=item.revision,
        )
    if item.key == CONFIGURATION_KEY and not item.deleted:
        table = _decode_table(item)
        return ports.StoreChange(
            table=table, unreadable=table is None, revision=item.revision
        )
    return ports.StoreChange(revision=item.revision)


def _decode_value(item: _Item, value_type):
    if item.deleted or item.value is None:
        return None
    try:
        body = base64.b64decode(item.value, validate=True)
        return msgspec.json.decode(body, type=value_type)
    except (
        binascii.Error,
        ValueError,
        msgspec.DecodeError,
        RecursionError,
    ):
        # A value that is nested too deeply raises RecursionError.
        return None


def _decode_listing(
    runner: ids.RunnerId, item: _Item
) -> model.RunnerListing | None:
    entry = _decode_value(item, _Runner)
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


def _decode_table(item: _Item) -> table_module.RoutingTable | None:
    configuration = _decode_value(item, _Configuration)
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
        hashlib.sha256((item.value or '').encode()).hexdigest(),
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
