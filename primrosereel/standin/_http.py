"""HTTP server and request helpers that the stand-ins share."""

from collections.abc import Awaitable
from collections.abc import Callable
import ipaddress
import socket
from typing import Any
from urllib import parse

import anyio
from anyio import abc
from hypercorn import asyncio as hypercorn
from hypercorn import config as hypercorn_config
import msgspec

__all__ = [
    'App',
    'BadRequest',
    'Call',
    'Refusal',
    'is_loopback',
    'serve',
]

MAX_BODY_BYTES = 4_000_000
KEEP_ALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 0.2
# At 1000 bytes each, the total is far above the header limits of clients.
ENDLESS_HEADER_COUNT = 10_000
GARBAGE_CHUNK = b'\x00\xff{"' * 4096
GARBAGE_INTERVAL_S = 0.001

Handler = Callable[['Call'], Awaitable[None]]


class BadRequest(ValueError):
    """A request or an address that a stand-in cannot use."""


class Refusal(msgspec.Struct):
    """Body of an answer that refuses a call.

    ``ran`` tells whether any of the call was executed. ``leaving`` means that
    the upstream accepts no new work.
    """

    error: str
    ran: bool = False
    leaving: bool = False


class Call:
    """One HTTP request and the methods to answer it."""

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self.method: str = scope['method']
        self.path: str = scope['path']
        self._scope = scope
        self._receive = receive
        self._send = send

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; of several with the same name, the last."""
        return dict(parse.parse_qsl(self._scope['query_string'].decode()))

    def header(self, name: bytes) -> str:
        """Return a header's value, or an empty string."""
        for key, value in self._scope['headers']:
            if key == name:
                return value.decode('latin-1')
        return ''

    def query_number(self, name: str, default: float = 0) -> float:
        """Return a query parameter as a number."""
        try:
            return float(self.query.get(name, default))
        except ValueError as error:
            raise BadRequest(f'{name} is not a number') from error

    async def body(self) -> bytes:
        """Return the full body; raise BadRequest if it is too large."""
        parts = []
        size = 0
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise BadRequest('the caller left')
            parts.append(message.get('body', b''))
            size += len(parts[-1])
            if size > MAX_BODY_BYTES:
                raise BadRequest('the body is too large')
            if not message.get('more_body', False):
                return b''.join(parts)

    async def decode_body(self, kind: Any) -> Any:
        """Return the JSON body, decoded as the given type."""
        try:
            return msgspec.json.decode(await self.body(), type=kind)
        except msgspec.DecodeError as error:
            raise BadRequest(str(error)) from error

    async def reply(self, value: Any, status: int = 200) -> None:
        """Answer with JSON."""
        body = msgspec.json.encode(value)
        await self.reply_bytes(body, status, b'application/json')

    async def reply_bytes(
        self,
        body: bytes,
        status: int = 200,
        content_type: bytes = b'application/octet-stream',
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Answer with a complete body."""
        length = str(len(body)).encode()
        await self.start(
            status,
            (
                (b'content-type', content_type),
                (b'content-length', length),
                *headers,
            ),
        )
        await self.write(body, more=False)

    async def start(
        self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Send status and headers."""
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': list(headers),
            }
        )

    async def write(self, data: bytes, more: bool = True) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )

    async def drop(self) -> None:
        """Close the connection without a usable answer.

        An ASGI application cannot close a connection before it has sent
        headers, so this sends headers without the body that they announce.
        """
        await self.start(500, ((b'content-length', b'1'),))

    async def wait_disconnected(self) -> None:
        """Wait until the caller disconnects."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def endless_headers(self) -> None:
        """Answer with far more headers than a client should accept."""
        await self.start(
            200,
            tuple(
                (b'x-%d' % i, b'y' * 1000) for i in range(ENDLESS_HEADER_COUNT)
            ),
        )
        await self.write(b'', more=False)

    async def endless_body(self) -> None:
        """Send an invalid body until the caller disconnects."""
        await self.start(200, ((b'content-type', b'application/json'),))
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_on_disconnect, group)
            while True:
                await self.write(GARBAGE_CHUNK)
                await anyio.sleep(GARBAGE_INTERVAL_S)

    async def _cancel_on_disconnect(self, group: abc.TaskGroup) -> None:
        await self.wait_disconnected()
        group.cancel_scope.cancel()


class App:
    """ASGI application that passes calls to ``handler``."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection scope."""
        if scope['type'] == 'lifespan':
            await self._lifespan(receive, send)
        if scope['type'] != 'http':
            return
        call = Call(scope, receive, send)
        try:
            await self._handler(call)
        except BadRequest as error:
            await call.reply(Refusal(str(error)), 400)

    async def _lifespan(self, receive: Any, send: Any) -> None:
        while True:
            message = await receive()
            await send({'type': f'{message["type"]}.complete'})
            if message['type'] == 'lifespan.shutdown':
                return


async def serve(
    app: App,
    listen: str,
    task_status: abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; report the bound address as started."""
    listener = _bind(listen)
    host, port = listener.getsockname()[:2]
    config = hypercorn_config.Config()
    # The server closes the descriptor, so it is detached from the socket
    # object.
    config.bind = [f'fd://{listener.detach()}']
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = SHUTDOWN_TIMEOUT_S
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_serve_until, app, config, stop)
        try:
            task_status.started(f'{host}:{port}')
            await anyio.sleep_forever()
        finally:
            stop.set()


async def _serve_until(
    app: App, config: hypercorn_config.Config, stop: anyio.Event
) -> None:
    """Serve until ``stop``.

    hypercorn 0.18 leaves tasks running when it is cancelled, so it is
    shielded from cancellation and stopped by its shutdown trigger.
    """
    with anyio.CancelScope(shield=True):
        await hypercorn.serve(
            app,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stop.wait,  # type: ignore[arg-type]
        )


def is_loopback(address: str) -> bool:
    """Tell whether ``IP:port`` has a loopback address."""
    host = address.rpartition(':')[0]
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _bind(listen: str) -> socket.socket:
    host, _, port = listen.rpartition(':')
    if not is_loopback(listen):
        raise BadRequest(f'{listen} is not a loopback address and port')
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(1024)
    listener.setblocking(False)
    return listener
