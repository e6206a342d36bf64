"""HTTP stand-in of the platform: configuration and instance list."""

from typing import Any

import anyio
from anyio import abc
import httpx
import msgspec

from primrosereel.standin import _faults as faults
from primrosereel.standin import _http as http
from primrosereel.standin import _listing as listing

__all__ = ['PlatformConfig', 'PlatformCounters', 'serve_platform']

# A longer watch ends after this time; the reader then sends a new one.
MAX_WATCH_S = 60.0
MAX_TEXT_BYTES = 1_000_000


class PlatformConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of the platform stand-in.

    ``text`` is the first configuration and ``revision`` its revision, so that
    a restarted platform continues from its last one. With the defaults there
    is no configuration yet.
    """

    text: str = ''
    revision: int = 0
    poll_s: float = 0.5
    poll_timeout_s: float = 0.4
    candidates: tuple[listing.Candidate, ...] = ()


class PlatformCounters(msgspec.Struct):
    """Counts of readers' calls and of the bytes sent to them.

    ``reads`` counts configuration calls including watches;
    ``watches_waiting`` is the number of watches that wait now.
    """

    reads: int = 0
    watches_waiting: int = 0
    watches_highest: int = 0
    list_reads: int = 0
    bytes_served: int = 0
    dropped: int = 0


class RevisionAnswer(msgspec.Struct):
    """Answer to a new configuration: its revision."""

    revision: int


class PlatformService:
    """Handlers of the two read calls and of the tests' control calls."""

    def __init__(
        self, config: PlatformConfig, instances: listing.Listing
    ) -> None:
        self._listing = instances
        self._faults = faults.PlatformFaults()
        self._counters = PlatformCounters()
        self._revision = config.revision
        self._texts = {config.revision: config.text.encode()}
        self._changed = anyio.Event()
        self._routes = {
            ('GET', '/v1/configuration'): self._configuration,
            ('GET', '/v1/instances'): self._instances,
            ('PUT', '/standin/configuration'): self._set_configuration,
            ('PUT', '/standin/candidates'): self._set_candidates,
            ('POST', '/standin/faults'): self._set_faults,
            ('GET', '/standin/counters'): self._get_counters,
        }

    async def handle(self, call: http.Call) -> None:
        """Answer one call."""
        handler = self._routes.get((call.method, call.path))
        if handler is None:
            await call.reply(http.Refusal('unknown call'), 404)
            return
        if call.path.startswith('/v1/'):
            await anyio.sleep(self._faults.delay_s)
        await handler(call)

    def _served_revision(self) -> int:
        stale_revision = self._faults.stale_revision
        if stale_revision > 0 and stale_revision in self._texts:
            return stale_revision
        return self._revision

    async def _configuration(self, call: http.Call) -> None:
        self._counters.reads += 1
        after = int(call.query_number('after'))
        wait_s = min(MAX_WATCH_S, call.query_number('wait'))
        if wait_s > 0 and self._served_revision() <= after:
            await self._watch(call, after, wait_s)
        if self._faults.down:
            await self._drop(call)
            return
        revision = self._served_revision()
        if revision <= after:
            await call.start(204)
            await call.write(b'', more=False)
            return
        body = self._texts[revision]
        self._counters.bytes_served += len(body)
        await call.reply_bytes(
            body,
            200,
            b'application/json',
            ((b'x-revision', str(revision).encode()),),
        )

    async def _watch(self, call: http.Call, after: int, wait_s: float) -> None:
        """Wait for a newer revision.

        Returns early on an outage, after ``wait_s`` or if the caller
        disconnects.
        """
        counters = self._counters
        counters.watches_waiting += 1
        counters.watches_highest = max(
            counters.watches_highest, counters.watches_waiting
        )
        try:
            with anyio.move_on_after(wait_s):
                async with anyio.create_task_group() as group:
                    group.start_soon(self._cancel_on_disconnect, call, group)
                    await self._wait_for_revision(after)
                    group.cancel_scope.cancel()
        finally:
            counters.watches_waiting -= 1

    async def _wait_for_revision(self, after: int) -> None:
        while not self._faults.down and self._served_revision() <= after:
            await self._changed.wait()

    async def _cancel_on_disconnect(
        self, call: http.Call, group: abc.TaskGroup
    ) -> None:
        await call.wait_disconnected()
        group.cancel_scope.cancel()

    async def _instances(self, call: http.Call) -> None:
        self._counters.list_reads += 1
        if self._faults.list_down:
            await self._drop(call)
            return
        body = msgspec.json.encode(self._listing.visible_list(self._faults))
        self._counters.bytes_served += len(body)
        await call.reply_bytes(body, 200, b'application/json')

    async def _drop(self, call: http.Call) -> None:
        self._counters.dropped += 1
        await call.drop()

    async def _set_configuration(self, call: http.Call) -> None:
        text = await call.body()
        if len(text) > MAX_TEXT_BYTES:
            raise http.BadRequest('the configuration is above 1 MB')
        self._revision += 1
        self._texts[self._revision] = text
        self._wake_watches()
        await call.reply(RevisionAnswer(self._revision))

    async def _set_candidates(self, call: http.Call) -> None:
        kind = tuple[listing.Candidate, ...]
        self._listing.set_candidates(await call.decode_body(kind))
        await call.reply(self._listing.visible_list(self._faults))

    async def _set_faults(self, call: http.Call) -> None:
        values: dict[str, Any] = await call.decode_body(dict[str, Any])
        try:
            self._faults = faults.with_changes(self._faults, values)
        except faults.FaultError as error:
            raise http.BadRequest(str(error)) from error
        self._listing.frozen = self._faults.frozen_list
        self._wake_watches()
        await call.reply(self._faults)

    async def _get_counters(self, call: http.Call) -> None:
        await call.reply(self._counters)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


async def serve_platform(
    config: PlatformConfig,
    listen: str = '127.0.0.1:0',
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the platform until cancelled; see ``serve_engine``."""
    async with (
        httpx.AsyncClient(timeout=config.poll_timeout_s) as client,
        anyio.create_task_group() as group,
    ):
        instances = listing.Listing(client, config.poll_s)
        instances.set_candidates(config.candidates)
        service = PlatformService(config, instances)
        group.start_soon(instances.poll)
        app = http.App(service.handle)
        task_status.started(await group.start(http.serve, app, listen))
