"""Server-sent event streams of the engine stand-in."""

import anyio
from anyio import abc
import msgspec

from primrosereel.standin import _http as http
from primrosereel.standin import _model as model
from primrosereel.standin import _types as types

__all__ = ['Streams']

STREAM_HEADERS = (
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-store'),
)
DONE_EVENT = b'data: [DONE]\n\n'
GARBLED_EVENT = b'data: {"request_id": "\x00\xff\xfe, "offs\n\n'


class StreamEvent(msgspec.Struct):
    """One token; ``finish`` is set on the last one."""

    request_id: str
    offset: int
    token: str
    finish: str | None = None


ENCODER = msgspec.json.Encoder()


class Streams:
    """Sends the open streams, which are woken once per decode step."""

    def __init__(self, engine: model.EngineModel) -> None:
        self._engine = engine
        self._changed = anyio.Event()

    def wake(self) -> None:
        """Wake every stream and waiting call, to read the model again."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next wake-up."""
        await self._changed.wait()

    async def send(
        self, call: http.Call, request_id: str, offset: int
    ) -> bool:
        """Stream from an offset; False if the stream is not held."""
        reader = self._engine.attach(request_id, anyio.current_time())
        if reader is None:
            return False
        try:
            await call.start(200, STREAM_HEADERS)
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, call, group)
                await self._send_tokens(call, reader, offset)
                group.cancel_scope.cancel()
        finally:
            self._engine.detach(reader, anyio.current_time())
        return True

    async def _cancel_on_disconnect(
        self, call: http.Call, group: abc.TaskGroup
    ) -> None:
        await call.wait_disconnected()
        group.cancel_scope.cancel()

    async def _send_tokens(
        self, call: http.Call, reader: int, offset: int
    ) -> None:
        """Send each step's tokens in one chunk until the stream ends.

        A stream that is no longer held ends without ``[DONE]`` and with an
        incomplete body, so that the caller can tell it from a full answer.
        """
        while True:
            changed = self._changed
            chunk = self._engine.read(reader, offset, anyio.current_time())
            if chunk.gone:
                return
            data = _encode(chunk)
            offset += len(chunk.tokens)
            if chunk.finish is not None:
                await call.write(data + DONE_EVENT, more=False)
                return
            if data:
                await call.write(data)
            if chunk.cut:
                await call.write(b'', more=False)
                return
            await changed.wait()


def _encode(chunk: types.Chunk) -> bytes:
    if chunk.garbled:
        return GARBLED_EVENT
    parts = []
    last = len(chunk.tokens) - 1
    for index, token in enumerate(chunk.tokens or _closing_tokens(chunk)):
        event = StreamEvent(
            chunk.request_id,
            chunk.offset + index,
            token,
            chunk.finish if index >= last else None,
        )
        parts.append(b'data: %b\n\n' % ENCODER.encode(event))
    return b''.join(parts)


def _closing_tokens(chunk: types.Chunk) -> tuple[str, ...]:
    """Return an empty token to carry a finish without tokens."""
    return ('',) if chunk.finish is not None else ()
