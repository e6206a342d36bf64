"""ASGI helpers of both HTTP applications."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

__all__ = ['BodyTooLarge', 'CallerDisconnected', 'Receive', 'Send', 'header']
__all__ += ['is_request', 'read_body', 'respond']

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLarge(Exception):
    """A request body exceeds the limit."""


class CallerDisconnected(Exception):
    """The caller closed its connection."""


def header(scope: dict[str, Any], name: bytes) -> str | None:
    """Return the first header with a name; ``name`` must be lower case."""
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return None


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a body; raise BodyTooLarge above ``limit`` bytes."""
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnected
        body += message.get('body', b'')
        if len(body) > limit:
            raise BodyTooLarge
        if not message.get('more_body', False):
            return bytes(body)


async def respond(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    """Send a complete response."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [*headers, length],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def is_request(
    scope: dict[str, Any], receive: Receive, send: Send
) -> bool:
    """Return whether a connection is an HTTP request; serve a lifespan."""
    if scope['type'] == 'lifespan':
        await _run_lifespan(receive, send)
    return scope['type'] == 'http'


async def _run_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's startup and shutdown events."""
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        elif message['type'] == 'lifespan.shutdown':
            await send({'type': 'lifespan.shutdown.complete'})
            return
