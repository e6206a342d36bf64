"""Requests of a soak run that crash the runners that begin to run them."""

import enum

from primrosereel.standin import _listed_runner as listed_runner

__all__ = ['BODY', 'PART', 'REQUESTS', 'Cause', 'draw_causes']

# The part of a prompt that crashes runners.
PART = 'dead'
# The body of all whole requests that crash runners: the same body with the
# path of a cause that a run doesn't have is sound.
BODY = b'a body that crashes runners'
MAX_CAUSES = 3


class Cause(enum.Enum):
    """What a deadly request has in common with its repetitions."""

    PART = 'prompt part'
    GENERATION = 'generation'
    GENERATION_ONCE = 'generation that may run once'
    CALL = 'call'
    CALL_ONCE = 'call that may run once'


REQUESTS = {
    cause: listed_runner.DeadlyRequest('POST', path, BODY)
    for cause, path in (
        (Cause.GENERATION, '/ask/1'),
        (Cause.GENERATION_ONCE, '/once/1'),
        (Cause.CALL, '/read/1'),
        (Cause.CALL_ONCE, '/file/1'),
    )
}


def draw_causes(random):
    """Return the causes that a run has, in a random order."""
    return random.sample(list(Cause), random.randint(1, MAX_CAUSES))
