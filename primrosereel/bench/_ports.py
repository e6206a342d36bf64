"""Free ports for processes that start a moment later, or again and again."""

from collections.abc import Sequence
import contextlib
import random
import socket

__all__ = ['HOST', 'NoFreePort', 'free_port']

HOST = '127.0.0.1'
# Below the range from which Linux takes the ports of connections (32768 and
# up): one of those could take a port while its process is down.
FIRST_PORT = 20_000
LAST_PORT = 31_999
ATTEMPTS = 100

_returned_ports: set[int] = set()


class NoFreePort(RuntimeError):
    """No port was found that is free on all hosts."""


def free_port(hosts: Sequence[str] = (HOST,)) -> int:
    """Return a port that is free on all hosts at present, for TCP and UDP.

    It is not returned again, as the first process may not listen yet.
    """
    for _ in range(ATTEMPTS):
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port not in _returned_ports and all(
            _is_free(host, port) for host in hosts
        ):
            _returned_ports.add(port)
            return port
    raise NoFreePort(f'no port is free on {hosts[0]}')


def _is_free(host: str, port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            opened = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                opened.bind((host, port))
            except OSError:
                return False
    return True
