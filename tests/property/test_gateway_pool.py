"""The pool of idle connections to runners, used by several tasks."""

import anyio

from primrosereel.gateway import _pool as pool_module
from primrosereel.routing import _model as model


class IdleConnection:
    """An idle connection of the pool that its runner has closed or not."""

    address = model.Address('127.0.0.1', 1)
    reusable = True

    def __init__(self, closed=False):
        self._closed_by_runner = closed

    def may_carry(self, request_id):
        return True

    def has_input(self):
        return self._closed_by_runner

    async def close(self):
        await anyio.sleep(0)


def test_calls_that_use_the_pool_at_once_do_not_fail():
    """Guards against an error when a runner has closed its connections.

    Two calls that searched the pool at the same time removed the same
    connection.
    """

    async def main():
        pool = pool_module.ConnectionPool()
        for _ in range(pool_module.MAX_IDLE_PER_ADDRESS):
            await pool.put(IdleConnection(closed=True), None, 0.0)
        found = []

        async def get(request_id):
            found.append(
                await pool.get(IdleConnection.address, 1.0, request_id)
            )

        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(get, f'r{number}')
        assert found == [None, None, None]

    anyio.run(main)


def test_maintenance_and_calls_do_not_share_a_connection():
    """Guards against one connection that two calls get, or none.

    Calls ran while the maintenance of the pool closed expired connections.
    """

    async def main():
        pool = pool_module.ConnectionPool()
        kept = IdleConnection()
        await pool.put(kept, 20.0, 5.0)
        await pool.put(IdleConnection(), 1.0, 5.0)
        added = IdleConnection()
        found = []

        async def use():
            found.append(await pool.get(IdleConnection.address, 6.0, 'r1'))
            await pool.put(added, 20.0, 6.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.close_expired, 6.0)
            tasks.start_soon(use)
        for number in range(2, 4):
            found.append(
                await pool.get(IdleConnection.address, 6.0, f'r{number}')
            )
        assert found == [kept, added, None]

    anyio.run(main)
