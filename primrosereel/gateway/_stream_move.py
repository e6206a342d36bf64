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
RETRY_S = 0.2
SEARCH_S = 6.0
CALL_S = 1.5
FREE_S = 0.5
MAX_ANSWER_BYTES = 65536


class StreamMove:
    """The move of one stream from a runner that leaves.

    ``row`` is the runner that holds the copy and ``handle`` its name, once the
    stream has been stopped.
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        source: runners.Runner,
        place: decode_places.Ticket,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._source = source
        self._place = place
        self._done = anyio.Event()
        self._stopping = False
        self._ended = False
        # Set once the caller has the first event; before, nothing runs yet.
        self.begun = False
        # A copy that is held at the other runner and has not been taken.
        self._copied: str | None = None
        self.handle: str | None = None

    @property
    def row(self) -> runners.Runner | None:
        """The runner that holds the copy."""
        return self._place.runner

    def end(self) -> None:
        """Note that the stream ended; a place that was taken is given back."""
        self._ended = True
        if self._place.runner is not None:
            self._context.places.release(self._place)
            self._context.uses_changed()

    def taken(self) -> None:
        """Note that the other runner goes on from the copy."""
        self._copied = None

    async def close(self) -> None:
        """Give back the place, and the memory of a copy that nobody took."""
        self.end()
        copied, self._copied = self._copied, None
        if copied is None:
            return
        method, target = self._context.dialect.free_handle(copied)
        self._context.count('streams.copies_freed')
        with anyio.CancelScope(shield=True), anyio.move_on_after(FREE_S):
            try:
                await self._ask(http.Call(method, target, []))
            except http.ConnectionFailed as error:
                self._context.log.info(
                    'handle not freed',
                    request=self._exchange.facts.request_id,
                    detail=str(error),
                )

    async def stopped(self) -> bool:
        """Tell, once the source's stream has ended, whether it was moved."""
        if self._stopping:
            with anyio.move_on_after(CALL_S):
                await self._done.wait()
        return self.handle is not None

    async def run(self) -> None:
        """Copy the stream, stop it and copy the rest; errors end the move."""
        outcome = ''
        try:
            engine = self._exchange.engine
            if engine is None or not engine.moves:
                return
            outcome = await self._take_place() or await self._copy()
        except http.ConnectionFailed as error:
            outcome = str(error)
        except TimeoutError:
            outcome = 'timeout'
        finally:
            self._done.set()
            if self.handle is None or self._ended:
                await self.close()
        row = self.row
        if row is not None:
            self._context.count('streams.moved')
        else:
            self._context.count('streams.not_moved')
        self._context.log.info(
            'stream moved' if row else 'stream not moved',
            request=self._exchange.facts.request_id,
            source=self._source.runner_id,
            target=row.runner_id if row else None,
            outcome=outcome,
        )

    async def _take_place(self) -> str:
        """Take a place for the copy; return why there is none."""
        context = self._context
        until = context.clock() + SEARCH_S
        while not self._ended and context.clock() < until:
            row = context.places.choose(self._place, context.clock())
            if row is not None and self.begun:
                if not context.budget.try_spend(
                    self._exchange.service, context.clock()
                ):
                    return 'no retry budget'
                context.places.move(self._place, row)
                context.uses_changed()
                return ''
            await anyio.sleep(RETRY_S)
        return 'stream ended' if self._ended else 'no place'

    async def _copy(self) -> str:
        """Return the outcome; ``handle`` is set if the stream was stopped."""
        row = self.row
        assert row is not None
        with anyio.fail_after(CALL_S):
            status = await self._call(row, last=False)
            if status != 200 or self._ended:
                return f'copy: status {status}'
            self._stopping = True
            status = await self._call(row, last=True)
            if status == 200:
                self.handle = self._copied
            return f'stop: status {status}'

    async def _call(self, row: runners.Runner, last: bool) -> int:
        """Copy to a runner, and keep the copy's handle."""
        dialect = self._context.dialect
        method, target, headers, body = dialect.move(
            self._source.runner_id,
            self._exchange.facts.request_id,
            row.listing.address,
            last,
        )
        status, answer = await self._ask(
            http.Call(method, target, headers, body)
        )
        if status == 200:
            self._copied = dialect.move_result(
                self._source.listing.address, answer
            )
        return status

    async def _ask(self, call: http.Call) -> tuple[int, bytes]:
        """Call the source; a runner that leaves closes its connections."""
        address = self._source.listing.address
        call.headers.append((b'Host', str(address).encode()))
        connection = await http.connect(address, CALL_S)
        try:
            head = await connection.exchange(call)
            return head.status, await connection.whole_body(MAX_ANSWER_BYTES)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
