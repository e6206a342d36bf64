"""Counts the requests in progress, so that a drain knows when it is done."""

from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['begin', 'end']


def begin(world: tables.World) -> None:
    """Count one more request in progress."""
    world.active_requests += 1


def end(world: tables.World) -> None:
    """Count one request less; report the end of a drain at the last one."""
    world.active_requests -= 1
    if world.draining and world.active_requests == 0:
        world.emit(messages.DrainFinished())
