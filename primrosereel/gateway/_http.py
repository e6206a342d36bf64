"""HTTP/1.1 client for runners and the store, one socket per connection.

Its exceptions tell whether a request may have reached the server, which
decides whether it may be sent again.
"""

import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import select

import anyio
import anyio.abc
import h11

from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _part_limit as part_limit
from primrosereel.gateway import _response_input as response_input
from primrosereel.gateway import _response_memory as response_memory
from primrosereel.gateway import _socket_options as socket_options
from primrosereel.routing import _model as model

__all__ = [
    'BrokenResponse',
    'ConnectFailed',
    'ConnectRefused',
    'HttpConnection',
    'HttpError',
    'OutgoingRequest',
    'ResponseHead',
    'connect',
    'content_length',
]

READ_BYTES = 65536
# Larger bodies are sent while the response is read, as a runner may respond
# before it has read the whole body.
INLINE_BODY_BYTES = 16384
SENT_PIECE_BYTES = 65536
MAX_HEAD_BYTES = 65536
# Each field of a head takes some hundred bytes of objects.
MAX_HEAD_LINES = 256
# Responses to other requests that are skipped before a connection is dropped.
MAX_UNRELATED_RESPONSES = 3
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
# The last requests of a connection that are not sent on it again.
MAX_REMEMBERED_REQUESTS = 64

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)

Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """No usable response was received."""


class ConnectFailed(HttpError):
    """No connection was established, so nothing was sent."""


class ConnectRefused(ConnectFailed):
    """No process listens at the address."""


class BrokenResponse(HttpError):
    """The connection ended, or the response is invalid, after sending."""


def content_length(headers: Headers) -> int:
    """Return the stated length of a body; 0 without one."""
    for name, value in headers:
        # The parser has checked that it is a number.
        if name.lower() == b'content-length':
            return int(value.partition(b',')[0])
    return 0


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status line and headers of a response, in the runner's spelling."""

    status: int
    reason: bytes
    headers: Headers
    keep_alive_s: float | None = None

    @property
    def size(self) -> int:
        """The bytes of the names and values of the headers."""
        return sum(len(name) + len(value) for name, value in self.headers)

    @property
    def content_length(self) -> int:
        """The stated length of the body; 0 without one."""
        return content_length(self.headers)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        names = {name.lower() for name, _ in self.headers}
        return names.isdisjoint({b'content-length', b'transfer-encoding'})


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One request; ``target`` and ``body`` are sent unchanged.

    On a connection that was used before, a response for which
    ``answers_earlier_request`` returns True counts as one to an earlier
    request.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''
    request_id: str = ''
    answers_earlier_request: Callable[[ResponseHead], bool] = lambda _: False


async def connect(
    address: model.Address,
    timeout_s: float,
    memory: response_memory.ResponseMemory | None = None,
) -> 'HttpConnection':
    """Open a connection; raise ConnectFailed on an error or a timeout.

    What it holds of responses is counted in ``memory``, if it is given.
    """
    try:
        with final_poll.fail_after(timeout_s):
            stream = await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError, ValueError) as error:
        # A host that is no valid name leads to a ValueError.
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        failure = ConnectRefused if refused else ConnectFailed
        raise failure(f'{address}: {error!r}') from error
    socket_options.detect_lost_peer(stream)
    reservation = None
    if memory is not None:
        socket_options.limit_runner_buffers(stream)
        reservation = memory.reservation()
    return HttpConnection(stream, address, reservation)


