"""Stand-in of a runner on the users' platform: prefill, decode or plain.

It counts executions by request id, so that a test can detect a request that
ran twice. It has the faults that the platform's documentation describes:
refusals, connection resets, late second answers, expired KV cache handles,
streams that break off, and a silence after which the runner goes on.
"""

import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import enum
import math
from typing import Any
from typing import NamedTuple

import anyio
import msgspec

from primrosereel.standin import _raw_http as raw_http

__all__ = [
    'DeadlyRequest',
    'Fault',
    'ListedRunner',
    'RunnerOptions',
    'StopFault',
]

NOT_EXECUTED_HEADER = (b'Not-Executed', b'1')
LEAVING_HEADER = (b'Server-Leaving', b'1')
HEALTH_PATH = '/health'
# Handle of the KV cache copy of a running request.
COPY_HANDLE = 'copy1'


class Fault(enum.Enum):
    """Fault of one request; each queued fault applies to one request."""

    SHED = 'shed'
    RESET_BEFORE_RUN = 'reset_before_run'
    RESET_AFTER_RUN = 'reset_after_run'
    SILENT = 'silent'
    ERROR = 'error'
    SECOND_ANSWER = 'second_answer'
    UNSIGNED = 'unsigned'
    BREAK_STREAM = 'break_stream'
    HANDLE_GONE = 'handle_gone'
    TRICKLE = 'trickle'
    # The refusal is sent once more before the next answer on the connection;
    # in the second form without the request id.
    REPEATED_REFUSAL = 'repeated_refusal'
    UNNAMED_REFUSAL = 'unnamed_refusal'
    CUT_HEAD = 'cut_head'
    # An answer without a length that ends with its connection; in the second
    # and third form before its end.
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed_reset'
    UNFRAMED_EMPTY = 'unframed_empty'
    # A refusal with ``Retry-After``; the runner wants nothing for that time.
    BACK_OFF = 'back_off'
    # The runner is silent for ``pause_s`` seconds and goes on: before it runs
    # the request, or after the second event of its stream.
    PAUSE = 'pause'
    PAUSE_STREAM = 'pause_stream'


REFUSALS = frozenset(
    {
        Fault.SHED,
        Fault.REPEATED_REFUSAL,
        Fault.UNNAMED_REFUSAL,
        Fault.BACK_OFF,
    }
)
UNFRAMED_FAULTS = frozenset(
    {Fault.UNFRAMED, Fault.UNFRAMED_RESET, Fault.UNFRAMED_EMPTY}
)


class StopFault(enum.Enum):
    """Fault of one call that stops a stream for a move."""

    # The stream stops, but there is no room for the rest of the copy.
    NO_ROOM = 'no_room'
    # The stream stops, and the answer is lost or says nothing.
    LOST = 'lost'
    WITHOUT_HANDLE = 'without_handle'
    # The stream goes on; the call is lost.
    NOT_RECEIVED = 'not_received'


class DeadlyRequest(NamedTuple):
    """A request that crashes each runner that begins to run it."""

    method: str
    target: str
    body: bytes


@dataclasses.dataclass(slots=True)
class RunnerOptions:
    """Properties of a runner; ``stage`` is None for a plain one.

    A stream has ``events`` events, one every ``event_s``. ``work_s`` is the
    duration of a prefill or a plain call, ``copy_s`` that of a copy. The body
    of a plain answer has at least ``answer_bytes`` bytes. A runner crashes
    when it begins to run one of ``deadly_requests``, a request for
    ``deadly_target``, or a stream whose prompt has ``deadly_part``, and a
    prefill runner at the end of a prefill for ``deadly_prefill``; it is back
    ``restart_s`` later. ``retry_after`` is the text of the header
    ``Retry-After`` in refusals of the fault ``BACK_OFF``. With ``unframed``
    a stream has no length and ends with its connection.
    """

    runner: str
    service: str
    stage: str | None = None
    events: int = 5
    event_s: float = 0.01
    work_s: float = 0.01
    copy_s: float = 0.0
    answer_bytes: int = 0
    slots: int = 8
    deadly_part: str | None = None
    deadly_target: str | None = None
    deadly_prefill: str | None = None
    deadly_requests: frozenset[DeadlyRequest] = frozenset()
    restart_s: float = 0.3
    retry_after: str = '1'
    pause_s: float = 1.2
    unframed: bool = False


