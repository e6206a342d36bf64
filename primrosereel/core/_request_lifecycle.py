"""Start and end of requests, shared by the entry and the plain system.

Both count requests in progress in ``World.active_requests``; the system that
ends the last request of a draining daemon reports that the drain is finished.
"""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['abort', 'count_accepted', 'count_ended', 'finish_drain', 'refuse']


def count_accepted(world: tables.World, now: float) -> None:
    """Count an accepted request as in progress."""
    world.active_requests += 1
    world.retry_budget.count_accepted(now)
    world.count('accepted')


def count_ended(world: tables.World) -> None:
    """Count an accepted request as ended."""
    world.active_requests -= 1
    finish_drain(world)


def finish_drain(world: tables.World) -> None:
    """Report once that a draining daemon has no request left."""
    if (
        world.draining
        and not world.active_requests
        and not world.drain_finished
    ):
        world.drain_finished = True
        world.emit(messages.DrainFinished())


def refuse(
    world: tables.World,
    request: ids.RequestId,
    reason: states.RefusalReason,
    ran: states.Ran,
    retry_after_s: float | None = None,
    detail: str = '',
) -> None:
    """Refuse a request before any part of its answer was sent."""
    world.count(f'refusal.{reason.value}')
    world.explain(request, f'refused: {reason.value}, {ran.value} {detail}')
    world.emit(
        messages.RefuseCaller(request, reason, ran, retry_after_s, detail)
    )


def abort(
    world: tables.World,
    request: ids.RequestId,
    reason: states.RefusalReason,
    detail: str = '',
) -> None:
    """End a stream of which a part was sent to its caller."""
    world.count(f'abort.{reason.value}')
    world.explain(request, f'aborted: {reason.value} {detail}')
    world.emit(messages.AbortCaller(request, reason, detail))
