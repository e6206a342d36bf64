"""A TCP proxy on loopback that injects network faults."""

import contextlib
import enum

import anyio

from tests.soak import ports
from tests.soak import spans

__all__ = ['Link', 'Mode']

READ_BYTES = 65536
DELAY_PER_READ_S = 0.2


class Mode(enum.Enum):
    """The fault that the proxy injects into its connections."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    # Connections stay open; no data is forwarded in either direction.
    SILENT = 'silent'
    # Requests are forwarded and responses are dropped. A connection that lost
    # bytes delivers no later ones, as TCP never skips a part of a stream.
    ONE_WAY = 'one_way'


class Link:
    """Proxy for one port of 127.0.0.1 whose mode may change at any time.

    ``disturbed`` has the periods in which the mode was another than PASS.
    """

    def __init__(self, target):
        self.mode = Mode.PASS
        self.port = 0
        self.disturbed = spans.Spans()
        self._target = target
        self._scopes = set()
        self._disturbance = None
        self._listening = anyio.CancelScope()
        # The pause before the link listens again after a close.
        self._closed_s = None

    def set_mode(self, mode):
        """Change the mode; a reset also closes the open connections."""
        self.mode = mode
        if self._disturbance is not None:
            self.disturbed.end(self._disturbance)
            self._disturbance = None
        if mode is not Mode.PASS:
            self._disturbance = self.disturbed.begin()
        if mode is Mode.RESET:
            for scope in list(self._scopes):
                scope.cancel()

    def close(self, seconds):
        """Close all connections and refuse new ones for some seconds.

        This is what a process in touch sees of a runner that is down.
        """
        self._closed_s = seconds
        self._listening.cancel()

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        self.port = ports.free_port()
        listener = await _listen(self.port)
        task_status.started()
        while True:
            with anyio.CancelScope() as self._listening:
                async with listener:
                    await listener.serve(self._connection)
            if self._closed_s is None:
                return
            await anyio.sleep(self._closed_s)
            self._closed_s = None
            listener = await _listen(self.port)

    async def _connection(self, client):
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                if self.mode is not Mode.RESET:
                    await self._forward(client)
            finally:
                self._scopes.discard(scope)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(client)

    async def _forward(self, client):
        try:
            server = await anyio.connect_tcp('127.0.0.1', self._target)
        except OSError:
            return
        async with server:
            with contextlib.suppress(ExceptionGroup, OSError):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, client, server, True, tasks)
                    tasks.start_soon(self._pump, server, client, False, tasks)

    async def _pump(self, source, sink, is_request, tasks):
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, OSError
        ):
            bytes_lost = False
            while True:
                data = await source.receive(READ_BYTES)
                while self.mode is Mode.SILENT:
                    await anyio.sleep(0.02)
                if self.mode is Mode.DELAY:
                    await anyio.sleep(DELAY_PER_READ_S)
                if self.mode is Mode.ONE_WAY and not is_request:
                    bytes_lost = True
                if bytes_lost:
                    continue
                await sink.send(data)
        tasks.cancel_scope.cancel()


async def _listen(port):
    return await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=port
    )
