"""Answers the platform's readiness check."""

from collections.abc import Callable

import anyio.abc

from primrosereel.gateway import _callers as callers
from primrosereel.routing import _model as model

__all__ = ['ReadinessServer']


class ReadinessServer:
    """Answers 200 while the instance can serve, else 503."""

    def __init__(
        self,
        path: bytes,
        ready: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._path = path
        self._ready = ready
        self._clock = clock

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Answer questions until the connection closes."""
        connection = callers.CallerConnection(
            stream, model.CallerLimits(), self._clock
        )
        try:
            while True:
                request = await connection.next_request()
                if request is None:
                    return
                await connection.reply(self._answer(request))
                if not connection.next_cycle():
                    return
        except callers.CallerGone:
            return
        finally:
            await connection.close()

    def _answer(self, request: callers.CallerRequest) -> callers.Reply:
        if request.target.partition(b'?')[0] != self._path:
            return callers.Reply(404)
        return callers.Reply(200 if self._ready() else 503)
