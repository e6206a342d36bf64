"""Marks calls that are made on behalf of another request.

A plain service that is called through the router gets a signed header; when
it hands the header on in a nested call, the call goes before fresh work, so
that the outer request does not wait behind requests that wait for it.
"""

import hashlib
import hmac
import secrets

from primrosereel import _ids as ids
from primrosereel.daemon import _asgi as asgi

__all__ = ['HEADER', 'Signer']

HEADER = 'x-parent-request'


class Signer:
    """Signs and verifies the header.

    Daemons with the same secret accept each other's headers; without one
    only this process's own are accepted.
    """

    def __init__(self, secret: str | None) -> None:
        self._key = (secret or secrets.token_hex()).encode()

    def sign(self, request: ids.RequestId) -> str:
        """Return the header's value for a request."""
        return f'{request}:{self._digest(request)}'

    def verify(self, scope) -> bool:
        """Tell whether an ASGI scope carries a header that was signed."""
        value = asgi.header(scope, HEADER.encode())
        if value is None:
            return False
        request, _, digest = value.rpartition(':')
        expected = self._digest(request)
        return hmac.compare_digest(expected.encode(), digest.encode('latin-1'))

    def _digest(self, request: str) -> str:
        return hmac.new(
            self._key, request.encode('latin-1'), hashlib.sha256
        ).hexdigest()
