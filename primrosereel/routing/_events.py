"""Splits a stream of server-sent events into complete events.

A runner may stop in the middle of an event. Only complete events are
forwarded; an incomplete one is buffered until the rest of it arrives.
"""

import dataclasses

from primrosereel import _numbers as numbers

__all__ = ['EventSplitter', 'StreamProgress', 'SequenceError']

ID_FIELD = b'id:'
MAX_EVENT_BYTES = 256 * 1024


class SequenceError(Exception):
    """An event is out of sequence or too large."""


@dataclasses.dataclass(slots=True)
class StreamProgress:
    """Progress of a stream; ``last_id`` is None before the first event."""

    last_id: int | None = None
    events: int = 0

    def accept(self, event: bytes) -> bool:
        """Count an event; return False if it was forwarded before.

        Raises SequenceError if an event before it is missing.
        """
        number = event_id(event)
        if number is not None:
            if self.last_id is not None:
                if number <= self.last_id:
                    return False
                if number != self.last_id + 1:
                    raise SequenceError(
                        f'event {number} arrived after event {self.last_id}'
                    )
            self.last_id = number
        self.events += 1
        return True


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def incomplete(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes; return complete events with their final blank line."""
        data = self._rest + data
        events = []
        start = 0
        while True:
            end = _end_of_event(data, start)
            if end < 0:
                break
            events.append(data[start:end])
            start = end
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise SequenceError('event exceeds the size limit')
        return events


def _end_of_event(data: bytes, start: int) -> int:
    """Return the position after the next blank line, or -1."""
    lf_start = data.find(b'\n\n', start)
    crlf_start = data.find(b'\r\n\r\n', start)
    ends = []
    if lf_start >= 0:
        ends.append(lf_start + 2)
    if crlf_start >= 0:
        ends.append(crlf_start + 4)
    return min(ends, default=-1)


def event_id(event: bytes) -> int | None:
    """Return the id of an event; None without a numeric id."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return numbers.parse_whole(line[len(ID_FIELD) :])
    return None
