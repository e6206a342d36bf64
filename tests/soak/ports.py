"""Free ports for processes that are started again and again."""

import contextlib
import random
import socket

__all__ = ['free_port']

# Below the range from which the system takes the ports of connections: one of
# those could take a port while its process is down.
FIRST_PORT = 20_000
LAST_PORT = 31_999
# The most processes that a run can have.
HOST_COUNT = 24

_returned_ports = set()


def free_port():
    """Return a port that is free on all hosts, for TCP and UDP.

    It is not returned again, as the first process may not listen yet.
    """
    hosts = [f'127.0.0.{n + 1}' for n in range(HOST_COUNT)]
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _returned_ports:
            continue
        if all(_is_free(host, port) for host in hosts):
            _returned_ports.add(port)
            return port


def _is_free(host, port):
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            opened = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                opened.bind((host, port))
            except OSError:
                return False
    return True
