"""The availability of runners: what each of six sources says, in one model.

A runner's entry in the store, its removal, a list that was read again after
the history was lost, the runner's answers, its refusals and peers all say
something of whether a runner takes new requests. Each statement is an event of
one table of transitions, and carries the run of the runner that it is about.
A statement about an older run, or an entry that is older than what is known,
changes nothing.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = [
    'TRANSITIONS',
    'Availability',
    'AvailabilityBounds',
    'AvailabilityRecord',
    'AvailabilityTable',
    'Event',
    'Notice',
    'RunVersion',
    'Source',
    'Transition',
]

# Runners register again within about two seconds after an outage of the store.
REREGISTRATION_S = 2.0
# A runner that asks for more is asked again after this time.
MAX_BACK_OFF_S = 30.0
# How long it is remembered that a runner left. A store that was restored from
# a copy lists it again.
TOMBSTONE_S = 120.0
MAX_TOMBSTONES = 4096
# Peers are told of at most this many runners at a time, newest first.
MAX_NOTICES = 64


class Availability(enum.Enum):
    """Whether a runner takes new requests."""

    READY = 'ready'
    # The runner refused a request and named a time until which it wants none.
    BACKING_OFF = 'backing_off'
    # The entry is missing, and it is not known whether the runner left.
    MISSING = 'missing'
    LEAVING = 'leaving'
    GONE = 'gone'


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

    # An entry of the known run that is not older than what is known.
    LISTED = 'listed'
    LISTED_LEAVING = 'listed_leaving'
    # The same, for a run that is newer than the known one.
    NEW_RUN = 'new_run'
    NEW_RUN_LEAVING = 'new_run_leaving'
    # An entry that is newer than all that was known when the runner was gone.
    RETURNED = 'returned'
    REMOVED = 'removed'
    # A removal that may be that of a runner which registers again.
    LAPSED = 'lapsed'
    REREGISTRATION_OVER = 'reregistration_over'
    SAID_LEAVING = 'said_leaving'
    REFUSED = 'refused'
    BACK_OFF_OVER = 'back_off_over'


class RunVersion(NamedTuple):
    """Orders what a runner says of itself.

    ``sequence`` counts the entries of one run; 0 if it is not known.
    """

    born_ms: int
    sequence: int = 0


class Notice(NamedTuple):
    """What an instance tells its peers of a runner.

    ``age_s`` is how long it has known it, and ``remaining_s`` how much longer
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


_S = Availability
_E = Event

