"""Free ports for processes that are started again and again."""

from primrosereel.bench import _ports as ports

__all__ = ['free_port']

# The most processes that a run can have.
HOST_COUNT = 24
HOSTS = [f'127.0.0.{n + 1}' for n in range(HOST_COUNT)]


def free_port():
    """Return a port that is free on all hosts of a soak."""
    return ports.free_port(HOSTS)
