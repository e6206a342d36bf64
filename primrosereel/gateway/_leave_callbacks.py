"""Runs the callbacks of streams whose runner leaves."""

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
    """Callbacks of streams, by the runner whose leaving starts them.

    ``run`` starts each callback at most once. ``on_error`` gets the exception
    of a callback that failed.
    """

    def __init__(self, on_error: Callable[[Exception], None]) -> None:
        self._on_error = on_error
        self._callbacks: dict[ids.RunnerId, list[Callback]] = {}
        self._leaving: set[ids.RunnerId] = set()
        self._wakeup = anyio.Event()

    @contextlib.contextmanager
    def registered(
        self, runner: ids.RunnerId, callback: Callback, has_left: bool = False
    ) -> Iterator[None]:
        """Start ``callback`` once if the runner leaves or has left."""
        callbacks = self._callbacks.setdefault(runner, [])
        callbacks.append(callback)
        if has_left:
            self.runner_leaves(runner)
        try:
            yield
        finally:
            if callback in callbacks:
                callbacks.remove(callback)
            if not callbacks and self._callbacks.get(runner) is callbacks:
                del self._callbacks[runner]

    def runner_leaves(self, runner: ids.RunnerId) -> None:
        """Schedule the callbacks of a runner that leaves."""
        if runner in self._callbacks:
            self._leaving.add(runner)
            self._wakeup.set()

    async def run(self) -> None:
        """Start callbacks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wakeup.wait()
                self._wakeup = anyio.Event()
                leaving, self._leaving = self._leaving, set()
                for runner in leaving:
                    for callback in self._callbacks.pop(runner, []):
                        tasks.start_soon(self._run_callback, callback)

    async def _run_callback(self, callback: Callback) -> None:
        """Run a callback; its error must not cancel the others."""
        try:
            await callback()
        except Exception as error:
            self._on_error(error)
