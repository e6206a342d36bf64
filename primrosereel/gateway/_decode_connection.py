"""The connection of a generation to the decode runner of its place.

It is opened before the prompt is prefilled, so that no prompt is prefilled for
an unreachable runner.
"""

import anyio

from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _held_place as held_place
from primrosereel.gateway import _http as http
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _runners as runners

__all__ = ['DecodeConnection']

MAX_CONNECT_ATTEMPTS = 4


class DecodeConnection:
    """A connection that is opened early and used once.

    Example::

        connection = DecodeConnection(exchange, place)
        await connection.open()
        # The prompt is prefilled meanwhile.
        await connection.take(place.runner)
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        place: held_place.HeldPlace,
    ) -> None:
        self._exchange = exchange
        self._place = place
        self._connection: http.HttpConnection | None = None

    async def open(self) -> bool:
        """Acquire a place at a reachable runner; False if there is none."""
        failures = 0
        while failures < MAX_CONNECT_ATTEMPTS:
            runner = await self._place.acquire()
            try:
                connection = await upstream.connect(self._exchange, runner)
            except upstream.NotSent as error:
                failures += 1
                self.record_failure(runner, str(error))
                continue
            except upstream.Withdrawn:
                self._place.exclude(runner)
                continue
            if self._place.holds(runner):
                self._connection = connection
                return True
            # The request was placed anew meanwhile.
            await connection.close()
        return False

    async def take(self, runner: runners.Runner) -> http.HttpConnection | None:
        """Return the connection opened earlier, or a new one if it closed.

        Returns None if the request has no place at the runner any more.
        Raises upstream.NotSent if the runner cannot be reached, and
        upstream.TimeOver if the time of the request is over.
        """
        connection, self._connection = self._connection, None
        if connection is not None:
            same_address = connection.address == runner.listing.address
            if not same_address or connection.has_input():
                await connection.close()
                connection = None
        if connection is None:
            try:
                connection = await upstream.connect(self._exchange, runner)
            except upstream.Withdrawn:
                self._place.exclude(runner)
                return None
        await upstream.check_time_left(self._exchange, connection)
        if not self._place.confirm(runner):
            await connection.close()
            return None
        return connection

    def record_failure(self, runner: runners.Runner, detail: str) -> None:
        """Record that the runner cannot be reached; use others."""
        self._exchange.record_failed_attempt(
            states.RetryReason.CONNECT_FAILED, runner, detail
        )
        self._place.exclude(runner)

    async def close(self) -> None:
        """Close the connection if it was not used."""
        if self._connection is not None:
            with anyio.CancelScope(shield=True):
                await self._connection.close()
