"""Records that a runner has not answered a request for too long."""

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _runners as runners

__all__ = ['record_silence']


def record_silence(
    exchange: context_module.Exchange,
    runner: runners.Runner,
    since: float,
    limit_s: float,
    events_received: int | None = None,
) -> None:
    """Log and count a silence that has passed its limit.

    ``since`` is when the request was sent or its last event came, and
    ``events_received`` how many events came before; None for a plain call.
    The line tells how late this process noticed the silence: a process that
    was busy takes its own delay for that of its runners.
    """
    context = exchange.context
    silent_s = context.clock() - since
    context.count('runners.silent')
    context.log.info(
        'runner silent',
        request=exchange.facts.request_id,
        runner=runner.runner_id,
        silent_s=round(silent_s, 3),
        limit_s=round(limit_s, 3),
        noticed_late_s=round(silent_s - limit_s, 3),
        events_received=events_received,
        left_s=round(exchange.remaining_s, 3),
        version=context.version,
        version_age_s=context.version_age_s,
    )
