"""Tells the streams that run at an engine that it leaves."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
from typing import Any

import anyio

from primrosereel import _ids as ids

__all__ = ['LeaveCallbacks']

Callback = Callable[[], Coroutine[Any, Any, None]]


class LeaveCallbacks:
    """The streams that want to know when their runner leaves.

    ``run`` starts each stream's own reaction, at most once; ``failed`` is told
    of one that ended with an error.
    """

    def __init__(self, on_error: Callable[[Exception], None]) -> None:
        self._on_error = on_error
        self._callbacks: dict[ids.RunnerId, list[Callback]] = {}
        self._leaving: set[ids.RunnerId] = set()
        self._wakeup = anyio.Event()

    @contextlib.contextmanager
    def registered(
        self, runner: ids.RunnerId, callback: Callback
    ) -> Iterator[None]:
        """Start ``move`` once if the runner leaves meanwhile."""
        callbacks = self._callbacks.setdefault(runner, [])
        callbacks.append(callback)
        try:
            yield
        finally:
            if callback in callbacks:
                callbacks.remove(callback)
            if not callbacks and self._callbacks.get(runner) is callbacks:
                del self._callbacks[runner]

    def runner_leaves(self, runner: ids.RunnerId) -> None:
        """Note that a runner leaves."""
        if runner in self._callbacks:
            self._leaving.add(runner)
            self._wakeup.set()

    async def run(self) -> None:
        """Start moves until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wakeup.wait()
                self._wakeup = anyio.Event()
                leaving, self._leaving = self._leaving, set()
                for runner in leaving:
                    for callback in self._callbacks.pop(runner, []):
                        tasks.start_soon(self._run_callback, callback)

    async def _run_callback(self, callback: Callback) -> None:
        """Let the error of one reaction end none of the others."""
        try:
            await callback()
        except Exception as error:
            self._on_error(error)
