"""The course of a planned stop: requests in progress end before the process.

Pattern: graceful shutdown with a plan. The plan follows from when the signal
can have been sent, and is made again while the stop lasts, as a process that
begins to run late must answer sooner.
"""

import math

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _loop_watch as loop_watch
from primrosereel.gateway import _server as server_module
from primrosereel.gateway import _stop_plan as stop_plan

__all__ = ['GracefulStop']

# How often a stop looks at its plan and at the open connections.
POLL_INTERVAL_S = 0.05
# The time to send answers after the time limits of all requests.
LAST_SEND_S = 0.1
# The process outlasts its plan by this time at most, to end requests whose
# limits were reached late.
MAX_OVERTIME_S = 0.5
# Smaller changes of the plan do not move the limits of all requests.
MIN_CHANGE_S = 0.1


class GracefulStop:
    """Ends the requests of a process that was asked to stop.

    Example::

        stop = GracefulStop(context, server, loop_watch, window)
        await stop.serve_until_refusing()
        listener.cancel()
        await stop.finish_requests()
    """

    def __init__(
        self,
        context: context_module.Context,
        server: server_module.Server,
        watch: loop_watch.LoopWatch,
        window: stop_plan.SignalWindow,
    ) -> None:
        self._context = context
        self._server = server
        self._watch = watch
        self._window = window
        self._drain_limit_s = context.settings.drain_limit_s
        # When the limits in force say that answers are due.
        self._answer_by = math.inf
        # When a request last was within its time limit.
        self._last_enforced_at = -math.inf
        # When the end of the plan was noticed, which may be after a suspend.
        self._over_since: float | None = None
        self._reported = False
        self._plan = self._make_plan()

    async def serve_until_refusing(self) -> None:
        """Report not ready, and serve requests until the platform reacts.

        New requests are refused after that.
        """
        self._context.draining = True
        self._server.close_after_replies()
        self._log_plan()
        self._follow_plan()
        while (left_s := self._plan.refuse_at - self._context.clock()) > 0:
            await anyio.sleep(min(left_s, POLL_INTERVAL_S))
            self._follow_plan()
        self._context.refusing = True

    async def finish_requests(self) -> None:
        """Close connections until none is left on which a request is read.

        Callers that have their answers only delay the end for a short time.
        What is left after the end of the plan is cut.
        """
        is_over = False
        while not is_over:
            # One more turn after the end: a process that was busy until then
            # has not sent the answers that were due shortly before.
            is_over = self._is_over()
            self._server.close_idle()
            await anyio.sleep(POLL_INTERVAL_S)
            self._follow_plan()
            if not (
                self._server.open_connections
                or self._server.lingering_connections
            ):
                return
        if self._server.open_connections:
            self._context.log.error(
                'requests cut', active=self._context.active
            )

    def _is_over(self) -> bool:
        """Tell whether the process must end.

        A request whose limit was reached late is not cut while it takes what
        has arrived, or while its last answer is sent.
        """
        now = self._context.clock()
        if self._context.time_limits.enforced_count:
            self._last_enforced_at = now
        if now < self._plan.end_at:
            return False
        if not self._context.active:
            return True
        if now < self._plan.last_end_at:
            return False
        if self._over_since is None:
            self._over_since = now
        ends_at = self._last_enforced_at + LAST_SEND_S
        return now >= min(ends_at, self._over_since + MAX_OVERTIME_S)

    def _make_plan(self) -> stop_plan.StopPlan:
        late_s = self._watch.recent_late_s(self._context.clock())
        return stop_plan.make_plan(self._window, self._drain_limit_s, late_s)

    def _log_plan(self) -> None:
        now = self._context.clock()
        self._context.log.info(
            'draining',
            active=self._context.active,
            answer_in_s=round(self._plan.answer_by - now, 3),
            cut_in_s=round(self._plan.cut_at - now, 3),
        )

    def _follow_plan(self) -> None:
        self._context.time_limits.follow_clock()
        self._update_plan()
        if self._reported or self._context.clock() < self._plan.report_at:
            return
        self._reported = True
        self._server.log_unfinished()

    def _update_plan(self) -> None:
        """Make the plan again, and move the limits of requests if needed.

        Limits that have been reached stay: the requests are being ended.
        """
        self._plan = self._make_plan()
        now = self._context.clock()
        change_s = abs(self._plan.answer_by - self._answer_by)
        if now < self._answer_by and change_s >= MIN_CHANGE_S:
            self._answer_by = self._plan.answer_by
            self._context.time_limits.shorten(
                self._plan.answer_by, self._plan.cut_at
            )
