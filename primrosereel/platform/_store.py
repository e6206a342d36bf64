"""Reads the platform's metadata store."""

import dataclasses
from typing import NamedTuple
import urllib.parse

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.gateway import _ports as ports
from primrosereel.platform import _entries as entries
from primrosereel.platform import _steps as steps
from primrosereel.routing import _runner_list as runner_list

__all__ = ['Store']

CONFIGURATION_KEY = 'op/config'
CONFIGURATION_PREFIX = 'op/'
RUNNER_PREFIX = 'servers/'
ERA_HEADER = b'Store-Era'
# An era rises by one with each return of the store.
MAX_ERA_DIGITS = 18
# How often a reading is begun while its pages belong to several histories.
MAX_READINGS = 3
# Entries that are decoded in one step. An answer may have the entries of
# thousands of runners.
DECODED_PER_STEP = 100
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class _Item(msgspec.Struct):
    """An entry of a range, or an event of a watch."""

    key: str
    value: str | None = None
    revision: numbers.Revision = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename='camel'):
    items: list[_Item]
    has_more: bool
    at: numbers.Revision


class _Events(msgspec.Struct):
    events: list[_Item]
    at: numbers.Revision


class _Target(NamedTuple):
    path: str
    query: dict[str, str | int]

    def encode(self) -> bytes:
        query = urllib.parse.urlencode(self.query, safe='/')
        return f'{self.path}?{query}'.encode()


class _Pages:
    """The pages of one reading, which must be of one history."""

    def __init__(self) -> None:
        self._items: list[_Item] = []
        self._revisions: list[int] = []
        self._origin = ports.NO_ORIGIN

    def add(self, page: _Page, origin: ports.StoreOrigin) -> bool:
        """Add a page; return False if it is of another history."""
        eras = {self._origin.era, origin.era} - {None}
        if len(eras) > 1 or page.at < max(self._revisions, default=0):
            return False
        self._items.extend(page.items)
        self._revisions.append(page.at)
        if self._origin.era is None:
            self._origin = origin
        return True

    async def state(self) -> ports.StoreState:
        """Return the entries and the lowest revision.

        A watch from there misses no change.
        """
        return ports.StoreState(
            await steps.run_in_turns(_change_steps(self._items)),
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
        return await pages.state()

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
        changes = await steps.run_in_turns(_change_steps(relevant))
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
        return steps.run_at_once(_change_steps(items))

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


def _change_steps(
    items: list[_Item],
) -> steps.Steps[tuple[ports.StoreChange, ...]]:
    """Decode items; a change's ``fault`` says why it cannot be used."""
    changes: list[ports.StoreChange] = []
    for number, item in enumerate(items, 1):
        changes.append((yield from _decode_change(item)))
        if number % DECODED_PER_STEP == 0:
            yield
    return tuple(changes)


def _decode_change(item: _Item) -> steps.Steps[ports.StoreChange]:
    change = ports.StoreChange(item.key, revision=item.revision)
    if item.key.startswith(RUNNER_PREFIX):
        return _decode_runner(item, change)
    if item.key != CONFIGURATION_KEY or item.deleted:
        return change
    try:
        table = yield from entries.table_steps(item.value)
    except entries.EntryError as error:
        return dataclasses.replace(
            change, fault=error.fault, detail=str(error)
        )
    return dataclasses.replace(change, table=table)


def _decode_runner(
    item: _Item, change: ports.StoreChange
) -> ports.StoreChange:
    runner = ids.RunnerId(item.key[len(RUNNER_PREFIX) :])
    if item.deleted:
        removal = runner_list.ListingChange(runner, None)
        return dataclasses.replace(change, runner=removal)
    try:
        listing = entries.decode_listing(runner, item.value)
    except entries.EntryError as error:
        out_of_range = error.fault is ports.EntryFault.OUT_OF_RANGE
        return dataclasses.replace(
            change,
            runner=runner_list.ListingChange(runner, None, out_of_range),
            fault=error.fault,
            detail=str(error),
        )
    return dataclasses.replace(
        change, runner=runner_list.ListingChange(runner, listing)
    )
