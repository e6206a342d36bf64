"""Watches callers' connections, and closes those that hold too much.

A few times per second it reads what the kernel holds for each connection that
the process waits for, and the resident memory of the process.
"""

import math
import resource

import anyio

from primrosereel.gateway import _caller_memory as caller_memory
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module

__all__ = ['CallerWatch']

INTERVAL_S = 0.2
# A watch that comes later than this says nothing about the callers.
LATE_S = 0.1
# Descriptors that the platform reserves for files, those of the process
# itself (listeners, store, log), and the share of the others that requests in
# progress may take for their runners.
FILE_DESCRIPTORS_RESERVED = 200
OWN_DESCRIPTORS = 48
ACTIVE_SHARE = 0.3
# A request may be tried at a second runner while the first one has it.
RUNNERS_PER_REQUEST = 2
# What the kernel and the stream take of a new connection before its buffer is
# limited.
UNREAD_BYTES = 64 * 1024
MIN_CONNECTIONS = 32
# For how long a connection waits in the kernel while there is no descriptor
# for it, and how many connections are then refused at a time.
REFUSE_AFTER_S = 1.0
MAX_REFUSED = 16
# Share of the memory of the process, resident and in the kernel, above which
# callers are closed that hold less than their limit.
RESIDENT_PRESSED_SHARE = 0.92
PAGE_BYTES = resource.getpagesize()


class CallerWatch:
    """Keeps callers within the memory and the descriptors of the process.

    Example::

        watch = CallerWatch(context, connections)
        tasks.start_soon(watch.run)
    """

    def __init__(
        self,
        context: context_module.Context,
        connections: set[callers.CallerConnection],
    ) -> None:
        self._context = context
        self._connections = connections
        self._idle_bytes = resident_bytes()
        self._memory = caller_memory.CallerMemory(math.inf)
        self._full_since = math.inf
        self._set_limit()

    @property
    def memory(self) -> caller_memory.CallerMemory:
        """The account of all callers."""
        return self._memory

    @property
    def max_active(self) -> int:
        """The requests that may be in progress at a time."""
        return max(MIN_CONNECTIONS, int(ACTIVE_SHARE * self._max_sockets))

    @property
    def _max_sockets(self) -> int:
        descriptors = self._context.settings.file_descriptors
        return descriptors - FILE_DESCRIPTORS_RESERVED - OWN_DESCRIPTORS

    def may_accept(self, opening: int, lingering: int) -> bool:
        """Tell whether one more connection may be accepted.

        ``opening`` connections were accepted and are not known here yet. If
        there is no room, idle or slow callers are closed. If none is idle or
        slow for a time, some connections are accepted to be refused.
        """
        now = anyio.current_time()
        if self._room(lingering) > opening:
            self._full_since = math.inf
            return True
        if self._memory.free_descriptors(now):
            return False
        self._full_since = min(self._full_since, now)
        full_s = now - self._full_since
        return full_s >= REFUSE_AFTER_S and opening + lingering < MAX_REFUSED

    def must_refuse(self, lingering: int) -> bool:
        """Tell whether a connection was only accepted to be refused."""
        return self._room(lingering) < 0

    def _room(self, lingering: int) -> int:
        """Return how many more connections there may be."""
        context = self._context
        others = RUNNERS_PER_REQUEST * context.active
        others += context.pool.idle_count + lingering
        room = max(MIN_CONNECTIONS, self._max_sockets - others)
        room = min(room, int(self._memory.limit) // UNREAD_BYTES)
        return room - self._memory.open_count

    async def run(self) -> None:
        """Watch until cancelled."""
        expected_at = anyio.current_time()
        while True:
            late_s = anyio.current_time() - expected_at
            if late_s > LATE_S:
                self._memory.skip(late_s)
            expected_at = anyio.current_time() + INTERVAL_S
            self._watch()
            await anyio.sleep(INTERVAL_S)

    def _watch(self) -> None:
        self._set_limit()
        for connection in self._connections:
            connection.sample_kernel()
        now = anyio.current_time()
        memory = self._memory
        limit_s = self._context.caller_limits.idle_timeout_s
        for account in memory.accounts:
            if account.unread_s(now) >= limit_s:
                account.close(caller_memory.CloseReason.ANSWER_NOT_READ)
        memory.free_answers(self._context.response_memory.take_missing(), now)
        memory.make_room(self._excess_bytes(), now)

    def _excess_bytes(self) -> int:
        """Return how many bytes must be freed."""
        process = self._context.settings.memory_bytes
        kernel = sum(
            account.held(caller_memory.Use.KERNEL)
            for account in self._memory.accounts
        )
        used = resident_bytes() + kernel
        # A close frees nothing of what the idle process takes.
        most = max(
            int(RESIDENT_PRESSED_SHARE * process),
            self._idle_bytes + int(self._memory.limit),
        )
        if used <= most:
            return 0
        room = caller_memory.BODY_SHARE * self._memory.limit
        over = used - most
        return over + max(0, int(room) - self._memory.held)

    def _set_limit(self) -> None:
        self._memory.limit = caller_memory.limit_bytes(
            self._context.settings.memory_bytes,
            self._idle_bytes,
            self._context.response_memory.limit,
        )


def resident_bytes() -> int:
    """Return the resident memory of the process; 0 if it is not known."""
    try:
        with open('/proc/self/statm') as sizes:
            return int(sizes.read().split()[1]) * PAGE_BYTES
    except OSError:
        return 0
