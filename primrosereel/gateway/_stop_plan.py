"""The times of a planned stop, computed without input or output.

The process that is stopped does not know when the signal was sent: it may not
have run for some time when it handles it. What must be done before the process
is killed counts from the earliest moment at which the signal can have been
sent. What only ends sooner for it counts from the latest.
"""

import dataclasses

__all__ = ['SignalWindow', 'StopPlan', 'make_plan']

# After a stop request, the platform still sends new connections until two
# readiness checks have failed.
ACCEPT_WHILE_DRAINING_S = 2.5
# Shares of the drain limit after the signal.
ACCEPT_SHARE = 0.35
# New requests of a process that handles its signal late are refused then, as
# they have less time left than others had.
REFUSE_BY_SHARE = 0.5
ANSWER_SHARE = 0.88
CUT_SHARE = 0.9
# A stream is not cut before this share of the drain limit after the moment at
# which its signal was handled: its runner may take most of that time, and
# going on until the process is killed costs the caller nothing.
EARLIEST_CUT_SHARE = 0.84
REPORT_SHARE = 0.94
END_SHARE = 0.97
# A process that ran late may do so again. Answers are due sooner by as much,
# up to this share of the drain limit.
MAX_LATE_SHARE = 0.2
# Timers fire a little late at any time, which the shares allow for.
USUAL_LATE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class SignalWindow:
    """The earliest and the latest time at which a signal can have been sent.

    Example::

        SignalWindow(watch.last_ran_at(now), now)
    """

    earliest_at: float
    latest_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """When a stop does what, in seconds of the clock of its signal.

    New requests are refused from ``refuse_at`` on. Requests whose answer has
    not begun get a final one at ``answer_by``, and streams that have begun are
    cut at ``cut_at``. What is in progress at ``report_at`` is logged, as the
    process may be killed before it ends. Without requests in progress, the
    process ends at ``end_at`` at the latest; else it may go on until
    ``last_end_at``.
    """

    refuse_at: float
    answer_by: float
    cut_at: float
    report_at: float
    end_at: float
    last_end_at: float


def make_plan(
    window: SignalWindow, drain_limit_s: float, late_s: float
) -> StopPlan:
    """Return the plan of a stop that may be killed after ``drain_limit_s``.

    ``late_s`` is how late the process ran lately.

    Example::

        plan = make_plan(SignalWindow(99.2, 100.0), 8.0, late_s=0.6)
        plan.answer_by  # 0.8 s and 0.5 s earlier than for a prompt process
    """
    latest_at = window.latest_at
    # A process that still runs was not sent the signal before this.
    earliest_at = max(window.earliest_at, latest_at - drain_limit_s)
    reserve_s = _reserve_s(drain_limit_s, late_s)
    accept_s = min(ACCEPT_WHILE_DRAINING_S, ACCEPT_SHARE * drain_limit_s)
    return StopPlan(
        refuse_at=min(
            latest_at + accept_s,
            earliest_at + REFUSE_BY_SHARE * drain_limit_s,
        ),
        answer_by=earliest_at + ANSWER_SHARE * drain_limit_s - reserve_s,
        cut_at=min(
            latest_at + CUT_SHARE * drain_limit_s,
            max(
                earliest_at + CUT_SHARE * drain_limit_s,
                latest_at + EARLIEST_CUT_SHARE * drain_limit_s,
            ),
        ),
        report_at=earliest_at + REPORT_SHARE * drain_limit_s - reserve_s,
        end_at=earliest_at + END_SHARE * drain_limit_s,
        last_end_at=latest_at + END_SHARE * drain_limit_s,
    )


def _reserve_s(drain_limit_s: float, late_s: float) -> float:
    """Return how much sooner a process that ran late must have answered."""
    unusual_s = max(0.0, late_s - USUAL_LATE_S)
    return min(unusual_s, MAX_LATE_SHARE * drain_limit_s)
