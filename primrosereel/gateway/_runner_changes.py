"""Acts on changes of runners' availability, whatever they were learned from.

A runner that leaves gets no new request: its idle connections are closed and
its streams are moved. Requests that hold a place at a runner that takes none
any more, and were not sent yet, are placed anew.
"""

from primrosereel.gateway import _availability_log as availability_log
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _availability as availability

__all__ = ['RunnerChanges']

# States in which a request that was not sent yet is placed anew.
TAKES_NOTHING = availability.BARRED | {availability.Availability.BACKING_OFF}


class RunnerChanges:
    """Acts on the transitions of one instance's runners."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context

    def apply(self, transition: availability.Transition) -> None:
        """Act on a transition; it is in force already."""
        context = self._context
        availability_log.record(context, transition)
        if transition.new in availability.BARRED:
            context.leave_callbacks.runner_leaves(transition.runner)
            runner = context.runners.get(transition.runner)
            if runner is not None:
                context.pool.drop(runner.listing.address)
        if transition.new in TAKES_NOTHING:
            context.unsent_places.runner_stopped(transition.runner)
        context.availability_changed(transition)
