"""Chooses the runners that a stream may be copied to.

Pattern: bounded retries with back-off and jitter. A runner with a free place
by this instance's count may still refuse a copy, as others fill it. Each
runner is tried once and then left out. Once all have refused, or
``MAX_TARGETS`` of them, the next round begins after a pause that doubles:
other streams end meanwhile, and the streams of one runner do not all ask at
the same moment.
"""

import math

from primrosereel import _ids as ids
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _runners as runners

__all__ = ['MoveTargets']

# Runners that one round asks, so that a move does not ask a large pool.
MAX_TARGETS = 4
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 1.6
# The least share of a pause that is waited; the rest is random.
MIN_PAUSE_SHARE = 0.5


class MoveTargets:
    """The runners that one stream may be copied to.

    Example::

        targets = MoveTargets(context, ticket)
        target = targets.choose(now)
        targets.refuse(target)
        targets.choose(now)  # another runner, or None until the next round
    """

    def __init__(
        self, context: context_module.Context, ticket: decode_places.Ticket
    ) -> None:
        self._context = context
        self._ticket = ticket
        self._excluded = frozenset(ticket.excluded)
        self._refused: set[ids.RunnerId] = set()
        self._pause_s = FIRST_PAUSE_S
        self._next_round_at = -math.inf

    def choose(self, now: float) -> runners.Runner | None:
        """Return a runner with a place that was not tried in this round."""
        if now < self._next_round_at:
            return None
        runner = None
        if len(self._refused) < MAX_TARGETS:
            self._ticket.excluded = self._excluded | self._refused
            runner = self._context.places.choose(self._ticket, now)
        if runner is None and self._refused:
            self._end_round(now)
        return runner

    def refuse(self, runner: runners.Runner) -> None:
        """Record that a runner did not take the copy."""
        self._refused.add(runner.runner_id)

    def _end_round(self, now: float) -> None:
        """Try all runners again after a pause."""
        self._refused.clear()
        share = self._context.random.uniform(MIN_PAUSE_SHARE, 1.0)
        self._next_round_at = now + share * self._pause_s
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
