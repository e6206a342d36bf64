"""HTTP stand-in of an engine: the engine model run on the monotonic clock.

The handle of a KV cache is ``<address>/<request id>`` of the prefill engine.
A decode engine calls that address to read and to release the cache. Streams
are woken once per decode step.
"""

import random
import time
from typing import Any

import anyio
from anyio import abc
import httpx

from primrosereel.standin import _engine_bodies as bodies
from primrosereel.standin import _engine_stream as engine_stream
from primrosereel.standin import _faults as faults
from primrosereel.standin import _http as http
from primrosereel.standin import _model as model
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['serve_engine']

PIN_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 2.0

Outcome = types.Outcome
State = types.State

STATUS_BY_OUTCOME = {
    Outcome.FULL: 503,
    Outcome.LEAVING: 503,
    Outcome.NOT_FOUND: 404,
    Outcome.NO_MODEL: 404,
    Outcome.CONFLICT: 409,
    Outcome.WRONG_ROLE: 409,
    Outcome.OLD_TOKEN: 409,
}


class EngineService:
    """Handlers of the engine interface and the task that runs the model."""

    def __init__(
        self, engine: model.EngineModel, client: httpx.AsyncClient
    ) -> None:
        self.address = ''
        self._engine = engine
        self._client = client
        self._streams = engine_stream.Streams(engine)
        self._pending_prefills: dict[str, types.PrefillEnded | None] = {}
        self._imports: dict[str, str] = {}
        self._wake_up = anyio.Event()
        self._group: abc.TaskGroup | None = None
        self._restart_at: float | None = None
        self._routes = {
            ('POST', '/v1/prefill'): self._prefill,
            ('POST', '/v1/decode'): self._decode,
            ('GET', '/v1/requests'): self._requests,
            ('GET', '/v1/load'): self._load,
            ('GET', '/v1/cache-events'): self._cache_events,
            ('POST', '/v1/orders'): self._order,
            ('GET', '/v1/state'): self._state,
            ('GET', '/standin/counters'): self._counters,
            ('POST', '/standin/faults'): self._set_faults,
            ('GET', '/standin/faults'): self._get_faults,
        }
        self._request_routes = {
            ('GET', 'stream'): self._reattach,
            ('POST', 'pause'): self._pause,
            ('POST', 'resume'): self._resume,
            ('DELETE', ''): self._cancel,
        }

    async def drive(self) -> None:
        """Advance the model at its events and at each decode step."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._wake_up = anyio.Event()
                now = anyio.current_time()
                self._restart_if_due(now)
                for event in self._engine.advance(now):
                    self._handle_event(event)
                self._streams.wake()
                due = min(self._engine.next_event(), self._engine.next_step())
                due = min(due, self._restart_at or due)
                with anyio.move_on_after(due - now):
                    await self._wake_up.wait()

    async def handle(self, call: http.Call) -> None:
        """Answer one call, or apply a fault that affects whole calls."""
        control = call.path.startswith('/standin/')
        if not control and await self._apply_call_fault(call):
            return
        handler = self._routes.get((call.method, call.path))
        if handler is not None:
            await handler(call)
        elif call.path.startswith('/standin/exports/'):
            await self._export(call)
        else:
            await self._handle_request(call)
        self._wake_up.set()

    async def _handle_request(self, call: http.Call) -> None:
        parts = call.path.split('/')
        if parts[:3] == ['', 'v1', 'requests'] and len(parts) in (4, 5):
            action = parts[4] if len(parts) == 5 else ''
            handler = self._request_routes.get((call.method, action))
            if handler is not None:
                await handler(call, parts[3])
                return
        await call.reply(http.Refusal('unknown call'), 404)

    async def _apply_call_fault(self, call: http.Call) -> bool:
        """Apply a fault to the call; false if none is in effect."""
        active_faults = self._engine.faults
        if not self._engine.alive:
            await call.drop()
        elif faults.consume(active_faults, 'hang'):
            await call.wait_disconnected()
        elif faults.consume(active_faults, 'endless_headers'):
            await call.endless_headers()
        elif faults.consume(active_faults, 'endless_body'):
            await call.endless_body()
        else:
            return False
        return True

    def _handle_event(self, event: types.Event) -> None:
        if isinstance(event, types.PrefillEnded):
            if event.request_id in self._pending_prefills:
                self._pending_prefills[event.request_id] = event
        elif isinstance(event, types.ImportEnded):
            handle = self._imports.pop(event.request_id, None)
            if handle is not None and self._group is not None:
                self._group.start_soon(self._release_export, handle, event.ok)

    def _restart_if_due(self, now: float) -> None:
        if self._restart_at is not None and now >= self._restart_at:
            self._restart_at = None
            self._engine.restart(now)

    async def _refuse(self, call: http.Call, outcome: Outcome) -> None:
        if outcome is Outcome.DROPPED:
            await call.drop()
            return
        leaving = outcome is Outcome.LEAVING
        refusal = http.Refusal(outcome.value, leaving=leaving)
        await call.reply(refusal, STATUS_BY_OUTCOME[outcome])

    async def _prefill(self, call: http.Call) -> None:
        body: bodies.PrefillBody = await call.decode_body(bodies.PrefillBody)
        outcome = self._engine.prefill(
            body.request_id,
            tokens.describe_prompt(body.prompt),
            body.priority,
            anyio.current_time(),
            body.lease_s,
            body.model,
        )
        if outcome is not Outcome.OK:
            await self._refuse(call, outcome)
            return
        self._pending_prefills[body.request_id] = None
        self._wake_up.set()
        while (ended := self._pending_prefills[body.request_id]) is None:
            if self._engine.state_of(body.request_id) is None:
                break
            await self._streams.wait()
        del self._pending_prefills[body.request_id]
        if not self._engine.alive:
            await call.drop()
        elif ended is None:
            await call.reply(http.Refusal('cancelled', ran=True), 409)
        else:
            handle = f'{self.address}/{ended.kv.handle}'
            kv = bodies.KvBody(
                handle, ended.kv.runner, ended.kv.tokens, ended.kv.bytes
            )
            await call.reply(
                bodies.PrefillAnswer(body.request_id, kv, ended.cached_tokens)
            )

    async def _decode(self, call: http.Call) -> None:
        body: bodies.DecodeBody = await call.decode_body(bodies.DecodeBody)
        prompt = tokens.describe_prompt(body.prompt)
        outcome = self._engine.check_decode(
            body.request_id,
            prompt,
            body.max_tokens,
            anyio.current_time(),
            body.model,
        )
        if outcome is not Outcome.OK:
            await self._refuse(call, outcome)
            return
        if not await self._pin_export(body.kv.handle):
            await call.reply(http.Refusal('kv_gone'), 410)
            return
        now = anyio.current_time()
        outcome = self._engine.decode(
            body.request_id,
            prompt,
            body.max_tokens,
            body.kv.bytes,
            body.priority,
            body.offset,
            now,
            body.model,
        )
        if outcome is not Outcome.OK:
            await self._release_export(body.kv.handle, False)
            await self._refuse(call, outcome)
            return
        self._imports[body.request_id] = body.kv.handle
        self._wake_up.set()
        await self._send_stream(call, body.request_id, body.offset)

    async def _reattach(self, call: http.Call, request_id: str) -> None:
        offset = int(call.query_number('offset'))
        await self._send_stream(call, request_id, offset)

    async def _send_stream(
        self, call: http.Call, request_id: str, offset: int
    ) -> None:
        if not await self._streams.send(call, request_id, offset):
            await self._refuse(call, Outcome.NOT_FOUND)

    async def _pause(self, call: http.Call, request_id: str) -> None:
        outcome = self._engine.pause(request_id, anyio.current_time())
        await self._reply_after_move(call, request_id, outcome, State.PAUSING)

    async def _resume(self, call: http.Call, request_id: str) -> None:
        outcome = self._engine.resume(request_id, anyio.current_time())
        await self._reply_after_move(call, request_id, outcome, State.RESUMING)

    async def _reply_after_move(
        self,
        call: http.Call,
        request_id: str,
        outcome: Outcome,
        transitional: State,
    ) -> None:
        """Answer once a stream has left the transitional state."""
        if outcome is not Outcome.OK:
            await self._refuse(call, outcome)
            return
        self._wake_up.set()
        while (state := self._engine.state_of(request_id)) is transitional:
            await self._streams.wait()
        if state is None:
            await self._refuse(call, Outcome.NOT_FOUND)
        else:
            await call.reply(bodies.RequestAnswer(request_id, state))

    async def _cancel(self, call: http.Call, request_id: str) -> None:
        outcome = self._engine.cancel(request_id, anyio.current_time())
        if outcome is Outcome.OK:
            await call.reply(bodies.RequestAnswer(request_id))
        else:
            await self._refuse(call, outcome)

    async def _requests(self, call: http.Call) -> None:
        held = self._engine.requests(anyio.current_time())
        await call.reply(bodies.RequestsAnswer(held))

    async def _load(self, call: http.Call) -> None:
        await call.reply(self._engine.load(anyio.current_time()))

    async def _cache_events(self, call: http.Call) -> None:
        since = int(call.query_number('since'))
        await call.reply(
            self._engine.cache_events(since, anyio.current_time())
        )

    async def _order(self, call: http.Call) -> None:
        body: bodies.OrderBody = await call.decode_body(bodies.OrderBody)
        outcome = self._engine.order(
            body.fencing_token, body.kind, body.value, anyio.current_time()
        )
        if outcome is Outcome.OK:
            await call.reply(bodies.OrderAnswer(body.fencing_token))
        else:
            await self._refuse(call, outcome)

    async def _state(self, call: http.Call) -> None:
        await call.reply(self._engine.state())

    async def _counters(self, call: http.Call) -> None:
        self._engine.next_offset('', anyio.current_time())
        await call.reply(self._engine.counters)

    async def _get_faults(self, call: http.Call) -> None:
        await call.reply(self._engine.faults)

    async def _set_faults(self, call: http.Call) -> None:
        """Change faults.

        ``silent`` and ``crash_s`` take effect once, at once: the open streams
        send nothing more, or the engine crashes and restarts after
        ``crash_s`` seconds.
        """
        values: dict[str, Any] = await call.decode_body(dict[str, Any])
        silent = values.pop('silent', False)
        crash_s = values.pop('crash_s', None)
        now = anyio.current_time()
        try:
            self._engine.set_faults(values, now)
        except faults.FaultError as error:
            raise http.BadRequest(str(error)) from error
        if silent:
            self._engine.silence()
        if crash_s is not None:
            self._engine.crash(now)
            self._imports.clear()
            self._restart_at = now + float(crash_s)
        await call.reply(self._engine.faults)

    async def _export(self, call: http.Call) -> None:
        """Serve ``POST /standin/exports/<id>/take|used|unused``."""
        request_id, _, action = call.path.rpartition('/')
        request_id = request_id.removeprefix('/standin/exports/')
        now = anyio.current_time()
        if not self._engine.alive:
            await call.drop()
            return
        if action == 'take':
            found = self._engine.pin_export(request_id, now) is not None
        else:
            found = self._engine.release_export(
                request_id, action == 'used', now
            )
        await call.reply(bodies.ExportAnswer(found), 200 if found else 404)

    async def _pin_export(self, handle: str) -> bool:
        return await self._call_exporter(handle, 'take', PIN_TIMEOUT_S)

    async def _release_export(self, handle: str, used: bool) -> None:
        action = 'used' if used else 'unused'
        await self._call_exporter(handle, action, RELEASE_TIMEOUT_S)

    async def _call_exporter(
        self, handle: str, action: str, timeout_s: float
    ) -> bool:
        address, _, request_id = handle.partition('/')
        if not request_id or not http.is_loopback(address):
            return False
        url = f'http://{address}/standin/exports/{request_id}/{action}'
        try:
            answer = await self._client.post(url, timeout=timeout_s)
        except (httpx.HTTPError, httpx.InvalidURL):
            return False
        return answer.status_code == 200


async def serve_engine(
    config: types.EngineConfig,
    listen: str = '127.0.0.1:0',
    seed: int = 1,
    incarnation: int | None = None,
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an engine until cancelled; report its address as started.

    The default incarnation is the start time in milliseconds.
    """
    engine = model.EngineModel(
        config,
        random.Random(seed),
        anyio.current_time(),
        incarnation or time.time_ns() // 1_000_000,
    )
    async with (
        httpx.AsyncClient() as client,
        anyio.create_task_group() as group,
    ):
        service = EngineService(engine, client)
        group.start_soon(service.drive)
        app = http.App(service.handle)
        service.address = await group.start(http.serve, app, listen)
        task_status.started(service.address)