class HttpConnection:
    """One connection that carries one request at a time.

    ``reservation`` counts what is held of its responses: input that is not
    parsed, the head, and ``held_bytes`` of the body.
    """

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        address: model.Address,
        reservation: response_memory.Reservation | None = None,
    ) -> None:
        self.address = address
        # The bytes of the body that are kept, as far as they are known here.
        self.held_bytes = 0
        self._head_bytes = 0
        self._reservation = reservation
        self._stream = stream
        self._input = response_input.ResponseInput(stream)
        self._parser = self._new_parser()
        self._usable = True
        self._head: ResponseHead | None = None
        # Whether a part of the last request has not been sent.
        self._sending = False
        self._on_input: Callable[[], None] | None = None
        self._part_limit = part_limit.PartLimit(anyio.current_time())
        self._request_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_REMEMBERED_REQUESTS
        )

    def watch_input(self, on_input: Callable[[], None] | None) -> None:
        """Call ``on_input`` as input is parsed, in place of an earlier one."""
        self._on_input = on_input

    @property
    def reused(self) -> bool:
        """Whether more than one request was sent on the connection."""
        return len(self._request_ids) > 1

    def may_carry(self, request_id: str) -> bool:
        """Tell whether a response to the request could be recognized.

        A runner may repeat an earlier response on a kept connection. The id
        of the request tells it apart, if there is one and it is new here.
        """
        return bool(request_id) and request_id not in self._request_ids

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._usable
            and not self._sending
            and not self._input.pending_bytes
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._parser.trailing_data[0]
        )

    async def send_request(self, request: OutgoingRequest) -> ResponseHead:
        """Send a request and return the head of its response.

        Raises BrokenResponse; the request may then have run.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._request_ids.append(request.request_id)
        self._part_limit = part_limit.PartLimit(anyio.current_time())
        parts = self._encode(request)
        try:
            if len(request.body) <= INLINE_BODY_BYTES:
                await self._stream.send(b''.join(parts))
                return await self._read_head(request)
            return await self._send_and_read_head(request, parts)
        except (OSError, anyio.BrokenResourceError) as error:
            raise self._broken_response(repr(error)) from error
        except anyio.ClosedResourceError as error:
            raise self._broken_response('the connection is closed') from error
        except h11.RemoteProtocolError as error:
            raise self._broken_response(str(error)) from error

    async def _send_and_read_head(
        self, request: OutgoingRequest, parts: list[bytes]
    ) -> ResponseHead:
        """Read the response while the body is sent.

        A response that arrives before the body has been sent stops the
        sending, and the connection is not used again.
        """
        self._sending = True
        head: ResponseHead | None = None
        failure: Exception | None = None

        async def send() -> None:
            try:
                for part in parts:
                    # Each piece is copied on its way to the socket.
                    for start in range(0, len(part), SENT_PIECE_BYTES):
                        piece = part[start : start + SENT_PIECE_BYTES]
                        await self._stream.send(piece)
                self._sending = False
            except (
                OSError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                # The reader reports how the connection ended.
                return

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            try:
                head = await self._read_head(request)
            except Exception as error:
                # The group would wrap it in an ExceptionGroup, which no
                # caller handles.
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        assert head is not None
        return head

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, all that was received at once.

        Raises BrokenResponse if it is incomplete or comes in too many small
        parts.
        """
        try:
            ended = False
            while not ended:
                parts: list[bytes] = []
                failure: Exception | None = None
                try:
                    ended = self._take_parts(parts)
                except (h11.RemoteProtocolError, BrokenResponse) as error:
                    failure = error
                # What came before an error is passed on as well.
                if parts:
                    yield b''.join(parts)
                if failure is not None:
                    raise failure
                if not ended:
                    await self._receive()
        except (OSError, anyio.BrokenResourceError) as error:
            raise self._broken_response(repr(error)) from error
        except anyio.ClosedResourceError as error:
            raise self._broken_response('the connection is closed') from error
        except h11.RemoteProtocolError as error:
            raise self._broken_response(str(error)) from error

    def _take_parts(self, parts: list[bytes]) -> bool:
        """Add the received parts of the body; return whether it has ended."""
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                return False
            if isinstance(event, h11.EndOfMessage):
                return True
            if not isinstance(event, h11.Data):
                raise self._broken_response('the response ended early')
            size = len(event.data)
            if not self._part_limit.allows(size, anyio.current_time()):
                raise self._broken_response(
                    'the body comes in too many small parts'
                )
            parts.append(bytes(event.data))

    async def read_body(
        self, limit: int, kept: response_memory.Reservation | None = None
    ) -> bytes:
        """Return the complete body; ``kept`` then counts the response.

        Raises BrokenResponse if it is incomplete or too large.
        """
        # Parts of one byte would take many times their size.
        content = bytearray()
        try:
            if self._reservation is not None:
                await self._reservation.announce(self._announced_bytes(limit))
            async for part in self.body():
                if len(content) + len(part) > limit:
                    raise self._broken_response(
                        'the response is larger than the limit'
                    )
                content += part
                self.held_bytes = len(content)
            if kept is not None and self._reservation is not None:
                kept.take(self._reservation, len(content) + self._head_bytes)
            return bytes(content)
        finally:
            self.held_bytes = self._head_bytes = 0
            if self._reservation is not None:
                self._reservation.forget_announced()
            self._reserve(self._input.pending_bytes)

    def _announced_bytes(self, limit: int) -> int:
        """Return the stated length of the body that is read, if it fits."""
        length = self._head.content_length if self._head is not None else 0
        return length if length <= limit else 0

    async def close(self) -> None:
        """Close at once, which makes a runner drop the request."""
        self._usable = False
        if self._reservation is not None:
            self._reservation.release()
        await anyio.aclose_forcefully(self._stream)

    def has_input(self) -> bool:
        """Return whether an idle connection received bytes or was closed."""
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        try:
            readable, _, _ = select.select([raw.fileno()], [], [], 0)
        except (OSError, ValueError):
            return True
        return bool(readable)

    def _encode(self, request: OutgoingRequest) -> list[bytes]:
        headers = list(request.headers)
        if request.body or request.method not in (b'GET', b'HEAD', b'DELETE'):
            headers.append((b'Content-Length', b'%d' % len(request.body)))
        parts = [
            self._parser.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
            )
        ]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return [part for part in parts if part]

    async def _read_head(self, request: OutgoingRequest) -> ResponseHead:
        for _ in range(MAX_UNRELATED_RESPONSES):
            head = await self._next_head()
            repeated = self.reused and request.answers_earlier_request(head)
            if not repeated and _matches_request(head, request):
                self._head = head
                return head
            await self._skip_response(request)
        raise self._broken_response('only responses to other requests arrived')

    async def _next_head(self) -> ResponseHead:
        informational_responses = 0
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.InformationalResponse):
                informational_responses += 1
                if informational_responses > MAX_INFORMATIONAL_RESPONSES:
                    raise self._broken_response(
                        'too many informational responses'
                    )
            elif isinstance(event, h11.Response):
                head = _head(event)
                self._head_bytes = head.size
                return head
            else:
                raise self._broken_response(
                    'the connection ended without a response'
                )

    async def _skip_response(self, request: OutgoingRequest) -> None:
        """Read a late response to an earlier request to its end."""
        await self.read_body(MAX_SKIPPED_BYTES)
        rest = self._parser.trailing_data[0]
        self._parser = self._new_parser()
        self._encode(request)
        if rest:
            self._parser.receive_data(rest)

    async def _receive(self) -> None:
        """Give the parser more input; raise BrokenResponse beyond a limit."""
        unfinished = self._parser.trailing_data[0]
        if unfinished.count(b'\n') > MAX_HEAD_LINES:
            raise self._broken_response('the response has too many fields')
        if not await self._input.feed(self._parser):
            self._usable = False
        if self._on_input is not None:
            self._on_input()
        held = self._head_bytes + self.held_bytes + self._input.pending_bytes
        if not self._reserve(held + len(self._parser.trailing_data[0])):
            raise self._broken_response(
                'all responses together are larger than the limit'
            )

    def _reserve(self, size: int) -> bool:
        return self._reservation is None or self._reservation.resize(size)

    def _broken_response(self, reason: str) -> BrokenResponse:
        self._usable = False
        return BrokenResponse(f'{self.address}: {reason}')

    @staticmethod
    def _new_parser() -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )


def _head(event: h11.Response) -> ResponseHead:
    headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
    keep_alive_s = None
    for name, value in headers:
        if name.lower() == b'keep-alive':
            keep_alive_s = _keep_alive_timeout_s(value)
    return ResponseHead(
        event.status_code, bytes(event.reason), headers, keep_alive_s
    )


def _keep_alive_timeout_s(value: bytes) -> float | None:
    """Return the seconds of ``timeout=N`` in a Keep-Alive header."""
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return float(number)
    return None


def _matches_request(head: ResponseHead, request: OutgoingRequest) -> bool:
    """Return whether a response has the request's id, or none at all."""
    if not request.request_id:
        return True
    expected_id = request.request_id.encode('latin-1')
    for name, value in head.headers:
        if name.lower() == b'request-id':
            return value == expected_id
    return True
