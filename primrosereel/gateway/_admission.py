"""Admission: waits for a place at a decode runner, or refuses a request."""

from collections.abc import Collection
import math

import anyio

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _quota_check as quota_check
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _timeouts as timeouts

__all__ = [
    'Refused',
    'acquire_another_place',
    'acquire_place',
    'check_call_time_until_stop',
    'check_time_until_stop',
    'count_generation',
    'refusal_without_runner',
]

# How often waiting requests are checked even if no change was signalled.
RECHECK_INTERVAL_S = 0.05
# How often peers are told at least of the waiting requests, and how often it
# is checked whether all runners back off.
PEER_UPDATE_INTERVAL_S = 0.2
# Peers that were told this long ago need not be told again; what they know of
# a queue expires after 0.5 s.
RECENTLY_TOLD_S = 0.1
# For how long the expected duration of a request's prefill is used again. The
# queue is sorted with it at each datagram of a peer.
ESTIMATE_VALID_S = 0.01
# Retry-After is lengthened by up to this share at random, so that refused
# callers don't all return at once.
RETRY_AFTER_JITTER = 0.3
MIN_RETRY_AFTER_S = 0.2
# Callers honour a Retry-After of up to this share of the time they have left.
RETRY_AFTER_SHARE = 1 / 3
# Share of a stream's mean duration that must be left before a stop. Streams
# differ, and one that is refused has to begin elsewhere.
MIN_STREAM_SHARE = 0.5


class Refused(Exception):
    """The request is refused; the caller may retry after ``retry_after_s``."""

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


async def acquire_place(
    exchange: context_module.Exchange,
    excluded: Collection[ids.RunnerId],
) -> decode_places.Ticket:
    """Return a ticket that holds a place; raise Refused if none is available.

    A request whose expected wait exceeds its wait limit is refused at once;
    its ``retry_after_s`` follows from the expected wait.
    """
    check_time_until_stop(exchange)
    context = exchange.context
    places = context.places
    now = context.clock()

    estimate_at, estimate = -math.inf, 0.0

    def latest_start(when: float) -> float:
        nonlocal estimate_at, estimate
        if not 0 <= when - estimate_at < ESTIMATE_VALID_S:
            prefill_s = context.prefills.expected_s(
                exchange.service, exchange.facts.prompt_tokens, when
            )
            wait_s = timeouts.on_time_wait_s(exchange.route, prefill_s)
            estimate = exchange.request.received_at + wait_s
            estimate_at = when
        return estimate

    admitted = anyio.Event()
    ticket = decode_places.Ticket(
        exchange.service,
        decode_places.tokens_needed(exchange.facts),
        exchange.priority,
        exchange.request.received_at,
        latest_start,
        excluded=excluded,
        output_factor=context.output_costs.relative(exchange.output_key, now),
        on_admitted=admitted.set,
        deferral_s=quota_check.place_deferral(exchange),
    )
    if not context.runners.ready(exchange.service, states.Role.DECODE, now):
        raise refusal_without_runner(exchange, states.Role.DECODE) or Refused(
            states.RefusalReason.NO_RUNNER, MIN_RETRY_AFTER_S
        )
    limit_s = min(timeouts.place_wait_s(exchange.route), exchange.remaining_s)
    places.add(ticket, now)
    if ticket.runner is None:
        wait_s = places.expected_wait_s(ticket, now)
        if wait_s > limit_s:
            _withdraw(exchange, ticket)
            raise _no_capacity(exchange, wait_s)
        context.uses_changed()
        await _wait(exchange, ticket, admitted, limit_s)
        exchange.record_step('queued_s', now)
    context.uses_changed()
    return ticket


async def acquire_another_place(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    limit_s: float,
) -> None:
    """Queue a ticket whose place was given up, if it has no other yet.

    Raises Refused if no place is free in time.
    """
    context = exchange.context
    if ticket.runner is not None:
        return
    admitted = anyio.Event()
    ticket.on_admitted = admitted.set
    context.places.add(ticket, context.clock())
    if ticket.runner is None:
        context.uses_changed()
        await _wait(exchange, ticket, admitted, limit_s)
    context.uses_changed()


def count_generation(exchange: context_module.Exchange) -> None:
    """Count a generation for the retry budget and the demand."""
    context = exchange.context
    now = context.clock()
    context.budget.count_request(exchange.service, now)
    context.demand.count_request(
        exchange.service,
        exchange.facts.prompt_tokens,
        decode_places.tokens_needed(exchange.facts),
        now,
    )


def check_time_until_stop(exchange: context_module.Exchange) -> None:
    """Refuse a request whose stream a stop of the process would cut."""
    if exchange.time_limit.is_shortened:
        stream_s = exchange.context.places.stream_s
        _check_time_left(exchange, MIN_STREAM_SHARE * stream_s)


def check_call_time_until_stop(exchange: context_module.Exchange) -> None:
    """Refuse a plain call that a stop of the process would end too soon.

    Calls of its service take longer, even at the fastest runner.
    """
    if not exchange.time_limit.is_shortened:
        return
    seconds = (
        runner.latency_s
        for runner in exchange.context.runners
        if runner.listing.service == exchange.service
        and runner.latency_s is not None
    )
    _check_time_left(exchange, min(seconds, default=0.0))


def _check_time_left(
    exchange: context_module.Exchange, needed_s: float
) -> None:
    """Refuse a request without enough time; another instance can serve it."""
    if exchange.remaining_s < needed_s:
        raise Refused(
            states.RefusalReason.DRAINING,
            0.0,
            f'{exchange.remaining_s:.2f} s are left before the stop',
        )