class ListedRunner:
    """One runner and its HTTP server.

    Tests append to ``faults`` and read the counters and lists.
    """

    def __init__(self, options: RunnerOptions) -> None:
        self.options = options
        self.server = raw_http.RawServer(self._handle)
        self.server.on_disconnect(
            lambda request: self.disconnected_requests.append(request)
        )
        self.faults: collections.deque[Fault] = collections.deque()
        self.stop_faults: collections.deque[StopFault] = collections.deque()
        self.runs: collections.Counter[str] = collections.Counter()
        self.prefills: collections.Counter[str] = collections.Counter()
        self.requests: list[raw_http.Request] = []
        self.disconnected_requests: list[raw_http.Request] = []
        self.handles: set[str] = set()
        self.orders: list[dict[str, str]] = []
        self.running = 0
        # Move calls received; the last event id of each running stream; the
        # streams stopped by the last call of a move, and those of them whose
        # KV cache was not copied to its end.
        self.moves: list[dict[str, Any]] = []
        self.last_event_ids: dict[str, int] = {}
        self.stopped_streams: set[str] = set()
        self.held_streams: dict[str, int] = {}
        # Addresses that have no room for a copy.
        self.full_targets: set[str] = set()
        self.born_ms = 1_700_000_000_000
        self.crashes = 0
        # While it is set, all answers say that the runner is leaving.
        self.leaving = False
        # When each request arrived, and when each refusal with Retry-After
        # was sent, by the event loop's clock.
        self.arrived_at: list[float] = []
        self.backed_off_at: list[float] = []
        self._paused_until = -math.inf
        self.on_crash: Callable[[], None] = lambda: None

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return the runner's entry in the metadata store."""
        options = self.options
        entry: dict[str, object] = {
            'service': options.service,
            'address': f'127.0.0.1:{self.server.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': options.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.born_ms,
        }
        if options.stage is not None:
            entry['stage'] = options.stage
        return entry

    def pause(self, seconds: float) -> None:
        """Send nothing for some seconds, then go on."""
        self._paused_until = anyio.current_time() + seconds

    async def _wait_while_paused(self) -> None:
        while anyio.current_time() < self._paused_until:
            await anyio.sleep_until(self._paused_until)

    async def _handle(self, request: raw_http.Request) -> raw_http.Answer:
        if request.path != HEALTH_PATH:
            self.requests.append(request)
        self.arrived_at.append(anyio.current_time())
        await self._wait_while_paused()
        answer = await self._answer(request)
        await self._wait_while_paused()
        if self.leaving and answer.raw is None:
            answer.headers.append(LEAVING_HEADER)
        return answer

    async def _answer(self, request: raw_http.Request) -> raw_http.Answer:
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.options.runner):
            return raw_http.Answer(421)
        if request.path == HEALTH_PATH:
            return self._answer_health()
        if request.path == '/v1/order':
            self.orders.append(msgspec.json.decode(request.body))
            return raw_http.Answer(202)
        if request.path == '/v1/kv-move':
            return await self._answer_move(request)
        if request.method == 'DELETE':
            self.handles.discard(request.path.rpartition('/')[2])
            return raw_http.Answer(200)
        return await self._serve(request)

    def _answer_health(self) -> raw_http.Answer:
        headers = [
            (b'Instance-Id', self.options.runner.encode()),
            self._load_header(),
        ]
        return raw_http.Answer(503 if self.leaving else 200, headers)

    async def _serve(self, request: raw_http.Request) -> raw_http.Answer:
        """Serve a caller's request; one without an id is not run."""
        if 'request-id' not in request.headers:
            return raw_http.Answer(400, [NOT_EXECUTED_HEADER])
        fault = self.faults.popleft() if self.faults else None
        if fault is Fault.PAUSE:
            self.pause(self.options.pause_s)
            await self._wait_while_paused()
        if fault in REFUSALS:
            return self._refuse(request, fault)
        if fault is Fault.CUT_HEAD:
            return raw_http.Answer(200, raw=self._cut_head())
        if fault is Fault.RESET_BEFORE_RUN:
            raise raw_http.Reset
        if fault is Fault.SILENT:
            raise raw_http.Silence
        if request.headers.get('stage') == 'prefill':
            return await self._prefill(request)
        source = request.headers.get('kv-source')
        if source is not None and fault is Fault.HANDLE_GONE:
            return raw_http.Answer(503, [NOT_EXECUTED_HEADER])
        return await self._run(request, fault)

    def _cut_head(self) -> bytes:
        """Return the first bytes of an answer's head."""
        headers = [LEAVING_HEADER] if self.leaving else []
        return _raw_answer(b'200 OK', headers, b'')[:-2] + b'Instance-Si'

    def _refuse(
        self, request: raw_http.Request, fault: Fault
    ) -> raw_http.Answer:
        request_id = request.headers.get('request-id', '').encode()
        headers = [
            NOT_EXECUTED_HEADER,
            self._load_header(),
            (b'Request-Id', request_id),
        ]
        if fault is Fault.BACK_OFF:
            self.backed_off_at.append(anyio.current_time())
            retry_after = self.options.retry_after.encode()
            headers.append((b'Retry-After', retry_after))
        if fault in (Fault.SHED, Fault.BACK_OFF):
            return raw_http.Answer(503, headers)
        repeated = headers if fault is Fault.REPEATED_REFUSAL else headers[:-1]
        return raw_http.Answer(
            503,
            [*headers, (b'Keep-Alive', b'timeout=10')],
            before_next=_raw_answer(b'503 Full', repeated, b'', length=0),
        )

    async def _prefill(self, request: raw_http.Request) -> raw_http.Answer:
        if self.options.stage != 'prefill':
            return raw_http.Answer(421)
        await anyio.sleep(self.options.work_s)
        if request.target == self.options.deadly_prefill:
            self.crash(request)
            raise raw_http.Silence
        request_id = request.headers['request-id']
        self.prefills[request_id] += 1
        handle = f'h{len(self.prefills)}'
        self.handles.add(handle)
        body = {'kvHandle': handle, 'tokens': 100, 'version': 1}
        return raw_http.Answer(200, [], msgspec.json.encode(body))

    async def _run(
        self, request: raw_http.Request, fault: Fault | None
    ) -> raw_http.Answer:
        if self.options.stage == 'prefill':
            return raw_http.Answer(421)
        request_id = request.headers['request-id']
        # A stream that continues from its copy counts as the same run.
        if request.headers.get('kv-source', '').endswith(f'/{COPY_HANDLE}'):
            self.stopped_streams.discard(request_id)
            self.held_streams.pop(request_id, None)
        else:
            self.runs[request_id] += 1
        headers = self._response_headers(request_id)
        if self.options.stage == 'decode':
            if fault is Fault.ERROR:
                return raw_http.Answer(500, headers, b'error')
            headers.append((b'Content-Type', b'text/event-stream'))
            return await self._stream(request, headers, fault)
        await anyio.sleep(self.options.work_s)
        if self._is_deadly(request):
            self.crash(request)
            raise raw_http.Silence
        if fault is Fault.RESET_AFTER_RUN:
            raise raw_http.Reset
        if fault is Fault.ERROR:
            return raw_http.Answer(500, headers, b'error')
        if fault is Fault.UNSIGNED:
            return raw_http.Answer(200, [], b'not from the runner')
        body = f'answer to {request_id}'.encode()
        body = body.ljust(self.options.answer_bytes, b'.')
        trailing = b''
        if fault is Fault.SECOND_ANSWER:
            trailing = _second_answer(request_id)
        return raw_http.Answer(200, headers, body, trailing=trailing)

    async def _stream(
        self,
        request: raw_http.Request,
        headers: raw_http.Headers,
        fault: Fault | None,
    ) -> raw_http.Answer:
        if self._is_deadly(request):
            return raw_http.Answer(
                200, headers, parts=self._crash_in_stream(request)
            )
        first = int(request.headers.get('last-event-id', '0')) + 1
        request_id = request.headers['request-id']
        parts = self._stream_events(request_id, first, fault)
        if fault in UNFRAMED_FAULTS:
            if self.leaving:
                headers.append(LEAVING_HEADER)
            return await _unframed_answer(headers, parts, fault)
        if self.options.unframed:
            head = _raw_answer(b'200 OK', headers, b'')
            return raw_http.Answer(200, raw=head, parts=parts)
        return raw_http.Answer(200, headers, parts=parts)

    def _is_deadly(self, request: raw_http.Request) -> bool:
        if request.target == self.options.deadly_target:
            return True
        whole = DeadlyRequest(request.method, request.target, request.body)
        if whole in self.options.deadly_requests:
            return True
        parts = request.headers.get('prompt-prefix', '').split(',')[:-1]
        return any(
            part.partition(':')[0] == self.options.deadly_part
            for part in parts
        )

    def crash(self, request: raw_http.Request | None = None) -> None:
        """End all connections; come back as a new run of the runner.

        ``request`` is the one that caused the crash, if one did.
        """
        self.crashes += 1
        self.born_ms += 1
        self.on_crash()
        self.server.crash(self.options.restart_s)

    async def _crash_in_stream(
        self, request: raw_http.Request
    ) -> AsyncIterator[bytes]:
        """Crash instead of sending the first event."""
        self.crash(request)
        await anyio.sleep_forever()
        yield b''

    def _response_headers(self, request_id: str) -> raw_http.Headers:
        return [
            (b'Request-Id', request_id.encode()),
            (b'Instance-Signature', self.options.runner.encode()),
            self._load_header(),
            (b'Keep-Alive', b'timeout=10'),
        ]

    def _load_header(self) -> tuple[bytes, bytes]:
        load = f'{self.running},0,{self.options.slots},100'
        return b'Instance-Load', load.encode()

    async def _answer_move(self, request: raw_http.Request) -> raw_http.Answer:
        """Copy a stream's KV cache; with ``last`` the stream stops first.

        A stream that was stopped can be copied to another runner as long as
        its KV cache was not copied to its end.
        """
        move = msgspec.json.decode(request.body)
        self.moves.append(move)
        name = move['id']
        fault = None
        if move['last'] and self.stop_faults:
            fault = self.stop_faults.popleft()
        if fault is StopFault.NOT_RECEIVED:
            raise raw_http.Reset
        created = self.last_event_ids.get(name, self.held_streams.get(name))
        if created is None:
            return raw_http.Answer(404)
        if move['last']:
            self.stopped_streams.add(name)
            self.held_streams[name] = created
        await anyio.sleep(self.options.copy_s)
        if move['to'] in self.full_targets:
            fault = StopFault.NO_ROOM
        if move['last'] and fault is not StopFault.NO_ROOM:
            self.held_streams.pop(name, None)
        if fault is StopFault.LOST:
            raise raw_http.Reset
        if fault is StopFault.WITHOUT_HANDLE:
            return raw_http.Answer(503)
        body = {'kvHandle': COPY_HANDLE, 'created': created}
        close = [(b'Connection', b'close')]
        status = 503 if fault is StopFault.NO_ROOM else 200
        return raw_http.Answer(status, close, msgspec.json.encode(body))

    async def _stream_events(
        self, request_id: str, first: int, fault: Fault | None
    ) -> AsyncIterator[bytes]:
        self.running += 1
        self.last_event_ids[request_id] = first - 1
        try:
            for number in range(first, self.options.events + 1):
                await anyio.sleep(self.options.event_s)
                if fault is Fault.PAUSE_STREAM and number == first + 2:
                    self.pause(self.options.pause_s)
                await self._wait_while_paused()
                if request_id in self.stopped_streams:
                    if self.options.unframed:
                        return
                    raise raw_http.Reset
                self.last_event_ids[request_id] = number
                if fault is Fault.TRICKLE and number == first + 2:
                    yield f'id: {number}\ndata: '.encode()
                    while True:
                        await anyio.sleep(self.options.event_s)
                        yield b'.'
                if fault is Fault.BREAK_STREAM and number == first + 2:
                    yield f'id: {number}\ndata: cut in the mid'.encode()
                    raise raw_http.Reset
                yield f'id: {number}\ndata: token {number}\n\n'.encode()
        finally:
            self.running -= 1
            del self.last_event_ids[request_id]


async def _unframed_answer(
    headers: raw_http.Headers, parts: AsyncIterator[bytes], fault: Fault
) -> raw_http.Answer:
    body = b''.join([part async for part in parts])
    if fault is Fault.UNFRAMED_EMPTY:
        body = b''
    return raw_http.Answer(
        200,
        raw=_raw_answer(b'200 OK', headers, body),
        reset=fault is Fault.UNFRAMED_RESET,
    )


def _raw_answer(
    status: bytes,
    headers: raw_http.Headers,
    body: bytes,
    length: int | None = None,
) -> bytes:
    lines = [b'HTTP/1.1 ' + status]
    lines += [name + b': ' + value for name, value in headers]
    if length is not None:
        lines.append(b'Content-Length: %d' % length)
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def _second_answer(request_id: str) -> bytes:
    body = b'a second, late answer'
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n'
        b'Instance-Signature: late\r\nContent-Length: %d\r\n\r\n%s'
        % (request_id.encode(), len(body), body)
    )
