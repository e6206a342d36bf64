"""The availability of runners: what each of six sources says, in one model.

Each statement about a runner names the run that it is about, and is an event
of the table of transitions. A statement about an older run, or an entry that
is older than what is known, changes nothing.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing._availability_states import Availability
from primrosereel.routing._availability_states import Event
from primrosereel.routing._availability_states import Notice
from primrosereel.routing._availability_states import RunVersion
from primrosereel.routing._availability_states import Source
from primrosereel.routing._availability_states import Transition
from primrosereel.routing._availability_states import TRANSITIONS

__all__ = [
    'Availability',
    'AvailabilityBounds',
    'AvailabilityRecord',
    'AvailabilityTable',
    'Notice',
    'RunVersion',
    'Source',
    'Transition',
]

# Runners register again within about two seconds after an outage of the store.
REREGISTRATION_S = 2.0
# A runner that wants no requests for longer is asked again after this time.
MAX_BACK_OFF_S = 30.0
# How long it is remembered, and told to peers, that a runner left. A store
# that was restored from a copy lists it again.
TOMBSTONE_S = 120.0
MAX_TOMBSTONES = 1024
# How long peers are told that a runner is back.
RETURN_TOLD_S = 10.0
# Peers are told of at most this many runners at a time, newest first.
MAX_NOTICES = 64

# States in which a runner gets no new request.
_BARRED = frozenset((Availability.LEAVING, Availability.GONE))
# States of which peers are told.
_TOLD = _BARRED | {Availability.BACKING_OFF}


class AvailabilityBounds(NamedTuple):
    """Times in seconds that bound what is believed, and the memory of it."""

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
    # The entry is removed; it may come back until ``missing_until``.
    is_unlisted: bool = False
    missing_until: float = math.inf
    entry_seen_at: float = -math.inf
    returned_at: float = -math.inf
    # The run said that it leaves. That outlasts a return of its entry.
    said_leaving: bool = False

    def accepts(self, now: float) -> bool:
        """Tell whether the runner may get a new request."""
        return self.accepts_from <= now < self.accepts_until

    @property
    def is_removed(self) -> bool:
        """Whether the runner is gone and its entry too."""
        return self.is_unlisted and self.state is Availability.GONE

    def preference(self, now: float) -> int:
        """Return how willingly the runner is used, 0 first.

        A runner that refused a peer's request comes second, and one whose
        entry is missing last.
        """
        if self.state is Availability.MISSING:
            return 2
        return 1 if now < self.hinted_until else 0

    def state_at(self, now: float) -> Availability:
        """Return the state, with what time alone has ended."""
        event = self.due_event(now)
        return TRANSITIONS[self.state, event] if event else self.state

    def due_event(self, now: float) -> Event | None:
        """Return the event that time alone has brought about."""
        if now >= self.missing_until:
            return Event.REREGISTRATION_OVER
        if (
            self.state is Availability.BACKING_OFF
            and now >= self.back_off_until
        ):
            return Event.BACK_OFF_OVER
        return None

    def update_times(self) -> None:
        """Derive the times between which the runner accepts requests."""
        self.accepts_from = self.back_off_until
        if self.state in _BARRED:
            self.accepts_from = math.inf
        self.accepts_until = self.missing_until

    def start_run(self, born_ms: int) -> None:
        """Forget what was said of older runs."""
        self.version = RunVersion(born_ms)
        self.back_off_until = self.hinted_until = -math.inf
        self.said_leaving = False

    def describe(self, now: float) -> str:
        """Return the state, its source and age, for the log."""
        age = f' for {now - self.since:.3f} s' if self.since > -1e9 else ''
        return f'{self.state.value} by {self.source.value}{age}'


def _ignore(transition: Transition) -> None:
    """Do nothing with a transition."""


class AvailabilityTable:
    """The availability of all runners that were heard of.

    ``on_transition`` gets each change of a runner's state. Changes by time
    alone are found by ``expire``; questions with a later ``now`` take them
    into account before.
    """

    def __init__(
        self,
        bounds: AvailabilityBounds = DEFAULT_BOUNDS,
        on_transition: Callable[[Transition], None] = _ignore,
    ) -> None:
        self._bounds = bounds
        self._on_transition = on_transition
        self._records: dict[ids.RunnerId, AvailabilityRecord] = {}
        # The records of which peers are told.
        self._told: dict[ids.RunnerId, AvailabilityRecord] = {}
        self._deferred_until = -math.inf

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bounds(self) -> AvailabilityBounds:
        """The bounds of what is believed."""
        return self._bounds

    @property
    def deferred_until(self) -> float:
        """Until when some runner is used less willingly than others."""
        return self._deferred_until

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

        That is an entry that is older than what is known, or one that says
        nothing newer of a runner whose entry was removed.
        """
        record = self.record(runner_id)
        if _is_older(version, record.version):
            return False
        event = _entry_event(record, version, leaving)
        if event is Event.LISTED_AGAIN:
            return record.state_at(now) not in (
                Availability.MISSING,
                Availability.GONE,
            )
        self._advance(runner_id, record, now)
        was_gone = record.state is Availability.GONE
        if version.born_ms > record.version.born_ms:
            record.start_run(version.born_ms)
        record.version = max(version, record.version)
        record.entry_seen_at = now
        record.is_unlisted = False
        record.missing_until = math.inf
        record.said_leaving = record.said_leaving or leaving
        if was_gone and not record.said_leaving:
            self._tell_return(runner_id, record, now)
        self._apply(runner_id, record, event, Source.ENTRY, now)
        return True

    def observe_removal(
        self,
        runner_id: ids.RunnerId,
        now: float,
        missing_until: float = -math.inf,
        source: Source = Source.REMOVAL,
    ) -> None:
        """Apply the removal of an entry, or its absence from a list.

        The runner may register again until ``missing_until``.
        """
        record = self.record(runner_id)
        self._advance(runner_id, record, now)
        record.is_unlisted = True
        if now < missing_until and record.state is not Availability.GONE:
            record.missing_until = missing_until
            self._apply(runner_id, record, Event.LAPSED, source, now)
        else:
            self._apply(runner_id, record, Event.REMOVED, source, now)

    def observe_leaving(
        self,
        runner_id: ids.RunnerId,
        born_ms: int,
        source: Source,
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Apply what an answer or a peer says: the run leaves.

        ``born_ms`` 0 stands for the known run.
        """
        record = self.record(runner_id)
        event = Event.SAID_LEAVING
        if born_ms > record.version.born_ms:
            record.start_run(born_ms)
            event = Event.NEW_RUN_LEAVING
        elif 0 < born_ms < record.version.born_ms:
            return
        self._advance(runner_id, record, now)
        record.said_leaving = True
        self._apply(runner_id, record, event, source, now, age_s)

    def observe_back_off(
        self,
        runner_id: ids.RunnerId,
        born_ms: int,
        for_s: float,
        source: Source,
        now: float,
    ) -> float:
        """Apply a refusal; return for how many seconds it is honoured.

        A refusal to a peer is a hint to prefer other runners. One that is not
        of the known run, or for no valid time, is ignored.
        """
        record = self._records.get(runner_id)
        if record is None or born_ms not in (0, record.version.born_ms):
            return 0.0
        if not for_s > 0:
            return 0.0
        for_s = min(for_s, self._bounds.max_back_off_s)
        until = now + for_s
        if source is Source.PEER:
            record.hinted_until = max(record.hinted_until, until)
            self._defer(record.hinted_until)
            return for_s
        self._advance(runner_id, record, now)
        record.back_off_until = max(record.back_off_until, until)
        self._apply(runner_id, record, Event.REFUSED, source, now)
        return for_s

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

        It is 0.0 if one of them does now, or if all of them leave.
        """
        return min(
            (
                self.back_off_remaining_s(runner_id, now)
                for runner_id in runner_ids
                if self.state(runner_id, now) not in _BARRED
            ),
            default=0.0,
        )

    def notices(self, now: float) -> list[Notice]:
        """Return what peers are told, newest first."""
        notices = [
            Notice(
                runner_id,
                record.version.born_ms,
                record.state,
                max(0.0, now - record.since),
                max(0.0, record.back_off_until - now),
            )
            for runner_id, record in self._told.items()
            if self._is_told(record, now)
        ]
        notices.sort(key=lambda notice: notice.age_s)
        return notices[:MAX_NOTICES]

    def _is_told(self, record: AvailabilityRecord, now: float) -> bool:
        if record.state is Availability.BACKING_OFF:
            return now < record.back_off_until
        if record.state in _BARRED:
            return now - record.since < self._bounds.tombstone_s
        return now - record.returned_at < RETURN_TOLD_S

    def receive(self, notice: Notice, now: float) -> None:
        """Apply what a peer told."""
        runner_id, born_ms, availability, age_s, remaining_s = notice
        if availability is Availability.LEAVING:
            self.observe_leaving(runner_id, born_ms, Source.PEER, now, age_s)
        elif availability is Availability.BACKING_OFF:
            self.observe_back_off(
                runner_id, born_ms, remaining_s, Source.PEER, now
            )
        elif availability is Availability.GONE:
            self._gone_at_peer(runner_id, born_ms, now, age_s)
        elif availability is Availability.READY:
            self._back_at_peer(runner_id, born_ms, now, age_s)

    def _gone_at_peer(
        self, runner_id: ids.RunnerId, born_ms: int, now: float, age_s: float
    ) -> None:
        """Apply that a peer knows a runner to be gone.

        An entry that was read here since then says that it lives.
        """
        record = self._records.get(runner_id)
        if record is None or born_ms != record.version.born_ms:
            return
        if now - age_s <= record.entry_seen_at:
            return
        self._advance(runner_id, record, now)
        self._apply(runner_id, record, Event.REMOVED, Source.PEER, now, age_s)

    def _back_at_peer(
        self, runner_id: ids.RunnerId, born_ms: int, now: float, age_s: float
    ) -> None:
        """Apply that a runner is back which only a peer said to be gone."""
        record = self._records.get(runner_id)
        if (
            record is not None
            and record.state is Availability.GONE
            and not record.is_unlisted
            and born_ms == record.version.born_ms
            and not record.said_leaving
            and now - age_s > record.since
        ):
            record.entry_seen_at = now - age_s
            self._tell_return(runner_id, record, now - age_s)
            self._apply(
                runner_id, record, Event.BACK_AT_PEER, Source.PEER, now, age_s
            )

    def _tell_return(
        self, runner_id: ids.RunnerId, record: AvailabilityRecord, when: float
    ) -> None:
        record.returned_at = when
        self._told[runner_id] = record

    def set_missing_until(self, missing_until: float, now: float) -> None:
        """Set until when missing entries may come back.

        Call ``expire`` before, so that entries whose time is over stay gone.
        """
        for record in self._records.values():
            if record.is_unlisted and record.state is not Availability.GONE:
                record.missing_until = missing_until
                record.update_times()
                self._defer(missing_until)

    def expire(self, now: float) -> None:
        """Apply what time has brought about.

        What is known of runners that left long ago is forgotten.
        """
        self._deferred_until = -math.inf
        for runner_id, record in list(self._records.items()):
            self._advance(runner_id, record, now)
            if record.state is Availability.MISSING:
                self._defer(record.missing_until)
            if now < record.hinted_until:
                self._defer(record.hinted_until)
        self._forget_tombstones(now)

    def _forget_tombstones(self, now: float) -> None:
        for runner_id, record in list(self._told.items()):
            if not self._is_told(record, now):
                del self._told[runner_id]
                if _is_tombstone(record):
                    del self._records[runner_id]
        tombstones = [
            (record.since, runner_id)
            for runner_id, record in self._told.items()
            if _is_tombstone(record)
        ]
        excess = len(tombstones) - self._bounds.max_tombstones
        if excess > 0:
            for _, runner_id in sorted(tombstones)[:excess]:
                del self._told[runner_id]
                del self._records[runner_id]

    def _defer(self, until: float) -> None:
        self._deferred_until = max(self._deferred_until, until)

    def _advance(
        self, runner_id: ids.RunnerId, record: AvailabilityRecord, now: float
    ) -> None:
        """Apply what time alone has brought about."""
        event = record.due_event(now)
        if event is None:
            return
        over_since = record.missing_until
        if event is Event.BACK_OFF_OVER:
            over_since = record.back_off_until
        record.missing_until = math.inf
        self._apply(
            runner_id, record, event, record.source, now, now - over_since
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
        """Take the transition of an event, and report a change."""
        old = record.state
        new = TRANSITIONS[old, event]
        if new is Availability.READY and now < record.back_off_until:
            # The time that a refusal named outlasts the missing entry.
            new = TRANSITIONS[new, Event.REFUSED]
        if new is Availability.GONE:
            record.missing_until = math.inf
        overrode = record.describe(now)
        if new is not old:
            record.state, record.source = new, source
            record.since = now - age_s
        record.update_times()
        if new is Availability.MISSING:
            self._defer(record.missing_until)
        if new in _TOLD:
            self._told[runner_id] = record
        if new is not old:
            until = {
                Availability.BACKING_OFF: record.back_off_until,
                Availability.MISSING: record.missing_until,
            }.get(new)
            self._on_transition(
                Transition(runner_id, old, new, source, age_s, until, overrode)
            )


def _is_older(version: RunVersion, known: RunVersion) -> bool:
    """Tell whether an entry is older than the known one.

    An entry without a sequence is not older than others of its run.
    """
    if version.born_ms != known.born_ms:
        return version.born_ms < known.born_ms
    return 0 < version.sequence < known.sequence


def _entry_event(
    record: AvailabilityRecord, version: RunVersion, leaving: bool
) -> Event:
    """Return the event of an entry that is not older than the known one."""
    if version.born_ms > record.version.born_ms:
        return Event.NEW_RUN_LEAVING if leaving else Event.NEW_RUN
    if version == record.version and version.sequence:
        says_more = leaving and record.state is not Availability.GONE
        return Event.LISTED_LEAVING if says_more else Event.LISTED_AGAIN
    if leaving or record.said_leaving:
        return Event.LISTED_LEAVING
    return Event.LISTED


def _is_tombstone(record: AvailabilityRecord) -> bool:
    """Tell whether only the memory of a runner is left."""
    unlisted = record.entry_seen_at == -math.inf
    return record.state is Availability.GONE or (
        record.state is Availability.LEAVING and unlisted
    )
