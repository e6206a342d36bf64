"""HTTP/1.1 server of the platform's stand-ins, with control of each byte.

Faults of runners and of the store occur below HTTP, where a usual server has
no control: a connection reset, an answer sent twice or one that is truncated.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import socket
import struct

import anyio
import anyio.abc
import h11

__all__ = ['Answer', 'RawServer', 'Request', 'Reset', 'Silence']

Headers = list[tuple[bytes, bytes]]
READ_CHUNK_BYTES = 65536


class Reset(Exception):
    """Raised by a handler to reset the connection without an answer."""


class Silence(Exception):
    """Raised by a handler to keep the connection open without an answer."""


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its full body; header names are in lower case.

    ``fields`` has each header field, also of those that are repeated.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    target: str
    fields: Headers = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer; ``parts`` are streamed after ``body``, as chunks.

    ``trailing`` is sent after the complete answer, as a second answer is, and
    ``before_next`` before the next answer on the connection. ``raw`` replaces
    the answer; ``parts`` then follow it as they are, and the connection ends
    after them, by a reset if ``reset`` is set.
    """

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b''
    parts: AsyncIterator[bytes] | None = None
    trailing: bytes = b''
    before_next: bytes = b''
    raw: bytes | None = None
    reset: bool = False


Handler = Callable[[Request], Awaitable[Answer]]


class RawServer:
    """Listens on a loopback port and passes requests to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._on_disconnect: Callable[[Request], None] = lambda _: None
        self.port = 0
        self.connections = 0
        self._run = anyio.CancelScope()
        # The pause before the server listens again after a crash.
        self._restart_s: float | None = None

    def on_disconnect(self, callback: Callable[[Request], None]) -> None:
        """Set a callback for a caller that leaves during its request."""
        self._on_disconnect = callback

    async def serve(
        self,
        *,
        port: int = 0,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the port as started.

        Port 0 selects a free one.
        """
        listener = await _listen(port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(self.port)
        while True:
            with anyio.CancelScope() as self._run:
                async with listener:
                    await listener.serve(self._serve_connection)
            if self._restart_s is None:
                return
            await anyio.sleep(self._restart_s)
            self._restart_s = None
            listener = await _listen(self.port)

    def crash(self, restart_s: float) -> None:
        """Close all connections and refuse new ones for some seconds."""
        self._restart_s = restart_s
        self._run.cancel()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        parser = h11.Connection(h11.SERVER)
        first_bytes = b''
        try:
            while answer := await self._serve_request(
                stream, parser, first_bytes
            ):
                first_bytes = answer.before_next
                parser.start_next_cycle()
        except (
            Reset,
            anyio.BrokenResourceError,
            anyio.EndOfStream,
            h11.ProtocolError,
        ):
            _reset_on_close(stream)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _serve_request(
        self, stream, parser, first_bytes: bytes
    ) -> Answer | None:
        """Return the answer, or None if the connection must be closed.

        ``first_bytes`` precede the answer.
        """
        request = await _read_request(stream, parser)
        if request is None:
            return None
        answer: Answer | None = None
        closed = False

        async def watch_disconnect() -> None:
            nonlocal closed
            try:
                parser.receive_data(await stream.receive(READ_CHUNK_BYTES))
                return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                closed = True
                self._on_disconnect(request)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_disconnect)
            try:
                answer = await self._handler(request)
                await stream.send(first_bytes)
                await _send_answer(stream, parser, answer)
            except (Silence, Reset) as fault:
                if isinstance(fault, Reset):
                    _reset_on_close(stream)
                    closed = True
                else:
                    await anyio.sleep_forever()
            except anyio.BrokenResourceError:
                # The task group would wrap it in an ExceptionGroup, which
                # would end the server.
                closed = True
                self._on_disconnect(request)
            tasks.cancel_scope.cancel()
        if closed or parser.our_state is not h11.DONE:
            return None
        return answer


async def _send_answer(stream, parser, answer: Answer) -> None:
    if answer.raw is not None:
        await stream.send(answer.raw)
        if answer.parts is not None:
            async for part in answer.parts:
                await stream.send(part)
        if answer.reset:
            raise Reset
        return
    headers = list(answer.headers)
    if answer.parts is None:
        headers.append((b'Content-Length', b'%d' % len(answer.body)))
    else:
        headers.append((b'Transfer-Encoding', b'chunked'))
    head = h11.Response(status_code=answer.status, headers=headers)
    data = parser.send(head)
    if answer.body:
        data += parser.send(h11.Data(data=answer.body))
    await stream.send(data)
    if answer.parts is not None:
        async for part in answer.parts:
            await stream.send(parser.send(h11.Data(data=part)))
    await stream.send(parser.send(h11.EndOfMessage()) + answer.trailing)


async def _listen(
    port: int,
) -> anyio.abc.Listener[anyio.abc.SocketStream]:
    multi = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=port
    )
    return multi.listeners[0]


async def _read_request(stream, parser) -> Request | None:
    head = None
    body = b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            try:
                parser.receive_data(await stream.receive(READ_CHUNK_BYTES))
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            target = head.target.decode()
            path, _, query = target.partition('?')
            headers = {n.decode(): v.decode() for n, v in head.headers}
            return Request(
                head.method.decode(),
                path,
                query,
                headers,
                body,
                target,
                [(bytes(name), bytes(value)) for name, value in head.headers],
            )
        else:
            return None


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Make the close of a connection send a TCP reset."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger_option = struct.pack('ii', 1, 0)
    # The socket may already be closed if its peer has reset it.
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger_option
        )
