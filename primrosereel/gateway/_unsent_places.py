"""Requests that hold a place at a decode runner and were not sent yet."""

from collections.abc import Callable

from primrosereel import _ids as ids

__all__ = ['UnsentPlaces']

Callback = Callable[[], None]


class UnsentPlaces:
    """Callbacks of places, by the runner that they are at.

    A callback runs once if its runner takes no more requests.
    """

    def __init__(self) -> None:
        self._callbacks: dict[ids.RunnerId, list[Callback]] = {}

    def add(self, runner: ids.RunnerId, callback: Callback) -> None:
        """Run ``callback`` if the runner takes no more requests."""
        self._callbacks.setdefault(runner, []).append(callback)

    def remove(self, runner: ids.RunnerId, callback: Callback) -> None:
        """Forget a callback, if it is known."""
        callbacks = self._callbacks.get(runner, [])
        if callback in callbacks:
            callbacks.remove(callback)
        if not callbacks:
            self._callbacks.pop(runner, None)

    def runner_stopped(self, runner: ids.RunnerId) -> None:
        """Run the callbacks of a runner that takes no more requests."""
        for callback in self._callbacks.pop(runner, []):
            callback()
