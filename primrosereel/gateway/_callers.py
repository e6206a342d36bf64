"""Caller connections: reads complete requests and writes responses."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from primrosereel.gateway import _caller_memory as caller_memory
from primrosereel.gateway import _caller_messages as caller_messages
from primrosereel.gateway import _http as http
from primrosereel.gateway import _lingering_close as lingering_close
from primrosereel.gateway import _read_limit as read_limit
from primrosereel.gateway import _socket_options as socket_options
from primrosereel.gateway._caller_messages import CallerRequest
from primrosereel.gateway._caller_messages import Reply
from primrosereel.routing import _model as model

__all__ = ['CallerConnection', 'CallerDisconnected', 'CallerRequest', 'Reply']

# The bytes that a caller may send before the response to its request.
MAX_PIPELINED_BYTES = 65536
# Up to three copies of a part exist while the caller does not read it.
SENT_PART_BYTES = 16384
SENT_COPIES = 3
# How long a request that does not fit into the memory waits for room, and how
# often it looks. Then it is refused.
ROOM_WAIT_S = 1.0
ROOM_POLL_S = 0.05
# The time in a refusal for lack of room.
NO_ROOM_RETRY_AFTER_S = 1.0
# How often it is looked whether more may be read ahead.
READ_AHEAD_POLL_S = 0.25
# Other tasks run after so many events of a body in tiny chunks.
EVENTS_PER_TURN = 256
# How long a connection that is to be closed as idle is read once more, for
# bytes that have arrived and are not parsed yet.
LAST_READ_S = 0.01

Use = caller_memory.Use
Wait = caller_memory.Wait
# What is held for one request.
REQUEST_USES = (Use.HEAD, Use.REQUEST, Use.BODY, Use.AHEAD)


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class _UnreadableRequest(Exception):
    """A request that cannot be read; ``status`` is sent to the caller."""

    def __init__(self, status: int) -> None:
        super().__init__(str(status))
        self.status = status


class CallerConnection:
    """One caller's connection, which carries one request at a time.

    ``limits`` returns the limits in force, which may change between requests
    and while the connection is idle. What is held for the caller is counted
    in ``memory``, if it is given.
    """

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        limits: Callable[[], model.CallerLimits],
        clock: Callable[[], float],
        lingering: lingering_close.LingeringCloses,
        memory: caller_memory.CallerMemory | None = None,
    ) -> None:
        if memory is None:
            memory = caller_memory.CallerMemory(math.inf)
        self._memory = memory
        self._account = memory.account(
            self._close_slow, anyio.current_time(), _remote_host(stream)
        )
        # The current wait for bytes to or from the caller.
        self._caller_wait: anyio.CancelScope | None = None
        self._close_reason: caller_memory.CloseReason | None = None
        # What the head of the request may cost, and how long the request has
        # waited for room.
        self._head_cost = 0
        self._room_wait_s = 0.0
        self._unsent_bytes = 0
        self._stream = stream
        self._limits = limits
        self._clock = clock
        self._lingering = lingering
        self._max_header_bytes = limits().max_header_bytes
        self._parser = self._new_parser()
        self._read_ahead_bytes = 0
        self._close_after_reply = False
        self._close_when_idle = False
        # The current wait for a request.
        self._waiting: anyio.CancelScope | None = None
        # The limit of the part of a request that is read.
        self._read_limit: read_limit.ReadLimit | None = None
        self._closed = False
        self._closed_as_idle = False
        self._unread_bytes = 0
        # The status that refused a request which could not be read; when the
        # reading of the last request began, and how long it took then.
        self._unreadable_status: int | None = None
        self._reading_since = 0.0
        self._reading_s = 0.0

    @property
    def unreadable_status(self) -> int | None:
        """The status sent to a request that was not read; None if none."""
        return self._unreadable_status

    @property
    def reading_s(self) -> float:
        """How long a request was read until it was refused."""
        return self._reading_s

    @property
    def closed_as_idle(self) -> bool:
        """Whether the connection ended as no request came in time."""
        return self._closed_as_idle

    @property
    def unread_bytes(self) -> int:
        """The bytes of the caller that were not read before the close.

        TCP answers them with a reset, and the caller may lose a response that
        it has not read yet.
        """
        return self._unread_bytes

    @property
    def answer_started(self) -> bool:
        """Whether a byte of the response to the last request was sent."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def answered(self) -> bool:
        """Whether the response to the last request is complete."""
        return self._parser.our_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def account(self) -> caller_memory.Account:
        """What is held for the caller."""
        return self._account

    @property
    def close_reason(self) -> caller_memory.CloseReason | None:
        """Why the connection was closed for the sake of others, if it was."""
        return self._close_reason

    def sample_kernel(self) -> None:
        """Count what the kernel holds, and what the caller has read of it."""
        unsent = socket_options.unsent_bytes(self._stream)
        unread = socket_options.unread_bytes(self._stream)
        self._account.hold(Use.KERNEL, unsent + unread)
        read = self._unsent_bytes - unsent
        self._unsent_bytes = unsent
        if read > 0 and self._account.wait is Wait.READ:
            self._account.progressed(read, anyio.current_time())

    def _close_slow(self, reason: caller_memory.CloseReason) -> None:
        """Close the connection for the sake of others.

        A request that is read is refused, and an answer ends incomplete.
        """
        self._close_reason = reason
        if self._account.wait is Wait.ASK:
            self.close_when_idle()
        elif self._caller_wait is not None:
            self._caller_wait.cancel()

    def _reopen(self) -> None:
        """Serve a request that crossed the close of an idle connection."""
        self._close_reason = None
        self._account.keep()

    async def next_request(self) -> CallerRequest | None:
        """Read a complete request; None if the connection must be closed."""
        try:
            with anyio.CancelScope() as self._caller_wait:
                return await self._read_request()
            raise _UnreadableRequest(503)
        except _UnreadableRequest as refused:
            await self._refuse(refused.status)
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint)
        except (CallerDisconnected, TimeoutError):
            pass
        return None

    async def _read_request(self) -> CallerRequest | None:
        self._head_cost = 0
        self._room_wait_s = 0.0
        self._count_head(self._parser.trailing_data[0])
        if not await self._wait_for_data():
            return None
        self._reading_since = self._clock()
        limits = self._limits()
        self._limit_head(limits.max_header_bytes)
        self._account.begin_wait(Wait.SEND, anyio.current_time())
        with self._limit_reading(limits.header_timeout_s):
            head = await self._read_head()
        if not isinstance(head, h11.Request):
            return None
        headers = [(bytes(n), bytes(v)) for n, v in head.headers.raw_items()]
        if caller_messages.has_two_framings(headers):
            raise _UnreadableRequest(400)
        await self._hold(Use.REQUEST, caller_memory.REQUEST_BYTES)
        length = min(http.content_length(headers), limits.max_body_bytes)
        await self._hold(Use.BODY, length)
        if self._parser.they_are_waiting_for_100_continue:
            await self._send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            self._account.begin_wait(Wait.SEND, anyio.current_time())
        longest_s = limits.header_timeout_s + limits.idle_timeout_s
        with self._limit_reading(longest_s, limits.idle_timeout_s):
            body = await self._read_body(limits.max_body_bytes)
        self._account.end_wait(anyio.current_time())
        if self._account.closing:
            raise _UnreadableRequest(503)
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            headers,
            body,
            self._clock(),
        )

    def _count_head(self, data: bytes) -> None:
        """Count received bytes of which a head is the first part."""
        end = data.find(b'\r\n\r\n')
        if end < 0:
            end = len(data)
        self._head_cost += len(data) - end
        self._head_cost += caller_memory.head_bytes(
            end, data.count(b'\n', 0, end)
        )

    async def _hold(self, use: caller_memory.Use, size: int) -> None:
        """Hold memory for the request that is read; wait a little for room.

        Meanwhile nothing is read. Then the request is refused.
        """
        if self._account.try_hold(use, size):
            return
        self._account.end_wait(anyio.current_time())
        while not self._account.try_hold(use, size):
            growth = size - self._account.held(use)
            self._memory.make_room(growth, anyio.current_time())
            if self._room_wait_s >= ROOM_WAIT_S or self._memory.is_full:
                raise _UnreadableRequest(503)
            self._room_wait_s += ROOM_POLL_S
            await anyio.sleep(ROOM_POLL_S)
        self._account.begin_wait(Wait.SEND, anyio.current_time())

    @contextlib.contextmanager
    def _limit_reading(
        self, longest_s: float, pause_s: float = math.inf
    ) -> Iterator[None]:
        """Refuse a request if the block that reads it takes too long."""
        self._read_limit = read_limit.ReadLimit(longest_s, pause_s)
        try:
            with self._read_limit.enforce():
                yield
        except read_limit.TooSlow as error:
            raise _UnreadableRequest(408) from error
        finally:
            self._read_limit = None

    async def _wait_for_data(self) -> bool:
        """Wait for a request; False if the connection was idle for too long.

        The limit in force counts, not the one at the start of the wait.
        """
        if self._parser.trailing_data[0]:
            return True
        idle_since = anyio.current_time()
        self._account.begin_wait(Wait.ASK, idle_since)
        left_s = self._limits().idle_timeout_s
        while left_s > 0 and not self._close_when_idle:
            with anyio.move_on_after(left_s) as self._waiting:
                self._count_head(await self._receive())
                return True
            idle_until = idle_since + self._limits().idle_timeout_s
            left_s = idle_until - anyio.current_time()
        with anyio.move_on_after(LAST_READ_S):
            self._count_head(await self._receive())
            self._reopen()
            return True
        self._closed_as_idle = True
        return False

    def _limit_head(self, max_bytes: int) -> None:
        """Apply the limit of a request's head to the next request."""
        if max_bytes == self._max_header_bytes:
            return
        self._max_header_bytes = max_bytes
        received, ended = self._parser.trailing_data
        self._parser = self._new_parser()
        if received:
            self._parser.receive_data(received)
        if ended:
            self._parser.receive_data(b'')

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._max_header_bytes
        )

    async def _read_head(self):
        while True:
            await self._hold(Use.HEAD, self._head_cost)
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._count_head(await self._receive())

    async def _read_body(self, max_bytes: int) -> bytes:
        # Parts of one byte would take many times their size.
        content = bytearray()
        events = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            size = len(content) + len(event.data)
            if size > max_bytes:
                raise _UnreadableRequest(413)
            if size > self._account.held(Use.BODY):
                await self._hold(Use.BODY, size + http.READ_BYTES)
            content += event.data
            events += 1
            if events % EVENTS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
        self._account.hold(Use.BODY, len(content))
        return bytes(content)

    async def _next_event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive(http.READ_BYTES)
        except anyio.EndOfStream:
            data = b''
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise CallerDisconnected from error
        self._parser.receive_data(data)
        self._account.progressed(len(data), anyio.current_time())
        if self._read_limit is not None:
            self._read_limit.progressed()
        return data

    async def wait_closed(self) -> None:
        """Read ahead while a request is served; return on disconnection."""
        try:
            while self._read_ahead_bytes < MAX_PIPELINED_BYTES:
                ahead = self._read_ahead_bytes + http.READ_BYTES
                if not self._account.try_hold(Use.AHEAD, ahead):
                    await anyio.sleep(READ_AHEAD_POLL_S)
                    continue
                received = len(await self._receive())
                if not received:
                    return
                self._read_ahead_bytes += received
                self._account.hold(Use.AHEAD, self._read_ahead_bytes)
            await anyio.sleep_forever()
        except (CallerDisconnected, RuntimeError):
            # h11 raises RuntimeError for bytes after the end of the stream.
            return

    def close_after_reply(self) -> None:
        """Send ``Connection: close`` with the next response."""
        self._close_after_reply = True

    def close_when_idle(self) -> None:
        """Close once no request is read or served; end a wait for one."""
        self._close_after_reply = True
        self._close_when_idle = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def reply(self, reply: Reply) -> None:
        """Send a complete response."""
        headers = caller_messages.end_to_end(reply.headers)
        if reply.status not in (204, 304):
            headers.append((b'Content-Length', b'%d' % len(reply.body)))
        self._account.answer_bytes = len(reply.body)
        await self._send(self._response_head(reply, headers))
        # Each part is copied on its way to the socket.
        for start in range(0, len(reply.body), SENT_PART_BYTES):
            part = reply.body[start : start + SENT_PART_BYTES]
            await self._send(h11.Data(data=part))
        await self._send(h11.EndOfMessage())
        self._account.answer_bytes = 0

    async def send_head(self, reply: Reply) -> None:
        """Send the head of a response whose body follows in parts."""
        headers = caller_messages.end_to_end(reply.headers)
        headers.append((b'Transfer-Encoding', b'chunked'))
        await self._send(self._response_head(reply, headers))

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body, which marks the response as complete."""
        await self._send(h11.EndOfMessage())

    def start_next_cycle(self) -> bool:
        """Prepare for another request; False if none can follow."""
        self._read_ahead_bytes = 0
        for use in REQUEST_USES:
            self._account.hold(use, 0)
        if (
            self._parser.our_state is not h11.DONE
            or self._parser.their_state is not h11.DONE
        ):
            return False
        self._parser.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the connection; an unfinished response ends incomplete.

        The caller gets time to read a complete one.
        """
        if self._closed:
            return
        self._closed = True
        for use in REQUEST_USES:
            self._account.hold(use, 0)
        try:
            if self._may_have_unread_answer():
                await self._stream.send_eof()
                await self._lingering.discard_input(self._stream)
        finally:
            self._account.release()
            if self._cut_looks_complete() or self._closed_while_sending():
                socket_options.reset_on_close(self._stream)
            self._unread_bytes = socket_options.unread_bytes(self._stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def _cut_looks_complete(self) -> bool:
        """Tell whether a plain close would end an unfinished response.

        A response to HTTP/1.0 has no chunks and ends with its connection.
        """
        return (
            self._parser.our_state is h11.SEND_BODY
            and self._parser.their_http_version == b'1.0'
        )

    def _closed_while_sending(self) -> bool:
        """Tell whether the kernel holds what the caller has not read."""
        return (
            self._close_reason is not None
            and self._parser.our_state is h11.SEND_BODY
        )

    def _may_have_unread_answer(self) -> bool:
        """Tell whether the caller may still read a complete response.

        Nothing is read from an idle caller that has all bytes: a request that
        crosses the close must look unread to it, so that it is sent again.
        """
        if self._closed_as_idle and not socket_options.unsent_bytes(
            self._stream
        ):
            return False
        return self._parser.our_state in (
            h11.IDLE,
            h11.DONE,
            h11.MUST_CLOSE,
        )

    def _response_head(
        self, reply: Reply, headers: http.Headers
    ) -> h11.Response:
        if self._close_after_reply:
            headers.append((b'Connection', b'close'))
        return h11.Response(
            status_code=reply.status, headers=headers, reason=reply.reason
        )

    async def _refuse(self, status: int) -> None:
        self._unreadable_status = status
        self._reading_s = self._clock() - self._reading_since
        # A caller that does not read the refusal may be closed as well.
        self._account.keep()
        for use in REQUEST_USES:
            self._account.hold(use, 0)
        if self.answer_started:
            return
        self._close_after_reply = True
        headers: http.Headers = []
        if status == 503:
            headers.append(caller_messages.retry_after(NO_ROOM_RETRY_AFTER_S))
        try:
            await self.reply(Reply(status, headers=headers))
        except (CallerDisconnected, h11.LocalProtocolError):
            return

    async def refuse_unread(self) -> None:
        """Refuse whatever the caller asks for, without reading it."""
        await self._refuse(503)

    async def _send(self, event) -> None:
        data = self._parser.send(event)
        if not data:
            return
        account = self._account
        if account.closing:
            raise CallerDisconnected
        account.hold(Use.SENDING, SENT_COPIES * len(data))
        account.begin_wait(Wait.READ, anyio.current_time())
        # An interim response is sent while a request is read.
        outer_wait = self._caller_wait
        try:
            with anyio.CancelScope() as self._caller_wait:
                await self._stream.send(data)
                account.progressed(len(data), anyio.current_time())
                return
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise CallerDisconnected from error
        finally:
            self._caller_wait = outer_wait
            account.end_wait(anyio.current_time())
            account.hold(Use.SENDING, 0)
        raise CallerDisconnected(str(account.close_reason))


def _remote_host(stream: anyio.abc.SocketStream) -> str:
    address = stream.extra(anyio.abc.SocketAttribute.remote_address, '')
    return str(address[0]) if isinstance(address, tuple) else ''
