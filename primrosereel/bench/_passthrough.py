"""A minimal proxy on the daemon's HTTP libraries, as a baseline of CPU time.

It sends each completion to one prefill and one decode engine and copies the
bytes of the stream without checks, parsing or routing::

    python -m primrosereel.bench._passthrough LISTEN PREFILL DECODE
"""

import itertools
import json
import sys

import anyio
import httpx
import hypercorn
import hypercorn.asyncio

from primrosereel.daemon import _asgi as asgi

__all__ = ['PassThrough', 'main']

MAX_BODY_BYTES = 1_000_000
LEASE_S = 10.0


class PassThrough:
    """ASGI application that copies the decode engine's streams to callers."""

    def __init__(
        self, client: httpx.AsyncClient, prefill: str, decode: str
    ) -> None:
        self._client = client
        self._prefill = f'http://{prefill}/v1/prefill'
        self._decode = f'http://{decode}/v1/decode'
        self._numbers = itertools.count(1)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI connection."""
        if not await asgi.is_request(scope, receive, send):
            return
        call = json.loads(await asgi.read_body(receive, MAX_BODY_BYTES))
        request = {
            # Not in the form of the router's request ids, because a daemon
            # would reclaim such a request as lost.
            'request_id': f'passthrough-{next(self._numbers)}',
            'model': 'base',
            'prompt': call['prompt'],
            'continuation': '',
            'priority': 0,
            'lease_s': LEASE_S,
        }
        response = await self._client.post(self._prefill, json=request)
        request['kv'] = response.json()['kv']
        request['max_tokens'] = call['max_tokens']
        request['offset'] = 0
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-type', b'text/event-stream')],
            }
        )
        async with self._client.stream(
            'POST', self._decode, json=request, timeout=None
        ) as stream:
            async for chunk in stream.aiter_raw():
                await send(
                    {
                        'type': 'http.response.body',
                        'body': chunk,
                        'more_body': True,
                    }
                )
        await send({'type': 'http.response.body', 'body': b''})


async def main(listen: str, prefill: str, decode: str) -> None:
    """Serve until the process is terminated."""
    config = hypercorn.Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(limits=limits) as client:
        application = PassThrough(client, prefill, decode)
        await hypercorn.asyncio.serve(application, config)


if __name__ == '__main__':
    listen, prefill, decode = sys.argv[1:4]
    anyio.run(main, listen, prefill, decode)
