"""Options and state of the kernel's sockets."""

import array
import contextlib
import fcntl
import socket
import struct
import termios

import anyio.abc

__all__ = [
    'detect_lost_peer',
    'limit_caller_buffers',
    'limit_runner_buffers',
    'reset_on_close',
    'unread_bytes',
    'unsent_bytes',
]

# A connection whose sent bytes are not acknowledged within this time is lost.
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Limits of the kernel's buffers of one connection, which count as memory of
# the process and grow to megabytes without a limit. The kernel doubles them.
RECEIVE_BUFFER_BYTES = 32 * 1024
# What a caller sends while the process has no processor time must fit, as its
# request would be late otherwise.
CALLER_RECEIVE_BUFFER_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 64 * 1024


def detect_lost_peer(stream: anyio.abc.SocketStream) -> None:
    """Detect connections that are lost without a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    option = getattr(socket, 'TCP_USER_TIMEOUT', None)
    if option is not None:
        raw.setsockopt(socket.IPPROTO_TCP, option, UNACKNOWLEDGED_TIMEOUT_MS)


def limit_caller_buffers(stream: anyio.abc.SocketStream) -> None:
    """Limit what the kernel holds of a caller, and for it."""
    _set_buffer(stream, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    _set_buffer(stream, socket.SO_RCVBUF, CALLER_RECEIVE_BUFFER_BYTES)


def limit_runner_buffers(stream: anyio.abc.SocketStream) -> None:
    """Limit what the kernel holds of a runner, and for it."""
    _set_buffer(stream, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    _set_buffer(stream, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _set_buffer(
    stream: anyio.abc.SocketStream, option: int, size: int
) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    # The socket may be closed already.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, option, size)


def reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Make the close of a connection send a TCP reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    # The socket may be closed already.
    with contextlib.suppress(OSError):
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )


def unread_bytes(stream: anyio.abc.SocketStream) -> int:
    """Return how many bytes the kernel holds that were not read yet."""
    return _queued_bytes(stream, termios.FIONREAD)


def unsent_bytes(stream: anyio.abc.SocketStream) -> int:
    """Return how many bytes the kernel holds that were not acknowledged."""
    return _queued_bytes(stream, termios.TIOCOUTQ)


def _queued_bytes(stream: anyio.abc.SocketStream, queue: int) -> int:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    waiting = array.array('i', [0])
    try:
        fcntl.ioctl(raw.fileno(), queue, waiting)
    except (OSError, ValueError):
        # The socket is closed.
        return 0
    return waiting[0]
