"""Tells the streams that run at an engine that it leaves."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
from typing import Any

import anyio

from primrosereel import _ids as ids

__all__ = ['Departures']

Move = Callable[[], Coroutine[Any, Any, None]]


class Departures:
    """The streams that want to know when their runner leaves.

    ``run`` starts each stream's own reaction, at most once; ``failed`` is told
    of one that ended with an error.
    """

    def __init__(self, failed: Callable[[Exception], None]) -> None:
        self._failed = failed
        self._moves: dict[ids.RunnerId, list[Move]] = {}
        self._leaving: set[ids.RunnerId] = set()
        self._asked = anyio.Event()

    @contextlib.contextmanager
    def watching(self, runner: ids.RunnerId, move: Move) -> Iterator[None]:
        """Start ``move`` once if the runner leaves meanwhile."""
        moves = self._moves.setdefault(runner, [])
        moves.append(move)
        try:
            yield
        finally:
            if move in moves:
                moves.remove(move)
            if not moves and self._moves.get(runner) is moves:
                del self._moves[runner]

    def leaves(self, runner: ids.RunnerId) -> None:
        """Note that a runner leaves."""
        if runner in self._moves:
            self._leaving.add(runner)
            self._asked.set()

    async def run(self) -> None:
        """Start moves until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._asked.wait()
                self._asked = anyio.Event()
                leaving, self._leaving = self._leaving, set()
                for runner in leaving:
                    for move in self._moves.pop(runner, []):
                        tasks.start_soon(self._guarded, move)

    async def _guarded(self, move: Move) -> None:
        """Let the error of one reaction end none of the others."""
        try:
            await move()
        except Exception as error:
            self._failed(error)
