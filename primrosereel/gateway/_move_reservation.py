"""What the move of one stream holds for the request that is to go on.

That is a place at the runner with the copy, and one unit of the retry budget.
The calls of a move go to the source and are no arrivals of the request at
another runner, so the unit is returned if no such request is sent.
"""

from collections.abc import Callable

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _runners as runners
from primrosereel.routing import _stream_claims as stream_claims

__all__ = ['MoveReservation']


class MoveReservation:
    """The place and the budget of one move.

    Example::

        reservation = MoveReservation(exchange, ticket, events_sent)
        if reservation.take(runner):
            ...  # copy the stream to the runner
        reservation.release()
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        ticket: decode_places.Ticket,
        events_sent: Callable[[], int],
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._ticket = ticket
        self._last_runner: runners.Runner | None = None
        self._claim = stream_claims.Claim(
            exchange.service, _urgency(exchange), events_sent
        )
        # When the budget was spent; None if it was not, or was returned.
        self._spent_at: float | None = None

    @property
    def runner(self) -> runners.Runner | None:
        """The runner of the place; None without a place."""
        return self._ticket.runner

    @property
    def last_runner(self) -> runners.Runner | None:
        """The runner of the last place, which may have been released."""
        return self._last_runner

    def claim_budget(self) -> None:
        """Let less urgent moves leave the budget that this one needs."""
        self._context.budget.claims.add(self._claim)

    def take(self, runner: runners.Runner) -> bool:
        """Take a place at a runner; False if the budget does not allow it."""
        now = self._context.clock()
        if not self._context.budget.try_spend(
            self._exchange.service, now, self._claim
        ):
            return False
        self._spent_at = now
        self.move_to(runner)
        return True

    def move_to(self, runner: runners.Runner) -> None:
        """Replace the place by one at another runner."""
        self._last_runner = runner
        self._context.places.move(self._ticket, runner)
        self._context.uses_changed()

    def keep_budget(self) -> None:
        """Do not return the budget, as the request is to be sent."""
        self._spent_at = None

    def release(self) -> None:
        """Release the place, and return the budget unless it is kept."""
        self._context.budget.claims.remove(self._claim)
        spent_at, self._spent_at = self._spent_at, None
        if spent_at is not None:
            self._context.budget.refund(self._exchange.service, spent_at)
        if self._ticket.runner is not None:
            self._context.places.release(self._ticket)
            self._context.uses_changed()


def _urgency(exchange: context_module.Exchange) -> stream_claims.Urgency:
    route = exchange.route
    if route.repeatable and exchange.attempts < route.max_attempts:
        return stream_claims.Urgency.RESUMABLE_MOVE
    return stream_claims.Urgency.ONLY_MOVE
