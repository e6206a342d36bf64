"""The callers' port of a daemon that starts."""

import os
import socket

from primrosereel.bench import _ports as ports
from primrosereel.daemon import _composition as composition


def test_callers_can_connect_before_their_server_accepts():
    """Guards against callers that a daemon refuses although it is ready.

    The readiness page has a server of its own, which could start first.
    """
    port = ports.free_port()
    descriptor = composition.open_listener(f'127.0.0.1:{port}')
    try:
        with socket.create_connection(('127.0.0.1', port), timeout=1.0):
            pass
    finally:
        os.close(descriptor)
