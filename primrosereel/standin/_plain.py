"""HTTP stand-in of a plain service that counts its executions."""

import hashlib
import time
from typing import Any

import anyio
from anyio import abc
import msgspec

from primrosereel.standin import _faults as faults
from primrosereel.standin import _http as http
from primrosereel.standin import _types as types

__all__ = ['PlainAnswer', 'PlainConfig', 'serve_plain']


class PlainConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Name, concurrent calls and duration of a call of a plain service."""

    runner: str = 'runner'
    places: int = 20
    delay_s: float = 0.01


class PlainAnswer(msgspec.Struct):
    """Answer to a call, which identifies the request it belongs to.

    ``execution`` counts the executions of the same path and idempotency key,
    from 1.
    """

    runner: str
    method: str
    path: str
    idempotency_key: str
    body_sha256: str
    execution: int


class PlainService:
    """Serves any method and path; one call takes ``delay_s``."""

    def __init__(self, config: PlainConfig, incarnation: int) -> None:
        self._config = config
        self._incarnation = incarnation
        self._faults = faults.PlainFaults()
        self._executions: dict[str, dict[str, int]] = {}
        self._places = anyio.CapacityLimiter(config.places)

    async def handle(self, call: http.Call) -> None:
        """Answer one call."""
        if call.path == '/standin/executions':
            await call.reply(self._executions)
        elif call.path == '/standin/faults':
            await self._set_faults(call)
        elif call.path == '/v1/load':
            await call.reply(self._load())
        elif self._faults.leaving or self._faults.full:
            leaving = self._faults.leaving
            error = 'leaving' if leaving else 'full'
            await call.reply(http.Refusal(error, leaving=leaving), 503)
        else:
            await self._execute(call)

    async def _execute(self, call: http.Call) -> None:
        body = await call.body()
        if faults.consume(self._faults, 'fail_before'):
            await call.drop()
            return
        # A call that was received runs also if its caller disconnects.
        async with self._places:
            answer = self._count_execution(call, body)
            await anyio.sleep(self._config.delay_s * self._faults.slow)
        if faults.consume(self._faults, 'drop_answer'):
            await call.drop()
        elif faults.consume(self._faults, 'hang'):
            await call.wait_disconnected()
        else:
            await call.reply(answer)

    def _count_execution(self, call: http.Call, body: bytes) -> PlainAnswer:
        key = call.header(b'idempotency-key')
        counts = self._executions.setdefault(call.path, {})
        counts[key] = counts.get(key, 0) + 1
        return PlainAnswer(
            runner=self._config.runner,
            method=call.method,
            path=call.path,
            idempotency_key=key,
            body_sha256=hashlib.sha256(body).hexdigest(),
            execution=counts[key],
        )

    def _load(self) -> types.LoadView:
        statistics = self._places.statistics()
        return types.LoadView(
            places=self._config.places,
            busy=statistics.borrowed_tokens,
            queued=statistics.tasks_waiting,
            pieces=0,
            free_pieces=0,
            backlog_tokens=0,
            incarnation=self._incarnation,
            leaving=self._faults.leaving,
            age_s=0.0,
        )

    async def _set_faults(self, call: http.Call) -> None:
        if call.method == 'POST':
            values: dict[str, Any] = await call.decode_body(dict[str, Any])
            try:
                self._faults = faults.with_changes(self._faults, values)
            except faults.FaultError as error:
                raise http.BadRequest(str(error)) from error
        await call.reply(self._faults)


async def serve_plain(
    config: PlainConfig,
    listen: str = '127.0.0.1:0',
    incarnation: int | None = None,
    *,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service until cancelled; see ``serve_engine``."""
    service = PlainService(config, incarnation or time.time_ns() // 1_000_000)
    await http.serve(http.App(service.handle), listen, task_status=task_status)
