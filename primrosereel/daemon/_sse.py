"""Parses and encodes server-sent events."""

__all__ = ['DONE', 'EventParser', 'LineTooLong', 'encode', 'encode_error']

DONE = b'[DONE]'
# A line with one token takes a few hundred bytes.
MAX_LINE_BYTES = 65_536
DATA_FIELD = b'data:'


class LineTooLong(ValueError):
    """A line exceeds the limit."""


class EventParser:
    """Extracts the data of complete events from a stream of chunks.

    Only ``data`` fields are read; comments and other fields are ignored::

        parser = EventParser()
        parser.feed(b'data: {"a"')  # []
        parser.feed(b': 1}\\n\\n')  # [b'{"a": 1}']
    """

    def __init__(self) -> None:
        self._partial_line = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk; return the data of the events that it completes."""
        *lines, self._partial_line = (self._partial_line + chunk).split(b'\n')
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise LineTooLong(f'line exceeds {MAX_LINE_BYTES} bytes')
        return [
            line[len(DATA_FIELD) :].strip()
            for line in lines
            if line.startswith(DATA_FIELD)
        ]


def encode(data: bytes) -> bytes:
    """Encode one event."""
    return b'data: ' + data + b'\n\n'


def encode_error(data: bytes) -> bytes:
    """Encode an event that ends a stream with an error."""
    return b'event: error\ndata: ' + data + b'\n\n'
