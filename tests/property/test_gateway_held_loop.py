"""Requests while the handling of a change holds the event loop."""

import socket
import threading
import time

import anyio
import anyio.to_thread
import pytest

from tests import gateway_fleet

HEAD = (
    'POST %s HTTP/1.1\r\nHost: {host}\r\nRequest-Id: %s\r\n'
    'Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n'
).replace('{host}', gateway_fleet.HOST)
BODY = b'b' * 40_000
WORK_S = 0.1
CALLS = 40
CALLS_PER_S = 40
CHANGES = 3
FIRST_CHANGE_S = 0.3
# A caller that has no answer by then counts as unanswered.
ANSWER_LIMIT_S = 10.0


class ThreadedRunner:
    """A plain runner that answers while the event loop is held."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.ran = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection, connection.makefile('rb') as reader:
            while reader.readline() and (head := read_head(reader)):
                reader.read(int(head.get('content-length', '0')))
                self.ran.add(head['request-id'])
                time.sleep(WORK_S)
                body = b'answer to ' + head['request-id'].encode()
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\nInstance-Signature: s\r\n'
                    b'Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s'
                    % (head['request-id'].encode(), len(body), body)
                )


def read_head(reader):
    """Return the fields after a first line; None without any."""
    fields = {}
    try:
        while line := reader.readline().strip():
            name, _, value = line.decode().partition(': ')
            fields[name.lower()] = value
    except OSError:
        return None
    return fields or None


class Caller:
    """A caller's connection, used in a thread of its own."""

    def __init__(self, address):
        self._socket = socket.create_connection(address, ANSWER_LIMIT_S)
        self._reader = self._socket.makefile('rb')

    def ask(self, target, request_id, pauses=()):
        """Return status and body; pause in the head and in the body."""
        head = (HEAD % (target, request_id, len(BODY))).encode()
        parts = [head[:40], head[40:], BODY[:30_000], BODY[30_000:]]
        for part, pause_s in zip(parts, [*pauses, 0, 0, 0, 0], strict=False):
            self._socket.sendall(part)
            time.sleep(pause_s)
        try:
            status = int(self._reader.readline().split()[1])
            fields = read_head(self._reader)
            length = int(fields['content-length'])
            return status, self._reader.read(length)
        except (IndexError, TypeError, TimeoutError, OSError):
            return 0, b''

    def close(self):
        self._socket.close()


@pytest.mark.parametrize('hold_s', [0.3, 1.0])
def test_each_request_is_answered_beside_a_change_that_takes_long(hold_s):
    """Guards against requests without an answer beside a change.

    A process that is busy with a change of the configuration measures its own
    delay as that of its callers and runners. Requests are in progress, being
    read, waiting in the socket or at a connect as the change is handled.
    """

    async def scenario(fleet):
        threaded = [ThreadedRunner(), ThreadedRunner()]
        for name, runner in zip(('s1', 's2'), threaded, strict=True):
            entry = fleet.runners[name].entry() | {'slots': 64}
            entry['address'] = f'127.0.0.1:{runner.port}'
            entry['born'] += 1
            fleet.store.put(f'servers/{name}', entry)
        table = fleet.gateway._context.runners
        ports = {runner.port for runner in threaded}
        await fleet.wait_for(
            lambda: (
                {table.get(name).listing.address.port for name in ('s1', 's2')}
                == ports
            )
        )
        places = fleet.gateway._context.places
        set_services = places.set_services
        held = []

        def hold(services):
            held.append(time.monotonic())
            time.sleep(hold_s)
            set_services(services)

        places.set_services = hold
        replies = {}

        def call(number, delay_s, pauses):
            name = f'r{number}'
            caller = Caller(fleet.callers)
            try:
                caller.ask('/file/0', f'{name}-first')
                time.sleep(delay_s)
                replies[name] = caller.ask('/file/1', name, pauses)
            finally:
                caller.close()

        async with anyio.create_task_group() as tasks:
            for number in range(CALLS):
                # Some callers pause in the head, others in the body.
                pauses = [(), (0.05,), (0, 0.05), (0, 0, 0.05)][number % 4]
                tasks.start_soon(
                    anyio.to_thread.run_sync,
                    call,
                    number,
                    number / CALLS_PER_S,
                    pauses,
                )
            await anyio.sleep(FIRST_CHANGE_S)
            for number in range(CHANGES):
                change = gateway_fleet.configuration(2 + number)
                fleet.store.put('op/config', change)
                await fleet.wait_for(lambda: len(held) > number)  # noqa: B023
        assert len(held) == CHANGES
        unanswered = [n for n, reply in replies.items() if not reply[0]]
        assert not unanswered
        assert all(
            body == f'answer to {name}'.encode()
            for name, (status, body) in replies.items()
            if status == 200
        )
        statuses = [status for status, _ in replies.values()]
        assert len(statuses) == CALLS
        assert set(statuses) <= {200, 502, 503, 504}
        ran = threaded[0].ran | threaded[1].ran
        refused = {n for n, reply in replies.items() if reply[0] == 503}
        assert not refused & ran
        for runner in threaded:
            runner.close()

    gateway_fleet.run_scenario(scenario)