# The state after each event. Leaving is final for a run: only an entry of a
# newer run makes the runner ready again.
TRANSITIONS: dict[tuple[Availability, Event], Availability] = {
    (_S.READY, _E.LISTED): _S.READY,
    (_S.READY, _E.LISTED_LEAVING): _S.LEAVING,
    (_S.READY, _E.NEW_RUN): _S.READY,
    (_S.READY, _E.NEW_RUN_LEAVING): _S.LEAVING,
    (_S.READY, _E.RETURNED): _S.READY,
    (_S.READY, _E.REMOVED): _S.GONE,
    (_S.READY, _E.LAPSED): _S.MISSING,
    (_S.READY, _E.REREGISTRATION_OVER): _S.READY,
    (_S.READY, _E.SAID_LEAVING): _S.LEAVING,
    (_S.READY, _E.REFUSED): _S.BACKING_OFF,
    (_S.READY, _E.BACK_OFF_OVER): _S.READY,
    (_S.BACKING_OFF, _E.LISTED): _S.BACKING_OFF,
    (_S.BACKING_OFF, _E.LISTED_LEAVING): _S.LEAVING,
    (_S.BACKING_OFF, _E.NEW_RUN): _S.READY,
    (_S.BACKING_OFF, _E.NEW_RUN_LEAVING): _S.LEAVING,
    (_S.BACKING_OFF, _E.RETURNED): _S.BACKING_OFF,
    (_S.BACKING_OFF, _E.REMOVED): _S.GONE,
    (_S.BACKING_OFF, _E.LAPSED): _S.MISSING,
    (_S.BACKING_OFF, _E.REREGISTRATION_OVER): _S.BACKING_OFF,
    (_S.BACKING_OFF, _E.SAID_LEAVING): _S.LEAVING,
    (_S.BACKING_OFF, _E.REFUSED): _S.BACKING_OFF,
    (_S.BACKING_OFF, _E.BACK_OFF_OVER): _S.READY,
    (_S.MISSING, _E.LISTED): _S.READY,
    (_S.MISSING, _E.LISTED_LEAVING): _S.LEAVING,
    (_S.MISSING, _E.NEW_RUN): _S.READY,
    (_S.MISSING, _E.NEW_RUN_LEAVING): _S.LEAVING,
    (_S.MISSING, _E.RETURNED): _S.READY,
    (_S.MISSING, _E.REMOVED): _S.GONE,
    (_S.MISSING, _E.LAPSED): _S.MISSING,
    (_S.MISSING, _E.REREGISTRATION_OVER): _S.GONE,
    (_S.MISSING, _E.SAID_LEAVING): _S.LEAVING,
    (_S.MISSING, _E.REFUSED): _S.MISSING,
    (_S.MISSING, _E.BACK_OFF_OVER): _S.MISSING,
    (_S.LEAVING, _E.LISTED): _S.LEAVING,
    (_S.LEAVING, _E.LISTED_LEAVING): _S.LEAVING,
    (_S.LEAVING, _E.NEW_RUN): _S.READY,
    (_S.LEAVING, _E.NEW_RUN_LEAVING): _S.LEAVING,
    (_S.LEAVING, _E.RETURNED): _S.LEAVING,
    (_S.LEAVING, _E.REMOVED): _S.GONE,
    (_S.LEAVING, _E.LAPSED): _S.LEAVING,
    (_S.LEAVING, _E.REREGISTRATION_OVER): _S.GONE,
    (_S.LEAVING, _E.SAID_LEAVING): _S.LEAVING,
    (_S.LEAVING, _E.REFUSED): _S.LEAVING,
    (_S.LEAVING, _E.BACK_OFF_OVER): _S.LEAVING,
    (_S.GONE, _E.LISTED): _S.GONE,
    (_S.GONE, _E.LISTED_LEAVING): _S.GONE,
    (_S.GONE, _E.NEW_RUN): _S.READY,
    (_S.GONE, _E.NEW_RUN_LEAVING): _S.LEAVING,
    (_S.GONE, _E.RETURNED): _S.READY,
    (_S.GONE, _E.REMOVED): _S.GONE,
    (_S.GONE, _E.LAPSED): _S.GONE,
    (_S.GONE, _E.REREGISTRATION_OVER): _S.GONE,
    (_S.GONE, _E.SAID_LEAVING): _S.GONE,
    (_S.GONE, _E.REFUSED): _S.GONE,
    (_S.GONE, _E.BACK_OFF_OVER): _S.GONE,
}


class AvailabilityBounds(NamedTuple):
    """Times in seconds that bound what is believed, and the memory of it.

    ``drain_s`` is the time after which a leaving runner must not get a new
    request.
    """

    drain_s: float = 2.0
    reregistration_s: float = REREGISTRATION_S
    max_back_off_s: float = MAX_BACK_OFF_S
    tombstone_s: float = TOMBSTONE_S
    max_tombstones: int = MAX_TOMBSTONES


DEFAULT_BOUNDS = AvailabilityBounds()