async def _wait(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    admitted: anyio.Event,
    limit_s: float,
) -> None:
    """Wait for a place; withdraw the ticket and refuse if none is free."""
    context = exchange.context
    without_runner: Refused | None = None
    started_at = context.clock()
    next_update_at = started_at + PEER_UPDATE_INTERVAL_S
    try:
        with anyio.move_on_after(limit_s):
            while ticket.runner is None and not _misses_limit(
                exchange, ticket, started_at + limit_s
            ):
                with anyio.move_on_after(RECHECK_INTERVAL_S):
                    await admitted.wait()
                context.places.admit(context.clock())
                if context.clock() < next_update_at:
                    continue
                next_update_at = context.clock() + PEER_UPDATE_INTERVAL_S
                _refresh_at_peers(context)
                without_runner = _without_runner_beyond(
                    exchange, ticket, started_at + limit_s
                )
                if without_runner is not None:
                    break
        if ticket.runner is None and without_runner is None:
            # A place may have become free while the process had no time.
            with final_poll.move_on_after(0.0):
                await admitted.wait()
    except BaseException:
        _withdraw(exchange, ticket)
        context.places.release(ticket)
        raise
    if ticket.runner is None:
        _withdraw(exchange, ticket)
        wait_s = context.places.expected_wait_s(ticket, context.clock())
        raise without_runner or _no_capacity(exchange, wait_s)


def _refresh_at_peers(context: context_module.Context) -> None:
    """Tell peers again what waits here, unless they were told lately.

    Each datagram names the queue heads, so one is enough for all that wait.
    """
    if context.clock() - context.shard_told_at >= RECENTLY_TOLD_S:
        context.uses_changed()


def _withdraw(
    exchange: context_module.Exchange, ticket: decode_places.Ticket
) -> None:
    """Remove a request from the queue and notify peers that wait behind it."""
    exchange.context.places.withdraw(ticket)
    exchange.context.uses_changed()


def _misses_limit(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    until: float,
) -> bool:
    """Return whether a late request is not expected to get a place in time.

    Requests that can still meet their target go first, so the expected wait
    of a late request changes as others arrive.
    """
    now = exchange.context.clock()
    # A stop that has begun meanwhile leaves less time.
    until = min(until, now + exchange.remaining_s)
    if ticket.prefilled or not ticket.is_late(now):
        return False
    return now + exchange.context.places.expected_wait_s(ticket, now) > until


def refusal_without_runner(
    exchange: context_module.Exchange, role: states.Role
) -> Refused | None:
    """Return the refusal of a request if no runner takes it now.

    None if one may.
    """
    return _refusal_while_backing_off(exchange, role) or _refusal_while_down(
        exchange, role
    )


def _refusal_while_down(
    exchange: context_module.Exchange, role: states.Role
) -> Refused | None:
    """Return the refusal of a request if all its runners are down."""
    context = exchange.context
    retry_after_s = context.runners.retry_after_s(
        exchange.service, role, context.clock()
    )
    if retry_after_s is None:
        return None
    return Refused(
        states.RefusalReason.NO_RUNNER,
        _rounded_up(retry_after_s),
        'no runner accepts connections',
    )


def _rounded_up(retry_after_s: float) -> float:
    """Return a time in hundredths of a second, as callers are told it."""
    return math.ceil(100 * retry_after_s) / 100


def _refusal_while_backing_off(
    exchange: context_module.Exchange, role: states.Role
) -> Refused | None:
    """Return the refusal of a request if all its runners back off.

    Its ``retry_after_s`` is not capped by the time that the caller has left:
    no runner takes the request before.
    """
    context = exchange.context
    back_off_s = context.runners.availability.shortest_back_off_s(
        (
            runner.runner_id
            for runner in context.runners
            if runner.listing.service == exchange.service
            and runner.listing.role is role
        ),
        context.clock(),
    )
    if not back_off_s:
        return None
    retry_after_s = max(MIN_RETRY_AFTER_S, back_off_s) * _jitter(context)
    return Refused(
        states.RefusalReason.RUNNERS_BACKING_OFF,
        _rounded_up(retry_after_s),
        f'all runners back off, the first one for {back_off_s:.2f} s',
    )


def _without_runner_beyond(
    exchange: context_module.Exchange,
    ticket: decode_places.Ticket,
    until: float,
) -> Refused | None:
    """Return the refusal of a waiting request if no runner takes it in time.

    A prompt that was prefilled would be lost, so its request waits for a
    runner that takes requests again in time.
    """
    now = exchange.context.clock()
    if ticket.runner is not None or exchange.context.runners.ready(
        exchange.service, states.Role.DECODE, now
    ):
        return None
    refused = refusal_without_runner(exchange, states.Role.DECODE)
    if refused is None or not ticket.prefilled:
        return refused
    return refused if now + refused.retry_after_s > until else None


def _jitter(context: context_module.Context) -> float:
    return 1 + RETRY_AFTER_JITTER * context.random.random()


def _no_capacity(exchange: context_module.Exchange, wait_s: float) -> Refused:
    jitter = _jitter(exchange.context)
    latest_s = RETRY_AFTER_SHARE * exchange.remaining_s
    retry_after_s = min(max(MIN_RETRY_AFTER_S, wait_s) * jitter, latest_s)
    now = exchange.context.clock()
    detail = exchange.context.places.describe(exchange.service, now)
    return Refused(
        states.RefusalReason.NO_CAPACITY,
        retry_after_s,
        f'wait {wait_s:.2f} s; {detail}',
    )
