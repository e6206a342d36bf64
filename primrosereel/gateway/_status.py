"""HTTP pages for the platform and for operators: readiness and metrics."""

from collections.abc import Callable
from collections.abc import Mapping

import anyio.abc
import h11

from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _lingering_close as lingering_close
from primrosereel.routing import _model as model

__all__ = ['StatusServer']

Page = Callable[[], callers.Reply]


class StatusServer:
    """Serves the given pages by path.

    A page that raises an exception is answered with ``failure_status``, and
    ``on_error`` gets the exception.
    """

    def __init__(
        self,
        pages: Mapping[bytes, Page],
        clock: Callable[[], float],
        on_error: Callable[[Exception], None],
        failure_status: int,
    ) -> None:
        self._pages = pages
        self._clock = clock
        self._on_error = on_error
        self._failure_status = failure_status
        self._lingering = lingering_close.LingeringCloses()

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Serve requests until the connection closes."""
        connection = callers.CallerConnection(
            stream, model.CallerLimits, self._clock, self._lingering
        )
        try:
            while True:
                request = await connection.next_request()
                if request is None:
                    return
                await connection.reply(self._page_reply(request))
                if not connection.start_next_cycle():
                    return
        except (callers.CallerDisconnected, h11.LocalProtocolError):
            return
        except Exception as error:
            # It would end the listener and the process.
            self._on_error(error)
        finally:
            await connection.close()

    def _page_reply(self, request: callers.CallerRequest) -> callers.Reply:
        page = self._pages.get(request.target.partition(b'?')[0])
        if page is None:
            return callers.Reply(404)
        try:
            return page()
        except Exception as error:
            self._on_error(error)
            return callers.Reply(self._failure_status)
