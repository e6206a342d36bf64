"""Ports for the processes of a fleet."""

from primrosereel.bench import _ports as ports_module

PORTS = 400


def test_no_port_is_returned_twice():
    """Guards against two processes of a fleet with the same port.

    The first one does not listen yet when the second port is chosen.
    """
    ports = [ports_module.free_port() for _ in range(PORTS)]
    assert len(set(ports)) == PORTS
