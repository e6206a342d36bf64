"""Calls to plain services over HTTP."""

import httpx

from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.daemon import _protocols as protocols
from primrosereel.daemon import _responses as responses

__all__ = ['HttpPlainClient']

CONNECT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 8_000_000
# Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1)
# and those that httpx sets itself.
CONNECTION_HEADERS = frozenset(
    {
        'accept-encoding',
        'connection',
        'content-encoding',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

Error = states.UpstreamError


class HttpPlainClient:
    """Calls plain services through httpx, each on a new connection.

    Answers of plain services do not name the call. On a kept connection, a
    service could close it while a call is being sent, or send a second copy
    of an earlier answer; ``client`` therefore keeps no connections.
    """

    def __init__(
        self, client: httpx.AsyncClient, clock: protocols.Clock
    ) -> None:
        self._client = client
        self._clock = clock

    async def call(
        self,
        effect: messages.CallPlain,
        address: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Send a call; deliver PlainAnswered or PlainFailed."""
        started = self._clock.monotonic()
        try:
            async with self._client.stream(
                effect.method,
                f'http://{address}{effect.path}',
                headers=[
                    (name.encode('latin-1'), value.encode('latin-1'))
                    for name, value in _without_connection_headers(
                        effect.headers
                    )
                ],
                content=effect.body,
                timeout=httpx.Timeout(
                    effect.timeout_s, connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                buffered = await responses.read(response, MAX_RESPONSE_BYTES)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            kind, ran = _classify(error)
            deliver(
                messages.PlainFailed(
                    effect.request_id,
                    effect.attempt,
                    effect.runner,
                    kind,
                    ran,
                )
            )
            return
        deliver(
            messages.PlainAnswered(
                effect.request_id,
                effect.attempt,
                effect.runner,
                buffered.status_code,
                _without_connection_headers(_decode_headers(response.headers)),
                buffered.content,
                self._clock.monotonic() - started,
            )
        )


def _decode_headers(headers: httpx.Headers) -> tuple[tuple[str, str], ...]:
    """Return the header lines, decoded as latin-1, which accepts any byte."""
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in headers.raw
    )


def _without_connection_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS
    )


def _classify(error: Exception) -> tuple[states.UpstreamError, states.Ran]:
    """Return the error, and whether the call may have run.

    Only a failure to connect proves that it did not run.
    """
    if isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout)):
        return Error.CONNECT, states.Ran.NOT_RUN
    if isinstance(error, httpx.TimeoutException):
        return Error.TIMEOUT, states.Ran.UNKNOWN
    return Error.BROKEN, states.Ran.UNKNOWN
