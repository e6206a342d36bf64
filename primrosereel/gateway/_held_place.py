"""The place at a decode runner that one generation holds.

Pattern: reservation with re-admission. A request that its decode runner
rejects after the prefill does not try full runners one after another. It
queues again, before all requests whose prompts were not prefilled, for as
long as its KV cache handle lasts.
"""

from collections.abc import Collection
import dataclasses

from primrosereel import _ids as ids
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = ['HeldPlace']


class HeldPlace:
    """A generation's ticket, and the runners that it cannot use.

    Example::

        place = HeldPlace(exchange)
        await place.acquire()
        place.runner  # the runner that the prompt is prefilled for
        place.release()
    """

    def __init__(self, exchange: context_module.Exchange) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._excluded: set[ids.RunnerId] = set()
        self._ticket: decode_places.Ticket | None = None
        self._acquired_at = 0.0
        self._prefilled_at: float | None = None
        # The runner whose place is given up if it takes no more requests.
        self._watched: runners.Runner | None = None
        # The runner with the copy of a stream; no other can continue it.
        self._copy_at: runners.Runner | None = None

    @property
    def runner(self) -> runners.Runner | None:
        """The runner of the place; None without a place."""
        return self._ticket.runner if self._ticket is not None else None

    def exclude(self, runner: runners.Runner) -> None:
        """Do not use a runner for this request any more."""
        self._excluded.add(runner.runner_id)
        if runner is self.runner:
            self.give_up()

    def give_up(self) -> None:
        """Release the place at a runner that did not run the request."""
        ticket = self._ticket
        assert ticket is not None
        self._watch(None)
        self._context.places.release(ticket)
        self._context.uses_changed()

    def confirm(self, runner: runners.Runner) -> bool:
        """Tell whether the place is at the runner, just before the sending.

        A request that was sent keeps its place.
        """
        if not self.holds(runner):
            return False
        self._watch(None)
        return True

    def holds(self, runner: runners.Runner) -> bool:
        """Tell whether the place is at a runner that takes the request."""
        if self.runner is not runner:
            return False
        if runner is self._copy_at or runner.availability.accepts(
            self._context.clock()
        ):
            return True
        self._place_anew()
        return False

    def _watch(self, runner: runners.Runner | None) -> None:
        """Place the request anew if a runner takes no more requests."""
        unsent = self._context.unsent_places
        if self._watched is not None:
            unsent.remove(self._watched.runner_id, self._place_anew)
        self._watched = runner
        if runner is not None:
            unsent.add(runner.runner_id, self._place_anew)

    def _place_anew(self) -> None:
        """Give up the place and take or wait for another, first in line."""
        ticket, runner = self._ticket, self.runner
        assert ticket is not None
        self._watch(None)
        self._context.places.release(ticket)
        ticket.displaced = True
        ticket.on_admitted = lambda: self._watch(ticket.runner)
        self._context.places.add(ticket, self._context.clock())
        self._context.uses_changed()
        self._context.count('places.displaced')
        self._context.log.info(
            'request placed anew',
            request=self._exchange.facts.request_id,
            runner=runner.runner_id if runner else None,
            new_runner=self.runner.runner_id if self.runner else None,
        )

    async def acquire(self) -> runners.Runner:
        """Wait for a place and return its runner.

        Raises admission.Refused if none is available in time.
        """
        ticket = self._ticket
        if ticket is not None and ticket.displaced:
            limit_s = timeouts.place_wait_s(self._exchange.route)
            await admission.acquire_another_place(
                self._exchange, ticket, limit_s
            )
        else:
            ticket = self._ticket = await admission.acquire_place(
                self._exchange, self._excluded
            )
        return self._acquired(ticket)

    async def acquire_another(self, limit_s: float) -> runners.Runner:
        """Wait for a place after the first one was given up.

        Raises admission.Refused if there is none within ``limit_s`` seconds.
        """
        ticket = self._ticket
        assert ticket is not None
        ticket.prefilled = True
        await admission.acquire_another_place(self._exchange, ticket, limit_s)
        return self._acquired(ticket)

    def _acquired(self, ticket: decode_places.Ticket) -> runners.Runner:
        self._acquired_at = self._context.clock()
        assert ticket.runner is not None
        self._watch(ticket.runner)
        return ticket.runner

    def prefilled(self) -> None:
        """Record that the prefill has ended."""
        self._prefilled_at = self._context.clock()

    def move_to(self, runner: runners.Runner) -> None:
        """Replace the place by one at a runner that was reserved before."""
        ticket = self._ticket
        assert ticket is not None
        self._copy_at = runner
        self._context.places.move(ticket, runner)
        self._context.uses_changed()

    def take_over(self, ticket: decode_places.Ticket) -> None:
        """Replace the place by that of a runner that has the request."""
        assert self._ticket is not None
        self._watch(None)
        self._context.places.release(self._ticket)
        ticket.excluded = self._excluded
        self._ticket = ticket
        self._context.uses_changed()

    def ticket_elsewhere(
        self,
        source: runners.Runner,
        unwilling: Collection[ids.RunnerId] = (),
    ) -> decode_places.Ticket:
        """Return a ticket for a copy of the request at another runner."""
        ticket = self._ticket
        assert ticket is not None
        excluded = {*self._excluded, *unwilling, source.runner_id}
        return dataclasses.replace(ticket, runner=None, excluded=excluded)

    def has_room_for_another(self, runner: runners.Runner) -> bool:
        """Tell whether a runner has free memory for a second such request.

        Streams grow beyond or end before what was reserved for them, so that
        less free memory does not prove that the request fits.
        """
        ticket = self._ticket
        assert ticket is not None
        return self._context.places.has_room(
            runner, ticket.tokens, self._context.clock()
        )

    def release(self) -> None:
        """Release the place and let waiting requests use it."""
        ticket = self._ticket
        self._watch(None)
        if ticket is None:
            return
        if ticket.runner is None:
            self._context.places.withdraw(ticket)
            if ticket.displaced:
                self._context.uses_changed()
            return
        now = self._context.clock()
        stream_s = None
        if self._prefilled_at is not None:
            stream_s = now - self._prefilled_at
        self._context.places.observe_hold(now - self._acquired_at, stream_s)
        self._context.places.release(ticket)
        self._context.places.admit(now)
        self._context.uses_changed()
