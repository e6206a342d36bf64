"""Attempts of one request that run beside each other.

Pattern: hedged request. A request whose runner is late is sent to another one
as well; the first answer is taken, and the other attempts are cancelled.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import anyio
import anyio.abc

__all__ = ['Attempts']

Outcome = TypeVar('Outcome')


class Attempts(Generic[Outcome]):
    """The attempts of a request, each in a task of its own.

    The tasks belong to the request's task group, so none outlasts it.

    Example::

        attempts = Attempts(tasks)
        attempts.start(lambda: ask(first_runner))
        with anyio.move_on_after(limit_s):
            return await attempts.next_outcome()
        attempts.start(lambda: ask(second_runner))
        outcome = await attempts.next_outcome()
        attempts.cancel()
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._scopes: set[anyio.CancelScope] = set()
        self._outcomes: collections.deque[Outcome | Exception] = (
            collections.deque()
        )
        self._attempt_ended = anyio.Event()

    @property
    def running(self) -> int:
        """The attempts that have not ended."""
        return len(self._scopes)

    @property
    def in_flight(self) -> int:
        """The attempts whose outcome was not taken yet."""
        return len(self._scopes) + len(self._outcomes)

    def start(self, attempt: Callable[[], Awaitable[Outcome]]) -> None:
        """Run an attempt; its result or exception is its outcome."""
        scope = anyio.CancelScope()
        self._scopes.add(scope)
        self._tasks.start_soon(self._run, attempt, scope)

    async def _run(
        self,
        attempt: Callable[[], Awaitable[Outcome]],
        scope: anyio.CancelScope,
    ) -> None:
        try:
            with scope:
                self._add_outcome(scope, await attempt())
        except Exception as error:
            self._add_outcome(scope, error)
        finally:
            self._scopes.discard(scope)
            ended, self._attempt_ended = self._attempt_ended, anyio.Event()
            ended.set()

    def _add_outcome(
        self, scope: anyio.CancelScope, outcome: Outcome | Exception
    ) -> None:
        """Keep an outcome, unless its attempt was cancelled meanwhile."""
        if scope in self._scopes:
            self._outcomes.append(outcome)

    async def next_outcome(self) -> Outcome:
        """Wait until an attempt has ended; raise the error that ended it."""
        while not self._outcomes:
            await self.wait_for_end()
        outcome = self._outcomes.popleft()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def wait_for_end(self) -> None:
        """Wait until an attempt has ended, or was cancelled."""
        await self._attempt_ended.wait()

    def cancel(self) -> None:
        """Cancel the attempts in progress and drop what was not taken."""
        self._outcomes.clear()
        scopes, self._scopes = self._scopes, set()
        for scope in scopes:
            scope.cancel()
