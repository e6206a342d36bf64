"""Passes on what runners' answers say of their own availability.

Each answer of a runner goes through ``observe_answer``: to a request, a
prefill, an order, a move or the call that frees a handle, and refusals too.
``RunnerChanges`` acts on what follows from it.
"""

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.routing import _availability as availability
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners

__all__ = ['backs_off', 'has_left', 'observe_answer']


def observe_answer(
    context: context_module.Context,
    runner: runners.Runner,
    head: http.ResponseHead,
    reused_connection: bool = False,
) -> model.ResponseFacts:
    """Record what the head of a runner's answer says; return its facts.

    On a connection that was used before, a refusal without a request id may
    be repeated, and its ``Retry-After`` may count from an earlier time.
    """
    facts = context.dialect.response_facts(head.status, head.headers)
    now = context.clock()
    runner.observe_answer(now)
    runner_connect.observe_return(context, runner)
    runner.observe_report(facts.load, now)
    for name in facts.invalid_headers:
        context.count(f'runner_headers.invalid_{name}')
        context.log.info(
            'runner header ignored', runner=runner.runner_id, header=name
        )
    if facts.leaving:
        context.runners.availability.observe_leaving(
            runner.runner_id,
            runner.listing.born_ms,
            availability.Source.ANSWER,
            now,
        )
    may_be_repeated = reused_connection and facts.request_id is None
    if facts.retry_after_s and not may_be_repeated:
        _observe_back_off(context, runner, facts.retry_after_s, now)
    return facts


def has_left(context: context_module.Context, runner: runners.Runner) -> bool:
    """Tell whether a runner is leaving or gone."""
    state = context.runners.availability.state(
        runner.runner_id, context.clock()
    )
    return state in availability.BARRED


def backs_off(context: context_module.Context, runner: runners.Runner) -> bool:
    """Tell whether a runner wants nothing from this instance now."""
    return (
        context.runners.availability.back_off_remaining_s(
            runner.runner_id, context.clock()
        )
        > 0
    )


def _observe_back_off(
    context: context_module.Context,
    runner: runners.Runner,
    seconds: float,
    now: float,
) -> None:
    """Send the runner nothing for the time that it asked for, or a bound."""
    honoured_s = context.runners.availability.observe_back_off(
        runner.runner_id,
        runner.listing.born_ms,
        seconds,
        availability.Source.REFUSAL,
        now,
    )
    if 0 < honoured_s < seconds:
        context.count('back_offs.bounded')
        context.log.info(
            'back-off bounded',
            runner=runner.runner_id,
            asked_s=seconds,
            honoured_s=honoured_s,
        )
