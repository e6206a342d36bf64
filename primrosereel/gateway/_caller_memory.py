"""The account of memory that is held for callers, a policy without I/O.

It counts what has been read of requests, what waits to be sent, the bytes in
the kernel's buffers, and fixed costs of connections and requests. When memory
is short, small requests come first, then bodies, then what is read ahead. A
caller that moves few bytes while the process waits for it may be closed: the
largest and slowest first.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import enum
import heapq

__all__ = [
    'Account',
    'CallerMemory',
    'CloseReason',
    'Use',
    'Wait',
    'head_bytes',
    'limit_bytes',
]

# Measured with 300 idle connections: 10 KB of resident memory each.
CONNECTION_BYTES = 16 * 1024
# A request that is served: its tasks, a connection to a runner with its
# parser and buffers, and the parts of its answer.
REQUEST_BYTES = 96 * 1024
# A field of a head takes 240 bytes of objects beside its text, of which there
# are up to four copies.
FIELD_BYTES = 320
HEAD_COPIES = 4
# Share of the memory of the process that is left for what is not counted:
# fragmentation, copies of one body or answer, and growth of tables.
UNCOUNTED_SHARE = 0.18
# A small process still serves single requests.
MIN_LIMIT_BYTES = 8 * 1024 * 1024
# Shares of the limit that uses which may wait, or be refused, can fill.
BODY_SHARE = 0.8
AHEAD_SHARE = 0.5
# A caller that moves fewer bytes than this for the time below may be closed
# when memory or descriptors are short.
PRESSED_BYTES_PER_S = 64 * 1024
PRESSED_S = 0.5
# A caller that reads its answer more slowly than this for the idle limit is
# closed in any case.
MIN_BYTES_PER_S = 1024
# The connections that are closed together when descriptors are short.
CLOSED_AT_ONCE = 8


class Use(enum.Enum):
    """What memory is held for."""

    CONNECTION = 'connection'
    HEAD = 'head'
    REQUEST = 'request'
    BODY = 'body'
    AHEAD = 'ahead'
    SENDING = 'sending'
    KERNEL = 'kernel'


class Wait(enum.Enum):
    """What the process waits for a caller to do."""

    ASK = 'ask'
    SEND = 'send'
    READ = 'read'


class CloseReason(enum.Enum):
    """Why a caller is closed that holds too much for too long."""

    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'
    ANSWER_NOT_READ = 'answer_not_read'


SHARES = {Use.BODY: BODY_SHARE, Use.AHEAD: AHEAD_SHARE}


def limit_bytes(
    process_bytes: int, idle_bytes: int, response_bytes: int
) -> int:
    """Return what may be held for callers.

    ``idle_bytes`` is the resident size of the idle process, and
    ``response_bytes`` the limit of what is held of runners' responses.
    """
    left = process_bytes - idle_bytes - response_bytes
    return max(MIN_LIMIT_BYTES, left - int(UNCOUNTED_SHARE * process_bytes))


def head_bytes(text_bytes: int, fields: int) -> int:
    """Return the cost of a head while it is read and parsed."""
    return HEAD_COPIES * text_bytes + FIELD_BYTES * fields


class CallerMemory:
    """Counts what all callers hold, and names those to be closed.

    Example::

        account = memory.account(on_close, now)
        if not account.try_hold(Use.BODY, length):
            memory.make_room(length, now)
        account.release()
    """

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self._held = 0
        self._accounts: set[Account] = set()

    @property
    def held(self) -> int:
        """The bytes that are held."""
        return self._held

    @property
    def accounts(self) -> 'Collection[Account]':
        """The accounts of all connections."""
        return self._accounts

    @property
    def is_full(self) -> bool:
        """Whether nothing more can be held."""
        return self._held >= self.limit

    @property
    def open_count(self) -> int:
        """The connections that are not being closed."""
        return sum(1 for account in self._accounts if not account.closing)

    def account(
        self,
        on_close: 'Callable[[CloseReason], None]',
        now: float,
        address: str = '',
    ) -> 'Account':
        """Return the account of a new connection from an address."""
        account = Account(self, on_close, now, address)
        self._accounts.add(account)
        return account

    def allows(self, use: Use, growth: int) -> bool:
        """Tell whether a use may grow."""
        return self._held + growth <= SHARES.get(use, 1.0) * self.limit

    def add(self, growth: int) -> None:
        """Count a change of an account."""
        self._held += growth

    def remove(self, account: 'Account') -> None:
        """Forget an account that holds nothing any more."""
        self._accounts.discard(account)

    def make_room(self, size: int, now: float) -> None:
        """Have the slowest callers closed until ``size`` bytes are free.

        What callers that are being closed hold counts as free.
        """
        room = BODY_SHARE * self.limit - self._held
        room += sum(a.size for a in self._accounts if a.closing)
        for account in self._slowest(now):
            if room >= size:
                return
            room += account.size
            account.close(CloseReason.MEMORY)

    def free_answers(self, size: int, now: float) -> None:
        """Close callers that do not read, until so many bytes are freed."""
        room = sum(a.answer_bytes for a in self._accounts if a.closing)
        for account in self._slowest(now):
            if room >= size:
                return
            if account.answer_bytes:
                room += account.answer_bytes
                account.close(CloseReason.MEMORY)

    def free_descriptors(self, now: float) -> bool:
        """Have some connections closed; False if no caller is slow.

        Those of the address with the most connections come first, and of
        these the idle ones.
        """
        counts = collections.Counter(a.address for a in self._accounts)
        chosen = heapq.nlargest(
            CLOSED_AT_ONCE,
            (a for a in self._accounts if a.may_be_closed(now)),
            key=lambda a: (
                counts[a.address],
                a.wait is Wait.ASK,
                a.slow_s(now),
            ),
        )
        for account in chosen:
            account.close(CloseReason.DESCRIPTORS)
        return bool(chosen)

    def _slowest(self, now: float) -> 'list[Account]':
        pressed = [a for a in self._accounts if a.may_be_closed(now)]
        pressed.sort(key=lambda a: a.weight(now), reverse=True)
        return pressed

    def skip(self, seconds: float) -> None:
        """Do not count time in which the process did not run."""
        for account in self._accounts:
            account.skip(seconds)


class Account:
    """What is held for one connection, and how slow its caller is.

    ``answer_bytes`` is the size of the answer that is being sent, which is
    counted with the responses of runners.
    """

    def __init__(
        self,
        memory: CallerMemory,
        on_close: Callable[[CloseReason], None],
        now: float,
        address: str,
    ) -> None:
        self.answer_bytes = 0
        self._address = address
        self._memory = memory
        self._on_close = on_close
        self._uses: dict[Use, int] = {}
        self._size = 0
        self._wait: Wait | None = None
        self._waiting_since = now
        # For how long the caller has been slower than the two rates.
        self._pressed_s = 0.0
        self._unread_s = 0.0
        self._close_reason: CloseReason | None = None
        self.hold(Use.CONNECTION, CONNECTION_BYTES)

    @property
    def memory(self) -> CallerMemory:
        """The account of all callers."""
        return self._memory

    @property
    def address(self) -> str:
        """The address of the caller."""
        return self._address

    @property
    def size(self) -> int:
        """The bytes that are held."""
        return self._size

    @property
    def wait(self) -> Wait | None:
        """What the process waits for; None if not for the caller."""
        return self._wait

    @property
    def close_reason(self) -> CloseReason | None:
        """Why the connection is closed; None if it is not."""
        return self._close_reason

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._close_reason is not None

    def held(self, use: Use) -> int:
        """Return the bytes of one use."""
        return self._uses.get(use, 0)

    def try_hold(self, use: Use, size: int) -> bool:
        """Hold so many bytes for a use; False if there is no room."""
        growth = size - self.held(use)
        if growth > 0 and not self._memory.allows(use, growth):
            return False
        self.hold(use, size)
        return True

    def hold(self, use: Use, size: int) -> None:
        """Hold so many bytes for a use, whether there is room or not."""
        growth = size - self.held(use)
        if growth:
            self._uses[use] = size
            self._size += growth
            self._memory.add(growth)

    def release(self) -> None:
        """Hold nothing any more."""
        for use in list(self._uses):
            self.hold(use, 0)
        self._memory.remove(self)

    def begin_wait(self, wait: Wait, now: float) -> None:
        """Wait for the caller; only the parts of an answer add up."""
        self.end_wait(now)
        if wait is not Wait.READ:
            self._pressed_s = self._unread_s = 0.0
        self._wait = wait

    def end_wait(self, now: float) -> None:
        """Do not wait for the caller any more."""
        self._advance(now)
        self._wait = None

    def progressed(self, size: int, now: float) -> None:
        """Record that the caller sent or read so many bytes."""
        self._advance(now)
        pressed_s = self._pressed_s - size / PRESSED_BYTES_PER_S
        self._pressed_s = max(0.0, pressed_s)
        self._unread_s = max(0.0, self._unread_s - size / MIN_BYTES_PER_S)

    def skip(self, seconds: float) -> None:
        """Take a time off the wait that is not the caller's."""
        self._waiting_since += seconds

    def may_be_closed(self, now: float) -> bool:
        """Tell whether the caller is slow enough to be closed for others."""
        if self.closing or self._wait is None:
            return False
        return self.slow_s(now) >= PRESSED_S

    def slow_s(self, now: float) -> float:
        """Return for how long the caller has been slow."""
        self._advance(now)
        return self._pressed_s

    def unread_s(self, now: float) -> float:
        """Return for how long the caller has hardly read its answer."""
        self._advance(now)
        return self._unread_s if self._wait is Wait.READ else 0.0

    def weight(self, now: float) -> float:
        """Return what a close would free, by how slow the caller is."""
        return (self._size + self.answer_bytes) * self.slow_s(now)

    def keep(self) -> None:
        """Cancel a close."""
        self._close_reason = None

    def close(self, reason: CloseReason) -> None:
        """Have the connection closed."""
        if not self.closing:
            self._close_reason = reason
            self._on_close(reason)

    def _advance(self, now: float) -> None:
        waited_s = max(0.0, now - self._waiting_since)
        self._waiting_since = max(now, self._waiting_since)
        if self._wait is not None:
            self._pressed_s += waited_s
            self._unread_s += waited_s
