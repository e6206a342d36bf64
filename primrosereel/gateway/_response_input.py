"""Reads a connection for its parser, in small pieces."""

import anyio
import anyio.abc
import anyio.lowlevel
import h11

__all__ = ['ResponseInput']

# More than a socket returns at once, so that nothing stays in the stream.
RECEIVE_BYTES = 1024 * 1024
# Other tasks run between two pieces. A piece of chunks of one byte takes the
# parser some milliseconds.
PIECE_BYTES = 4096


class ResponseInput:
    """The bytes of a connection that its parser has not been given.

    Example::

        await response_input.feed(parser)
        event = parser.next_event()
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._pending = memoryview(b'')

    @property
    def pending_bytes(self) -> int:
        """The bytes that were received and not given to a parser."""
        return len(self._pending)

    async def feed(self, parser: h11.Connection) -> bool:
        """Give the parser the next piece; False at the end of the stream."""
        if self._pending:
            await anyio.lowlevel.checkpoint()
        else:
            try:
                received = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                parser.receive_data(b'')
                return False
            self._pending = memoryview(received)
        parser.receive_data(bytes(self._pending[:PIECE_BYTES]))
        self._pending = self._pending[PIECE_BYTES:]
        return True
