"""A pool of idle connections to runners, kept while reuse is safe.

If a runner closes an idle connection while a request is sent on it, it is
unknown whether the request ran. Reusing connections only well before the
runner's own idle timeout avoids this race.
"""

import math

import anyio

from primrosereel.gateway import _http as http
from primrosereel.routing import _model as model

__all__ = ['ConnectionPool']

# The share of the runner's idle timeout within which a connection is reused.
SAFE_IDLE_SHARE = 0.5
# Used if a runner does not announce its idle timeout.
DEFAULT_IDLE_S = 2.0
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ADDRESS = 4


class ConnectionPool:
    """Hands out idle connections, the most recently used first."""

    def __init__(self) -> None:
        self._idle: dict[
            model.Address, list[tuple[float, http.HttpConnection]]
        ] = {}
        # Connections that ``run`` closes.
        self._dropped: list[http.HttpConnection] = []
        self._wakeup = anyio.Event()

    @property
    def idle_count(self) -> int:
        """The idle connections, each of which has a file descriptor."""
        return sum(map(len, self._idle.values()))

    def drop(self, address: model.Address) -> None:
        """Use no idle connection to an address any more, and close them."""
        for _, connection in self._idle.pop(address, []):
            self._dropped.append(connection)
        self._wakeup.set()

    async def run(self) -> None:
        """Close dropped connections until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = anyio.Event()
            while self._dropped:
                await self._dropped.pop().close()

    async def get(
        self, address: model.Address, now: float, request_id: str
    ) -> http.HttpConnection | None:
        """Return an idle connection that is believed to be open.

        It has not carried the request before.
        """
        closing: list[http.HttpConnection] = []
        found = self._take(address, now, request_id, closing)
        with anyio.CancelScope(shield=True):
            for connection in closing:
                await connection.close()
        return found

    def _take(
        self,
        address: model.Address,
        now: float,
        request_id: str,
        closing: list[http.HttpConnection],
    ) -> http.HttpConnection | None:
        """Remove a connection that can be used from the pool.

        Those that cannot be used any more are moved to ``closing``. It does
        not yield to other tasks, which would use the same connections.
        """
        idle = self._idle.get(address, [])
        for entry in reversed(list(idle)):
            until, connection = entry
            if now < until and not connection.may_carry(request_id):
                continue
            idle.remove(entry)
            if now < until and not connection.has_input():
                return connection
            closing.append(connection)
        return None

    async def put(
        self,
        connection: http.HttpConnection,
        keep_alive_s: float | None,
        now: float,
    ) -> None:
        """Keep a connection for another request, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        if not connection.reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            await connection.close()
            return
        idle_s = math.inf if keep_alive_s is None else keep_alive_s
        idle_s = min(idle_s * SAFE_IDLE_SHARE, MAX_IDLE_S)
        if keep_alive_s is None:
            idle_s = DEFAULT_IDLE_S
        idle.append((now + idle_s, connection))

    async def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long.

        All are removed from the pool before the first one is closed, as other
        tasks use the pool meanwhile.
        """
        closing: list[http.HttpConnection] = []
        for address, idle in list(self._idle.items()):
            closing += [c for until, c in idle if until <= now]
            idle[:] = [entry for entry in idle if now < entry[0]]
            if not idle:
                del self._idle[address]
        for connection in closing:
            await connection.close()
