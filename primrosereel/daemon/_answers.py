"""Whole answers of upstreams, read up to a limit."""

from typing import NamedTuple

import httpx

__all__ = ['Answer', 'read']


class Answer(NamedTuple):
    """Status and body of an answer."""

    status_code: int
    content: bytes


async def read(response: httpx.Response, limit: int) -> Answer:
    """Read a streamed answer; raise RemoteProtocolError when it is larger.

    Without the limit an upstream whose answer never ends would fill the
    memory within the call's timeout.
    """
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > limit:
            raise httpx.RemoteProtocolError('the answer is too large')
    return Answer(response.status_code, bytes(body))
