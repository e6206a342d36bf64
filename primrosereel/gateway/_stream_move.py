"""Moves a running stream away from a runner that leaves.

Pattern: pre-copy live migration. The KV cache is copied to another decode
runner while the stream continues. Then the stream is stopped, the rest of the
KV cache is copied, and the other runner continues after the last event that
the caller received. This counts as the same run, so streams that may run only
once can be moved as well. If the other runner does not take the stream, the
source, which still holds the KV cache, continues it, or copies it to a third
runner. A stop whose answer is lost is asked for again, and the stream goes on
from the first copy.
"""

from collections.abc import Callable
import math

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _http as http
from primrosereel.gateway import _move_reservation as move_reservation
from primrosereel.gateway import _move_targets as move_targets
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _stream_stop as stream_stop

__all__ = ['StreamMove']

# The interval between two attempts to find a place, and how long to try.
PLACE_RETRY_INTERVAL_S = 0.2
PLACE_SEARCH_LIMIT_S = 6.0
# The time limit of each call, longer than the silence of a sound runner: a
# call that is given up may have stopped the stream.
CALL_TIMEOUT_S = 2.0
# Bounds of the calls that stop one stream; the caller waits meanwhile.
MAX_STOP_CALLS = 3
STOP_LIMIT_S = 3.0
STOP_RETRY_INTERVAL_S = 0.05
FREE_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 65536
# A stream that went back to its source is moved again this often: each time
# its caller waits, and the budget is spent.
MAX_RETURNS = 2
# Share of the time within which a leaving runner may be sent requests, counted
# from when this instance learned that it leaves: it learns so a little late.
SOURCE_SHARE_OF_DRAIN = 0.5


