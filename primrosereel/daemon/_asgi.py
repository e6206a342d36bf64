"""The little of ASGI that both HTTP applications need."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

__all__ = ['BodyTooLarge', 'CallerGone', 'Receive', 'Send', 'header']
__all__ += ['read_body', 'respond', 'run_lifespan']

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLarge(Exception):
    """A body is longer than the limit."""


class CallerGone(Exception):
    """The caller closed its connection."""


def header(scope: dict[str, Any], name: bytes) -> str | None:
    """Return the first header of that lower-case name."""
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return None


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a body of at most ``limit`` bytes."""
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerGone
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
    """Send a whole answer."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [*headers, length],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def run_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop events."""
    while True:
        message = await receive()
        if message['type'] == 'lifespan.startup':
            await send({'type': 'lifespan.startup.complete'})
        elif message['type'] == 'lifespan.shutdown':
            await send({'type': 'lifespan.shutdown.complete'})
            return
