"""Callers outside the limits: the process lives, within its memory.

Crowds and bounds are fixed. Only the life of the process, its memory, its
descriptors and the answer to one ordinary request are checked, as times and
shares depend on the machine. The tests run one at a time.
"""

import asyncio
import os
import socket

from tests.soak import crowds

FACTOR = int(os.environ.get('CROWD_FACTOR', '1'))
KB = 1024
MB = 1024 * 1024
CHUNKED = 'Transfer-Encoding: chunked'


def meet(size, act, limits, stays_s=2.0):
    crowds.run(crowds.Crowd(size * FACTOR, act, stays_s), limits)


def get(path, number):
    return crowds.head(path, f'Request-Id: crowd-{number}')


def test_chunked_bodies_that_stall():
    """Guards against bodies whose sum no limit bounds."""

    async def act(loop, member, number):
        fields = f'Request-Id: b-{number}', CHUNKED
        await loop.sock_sendall(
            member, crowds.head('/file/1', *fields, method='POST')
        )
        chunk = b'%x\r\n%s\r\n' % (60 * KB, b'b' * 60 * KB)
        for _ in range(60):
            await loop.sock_sendall(member, chunk)

    meet(30, act, crowds.Limits())


def test_bodies_with_a_length_that_stall():
    """Guards against bodies of a known size that are read nevertheless."""

    async def act(loop, member, number):
        fields = 'Content-Length: 4194304', f'Request-Id: b-{number}'
        await loop.sock_sendall(
            member, crowds.head('/file/1', *fields, method='POST')
        )
        await loop.sock_sendall(member, b'b' * 4_194_300)

    meet(30, act, crowds.Limits())


def test_bodies_in_tiny_chunks():
    """Guards against objects that cost many times their bytes."""

    async def act(loop, member, number):
        fields = f'Request-Id: t-{number}', CHUNKED
        await loop.sock_sendall(
            member, crowds.head('/file/1', *fields, method='POST')
        )
        for _ in range(600):
            await loop.sock_sendall(member, b'2\r\nxx\r\n' * 1000)

    meet(4, act, crowds.Limits(memory_mb=56), 10.0)


def test_pipelined_requests_whose_answers_are_not_read():
    """Guards against answers and read-ahead that pile up."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, get('/read/1', number) * 300)

    meet(100, act, crowds.Limits(answer_bytes=3 * MB), 4.0)


def test_many_connections_that_read_no_answers():
    """Guards against memory that grows with the connections."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, get('/read/1', number) * 300)

    meet(300, act, crowds.Limits(answer_bytes=400 * KB), 4.0)


def test_slow_heads():
    """Guards against heads whose sum no limit bounds."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, b'GET /read/1 HTTP/1.1\r\nX-Long: ')
        for _ in range(25):
            await loop.sock_sendall(member, b'h' * 60 * KB)
            await asyncio.sleep(0.02)

    limits = {'maxHeaderBytes': 1_600_000, 'headerTimeoutMs': 8000}
    meet(60, act, crowds.Limits(callers=limits), 3.0)


def test_heads_of_many_fields():
    """Guards against fields whose objects cost many times their bytes."""

    async def act(loop, member, number):
        fields = ['a:'] * 10_000
        await loop.sock_sendall(
            member,
            crowds.head(
                '/file/1', *fields, 'Content-Length: 9', method='POST'
            ),
        )

    limits = {'maxHeaderBytes': 64 * KB}
    meet(30, act, crowds.Limits(callers=limits), 4.0)


def test_idle_connections_up_to_the_descriptors():
    """Guards against idle connections that leave no descriptor for others."""

    async def act(loop, member, number):
        return None

    meet(300, act, crowds.Limits(descriptors=400))


def test_connections_that_send_half_a_head():
    """Guards against unfinished heads that leave no descriptor for others."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, b'GET /read/1 HTTP/1.1\r\n')

    limits = {'headerTimeoutMs': 20_000}
    meet(300, act, crowds.Limits(descriptors=400, callers=limits))


def test_old_requests_without_the_usual_headers():
    """Guards against requests of HTTP/1.0 that are held without a bound."""

    async def act(loop, member, number):
        data = crowds.head('/read/1', version='1.0')
        await loop.sock_sendall(member, data * 20)

    meet(150, act, crowds.Limits(answer_bytes=1 * MB), 3.0)


def test_streams_that_nobody_reads():
    """Guards against events that pile up for a caller."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, get('/ask/1', number))

    meet(60, act, crowds.Limits(events=20_000), 4.0)


def test_callers_that_half_close():
    """Guards against work for callers that have ended their side."""

    async def act(loop, member, number):
        await loop.sock_sendall(member, get('/read/1', number) * 50)
        member.shutdown(socket.SHUT_WR)

    meet(100, act, crowds.Limits(answer_bytes=1 * MB), 3.0)


def test_large_body_is_served_in_calm():
    """Guards against a limit that a single sound request reaches."""
    sent = {'Content-Length': 4 * MB, 'Request-Id': 'calm'}
    received = []

    async def act(loop, member, number):
        fields = [f'{name}: {value}' for name, value in sent.items()]
        member.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * KB)
        await loop.sock_sendall(
            member, crowds.head('/file/1', *fields, method='POST')
        )
        for _ in range(4):
            await loop.sock_sendall(member, b'b' * MB)
            await asyncio.sleep(0.7)
        size = 0
        while size < 3 * MB:
            data = await loop.sock_recv(member, 64 * KB)
            if not data:
                break
            size += len(data)
            if size < 128 * KB:
                await asyncio.sleep(0.7)
        received.append(size)

    crowds.run(crowds.Crowd(1, act, 7.0), crowds.Limits(answer_bytes=3 * MB))
    assert received and received[0] >= 3 * MB
