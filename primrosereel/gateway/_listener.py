"""Accepts connections, and loses none when it is stopped.

A cancelled accept of the event loop can drop a connection that it has just
taken from the kernel. Here only the wait for a connection is cancelled, and
accepting itself does not yield to other tasks.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import socket

import anyio
import anyio.abc

from primrosereel.routing import _model as model

__all__ = ['Listener']

BACKLOG = 512
# The pause after a connection could not be accepted.
ACCEPT_RETRY_S = 0.1

Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


class Listener:
    """Listens on an address; ``handler`` serves each connection.

    Connections are served in the task group ``connections`` and outlast the
    listener. A connection that cannot be accepted, as no file descriptor is
    left, ends no others; ``on_error`` gets the exception. Connections wait in
    the kernel while ``may_accept`` is false, which gets the number of accepted
    connections without a handler.
    """

    def __init__(
        self,
        address: model.Address,
        handler: Handler,
        connections: anyio.abc.TaskGroup,
        on_error: Callable[[model.Address, OSError], None],
        may_accept: Callable[[int], bool] = lambda _: True,
    ) -> None:
        self._address = address
        self._handler = handler
        self._connections = connections
        self._on_error = on_error
        self._may_accept = may_accept
        # The connections that were accepted and have no handler yet.
        self._opening = 0

    async def run(self) -> None:
        """Accept connections until cancelled.

        Those that have arrived by then are served as well.
        """
        with socket.create_server(self._address, backlog=BACKLOG) as listening:
            listening.setblocking(False)
            try:
                while True:
                    await anyio.wait_readable(listening)
                    if not self._accept_all(listening):
                        await anyio.sleep(ACCEPT_RETRY_S)
            finally:
                self._accept_all(listening)

    def _accept_all(self, listening: socket.socket) -> bool:
        """Accept the connections that have arrived.

        False if that is to be tried again later.
        """
        while True:
            if not self._may_accept(self._opening):
                return False
            try:
                accepted, _ = listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                self._on_error(self._address, error)
                return False
            self._opening += 1
            self._connections.start_soon(self._serve, accepted)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = await anyio.abc.SocketStream.from_socket(accepted)
        except (OSError, ValueError):
            # The caller has closed the connection already.
            accepted.close()
            return
        finally:
            self._opening -= 1
        await self._handler(stream)
