"""Finds out whether a runner that lost a connection has crashed."""

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _runners as runners
from primrosereel.routing import blame

__all__ = ['EndedRuns']

# Known crashes of this instance, so that each is looked for once.
MAX_KNOWN_CRASHES = 256


class EndedRuns:
    """Runs of runners that ended while requests were in flight.

    Example::

        if await ended_runs.has_crashed(runner, sent_at):
            crash = blame.Crash(runner.runner_id, runner.listing.born_ms)
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        # When each crash was found; the oldest comes first.
        self._known: dict[blame.Crash, float] = {}
        self._checks: dict[blame.Crash, anyio.Lock] = {}

    async def has_crashed(
        self, runner: runners.Runner, sent_at: float
    ) -> bool:
        """Tell whether a runner has crashed under a request that it lost.

        One that accepts connections has lost this one only, and one that had
        said that it leaves has ended as planned. Requests that lose their
        connections at the same moment share one check. One that was sent
        after the crash was found, on a connection that was still open here,
        did not reach the runner.
        """
        crash = blame.Crash(runner.runner_id, runner.listing.born_ms)
        if runner.availability.said_leaving:
            return False
        check = self._checks.setdefault(crash, anyio.Lock())
        try:
            async with check:
                if crash in self._known:
                    return sent_at <= self._known[crash]
                if self._has_new_run(crash):
                    has_crashed = True
                else:
                    has_crashed = await upstream.refuses_connections(
                        self._context, runner
                    )
                if has_crashed:
                    self._add(crash)
                return has_crashed
        finally:
            if not check.statistics().tasks_waiting:
                self._checks.pop(crash, None)

    def _has_new_run(self, crash: blame.Crash) -> bool:
        """Tell whether the list has a later run of the runner."""
        listed = self._context.runners.get(crash.runner)
        return listed is not None and listed.listing.born_ms > crash.born_ms

    def _add(self, crash: blame.Crash) -> None:
        self._known[crash] = self._context.clock()
        while len(self._known) > MAX_KNOWN_CRASHES:
            del self._known[next(iter(self._known))]
