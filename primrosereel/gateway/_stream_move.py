"""Moves a running stream away from a runner that leaves.

Pattern: pre-copy live migration. The KV cache is copied to another decode
runner while the stream continues. Then the stream is stopped, the rest of the
KV cache is copied, and the other runner continues after the last event that
the caller received. This counts as the same run, so streams that may run only
once can be moved as well. If the other runner does not take the stream, the
source, which still holds the KV cache, continues it.
"""

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _runners as runners

__all__ = ['StreamMove']

# The interval between two attempts to find a place, and how long to try.
PLACE_RETRY_INTERVAL_S = 0.2
PLACE_SEARCH_LIMIT_S = 6.0
# The time limit of each of the two calls, longer than the silence of a sound
# runner: a call that is given up may have stopped the stream.
CALL_TIMEOUT_S = 2.0
FREE_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 65536
# Share of the time within which a leaving runner may be sent requests, counted
# from when this instance learned that it leaves: it learns so a little late.
SOURCE_SHARE_OF_DRAIN = 0.5
NO_ROOM = 503


class StreamMove:
    """The move of one stream from a runner that leaves.

    ``target`` is the runner that holds the copy. ``handle`` is the handle of
    the copy; it is set once the source has stopped the stream. ``next_runner``
    is to continue it: the target, or the source after ``fall_back``.
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
        self._at_source = False
        self._stopped = False
        # Set once the caller has the first event; there is no run to move
        # before that.
        self.first_event_sent = False
        # The handle of a copy that the target has not continued from yet.
        self._unused_copy: str | None = None
        self.handle: str | None = None

    @property
    def target(self) -> runners.Runner | None:
        """The runner that holds the copy."""
        return self._ticket.runner

    @property
    def next_runner(self) -> runners.Runner | None:
        """The runner that is to continue the stream."""
        return self._source if self._at_source else self.target

    @property
    def at_source(self) -> bool:
        """Whether the source is to continue the stream itself."""
        return self._at_source

    def fall_back(self) -> bool:
        """Let the source continue the stream; False if it cannot.

        It is sent nothing once the time of its drain may be over.
        """
        context = self._context
        now = context.clock()
        record = context.runners.availability.record(self._source.runner_id)
        source_until = (
            record.since
            + SOURCE_SHARE_OF_DRAIN * context.settings.runner_drain_s
        )
        if (
            self._at_source
            or self._unused_copy is None
            or now >= source_until
            or runner_signs.backs_off(context, self._source)
        ):
            return False
        self._at_source = True
        context.count('streams.back_at_source')
        context.log.info(
            'stream back at its source',
            request=self._exchange.facts.request_id,
            source=self._source.runner_id,
        )
        return True

    def end(self) -> None:
        """Record that the stream ended, and release the target's place."""
        self._ended = True
        if self._ticket.runner is not None:
            self._context.places.release(self._ticket)
            self._context.uses_changed()

    def copy_used(self) -> None:
        """Record that the target continues from the copy."""
        self._unused_copy = None

    async def close(self) -> None:
        """Release the target's place and free a copy that was not used."""
        self.end()
        unused_copy, self._unused_copy = self._unused_copy, None
        if unused_copy is None or runner_signs.backs_off(
            self._context, self._source
        ):
            return
        method, target = self._context.dialect.free_handle(unused_copy)
        self._context.count('streams.copies_freed')
        with (
            anyio.CancelScope(shield=True),
            anyio.move_on_after(FREE_TIMEOUT_S),
        ):
            try:
                await self._send_to_source(
                    http.OutgoingRequest(method, target, [])
                )
            except http.HttpError as error:
                self._context.log.info(
                    'handle not freed',
                    request=self._exchange.facts.request_id,
                    detail=str(error),
                )

    async def wait_until_moved(self) -> bool:
        """Return whether the stream was moved.

        It is called after the source's stream ended, and waits for a stop
        call that is still in progress.
        """
        if self._stopping:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._done.wait()
        return self.handle is not None

    async def run(self) -> None:
        """Copy the stream, stop it and copy the rest.

        Errors end the move.
        """
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
            source=self._source.runner_id,
            target=target.runner_id if target else None,
            outcome=outcome,
        )

    async def _acquire_place(self) -> str:
        """Acquire a place for the copy; return why none was found, or ''."""
        context = self._context
        until = context.clock() + PLACE_SEARCH_LIMIT_S
        while not self._ended and context.clock() < until:
            runner = context.places.choose(self._ticket, context.clock())
            may_call = self.first_event_sent and not runner_signs.backs_off(
                context, self._source
            )
            if runner is not None and may_call:
                if not context.budget.try_spend(
                    self._exchange.service, context.clock()
                ):
                    return 'no retry budget'
                context.places.move(self._ticket, runner)
                context.uses_changed()
                return ''
            await anyio.sleep(PLACE_RETRY_INTERVAL_S)
        return 'stream ended' if self._ended else 'no place'

    async def _copy_and_stop(self) -> str:
        """Copy, stop and copy the rest; return the outcome.

        ``handle`` is set if the stream was stopped.
        """
        target = self.target
        assert target is not None
        status = await self._copy_to(target, last=False)
        if status != 200 or self._ended:
            return f'copy: status {status}'
        if not target.availability.accepts(self._context.clock()):
            return 'the target takes no more requests'
        self._stopping = True
        status = await self._copy_to(target, last=True)
        if self._stopped and (status == 200 or self.fall_back()):
            self.handle = self._unused_copy
        return f'stop: status {status}'

    async def _copy_to(self, runner: runners.Runner, last: bool) -> int:
        """Copy the stream to a runner, and keep the handle of the copy."""
        dialect = self._context.dialect
        method, target, headers, body = dialect.move(
            self._source.runner_id,
            self._exchange.facts.request_id,
            runner.listing.address,
            last,
        )
        with anyio.fail_after(CALL_TIMEOUT_S):
            status, response_body = await self._send_to_source(
                http.OutgoingRequest(method, target, headers, body)
            )
        if status == 200 or (last and status == NO_ROOM):
            # A source that has stopped the stream names the handle also if
            # there is no room for the rest of the copy.
            handle = dialect.move_result(
                self._source.listing.address, response_body
            )
            if status == 200 or handle is not None:
                self._unused_copy = handle
                self._stopped = last
        return status

    async def _send_to_source(
        self, request: http.OutgoingRequest
    ) -> tuple[int, bytes]:
        """Call the source on a new connection.

        A runner that leaves closes its idle connections.
        """
        address = self._source.listing.address
        request.headers.append((b'Host', str(address).encode()))
        connection = await runner_connect.connect(
            self._context, self._source, CALL_TIMEOUT_S
        )
        try:
            head = await connection.send_request(request)
            runner_signs.observe_answer(self._context, self._source, head)
            return head.status, await connection.read_body(MAX_RESPONSE_BYTES)
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
