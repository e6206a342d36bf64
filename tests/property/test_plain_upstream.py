"""Calls of the daemon to plain services over real connections."""

import anyio
import httpx

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from primrosereel.daemon import _clock as clock_module
from primrosereel.daemon import _composition as composition
from primrosereel.daemon import _plain_upstream as plain_upstream
from primrosereel.standin import _raw_http as raw_http


async def answer_and_repeat(request):
    """Answer with the path, and once more before the next answer."""
    body = request.path.encode()
    repeated = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    return raw_http.Answer(200, body=body, before_next=repeated + body)


def test_repeated_answer_is_not_the_answer_to_the_next_call():
    """Guards against a caller that gets the answer to another call.

    A service sent a second copy of an answer when the connection was in use
    for the next call. Answers of plain services have no request id.
    """
    bodies = []

    async def call(client, address, path):
        effect = messages.CallPlain(
            ids.RequestId(path),
            1,
            ids.RunnerId('s'),
            'GET',
            path,
            (),
            b'',
            1.0,
        )
        await client.call(effect, address, lambda m: bodies.append(m.body))

    async def main():
        server = raw_http.RawServer(answer_and_repeat)
        async with (
            httpx.AsyncClient(limits=composition.NO_KEEPALIVE) as http,
            anyio.create_task_group() as tasks,
        ):
            address = f'127.0.0.1:{await tasks.start(server.serve)}'
            client = plain_upstream.HttpPlainClient(
                http, clock_module.SystemClock()
            )
            for path in ('/first', '/second', '/third'):
                await call(client, address, path)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert bodies == [b'/first', b'/second', b'/third']
