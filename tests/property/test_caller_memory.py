"""The policy of the account of memory that is held for callers."""

import anyio
import pytest

from primrosereel.gateway import _caller_memory as caller_memory
from tests import gateway_fleet

LIMIT = 10_000_000
CloseReason = caller_memory.CloseReason
Use = caller_memory.Use
Wait = caller_memory.Wait


class Callers:
    """Callers that hold bodies, and the order in which they are closed."""

    def __init__(self, *sizes):
        self.memory = caller_memory.CallerMemory(LIMIT)
        self.closed = []
        self.accounts = [self._add(n, size) for n, size in enumerate(sizes)]

    def _add(self, number, size, address=''):
        def on_close(reason):
            self.closed.append((number, reason))

        account = self.memory.account(on_close, 0.0, address)
        account.hold(Use.BODY, size)
        account.begin_wait(Wait.SEND, 0.0)
        return account


def test_largest_of_the_slow_is_closed_first():
    """Guards against many small callers that pay for a large one."""
    callers = Callers(1_000_000, 6_000_000, 900_000)
    callers.memory.make_room(2_000_000, 1.0)
    assert callers.closed == [(1, CloseReason.MEMORY)]
    # What is being closed counts as free.
    callers.memory.make_room(2_000_000, 1.1)
    assert len(callers.closed) == 1


def test_caller_that_moves_bytes_is_not_closed():
    """Guards against a fast upload that is closed as it is the largest."""
    callers = Callers(6_000_000, 1_000_000)
    for step in range(1, 11):
        callers.accounts[0].progressed(65536, step / 10)
    callers.memory.make_room(4_000_000, 1.0)
    assert callers.closed == [(1, CloseReason.MEMORY)]


@pytest.mark.parametrize('size', [1, 100])
def test_drip_is_no_progress(size):
    """Guards against callers that keep memory with a byte at a time."""
    callers = Callers(6_000_000)
    for step in range(1, 11):
        callers.accounts[0].progressed(size, step / 10)
    callers.memory.make_room(4_000_000, 1.0)
    assert callers.closed


def test_nobody_is_blamed_for_the_time_of_the_process():
    """Guards against callers closed for a pause or a runner's time."""
    callers = Callers(6_000_000, 1_000_000)
    callers.memory.skip(5.0)
    callers.accounts[1].end_wait(0.0)
    callers.memory.make_room(9_000_000, 5.0)
    assert not callers.closed


def test_released_account_holds_nothing():
    """Guards against a limit that shrinks with each connection."""
    callers = Callers(7_000_000)
    account = callers.accounts[0]
    assert not account.try_hold(Use.BODY, 9_000_000)
    assert account.try_hold(Use.REQUEST, 1_000_000)
    account.release()
    assert (callers.memory.held, len(callers.memory.accounts)) == (0, 0)


def test_callers_are_not_closed_for_memory_of_the_idle_process():
    """Guards against connections that a large process closes without need.

    A process that takes more than its settings say before it has callers
    cannot free that by closing them.
    """

    async def scenario(fleet):
        async with fleet.client() as kept:
            assert (await kept.ask('/read/1', 'r1')).status == 200
            await anyio.sleep(1.0)
            assert (await kept.ask('/read/1', 'r2')).complete

    gateway_fleet.run_scenario(scenario, memory_bytes=16 * 1024 * 1024)


def test_caller_is_closed_while_its_body_is_read_after_an_interim_response():
    """Guards against a slow caller that keeps its memory after its close.

    The interim response is sent while the request is being read.
    """

    async def scenario(fleet):
        async with fleet.client() as slow:
            await slow.send_bytes(
                b'POST /file/1 HTTP/1.1\r\nHost: registry.example\r\n'
                b'Request-Id: r1\r\nExpect: 100-continue\r\n'
                b'Content-Length: 50000\r\n\r\n'
            )
            await slow._stream.receive()
            await slow.send_bytes(b'x' * 1000)
            connections = fleet.gateway._server._connections
            (connection,) = connections
            with anyio.fail_after(2.0):
                connection.account.close(caller_memory.CloseReason.MEMORY)
                await fleet.wait_for(
                    lambda: (
                        connection not in fleet.gateway._server._connections
                    )
                )

    gateway_fleet.run_scenario(scenario)
