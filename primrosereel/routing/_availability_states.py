"""States of a runner's availability, and the table of their transitions.

Six sources say something of whether a runner takes new requests: its entry in
the store, the removal of the entry, a list that was read again after the
history was lost, the runner's answers, its refusals, and peers. Each statement
is an event of one table of transitions.
"""

import enum
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = [
    'BARRED',
    'NEW_RUNS',
    'TRANSITIONS',
    'Availability',
    'Event',
    'Notice',
    'RunVersion',
    'Source',
    'Transition',
]


class Availability(enum.Enum):
    """Whether a runner takes new requests."""

    READY = 'ready'
    # The runner refused a request and named a time until which it wants none.
    BACKING_OFF = 'backing_off'
    # The entry is missing, and it is not known whether the runner left.
    MISSING = 'missing'
    LEAVING = 'leaving'
    GONE = 'gone'


# States in which a runner gets no new request.
BARRED = frozenset((Availability.LEAVING, Availability.GONE))


class Source(enum.Enum):
    """From what a statement about a runner was learned."""

    ENTRY = 'entry'
    REMOVAL = 'removal'
    LOST_HISTORY = 'lost_history'
    ANSWER = 'answer'
    REFUSAL = 'refusal'
    PEER = 'peer'


class Event(enum.Enum):
    """What a statement says, or what time alone brings about."""

    # An entry of the known run that is newer than what is known.
    LISTED = 'listed'
    LISTED_LEAVING = 'listed_leaving'
    # An entry that is not newer.
    LISTED_AGAIN = 'listed_again'
    # An entry of another run.
    NEW_RUN = 'new_run'
    NEW_RUN_LEAVING = 'new_run_leaving'
    REMOVED = 'removed'
    # A removal after which the runner may register again.
    LAPSED = 'lapsed'
    REREGISTRATION_OVER = 'reregistration_over'
    SAID_LEAVING = 'said_leaving'
    REFUSED = 'refused'
    BACK_OFF_OVER = 'back_off_over'
    # A peer that said the runner is gone has seen a new entry of it.
    BACK_AT_PEER = 'back_at_peer'


# Events of an entry of another run than the known one.
NEW_RUNS = frozenset((Event.NEW_RUN, Event.NEW_RUN_LEAVING))


class RunVersion(NamedTuple):
    """Orders what a runner says of itself.

    ``sequence`` counts the entries of one run; 0 if it is not known.
    """

    born_ms: int
    sequence: int = 0


class Notice(NamedTuple):
    """What an instance tells its peers of a runner.

    ``age_s`` is the time since the change, and ``remaining_s`` how much longer
    the runner backs off.
    """

    runner: ids.RunnerId
    born_ms: int
    availability: Availability
    age_s: float
    remaining_s: float = 0.0


class Transition(NamedTuple):
    """A change of a runner's availability.

    ``age_s`` is the age of the statement, ``until`` the clock time at which
    the new state ends by itself, and ``overrode`` says what was known before.
    """

    runner: ids.RunnerId
    old: Availability
    new: Availability
    source: Source
    age_s: float
    until: float | None
    overrode: str


# The state after each event, by the state before it. Leaving is final for a
# run: only an entry of a newer run makes the runner ready again.
_AFTER: dict[Availability, dict[Event, Availability]] = {
    Availability.READY: {
        Event.LISTED: Availability.READY,
        Event.LISTED_LEAVING: Availability.LEAVING,
        Event.LISTED_AGAIN: Availability.READY,
        Event.NEW_RUN: Availability.READY,
        Event.NEW_RUN_LEAVING: Availability.LEAVING,
        Event.REMOVED: Availability.GONE,
        Event.LAPSED: Availability.MISSING,
        Event.REREGISTRATION_OVER: Availability.READY,
        Event.SAID_LEAVING: Availability.LEAVING,
        Event.REFUSED: Availability.BACKING_OFF,
        Event.BACK_OFF_OVER: Availability.READY,
        Event.BACK_AT_PEER: Availability.READY,
    },
    Availability.BACKING_OFF: {
        Event.LISTED: Availability.BACKING_OFF,
        Event.LISTED_LEAVING: Availability.LEAVING,
        Event.LISTED_AGAIN: Availability.BACKING_OFF,
        Event.NEW_RUN: Availability.READY,
        Event.NEW_RUN_LEAVING: Availability.LEAVING,
        Event.REMOVED: Availability.GONE,
        Event.LAPSED: Availability.MISSING,
        Event.REREGISTRATION_OVER: Availability.BACKING_OFF,
        Event.SAID_LEAVING: Availability.LEAVING,
        Event.REFUSED: Availability.BACKING_OFF,
        Event.BACK_OFF_OVER: Availability.READY,
        Event.BACK_AT_PEER: Availability.BACKING_OFF,
    },
    Availability.MISSING: {
        Event.LISTED: Availability.READY,
        Event.LISTED_LEAVING: Availability.LEAVING,
        # A copy of the store lists runners that left.
        Event.LISTED_AGAIN: Availability.MISSING,
        Event.NEW_RUN: Availability.READY,
        Event.NEW_RUN_LEAVING: Availability.LEAVING,
        Event.REMOVED: Availability.GONE,
        Event.LAPSED: Availability.MISSING,
        Event.REREGISTRATION_OVER: Availability.GONE,
        Event.SAID_LEAVING: Availability.LEAVING,
        Event.REFUSED: Availability.MISSING,
        Event.BACK_OFF_OVER: Availability.MISSING,
        Event.BACK_AT_PEER: Availability.MISSING,
    },
    Availability.LEAVING: {
        Event.LISTED: Availability.LEAVING,
        Event.LISTED_LEAVING: Availability.LEAVING,
        Event.LISTED_AGAIN: Availability.LEAVING,
        Event.NEW_RUN: Availability.READY,
        Event.NEW_RUN_LEAVING: Availability.LEAVING,
        Event.REMOVED: Availability.GONE,
        Event.LAPSED: Availability.LEAVING,
        Event.REREGISTRATION_OVER: Availability.GONE,
        Event.SAID_LEAVING: Availability.LEAVING,
        Event.REFUSED: Availability.LEAVING,
        Event.BACK_OFF_OVER: Availability.LEAVING,
        Event.BACK_AT_PEER: Availability.LEAVING,
    },
    Availability.GONE: {
        Event.LISTED: Availability.READY,
        Event.LISTED_LEAVING: Availability.LEAVING,
        Event.LISTED_AGAIN: Availability.GONE,
        Event.NEW_RUN: Availability.READY,
        Event.NEW_RUN_LEAVING: Availability.LEAVING,
        Event.REMOVED: Availability.GONE,
        Event.LAPSED: Availability.GONE,
        Event.REREGISTRATION_OVER: Availability.GONE,
        Event.SAID_LEAVING: Availability.GONE,
        Event.REFUSED: Availability.GONE,
        Event.BACK_OFF_OVER: Availability.GONE,
        Event.BACK_AT_PEER: Availability.READY,
    },
}
TRANSITIONS = {
    (state, event): new
    for state, after in _AFTER.items()
    for event, new in after.items()
}
