"""Reads response bodies up to a size limit."""

from typing import NamedTuple

import httpx

__all__ = ['BufferedResponse', 'read']


class BufferedResponse(NamedTuple):
    """Status and body of a response that was read to its end."""

    status_code: int
    content: bytes


async def read(response: httpx.Response, limit: int) -> BufferedResponse:
    """Read a streamed response; raise RemoteProtocolError over the limit.

    Without the limit, an upstream that sends an endless body could exhaust
    memory before the call times out.
    """
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > limit:
            raise httpx.RemoteProtocolError(
                'response body exceeds the size limit'
            )
    return BufferedResponse(response.status_code, bytes(body))
