"""Callers of a soak run: on new connections, and on kept ones."""

import contextlib
import dataclasses
import math
import random as random_module
from typing import Any

import anyio

from tests import gateway_fleet
from tests.soak import deadly
from tests.soak import operator as operator_module

__all__ = [
    'ANSWER_TIMEOUT_S',
    'AT_MOST_ONCE_PATHS',
    'EVENTS_PER_STREAM',
    'PATHS',
    'STREAM_PATHS',
    'Attempt',
    'Callers',
]

PATHS = ('/read/1', '/file/1', '/ask/1', '/once/1')
AT_MOST_ONCE_PATHS = ('/file/1', '/once/1')
STREAM_PATHS = ('/ask/1', '/once/1')
EVENTS_PER_STREAM = 12
DEADLINE_MS = 4000
# Twice the deadline: a gateway that has not answered by then never does.
ANSWER_TIMEOUT_S = 8.0
# The share of requests that crash runners, and of sound ones that have the
# body of such a request.
DEADLY_SHARE = 0.08
DEADLY_BODY_SHARE = 0.1
ADDED_ROUTE_SHARE = 0.2
LEAVE_SHARE = 0.1
BODY_SHARE = 0.5
# The shares of sound requests with a key that comes and goes, and without one.
CHANGING_KEY_SHARE = 0.1
KEYLESS_SHARE = 0.03
SLOW_BODY_SHARE = 0.3
MAX_BODY_BYTES = 30_000
MAX_BODY_DELAY_S = 0.4
KEPT_CONNECTIONS_PER_PROCESS = 2
# The share of the idle limit that callers keep a connection idle at most.
IDLE_SHARE = 0.8
SHORT_IDLE_S = 0.05
REQUESTS_PER_PROCESS_S = 8.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller, sent once.

    ``sent_at`` is when its last byte was written, ``ended_at`` when its answer
    or its connection ended. ``left`` is set if the caller left before that.
    ``cause`` is why the request crashes runners, or None. ``key`` is that of a
    client account, or None.
    """

    request_id: str
    path: str
    process: Any
    body: bytes = b''
    cause: deadly.Cause | None = None
    key: operator_module.Key | None = operator_module.STEADY_KEY
    on_kept_connection: bool = False
    sent_at: float = math.inf
    ended_at: float = math.inf
    reply: Any = None
    left: bool = False

    @property
    def outcome(self):
        if self.sent_at == math.inf:
            return 'not sent'
        if self.left:
            return 'left'
        if self.reply is None:
            return 'no answer'
        return f'{self.reply.status}' + ('' if self.reply.complete else ' cut')


class _Client(gateway_fleet.Client):
    """A caller's connection that may be kept open between requests."""

    async def read_while_idle(self, seconds):
        """Return what arrives without a request: None if nothing does.

        The end of the connection is returned as no bytes.
        """
        with anyio.move_on_after(seconds):
            try:
                return await self._stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return b''
        return None


