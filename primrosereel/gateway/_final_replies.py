"""The final replies to requests that no runner answers."""

from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module

__all__ = ['admission_reply', 'refusal']

RETRY_AFTER_S = 0.5


def admission_reply(
    exchange: context_module.Exchange, refused: admission.Refused
) -> callers.Reply:
    """Return the reply to a refused request.

    503 states that it did not run, so it is 502 if an attempt may have run.
    """
    if exchange.may_have_run:
        return exchange.failure(refused.reason, 502)
    return exchange.refusal(
        refused.reason, refused.retry_after_s, refused.detail
    )


def refusal(
    exchange: context_module.Exchange, reason: states.RefusalReason
) -> callers.Reply:
    """Return the reply if a generation is sent to no runner any more.

    If all runners refuse connections or back off, that is the reason.
    """
    refused = admission.refusal_without_runner(exchange, states.Role.DECODE)
    if refused is None or exchange.may_have_run:
        refused = admission.Refused(reason, RETRY_AFTER_S)
    return admission_reply(exchange, refused)
