"""Moves a running stream away from an engine that leaves.

Pattern: live migration by copying in advance. A stream's KV cache is copied to
another decode runner while it goes on; then the stream is stopped, what is new
is copied, and the other runner goes on after the caller's last event. It
counts as the same run, so streams that may run once can be moved as well.
"""

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _runners as runners

__all__ = ['StreamMove']

# Between two looks for a place, and for how long a place is looked for.
PLACE_RETRY_INTERVAL_S = 0.2
PLACE_SEARCH_LIMIT_S = 6.0
CALL_TIMEOUT_S = 1.5
FREE_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 65536


class StreamMove:
    """The move of one stream from a runner that leaves.

    ``target`` is the runner that holds the copy and ``handle`` its name, once
    the stream has been stopped.
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        source: runners.Runner,
        ticket: decode_places.Ticket,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._source = source
        self._ticket = ticket
        self._done = anyio.Event()
        self._stopping = False
        self._ended = False
        # Set once the caller has the first event; before, nothing runs yet.
        self.first_event_sent = False
        # A copy that is held at the other runner and has not been taken.
        self._unused_copy: str | None = None
        self.handle: str | None = None

    @property
    def target(self) -> runners.Runner | None:
        """The runner that holds the copy."""
        return self._ticket.row

    def end(self) -> None:
        """Note that the stream ended; a place that was taken is given back."""
        self._ended = True
        if self._ticket.row is not None:
            self._context.places.release(self._ticket)
            self._context.uses_changed()

    def copy_used(self) -> None:
        """Note that the other runner goes on from the copy."""
        self._unused_copy = None

    async def close(self) -> None:
        """Give back the place, and the memory of a copy that nobody took."""
        self.end()
        unused_copy, self._unused_copy = self._unused_copy, None
        if unused_copy is None:
            return
        method, target = self._context.dialect.free_handle(unused_copy)
        self._context.count('streams.copies_freed')
        with (
            anyio.CancelScope(shield=True),
            anyio.move_on_after(FREE_TIMEOUT_S),
        ):
            try:
                await self._call_source(http.Call(method, target, []))
            except http.HttpError as error:
                self._context.log.info(
                    'handle not freed',
                    request=self._exchange.facts.request_id,
                    detail=str(error),
                )

    async def wait_until_moved(self) -> bool:
        """Tell, once the source's stream has ended, whether it was moved."""
        if self._stopping:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._done.wait()
        return self.handle is not None

    async def run(self) -> None:
        """Copy the stream, stop it and copy the rest; errors end the move."""
        outcome = ''
        try:
            engine = self._exchange.engine
            if engine is None or not engine.moves:
                return
            outcome = (
                await self._acquire_place() or await self._copy_and_stop()
            )
        except http.HttpError as error:
            outcome = str(error)
        except TimeoutError:
            outcome = 'timeout'
        finally:
            self._done.set()
            if self.handle is None or self._ended:
                await self.close()
        target = self.target
        if target is not None:
            self._context.count('streams.moved')
        else:
            self._context.count('streams.not_moved')
        self._context.log.info(
            'stream moved' if target else 'stream not moved',
            request=self._exchange.facts.request_id,
            source=self._source.runner,
            target=target.runner if target else None,
            outcome=outcome,
        )

    async def _acquire_place(self) -> str:
        """Take a place for the copy; return why there is none."""
        context = self._context
        until = context.clock() + PLACE_SEARCH_LIMIT_S
        while not self._ended and context.clock() < until:
            runner = context.places.choose(self._ticket, context.clock())
            if runner is not None and self.first_event_sent:
                if not context.budget.take(
                    self._exchange.service, context.clock()
                ):
                    return 'no retry budget'
                context.places.move(self._ticket, runner)
                context.uses_changed()
                return ''
            await anyio.sleep(PLACE_RETRY_INTERVAL_S)
        return 'stream ended' if self._ended else 'no place'

    async def _copy_and_stop(self) -> str:
        """Return the outcome; ``handle`` is set if the stream was stopped."""
        target = self.target
        assert target is not None
        with anyio.fail_after(CALL_TIMEOUT_S):
            status = await self._copy_to(target, last=False)
            if status != 200 or self._ended:
                return f'copy: status {status}'
            self._stopping = True
            status = await self._copy_to(target, last=True)
            if status == 200:
                self.handle = self._unused_copy
            return f'stop: status {status}'

    async def _copy_to(self, runner: runners.Runner, last: bool) -> int:
        """Copy to a runner, and keep the copy's handle."""
        dialect = self._context.dialect
        method, target, headers, body = dialect.move(
            self._source.runner,
            self._exchange.facts.request_id,
            runner.listing.address,
            last,
        )
        status, response_body = await self._call_source(
            http.Call(method, target, headers, body)
        )
        if status == 200:
            self._unused_copy = dialect.move_result(
                self._source.listing.address, response_body
            )
        return status

    async def _call_source(self, call: http.Call) -> tuple[int, bytes]:
        """Call the source; a runner that leaves closes its connections."""
        address = self._source.listing.address
        call.headers.append((b'Host', str(address).encode()))
        connection = await http.connect(address, CALL_TIMEOUT_S)
        try:
            head = await connection.exchange(call)
            return head.status, await connection.read_body(MAX_RESPONSE_BYTES)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
