"""Lingering closes: what a caller still sends is read until it closes.

TCP answers bytes that arrive after a close, or that were not read before it,
with a reset, and a reset discards what the caller has not read yet. So the
sending side is shut down first, and the rest of a refused body, or a request
that crosses the close, is read and discarded for a bounded time.
"""

import anyio
import anyio.abc

from primrosereel.gateway import _http as http

__all__ = ['LingeringCloses']

# How long a caller may take to read its last answer and to close.
LINGER_S = 1.0
# The bytes that are discarded for one caller at most.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
# The connections that are kept at most; each has a file descriptor.
MAX_LINGERING = 128


class LingeringCloses:
    """The connections whose callers have not closed yet.

    If there are too many, the oldest one is closed first: its caller had the
    most time to read.

    Example::

        await stream.send_eof()
        await lingering.discard_input(stream)
        await stream.aclose()
    """

    def __init__(self) -> None:
        # Keys are in the order in which the connections were added.
        self._scopes: dict[anyio.CancelScope, None] = {}

    def __len__(self) -> int:
        return len(self._scopes)

    async def discard_input(self, stream: anyio.abc.SocketStream) -> None:
        """Read until the caller closes, or until a limit is reached."""
        if len(self._scopes) >= MAX_LINGERING:
            oldest = next(iter(self._scopes))
            del self._scopes[oldest]
            oldest.cancel()
        with anyio.move_on_after(LINGER_S) as scope:
            self._scopes[scope] = None
            try:
                await _discard_input(stream)
            finally:
                self._scopes.pop(scope, None)


async def _discard_input(stream: anyio.abc.SocketStream) -> None:
    discarded = 0
    try:
        while discarded < MAX_DISCARDED_BYTES:
            discarded += len(await stream.receive(http.READ_BYTES))
    except (
        OSError,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        anyio.EndOfStream,
    ):
        return
