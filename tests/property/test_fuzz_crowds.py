"""Fuzzes the callers' port of a gateway with seeded crowds."""

import contextlib
import random as random_module

import anyio
import pytest

from tests import gateway_fleet

MEMBERS = 25
STEPS = 12
HOST = gateway_fleet.HOST.encode()
PIECES = (
    b'GET /read/1 HTTP/1.1\r\nHost: %s\r\n\r\n' % HOST,
    b'GET /read/1 HTTP/1.0\r\n\r\n',
    b'POST /file/1 HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n'
    % HOST,
    b'POST /file/1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 90000\r\n\r\n'
    % HOST,
    b'POST /once/1 HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\n'
    b'Content-Length: 9\r\n\r\n' % HOST,
    b'2\r\nxx\r\n' * 50,
    b'0\r\n\r\n',
    b'GET /read/1 HTTP/1.1\r\nHost: ',
    b'a:\r\n' * 200,
    b'b' * 30_000,
    b'\r\n\r\n',
)


async def act(random, callers):
    """Send a few pieces in any order, and read little or nothing."""
    ends = OSError, anyio.BrokenResourceError, anyio.EndOfStream
    with contextlib.suppress(*ends):
        stream = await anyio.connect_tcp(*callers)
        async with stream:
            for _ in range(random.randrange(STEPS)):
                piece = random.choice(PIECES) * random.choice((1, 1, 20))
                with anyio.move_on_after(0.2):
                    await stream.send(piece)
                await anyio.sleep(random.choice((0, 0, 0.05)))
                if random.random() < 0.2:
                    with anyio.move_on_after(0.1):
                        await stream.receive()
            if random.random() < 0.3:
                await stream.send_eof()
                await anyio.sleep(0.1)


@pytest.mark.parametrize('seed', range(3))
def test_nothing_is_held_after_a_crowd(seed):
    """Guards against errors, and memory that stays counted or is not."""
    random = random_module.Random(seed)

    async def scenario(fleet):
        memory = fleet.gateway._server._caller_watch.memory
        async with anyio.create_task_group() as tasks:
            for _ in range(MEMBERS):
                source = random_module.Random(random.random())
                tasks.start_soon(act, source, fleet.callers)
        assert (await fleet.ask('/read/1', 'after')).status == 200
        await fleet.wait_for(lambda: not memory.accounts, 10.0)
        assert memory.held == 0
        assert not fleet.log.named('internal error')
        assert not fleet.log.named('connection failed')

    gateway_fleet.run_scenario(scenario)
