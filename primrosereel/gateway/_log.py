"""JSON log lines on standard output, written without blocking.

A log reader that stops reading must not block requests. Lines that exceed the
buffer are dropped and counted, and a line reports the count once there is
space again. A process that ends waits a short time for its reader.
"""

import collections
import os
import select
import time
from typing import Any

import structlog

__all__ = ['BoundedWriter', 'configure']

MAX_BUFFERED_BYTES = 256 * 1024
NO_READER = select.POLLERR | select.POLLHUP | select.POLLNVAL
DROPPED_NOTE = b'{"event": "log lines dropped", "lines": %d}\n'


class BoundedWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._dropped = 0
        # Whether a line was written in part.
        self._torn = False
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """The lines dropped since the count was last reported."""
        return self._dropped

    def msg(self, message: str) -> None:
        """Write a line, or drop it if the buffer is full."""
        line = message.encode() + b'\n'
        if self._buffered + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._append(line)
        self._flush()

    log = debug = info = warning = error = critical = exception = msg

    def drain(self, limit_s: float) -> None:
        """Write the lines that wait, for a limited time.

        What the reader has not taken then is lost; a last line says how much
        if there is space for it.
        """
        until = time.monotonic() + limit_s
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self._flush()
        while self._lines and (left_s := until - time.monotonic()) > 0:
            if any(state & NO_READER for _, state in poll.poll(1000 * left_s)):
                break
            self._flush()
        if self._lines or self._dropped:
            self._write_last_note()

    def _write_last_note(self) -> None:
        lost = len(self._lines) + self._dropped
        end_of_line = b'\n' if self._torn else b''
        self._lines = collections.deque([end_of_line + DROPPED_NOTE % lost])
        self._dropped = 0
        self._flush()

    def _append(self, line: bytes) -> None:
        if self._dropped:
            self._lines.append(DROPPED_NOTE % self._dropped)
            self._buffered += len(self._lines[-1])
            self._dropped = 0
        self._lines.append(line)
        self._buffered += len(line)

    def _flush(self) -> None:
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                return
            self._buffered -= written
            self._torn = written < len(line)
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


def configure(writer: BoundedWriter, **fields: Any) -> Any:
    """Return a logger that writes JSON lines with the given fields."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**fields)
