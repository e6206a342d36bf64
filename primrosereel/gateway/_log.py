"""JSON log lines on standard output, written without blocking.

A log reader that stops reading must not block requests. Lines that exceed the
buffer are dropped and counted, and a line reports the count once there is
space again.
"""

import collections
import os
from typing import Any

import structlog

__all__ = ['BoundedWriter', 'configure']

MAX_BUFFERED_BYTES = 256 * 1024


class BoundedWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._dropped = 0
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

    def _append(self, line: bytes) -> None:
        if self._dropped:
            note = b'{"event": "log lines dropped", "lines": %d}\n'
            self._lines.append(note % self._dropped)
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
