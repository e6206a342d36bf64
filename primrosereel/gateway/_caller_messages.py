"""Requests and responses of callers, and the meaning of their headers."""

import dataclasses

from primrosereel.gateway import _http as http

__all__ = [
    'CallerRequest',
    'Reply',
    'end_to_end',
    'has_two_framings',
    'retry_after',
]


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A complete request; header names keep the caller's spelling."""

    method: bytes
    target: bytes
    headers: http.Headers
    body: bytes
    received_at: float

    @property
    def host(self) -> str:
        """The host that the request is addressed to."""
        for name, value in self.headers:
            if name.lower() == b'host':
                return value.decode('latin-1')
        return ''

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b'?')[0].decode('latin-1')


@dataclasses.dataclass(slots=True)
class Reply:
    """A complete response to a caller."""

    status: int
    reason: bytes = b''
    headers: http.Headers = dataclasses.field(default_factory=list)
    body: bytes = b''


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return b'Retry-After', b'%.2f' % seconds


def has_two_framings(headers: http.Headers) -> bool:
    """Tell whether headers have Transfer-Encoding and Content-Length.

    Two implementations could disagree on where such a request ends.
    """
    names = [name.lower() for name, _ in headers]
    return b'transfer-encoding' in names and b'content-length' in names


def end_to_end(headers: http.Headers) -> http.Headers:
    """Return headers without hop-by-hop and framing headers."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            named.update(part.strip().lower() for part in value.split(b','))
    # No request can be sent without it.
    named.discard(b'host')
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in http.HOP_BY_HOP
        and name.lower() != b'content-length'
        and name.lower() not in named
    ]
