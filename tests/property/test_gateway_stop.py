"""Requests around the end of a planned stop of the gateway."""

import contextlib

import anyio

from tests import gateway_fleet

run = gateway_fleet.run_scenario
CONNECTIONS = 5


async def stop(fleet):
    fleet.gateway._stop_requested.set()
    await fleet.wait_for(lambda: fleet.gateway._context.refusing)


def test_requests_that_arrive_as_idle_connections_close_are_answered():
    """Guards against requests that are dropped when a stop closes connections.

    A connection counted as idle until its bytes were parsed.
    """

    async def scenario(fleet):
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(fleet.client())
                for _ in range(CONNECTIONS)
            ]
            for number, client in enumerate(clients):
                await client.ask('/read/1', f'r{number}')
            fleet.gateway._context.refusing = True
            for number, client in enumerate(clients):
                client.send_at_once('/read/1', f's{number}')
            fleet.gateway._server.close_idle()
            replies = [await client.receive() for client in clients]
        assert [reply.status for reply in replies] == [503] * CONNECTIONS
        closing = [reply.headers['connection'] for reply in replies]
        assert closing == ['close'] * CONNECTIONS

    run(scenario)


def test_request_that_is_read_at_the_end_of_a_stop_is_answered():
    """Guards against a closed connection while a request is being read.

    It did not count as active, so the process ended in front of its rest.
    """

    async def scenario(fleet):
        async with fleet.client() as client:
            data = client.encode('/file/1', 'r1', method='POST', body=b'body')
            await client.send_bytes(data[:-2])
            await stop(fleet)
            await anyio.sleep(0.3)
            await client.send_bytes(data[-2:])
            reply = await client.receive()
            assert (reply.status, reply.complete) == (503, True)
            assert reply.headers['connection'] == 'close'
        await fleet.wait_for(lambda: bool(fleet.log.named('stopped')))

    run(scenario)