@dataclasses.dataclass(eq=False, slots=True)
class AvailabilityRecord:
    """What is known of the newest known run of a runner.

    The runner takes new requests from ``accepts_from`` until
    ``accepts_until``.
    """

    version: RunVersion = RunVersion(0)
    state: Availability = Availability.READY
    source: Source = Source.ENTRY
    since: float = -math.inf
    accepts_from: float = -math.inf
    accepts_until: float = math.inf
    back_off_until: float = -math.inf
    # A peer was refused; other runners are preferred until then.
    hinted_until: float = -math.inf
    missing_until: float = math.inf
    entry_seen_at: float = -math.inf
    # The run said that it leaves. That outlasts a return of its entry.
    said_leaving: bool = False

    def accepts(self, now: float) -> bool:
        """Tell whether the runner may get a new request."""
        return self.accepts_from <= now < self.accepts_until

    def state_at(self, now: float) -> Availability:
        """Return the state, with what has ended by time alone."""
        if (
            self.state is Availability.BACKING_OFF
            and now >= self.back_off_until
        ):
            return Availability.READY
        if self.state is Availability.MISSING and now >= self.missing_until:
            return Availability.GONE
        return self.state

    def update_times(self) -> None:
        """Derive from when until when the runner accepts requests."""
        self.accepts_from, self.accepts_until = -math.inf, math.inf
        if self.state in (Availability.LEAVING, Availability.GONE):
            self.accepts_from = math.inf
        else:
            self.accepts_from = self.back_off_until
        if self.state is Availability.MISSING:
            self.accepts_until = self.missing_until


def _ignore(transition: Transition) -> None:
    """Do nothing with a transition."""


