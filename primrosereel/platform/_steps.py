"""Work in steps, between which the event loop handles what has arrived.

Pattern: cooperative multitasking. A generator does the work and yields after
each step; its return value is the result.
"""

from collections.abc import Generator
from typing import TypeVar

import anyio.lowlevel

__all__ = ['Steps', 'run_at_once', 'run_in_turns']

Result = TypeVar('Result')
Steps = Generator[None, None, Result]


async def run_in_turns(steps: Steps[Result]) -> Result:
    """Do each step in a turn of the event loop of its own.

    Example::

        table = await run_in_turns(entries.table_steps(value))
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await anyio.lowlevel.checkpoint()


def run_at_once(steps: Steps[Result]) -> Result:
    """Do all steps without a turn between them."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