class Callers:
    """Sends requests to the processes and records the attempts."""

    def __init__(self, seed, processes, operator, outcomes, causes):
        self.attempts = []
        # Bytes that arrived on connections on which no request was open.
        self.unasked = []
        self._seed = seed
        self._random = random_module.Random(f'{seed} callers')
        # Of its own, so that it changes no other draws of a seed.
        self._key_random = random_module.Random(f'{seed} keys')
        self._processes = processes
        self._operator = operator
        self._outcomes = outcomes
        # Why requests of this run crash runners.
        self._causes = causes
        self._stopped = False

    async def run(self):
        """Send requests until stopped, and wait for their answers."""
        rate = REQUESTS_PER_PROCESS_S * len(self._processes)
        async with anyio.create_task_group() as tasks:
            for process in self._processes:
                for number in range(KEPT_CONNECTIONS_PER_PROCESS):
                    tasks.start_soon(self._keep_connection, process, number)
            while not self._stopped:
                process = self._random.choice(self._processes)
                tasks.start_soon(self.ask_once, self._draw(process), True)
                await anyio.sleep(self._random.expovariate(rate))

    def stop(self):
        """Send no more requests of the load."""
        self._stopped = True

    async def ask_routes(self, prefixes):
        """Ask each process for routes."""
        async with anyio.create_task_group() as tasks:
            for process in self._processes:
                for prefix in prefixes:
                    attempt = self._new_attempt(process, f'{prefix}1')
                    tasks.start_soon(self.ask_once, attempt)

    async def press(self, process, path, count, seconds):
        """Send a number of requests to a process, evenly over some time."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                attempt = self._new_attempt(process, path)
                tasks.start_soon(self.ask_once, attempt, True)
                await anyio.sleep(seconds / count)

    async def ask_paths(self, paths):
        """Send sound requests to some processes; return how many succeed."""
        attempts = [
            self._new_attempt(self._random.choice(self._processes), path)
            for path in paths
        ]
        async with anyio.create_task_group() as tasks:
            for attempt in attempts:
                tasks.start_soon(self.ask_once, attempt)
        return sum(attempt.outcome == '200' for attempt in attempts)

    async def ask_deadly(self):
        """Send a request of each cause to some process."""
        for cause in self._causes:
            process = self._random.choice(self._processes)
            await self.ask_once(self._new_deadly(process, cause, self._random))

    async def ask_once(self, attempt, may_leave=False):
        """Send a request on a new connection."""
        try:
            async with _Client(attempt.process.callers) as client:
                await self._ask(client, attempt, may_leave)
        except (OSError, anyio.BrokenResourceError):
            self._outcomes['connection lost'] += 1

    async def _keep_connection(self, process, number):
        """Use a connection until the process is gone, then a new one."""
        random = random_module.Random(f'{self._seed} {process.host} {number}')
        while not self._stopped:
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                async with _Client(process.callers) as client:
                    await self._use_connection(client, process, random)
            await anyio.sleep(0.1)

    async def _use_connection(self, client, process, random):
        first = True
        while not self._stopped:
            attempt = self._draw(process, random)
            attempt.on_kept_connection = not first
            first = False
            await self._ask(client, attempt, may_leave=True)
            if not _may_reuse(attempt):
                return
            idle_s = SHORT_IDLE_S
            if random.random() < 0.5:
                limit_s = IDLE_SHARE * self._operator.idle_limit_s()
                idle_s = random.uniform(0.5 * limit_s, limit_s)
            received = await client.read_while_idle(idle_s)
            if received is not None:
                self._outcomes['closed while idle'] += 1
                if received:
                    self.unasked.append((attempt.request_id, received))
                return

    def _draw(self, process, random=None):
        """Return a random request to a process."""
        random = random or self._random
        if random.random() < DEADLY_SHARE:
            cause = random.choice(self._causes)
            return self._new_deadly(process, cause, random)
        path = random.choice(PATHS)
        if random.random() < ADDED_ROUTE_SHARE and self._operator.routes:
            path = f'{random.choice(self._operator.routes).prefix}1'
        attempt = self._new_attempt(process, path)
        if path == '/file/1' and random.random() < BODY_SHARE:
            attempt.body = random.randbytes(random.randint(1, MAX_BODY_BYTES))
        elif random.random() < DEADLY_BODY_SHARE and self._is_sound(path):
            attempt.body = deadly.BODY
        attempt.key = self._draw_key()
        return attempt

    def _draw_key(self):
        draw = self._key_random.random()
        if draw < KEYLESS_SHARE:
            return None
        keys = self._operator.keys
        if draw < KEYLESS_SHARE + CHANGING_KEY_SHARE and keys:
            return self._key_random.choice(keys)
        return operator_module.STEADY_KEY

    def _is_sound(self, path):
        """Return whether the body of deadly requests is sound with a path."""
        return all(
            deadly.REQUESTS[cause].target != path
            for cause in self._causes
            if cause in deadly.REQUESTS
        )

    def _new_deadly(self, process, cause, random):
        """Return a request that crashes runners."""
        request = deadly.REQUESTS.get(cause)
        path = request.target if request else random.choice(STREAM_PATHS)
        attempt = self._new_attempt(process, path)
        attempt.cause = cause
        if request:
            attempt.body = request.body
        return attempt

    def _new_attempt(self, process, path):
        attempt = Attempt(f'r{len(self.attempts) + 1}', path, process)
        self.attempts.append(attempt)
        return attempt

    async def _ask(self, client, attempt, may_leave):
        leave_s = ANSWER_TIMEOUT_S
        if may_leave and self._random.random() < LEAVE_SHARE:
            leave_s = self._random.uniform(0.05, 0.5)
        try:
            with anyio.move_on_after(leave_s) as scope:
                await self._send(client, attempt)
                attempt.reply = await client.receive()
                attempt.ended_at = anyio.current_time()
        finally:
            attempt.left = (
                scope.cancelled_caught and leave_s < ANSWER_TIMEOUT_S
            )
            self._outcomes[attempt.outcome] += 1

    async def _send(self, client, attempt):
        parts = ['system']
        if attempt.cause is deadly.Cause.PART:
            parts.append(deadly.PART)
        prefix = ''.join(f'{part}:100,' for part in parts)
        headers = {}
        if attempt.key is not None:
            headers['Authorization'] = f'Token {attempt.key.text}'
        data = client.encode(
            attempt.path,
            attempt.request_id,
            'POST',
            attempt.body,
            Deadline_Ms=DEADLINE_MS,
            Token_Usage='2000,100',
            Prompt_Prefix=f'{prefix}{attempt.request_id}:1800',
            **headers,
        )
        if attempt.body and self._random.random() < SLOW_BODY_SHARE:
            head, end, data = data.partition(b'\r\n\r\n')
            await client.send_bytes(head + end)
            await anyio.sleep(self._random.uniform(0.05, MAX_BODY_DELAY_S))
        await client.send_bytes(data)
        attempt.sent_at = anyio.current_time()


def _may_reuse(attempt):
    reply = attempt.reply
    return (
        reply is not None
        and reply.complete
        and reply.headers.get('connection', '').lower() != 'close'
    )
