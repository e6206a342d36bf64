"""Stand-in of the users' metadata store: keys, revisions, watches, history."""

import base64
import dataclasses
import enum
from typing import Any
from typing import NamedTuple
import urllib.parse

import anyio
import msgspec

from primrosereel.standin import _raw_http as raw_http

__all__ = ['MetadataStore', 'StoreCopy', 'StoreMode']

PAGE_ITEMS = 50
MAX_WAIT_MS = 30_000


class StoreMode(enum.Enum):
    """Availability of the store: ``busy`` answers every call with 503."""

    UP = 'up'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    key: str
    revision: int
    value: bytes | None

    def as_item(self) -> dict[str, Any]:
        if self.value is None:
            return {
                'key': self.key,
                'revision': self.revision,
                'deleted': True,
            }
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }


class StoreCopy(NamedTuple):
    """The items, the history and the revision of one moment."""

    items: dict[str, _Event]
    history: list[_Event]
    history_start: int
    revision: int


class MetadataStore:
    """Items under one revision number, which every write increments.

    ``era`` is sent with every answer and counts the returns from a copy; None
    stands for a store without the header.
    """

    def __init__(self) -> None:
        self.server = raw_http.RawServer(self._handle)
        self.mode = StoreMode.UP
        self.era: int | None = 1
        self.calls = 0
        # Range calls get 503 while watches are still answered.
        self.ranges_refused = False
        self._items: dict[str, _Event] = {}
        self._history: list[_Event] = []
        self._revision = 1
        self._history_start = 1
        self._changed = anyio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write an item; a value that is not bytes is encoded as JSON."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self._write(key, value)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self._write(key, None)

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            dict(self._items),
            list(self._history),
            self._history_start,
            self._revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost.

        The revisions after the copy's are given out again.
        """
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._history_start = copy.history_start
        self._revision = copy.revision
        if self.era is not None:
            self.era += 1
        self._notify()

    def forget_history(self) -> None:
        """Drop the history, so that waiting watches are answered with 410."""
        self._history.clear()
        self._revision += 1
        self._history_start = self._revision + 1
        self._notify()

    def _write(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        event = _Event(key, self._revision, value)
        self._history.append(event)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = event
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _handle(self, request: raw_http.Request) -> raw_http.Answer:
        answer = await self._answer(request)
        if self.era is not None:
            answer.headers.append((b'Store-Era', b'%d' % self.era))
        return answer

    async def _answer(self, request: raw_http.Request) -> raw_http.Answer:
        self.calls += 1
        if self.mode is StoreMode.BUSY:
            return raw_http.Answer(503)
        self._raise_if_unavailable()
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == '/v1/kv-range':
            if self.ranges_refused:
                return raw_http.Answer(503)
            return self._range(query)
        if request.path == '/v1/kv-watch':
            answer = await self._watch(query)
            # A store that failed during the wait does not answer the watch.
            self._raise_if_unavailable()
            return answer
        return raw_http.Answer(404)

    def _raise_if_unavailable(self) -> None:
        if self.mode is StoreMode.RESET:
            raise raw_http.Reset
        if self.mode is StoreMode.SILENT:
            raise raw_http.Silence

    def _range(self, query: dict[str, str]) -> raw_http.Answer:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page = keys[:PAGE_ITEMS]
        return _json(
            {
                'items': [self._items[key].as_item() for key in page],
                'hasMore': len(keys) > len(page),
                'at': self._revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> raw_http.Answer:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        wait_s = min(int(query['waitMs']), MAX_WAIT_MS) / 1000
        with anyio.move_on_after(wait_s):
            while True:
                if not self._history_start <= after + 1 <= self._revision + 1:
                    return raw_http.Answer(410)
                events = [
                    event.as_item()
                    for event in self._history
                    if event.revision > after and event.key.startswith(prefix)
                ]
                if events:
                    return _json({'events': events, 'at': self._revision})
                await self._changed.wait()
        return _json({'events': [], 'at': self._revision})


def _json(value: Any) -> raw_http.Answer:
    return raw_http.Answer(
        200,
        [(b'Content-Type', b'application/json')],
        msgspec.json.encode(value),
    )
