"""Gets the retry budget for a stream whose runner broke off."""

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _stream_claims as stream_claims
from primrosereel.routing import _timeouts as timeouts

__all__ = ['spend_budget']

# Share of the gap after which the caller leaves; the rest is for a place and
# the prefill at the runner that continues the stream.
BUDGET_WAIT_SHARE = 0.25
RETRY_INTERVAL_S = 0.05


async def spend_budget(exchange: context_module.Exchange, events: int) -> bool:
    """Spend the budget for a stream with some events; False without one.

    A stream that has begun can't be refused, so it waits for the budget for
    as long as its caller does.
    """
    context = exchange.context
    claim = stream_claims.Claim(
        exchange.service, stream_claims.Urgency.BROKEN, lambda: events
    )
    wait_s = BUDGET_WAIT_SHARE * timeouts.caller_gap_s(exchange.route)
    until = context.clock() + (wait_s if events else 0.0)
    try:
        while not context.budget.try_spend(
            exchange.service, context.clock(), claim
        ):
            if context.clock() >= until:
                return False
            await anyio.sleep(RETRY_INTERVAL_S)
    finally:
        context.budget.claims.remove(claim)
    return True
