"""JSON lines on standard output that never hold up the process.

A reader that does not read must not block requests, so lines that do not fit
are dropped and counted; the next line that fits says how many.
"""

import collections
import os
from typing import Any

import structlog

__all__ = ['BoundedWriter', 'configure']

MAX_BUFFERED_BYTES = 256 * 1024


class BoundedWriter:
    """Writes lines to a descriptor without waiting."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last line that said so."""
        return self._dropped

    def msg(self, message: str) -> None:
        """Write a line, or drop it where too much waits to be read."""
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
