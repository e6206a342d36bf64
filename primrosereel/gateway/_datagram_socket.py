"""A UDP socket that sends without a turn of the event loop per datagram.

In a large fleet each change is told to some dozen instances, and a turn of
the event loop costs several times as much as the system call.
"""

from collections.abc import AsyncIterator
import contextlib
import socket
from types import TracebackType

import anyio
import anyio.abc
import anyio.lowlevel

from primrosereel.routing import _model as model

__all__ = ['DatagramSocket']

# Datagrams that are sent before other tasks get a turn.
BATCH = 16


class DatagramSocket:
    """Sends and receives datagrams at an address.

    Example::

        async with DatagramSocket(address) as peers:
            await peers.sendto(b'data', '10.1.0.2', 7000)
            async for data, (host, port) in peers:
                ...
    """

    def __init__(self, address: model.Address) -> None:
        self._address = address
        self._raw: socket.socket | None = None
        self._socket: anyio.abc.UDPSocket | None = None
        self._sent = 0
        # anyio allows one sender at a time.
        self._waiting = anyio.Lock()

    async def __aenter__(self) -> 'DatagramSocket':
        """Bind the socket; raises OSError if that fails."""
        family, _, _, _, address = (
            await anyio.getaddrinfo(*self._address, type=socket.SOCK_DGRAM)
        )[0]
        with contextlib.ExitStack() as on_error:
            raw = on_error.enter_context(
                socket.socket(family, socket.SOCK_DGRAM)
            )
            raw.setblocking(False)
            raw.bind(address)
            self._socket = await anyio.abc.UDPSocket.from_socket(raw)
            on_error.pop_all()
        self._raw = raw
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the socket."""
        assert self._socket is not None
        await self._socket.aclose()

    async def sendto(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; wait only while the kernel has no space for it.

        Raises OSError if the network refuses it, and TypeError or ValueError
        if ``host`` cannot be an address.
        """
        assert self._raw is not None and self._socket is not None
        self._sent += 1
        if self._sent % BATCH == 0:
            await anyio.lowlevel.checkpoint()
        try:
            self._raw.sendto(data, (host, port))
        except BlockingIOError:
            async with self._waiting:
                await self._socket.sendto(data, host, port)

    def __aiter__(self) -> AsyncIterator[tuple[bytes, tuple[str, int]]]:
        """Receive datagrams until cancelled."""
        assert self._socket is not None
        return self._socket.__aiter__()
