"""Logs and counts the changes of runners' availability."""

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _availability as availability

__all__ = ['record']


def record(
    context: context_module.Context, transition: availability.Transition
) -> None:
    """Log a transition with its source and age, and count it by source."""
    context.count(
        f'availability.{transition.new.value}.{transition.source.value}'
    )
    remaining_s = None
    if transition.until is not None:
        remaining_s = round(transition.until - context.clock(), 3)
    context.log.info(
        'runner availability changed',
        runner=transition.runner,
        old=transition.old.value,
        new=transition.new.value,
        source=transition.source.value,
        age_s=round(transition.age_s, 3),
        remaining_s=remaining_s,
        overrode=transition.overrode,
    )
