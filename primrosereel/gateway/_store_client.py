"""HTTP calls to the store over one persistent connection."""

import anyio

from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _http as http
from primrosereel.gateway import _ports as ports
from primrosereel.routing import _model as model

__all__ = ['StoreClient']

CONNECT_TIMEOUT_S = 0.5
# The time that a response may take beyond the wait that the store was asked
# for.
RESPONSE_MARGIN_S = 0.7


class StoreClient:
    """Makes sequential calls; a connection that fails is replaced."""

    def __init__(self, address: model.Address) -> None:
        self._address = address
        self._connection: http.HttpConnection | None = None

    async def __call__(
        self, method: bytes, target: bytes, limit: int, wait_s: float
    ) -> ports.StoreResponse:
        """Return the response; raise StoreUnavailable if the call fails."""
        request = http.OutgoingRequest(
            method, target, [(b'Host', str(self._address).encode())]
        )
        try:
            connection = await self._connect()
            with final_poll.fail_after(wait_s + RESPONSE_MARGIN_S):
                return await self._send_request(connection, request, limit)
        except (http.HttpError, TimeoutError) as error:
            await self._drop()
            raise ports.StoreUnavailable(repr(error)) from error

    async def _connect(self) -> http.HttpConnection:
        """Return the current connection, or a new one."""
        connection = self._connection
        if connection is None or connection.has_input():
            await self._drop()
            connection = await http.connect(self._address, CONNECT_TIMEOUT_S)
            self._connection = connection
        return connection

    async def _send_request(
        self,
        connection: http.HttpConnection,
        request: http.OutgoingRequest,
        limit: int,
    ) -> ports.StoreResponse:
        head = await connection.send_request(request)
        body = await connection.read_body(limit)
        if not connection.reusable:
            await self._drop()
        return ports.StoreResponse(head.status, head.headers, body)

    async def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.close()