class StreamMove:
    """The move of one stream from a runner that leaves.

    ``target`` is the runner that holds the copy, and ``handle`` names it.
    ``next_runner`` is to continue the stream: the target, or the source after
    ``fall_back``. Once the source's stream has ended, ``settle`` tells what is
    known of its stop, and ``can_continue`` whether there is a copy.
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        source: runners.Runner,
        ticket: decode_places.Ticket,
        events_sent: Callable[[], int],
        previous: 'StreamMove | None' = None,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._source = source
        self._reservation = move_reservation.MoveReservation(
            exchange, ticket, events_sent
        )
        self._targets = move_targets.MoveTargets(self._context, ticket)
        # How often the stream went back to the source that it is moved from.
        self._returns = 0
        if previous is not None and previous.at_source:
            self._returns = previous._returns + 1
            refused_by = previous._reservation.last_runner
            if refused_by is not None:
                self._targets.refuse(refused_by)
        self._done = anyio.Event()
        self._stop = stream_stop.StreamStop()
        self._ended = False
        self._at_source = False
        # Whether the target may hold what it needs to continue.
        self._copied = False
        # Why the stream was not copied yet, for the log.
        self._refused_because = 'no place'
        # Set once the caller has the first event; there is no run to move
        # before that.
        self.first_event_sent = False
        # The handle of a copy that the target has not continued from yet.
        self._unused_copy: str | None = None

    @property
    def handle(self) -> str | None:
        """The handle of the copy until it is used or freed."""
        return self._unused_copy

    @property
    def target(self) -> runners.Runner | None:
        """The runner that holds the copy."""
        return self._reservation.runner

    @property
    def next_runner(self) -> runners.Runner | None:
        """The runner that is to continue the stream."""
        return self._source if self._at_source else self.target

    @property
    def at_source(self) -> bool:
        """Whether the source is to continue the stream itself."""
        return self._at_source

    @property
    def stop_asked(self) -> bool:
        """Whether the source was asked to stop the stream."""
        return self._stop.calls > 0

    @property
    def can_continue(self) -> bool:
        """Whether the stream can go on from a copy after the move has ended.

        That it was stopped may not be certain; it is ended all the same once
        its connection is closed.
        """
        return (
            self._done.is_set()
            and self._stop.may_have_stopped
            and self._unused_copy is not None
            and (self._at_source or self._copied)
            and self.next_runner is not None
        )

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
            or self._stop.state is not stream_stop.StopState.STOPPED
            or now >= source_until
            or self._source_backs_off()
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
        """Record that the stream ended, and release what the move holds.

        The budget is returned unless a continuation was to be sent: the
        calls of a move are no arrivals of the request at another runner.
        """
        self._ended = True
        self._reservation.release()

    def begin_continuation(self) -> None:
        """Keep the budget, as the request is to be sent to a runner."""
        self._reservation.keep_budget()
        self.end()

    def copy_used(self) -> None:
        """Record that the target continues from the copy."""
        self._unused_copy = None

    async def close(self) -> None:
        """Release the target's place and free a copy that was not used."""
        self.end()
        await self._free_copy()

    async def _free_copy(self) -> None:
        unused_copy, self._unused_copy = self._unused_copy, None
        if unused_copy is None or self._source_backs_off():
            return
        method, target = self._context.dialect.free_handle(unused_copy)
        self._context.count('streams.copies_freed')
        with (
            anyio.CancelScope(shield=True),
            final_poll.move_on_after(FREE_TIMEOUT_S),
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

    async def settle(self) -> stream_stop.StopState:
        """Return what is known of the stop once the source's stream ended.

        Waits for calls in progress. A stop that was not asked for yet is not
        asked for any more.
        """
        if self._stop.calls:
            with final_poll.move_on_after(STOP_LIMIT_S):
                await self._done.wait()
        if not self._done.is_set():
            self._ended = True
        return self._stop.state

    async def check_end(self, head: http.ResponseHead) -> None:
        """Raise BrokenResponse if the source may have stopped the stream.

        A stream without a length ends with its connection, which looks the
        same if its runner was told to stop it.
        """
        state = await self.settle()
        if state is stream_stop.StopState.STOPPED and self.can_continue:
            raise http.BrokenResponse('the stream was stopped for a move')
        if head.ends_with_connection and self._stop.may_have_stopped:
            raise http.BrokenResponse(
                f'the stream may have been stopped for a move: {state.value}'
            )

    async def run(self) -> None:
        """Copy the stream, stop it and copy the rest.

        Errors end the move.
        """
        outcome = ''
        try:
            engine = self._exchange.engine
            if engine is None or not engine.moves:
                return
            if self._returns > MAX_RETURNS:
                return
            self._reservation.claim_budget()
            outcome = (
                await self._copy_to_a_target()
                or await self._stop_and_copy_rest()
            )
        except (http.HttpError, TimeoutError) as error:
            outcome = str(error) or 'timeout'
        finally:
            self._done.set()
            if self._ended or not self.can_continue:
                await self.close()
        self._log_outcome(outcome)

    def _log_outcome(self, outcome: str) -> None:
        context = self._context
        runner = self.next_runner if self.can_continue else None
        state = self._stop.state
        context.count('streams.moved' if runner else 'streams.not_moved')
        if state is stream_stop.StopState.UNKNOWN:
            context.count('streams.stop_unknown')
        context.log.info(
            'stream moved' if runner else 'stream not moved',
            request=self._exchange.facts.request_id,
            source=self._source.runner_id,
            target=runner.runner_id if runner else None,
            outcome=outcome,
            stop=state.value,
            stop_calls=self._stop.calls,
        )

    async def _copy_to_a_target(self) -> str:
        """Copy the stream; return why it is not to be stopped, or ''.

        A target that refuses the copy is followed by others, as the stream
        goes on meanwhile.
        """
        context = self._context
        until = context.clock() + PLACE_SEARCH_LIMIT_S
        while not self._ended and context.clock() < until:
            target = self._take_place()
            if target is None:
                await anyio.sleep(PLACE_RETRY_INTERVAL_S)
                continue
            answer = await self._copy(target)
            if self._copied:
                return ''
            self._refused_because = f'copy: status {answer.status}'
            if answer.outcome is model.MoveOutcome.NO_RUN or self._ended:
                break
            await self._give_up_target(target)
        return 'stream ended' if self._ended else self._refused_because

    def _take_place(self) -> runners.Runner | None:
        """Take a place for the copy, if there is one and the budget allows."""
        context = self._context
        if not self.first_event_sent or self._source_backs_off():
            return None
        now = context.clock()
        target = self._targets.choose(now)
        if target is None:
            return None
        if not self._reservation.take(target):
            self._refused_because = 'no retry budget'
            return None
        return target

    async def _copy(self, target: runners.Runner) -> model.MoveAnswer:
        """Copy the stream while it goes on."""
        try:
            answer = await self._copy_to(target, CALL_TIMEOUT_S, last=False)
        except (http.HttpError, TimeoutError) as error:
            self._context.log.info(
                'copy of a stream not answered',
                request=self._exchange.facts.request_id,
                source=self._source.runner_id,
                target=target.runner_id,
                detail=str(error) or 'timeout',
            )
            return model.MoveAnswer(model.MoveOutcome.UNCLEAR, 0)
        if answer.outcome is model.MoveOutcome.COPIED and not self._ended:
            now = self._context.clock()
            self._copied = target.availability.accepts(now)
        return answer

    async def _give_up_target(self, target: runners.Runner) -> None:
        """Release the place at a runner that does not take the copy."""
        self._context.count('streams.copies_refused')
        self._targets.refuse(target)
        self._reservation.release()
        await self._free_copy()

    async def _stop_and_copy_rest(self) -> str:
        """Stop the stream and copy the rest; return the outcome.

        Without room for the rest, the source or a third runner is to continue
        the stream, or else the target, which still has the first copy and
        reads again what that lacks. A call without a clear answer is repeated.
        """
        outcome = 'stream ended'
        first_target = self.target
        until = self._context.clock() + STOP_LIMIT_S
        for _ in range(MAX_STOP_CALLS):
            remaining_s = until - self._context.clock()
            if self._ended or remaining_s <= 0 or self._source_backs_off():
                break
            answer = await self._ask_to_stop(min(CALL_TIMEOUT_S, remaining_s))
            outcome = f'stop: status {answer.status}'
            if self._ended:
                break
            if answer.outcome is model.MoveOutcome.UNCLEAR:
                await anyio.sleep(STOP_RETRY_INTERVAL_S)
                continue
            self._copied |= answer.outcome is model.MoveOutcome.COPIED
            if answer.outcome is not model.MoveOutcome.NO_ROOM:
                break
            if self.fall_back() or not self._choose_another_target():
                break
            self._copied = False
        if not self._copied and not self._ended and first_target is not None:
            self._reservation.move_to(first_target)
            self._copied = True
        return outcome

    async def _ask_to_stop(self, timeout_s: float) -> model.MoveAnswer:
        """Make one call that stops the stream, and record its answer."""
        target = self.target
        assert target is not None
        self._stop.ask()
        try:
            answer = await self._copy_to(target, timeout_s, last=True)
        except (http.HttpError, TimeoutError) as error:
            if isinstance(error, http.ConnectFailed):
                self._stop.not_sent()
            else:
                self._stop.not_answered()
            self._context.log.info(
                'stop of a stream not answered',
                request=self._exchange.facts.request_id,
                source=self._source.runner_id,
                detail=str(error) or 'timeout',
            )
            return model.MoveAnswer(model.MoveOutcome.UNCLEAR, 0)
        self._stop.answered(answer.outcome)
        return answer

    def _choose_another_target(self) -> bool:
        """Take a place at a runner that was not tried yet, if any."""
        refused = self.target
        assert refused is not None
        self._targets.refuse(refused)
        runner = self._targets.choose(self._context.clock())
        if runner is None:
            return False
        self._reservation.move_to(runner)
        self._context.count('streams.other_target')
        return True

    def _source_backs_off(self) -> bool:
        return runner_signs.backs_off(self._context, self._source)

    async def _copy_to(
        self, runner: runners.Runner, timeout_s: float, last: bool
    ) -> model.MoveAnswer:
        """Copy the stream to a runner, and keep the handle of the copy."""
        dialect = self._context.dialect
        method, target, headers, body = dialect.move(
            self._source.runner_id,
            self._exchange.facts.request_id,
            runner.listing.address,
            last,
        )
        status, response_body = await self._send_to_source(
            http.OutgoingRequest(method, target, headers, body), timeout_s
        )
        answer = dialect.move_answer(
            status, self._source.listing.address, last, response_body
        )
        if answer.handle is not None:
            self._unused_copy = answer.handle
        return answer

    async def _send_to_source(
        self, request: http.OutgoingRequest, timeout_s: float = math.inf
    ) -> tuple[int, bytes]:
        """Call the source on a new connection.

        A runner that leaves closes its idle connections. Raises TimeoutError
        if the answer takes longer than ``timeout_s`` after the connect.
        """
        address = self._source.listing.address
        request.headers.append((b'Host', str(address).encode()))
        connection = await runner_connect.connect(
            self._context, self._source, min(timeout_s, CALL_TIMEOUT_S)
        )
        try:
            with final_poll.fail_after(timeout_s):
                head = await connection.send_request(request)
                runner_signs.observe_answer(self._context, self._source, head)
                body = await connection.read_body(MAX_RESPONSE_BYTES)
            return head.status, body
        finally:
            with anyio.CancelScope(shield=True):
                await connection.close()
