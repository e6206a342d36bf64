"""A signed header that marks nested calls.

A plain service that is called through the router gets this header. A nested
call that carries it is scheduled before new requests, so that the outer
request does not wait behind requests that in turn wait for it.
"""

import hashlib
import hmac
import secrets

from primrosereel import _ids as ids
from primrosereel.daemon import _asgi as asgi

__all__ = ['PARENT_HEADER', 'Signer']

PARENT_HEADER = 'x-parent-request'


class Signer:
    """Signs and verifies the header.

    Daemons with the same secret accept each other's headers. Without a
    secret, a process accepts only the headers that it signed.
    """

    def __init__(self, secret: str | None) -> None:
        self._key = (secret or secrets.token_hex()).encode()

    def sign(self, request: ids.RequestId) -> str:
        """Return the header's value for a request."""
        return f'{request}:{self._digest(request)}'

    def verify(self, scope) -> bool:
        """Tell whether an ASGI scope has the header with a valid signature."""
        value = asgi.header(scope, PARENT_HEADER.encode())
        if value is None:
            return False
        request, _, digest = value.rpartition(':')
        expected = self._digest(request)
        return hmac.compare_digest(expected.encode(), digest.encode('latin-1'))

    def _digest(self, request: str) -> str:
        return hmac.new(
            self._key, request.encode('latin-1'), hashlib.sha256
        ).hexdigest()