class AvailabilityTable:
    """The availability of all runners that were heard of."""

    def __init__(
        self,
        bounds: AvailabilityBounds = DEFAULT_BOUNDS,
        on_transition: Callable[[Transition], None] = _ignore,
    ) -> None:
        self._bounds = bounds
        self._on_transition = on_transition
        self._records: dict[ids.RunnerId, AvailabilityRecord] = {}
        # Until when some runner is missing or hinted at.
        self._deferred_until = -math.inf

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bounds(self) -> AvailabilityBounds:
        """The bounds of what is believed."""
        return self._bounds

    def record(self, runner_id: ids.RunnerId) -> AvailabilityRecord:
        """Return the record of a runner, a new one if it is not known."""
        record = self._records.get(runner_id)
        if record is None:
            record = self._records[runner_id] = AvailabilityRecord()
        return record

    def observe_entry(
        self,
        runner_id: ids.RunnerId,
        version: RunVersion,
        leaving: bool,
        now: float,
    ) -> bool:
        """Apply an entry; return False if it is to be ignored.

        That is an entry that is older than what is known, or one that tells
        nothing newer of a runner that is gone.
        """
        record = self.record(runner_id)
        known = record.version
        if version < known and (version.sequence or version[0] < known[0]):
            return False
        event = self._entry_event(record, version, leaving, now)
        record.version = max(version, known)
        if event is Event.LISTED and record.state is Availability.GONE:
            return False
        record.entry_seen_at = now
        self._apply(runner_id, record, event, Source.ENTRY, now)
        return True

    def _entry_event(
        self,
        record: AvailabilityRecord,
        version: RunVersion,
        leaving: bool,
        now: float,
    ) -> Event:
        if version.born_ms > record.version.born_ms:
            return Event.NEW_RUN_LEAVING if leaving else Event.NEW_RUN
        if leaving:
            return Event.LISTED_LEAVING
        newer = version > record.version or not version.sequence
        return Event.RETURNED if newer else Event.LISTED

    def observe_removal(
        self,
        runner_id: ids.RunnerId,
        now: float,
        missing_until: float = -math.inf,
        source: Source = Source.REMOVAL,
    ) -> None:
        """Apply the removal of an entry, or its absence from a list.

        Until ``missing_until`` the runner may register again.
        """
        record = self.record(runner_id)
        record.missing_until = missing_until
        event = Event.LAPSED if now < missing_until else Event.REMOVED
        self._apply(runner_id, record, event, source, now)

    def observe_leaving(
        self,
        runner_id: ids.RunnerId,
        born_ms: int,
        source: Source,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Apply what an answer or a peer says: the run leaves."""
        record = self._record_of_run(runner_id, born_ms)
        if record is not None:
            record.said_leaving = True
            self._apply(
                runner_id, record, Event.SAID_LEAVING, source, now, age_s
            )

    def observe_back_off(
        self,
        runner_id: ids.RunnerId,
        born_ms: int,
        for_s: float,
        source: Source,
        now: float,
    ) -> float:
        """Apply a refusal; return for how many seconds it is honoured.

        What a peer was told is a hint to prefer other runners.
        """
        if not for_s > 0:
            return 0.0
        for_s = min(for_s, self._bounds.max_back_off_s)
        record = self._record_of_run(runner_id, born_ms)
        if record is None:
            return 0.0
        if source is Source.PEER:
            record.hinted_until = max(record.hinted_until, now + for_s)
            self._deferred_until = max(
                self._deferred_until, record.hinted_until
            )
        else:
            record.back_off_until = max(record.back_off_until, now + for_s)
            self._apply(runner_id, record, Event.REFUSED, source, now)
        return for_s

    def _record_of_run(
        self, runner_id: ids.RunnerId, born_ms: int
    ) -> AvailabilityRecord | None:
        """Return the record for a statement of a run; None for an old run.

        ``born_ms`` 0 stands for the known run.
        """
        record = self.record(runner_id)
        if born_ms > record.version.born_ms:
            record.version = RunVersion(born_ms)
        elif 0 < born_ms < record.version.born_ms:
            return None
        return record

    def state(self, runner_id: ids.RunnerId, now: float) -> Availability:
        """Return the state of a runner; one that is not known is gone."""
        record = self._records.get(runner_id)
        return record.state_at(now) if record else Availability.GONE

    def accepts(self, runner_id: ids.RunnerId, now: float) -> bool:
        """Tell whether a runner may get a new request."""
        record = self._records.get(runner_id)
        return record is not None and record.accepts(now)

    def is_hinted(self, runner_id: ids.RunnerId, now: float) -> bool:
        """Tell whether a peer was refused and others are to be preferred."""
        record = self._records.get(runner_id)
        return record is not None and now < record.hinted_until

    def back_off_remaining_s(
        self, runner_id: ids.RunnerId, now: float
    ) -> float:
        """Return how much longer a runner wants no requests; 0.0 if none."""
        record = self._records.get(runner_id)
        return max(0.0, record.back_off_until - now) if record else 0.0

    def shortest_back_off_s(
        self, runner_ids: Iterable[ids.RunnerId], now: float
    ) -> float:
        """Return when the first of the runners takes requests again.

        It is 0.0 if one of them does, or if all of them leave.
        """
        return min(
            (
                self.back_off_remaining_s(runner_id, now)
                for runner_id in runner_ids
                if self.state(runner_id, now)
                not in (Availability.LEAVING, Availability.GONE)
            ),
            default=0.0,
        )

    def notices(self, now: float) -> list[Notice]:
        """Return what peers are told, newest first."""
        told = [
            Notice(
                runner_id,
                record.version.born_ms,
                record.state_at(now),
                max(0.0, now - record.since),
                max(0.0, record.back_off_until - now),
            )
            for runner_id, record in self._records.items()
            if record.state_at(now)
            in (
                Availability.BACKING_OFF,
                Availability.LEAVING,
                Availability.GONE,
            )
        ]
        told.sort(key=lambda notice: notice.age_s)
        return told[:MAX_NOTICES]

    def receive(self, notice: Notice, now: float) -> None:
        """Apply what a peer told."""
        if notice.availability is Availability.LEAVING:
            self.observe_leaving(
                notice.runner,
                notice.born_ms,
                Source.PEER,
                now,
                notice.age_s,
            )
        elif notice.availability is Availability.BACKING_OFF:
            self.observe_back_off(
                notice.runner,
                notice.born_ms,
                notice.remaining_s,
                Source.PEER,
                now,
            )

    def _apply(
        self,
        runner_id: ids.RunnerId,
        record: AvailabilityRecord,
        event: Event,
        source: Source,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        old = record.state_at(now)
        new = TRANSITIONS[old, event]
        overrode = f'{old.value} of {record.source.value}'
        if new is not old or new is not record.state:
            record.state, record.source = new, source
            record.since = now - age_s
        record.update_times()
        if new is not old:
            self._on_transition(
                Transition(runner_id, old, new, source, age_s, None, overrode)
            )
