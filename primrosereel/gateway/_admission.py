"""Waits for a place at a decode runner, or refuses at once."""

from collections.abc import Collection

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Refused', 'take_place']

# How often waiting requests are looked at without a change being told.
RECHECK_S = 0.05
# How often peers are told of waiting requests.
TELL_S = 0.2
# Callers that are told to come back are spread over this share of the time.
SPREAD = 0.3
SHORTEST_RETRY_AFTER_S = 0.2


class Refused(Exception):
    """The request is not served; ``retry_after_s`` is when to come back."""

    def __init__(
        self,
        reason: states.RefusalReason,
        retry_after_s: float,
        detail: str = '',
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.detail = detail


async def take_place(
    exchange: context_module.Exchange,
    excluded: Collection[ids.RunnerId],
) -> decode_places.Ticket:
    """Return a ticket with a place; raise Refused where there is none.

    A request whose expected wait is over its caller's patience is refused at
    once, with the time at which a place is expected.
    """
    context = exchange.context
    places = context.places
    now = context.clock()

    def latest_start(when: float) -> float:
        reading_s = context.prefills.expected_s(
            exchange.service, exchange.facts.prompt_tokens, when
        )
        return exchange.request.received_at + timeouts.on_time_wait_s(
            exchange.route, reading_s
        )

    admitted = anyio.Event()
    ticket = decode_places.Ticket(
        exchange.service,
        decode_places.tokens_needed(exchange.facts),
        exchange.route.priority,
        exchange.request.received_at,
        latest_start,
        excluded=excluded,
        on_admitted=admitted.set,
    )
    if not context.runners.ready(exchange.service, states.Role.DECODE):
        raise Refused(states.RefusalReason.NO_RUNNER, SHORTEST_RETRY_AFTER_S)
    limit_s = min(timeouts.place_wait_s(exchange.route), exchange.left_s)
    places.add(ticket, now)
    if ticket.runner is None:
        wait_s = places.expected_wait_s(ticket, now)
        if wait_s > limit_s:
            _withdraw(exchange, ticket)
            raise _no_capacity(exchange, wait_s)
        context.uses_changed()
        await _wait(exchange, ticket, admitted, limit_s)
        exchange.note_step('queued_s', now)
    context.uses_changed()
    return ticket


async def _wait(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    admitted: anyio.Event,
    limit_s: float,
) -> None:
    context = exchange.context
    began = context.clock()
    tell_at = began + TELL_S
    try:
        with anyio.move_on_after(limit_s):
            while ticket.runner is None and not _hopeless(
                exchange, ticket, began + limit_s
            ):
                with anyio.move_on_after(RECHECK_S):
                    await admitted.wait()
                if context.clock() >= tell_at:
                    tell_at = context.clock() + TELL_S
                    context.uses_changed()
                context.places.admit(context.clock())
    except BaseException:
        _withdraw(exchange, ticket)
        context.places.release(ticket)
        raise
    if ticket.runner is None:
        _withdraw(exchange, ticket)
        wait_s = context.places.expected_wait_s(ticket, context.clock())
        raise _no_capacity(exchange, wait_s)


def _withdraw(
    exchange: context_module.Exchange, ticket: decode_places.Ticket
) -> None:
    """Take a request out of the queue, and tell peers that wait behind it."""
    exchange.context.places.withdraw(ticket)
    exchange.context.uses_changed()


def _hopeless(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    until: float,
) -> bool:
    """Tell whether a late request is not expected to get a place in time.

    Callers that can still be answered on time go first, so a late one's wait
    is judged anew as others arrive.
    """
    now = exchange.context.clock()
    if not ticket.is_late(now):
        return False
    return now + exchange.context.places.expected_wait_s(ticket, now) > until


def _no_capacity(exchange: context_module.Exchange, wait_s: float) -> Refused:
    random = exchange.context.random
    spread = 1 + SPREAD * random.random()
    after_s = max(SHORTEST_RETRY_AFTER_S, min(wait_s, exchange.left_s / 3))
    now = exchange.context.clock()
    detail = exchange.context.places.describe(exchange.service, now)
    return Refused(
        states.RefusalReason.NO_CAPACITY,
        after_s * spread,
        f'wait {wait_s:.2f} s; {detail}',
    )
