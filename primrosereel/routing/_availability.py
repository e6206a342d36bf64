"""The availability of runners: what each of six sources says, in one model.

Each statement about a runner names the run that it is about, and is an event
of the table of transitions. A statement about an older run, or an entry that
is older than what is known, changes nothing.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing._availability_notices import RunnerNotices
from primrosereel.routing._availability_notices import TOLD
from primrosereel.routing._availability_record import AvailabilityRecord
from primrosereel.routing._availability_record import entry_event
from primrosereel.routing._availability_record import is_older
from primrosereel.routing._availability_states import Availability
from primrosereel.routing._availability_states import BARRED
from primrosereel.routing._availability_states import Event
from primrosereel.routing._availability_states import NEW_RUNS
from primrosereel.routing._availability_states import Notice
from primrosereel.routing._availability_states import RunVersion
from primrosereel.routing._availability_states import Source
from primrosereel.routing._availability_states import Transition
from primrosereel.routing._availability_states import TRANSITIONS

__all__ = [
    'BARRED',
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
MAX_BACK_OFF_S = 120.0
# How long it is remembered, and told to peers, that a runner left. A store
# that was restored from a copy lists it again.
TOMBSTONE_S = 120.0
MAX_TOMBSTONES = 1024


class AvailabilityBounds(NamedTuple):
    """Times in seconds that bound what is believed, and the memory of it."""

    reregistration_s: float = REREGISTRATION_S
    max_back_off_s: float = MAX_BACK_OFF_S
    tombstone_s: float = TOMBSTONE_S
    max_tombstones: int = MAX_TOMBSTONES


DEFAULT_BOUNDS = AvailabilityBounds()


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
        self._told = RunnerNotices(bounds.tombstone_s, bounds.max_tombstones)
        # The records whose entry is removed and may come back.
        self._missing: dict[ids.RunnerId, AvailabilityRecord] = {}
        self._has_spare = False

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bounds(self) -> AvailabilityBounds:
        """The bounds of what is believed."""
        return self._bounds

    @property
    def has_spare(self) -> bool:
        """Whether some runner may be missing or hinted at.

        It stays set until ``expire`` finds none.
        """
        return self._has_spare

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
        history: int | None = None,
    ) -> bool:
        """Apply an entry; return False if it is to be ignored.

        That is an entry that is older than what is known, or one that says
        nothing newer of a runner whose entry was removed. Within one
        ``history`` of the store its own order holds; else the run and the
        sequence tell which entry is older.
        """
        record = self.record(runner_id)
        follows = record.is_followed(history)
        if is_older(version, record.version, follows):
            return False
        event = entry_event(record, version, leaving, follows)
        if event is Event.LISTED_AGAIN:
            record.said_leaving = record.said_leaving or leaving
            return record.state_at(now) not in (
                Availability.MISSING,
                Availability.GONE,
            )
        self._advance(runner_id, record, now)
        was_gone = record.state is Availability.GONE
        if event in NEW_RUNS:
            record.start_run(version.born_ms)
        # The store's order tells that an entry follows, even one with a lower
        # sequence, as after an entry of another writer.
        is_same_run = version.born_ms == record.version.born_ms
        if version > record.version or (follows and is_same_run):
            record.version = version
        record.history = history
        record.entry_seen_at = now
        record.is_unlisted = False
        record.missing_until = math.inf
        self._missing.pop(runner_id, None)
        record.said_leaving = record.said_leaving or leaving
        if was_gone and not record.said_leaving:
            self._tell_return(runner_id, record, now)
        self._apply(runner_id, record, event, Source.ENTRY, now)
        return True

    def ignores_entry(
        self,
        runner_id: ids.RunnerId,
        version: RunVersion,
        now: float,
        history: int | None = None,
    ) -> bool:
        """Tell whether an entry would be ignored."""
        record = self._records.get(runner_id)
        if record is None or record.is_followed(history):
            return False
        if record.state_at(now) in (Availability.MISSING, Availability.GONE):
            is_same = bool(version.sequence) and version == record.version
            return is_same or is_older(version, record.version)
        return is_older(version, record.version)

    def observe_removal(
        self,
        runner_id: ids.RunnerId,
        now: float,
        missing_until: float = -math.inf,
        source: Source = Source.REMOVAL,
        history: int | None = None,
    ) -> None:
        """Apply the removal of an entry, or its absence from a list.

        The runner may register again until ``missing_until``. An entry that
        is read later in the same ``history`` was written since.
        """
        record = self.record(runner_id)
        self._advance(runner_id, record, now)
        record.is_unlisted = True
        if history is not None:
            record.history = history
        if now < missing_until and record.state is not Availability.GONE:
            record.missing_until = missing_until
            self._missing[runner_id] = record
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
        if source is Source.PEER and 0 < born_ms == record.replaced_born_ms:
            # The peer has not yet read the entry that replaced that run's.
            return
        event = Event.SAID_LEAVING
        if born_ms > record.version.born_ms:
            record.start_run(born_ms)
            event = Event.NEW_RUN_LEAVING
        elif 0 < born_ms < record.version.born_ms:
            return
        self._advance(runner_id, record, now)
        record.said_leaving = True
        self._apply(runner_id, record, event, source, now, age_s)

    def observe_run_end(self, runner_id: ids.RunnerId, born_ms: int) -> None:
        """Record that a run ended, as its port refuses connections."""
        record = self._records.get(runner_id)
        if record is not None and born_ms == record.version.born_ms:
            record.run_ended = True

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
            self._has_spare = True
            return for_s
        self._advance(runner_id, record, now)
        record.back_off_until = max(record.back_off_until, until)
        if record.run_ended:
            record.next_back_off_until = until
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
                if self.state(runner_id, now) not in BARRED
            ),
            default=0.0,
        )

    def notices(self, now: float) -> list[Notice]:
        """Return what peers are told, newest first."""
        return self._told.notices(now)

    def receive(self, notice: Notice, now: float) -> None:
        """Apply what a peer told."""
        runner_id, born_ms, availability, _, remaining_s = notice
        age_s = max(0.0, notice.age_s)
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

        An entry that was read here since then says that it lives, and peers
        are told so.
        """
        record = self._records.get(runner_id)
        if record is None or born_ms != record.version.born_ms:
            return
        if now - age_s <= record.entry_seen_at:
            if record.state is Availability.READY:
                self._tell_return(runner_id, record, record.entry_seen_at)
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
        self._told.add(runner_id, record)

    def set_missing_until(self, missing_until: float, now: float) -> None:
        """Set until when missing entries may come back.

        A runner whose time is over stays gone.
        """
        for runner_id, record in list(self._missing.items()):
            self._advance(runner_id, record, now)
            if runner_id in self._missing:
                record.missing_until = missing_until
                record.update_times()
                self._advance(runner_id, record, now)

    def expire(self, now: float) -> None:
        """Apply what time has brought about.

        What is known of runners that left long ago is forgotten.
        """
        has_hints = False
        for runner_id, record in list(self._records.items()):
            self._advance(runner_id, record, now)
            has_hints = has_hints or now < record.hinted_until
        self._has_spare = has_hints or bool(self._missing)
        for runner_id in self._told.expire(now):
            self._records.pop(runner_id, None)

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
        age_s = now - max(over_since, record.since)
        self._apply(runner_id, record, event, record.source, now, age_s)

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
            self._missing.pop(runner_id, None)
        overrode = record.describe(now)
        if new is not old:
            record.state, record.source = new, source
            record.since = now - age_s
        record.update_times()
        if new is Availability.MISSING:
            self._has_spare = True
        if new in TOLD:
            self._told.add(runner_id, record)
        if new is not old:
            until = {
                Availability.BACKING_OFF: record.back_off_until,
                Availability.MISSING: record.missing_until,
            }.get(new)
            self._on_transition(
                Transition(runner_id, old, new, source, age_s, until, overrode)
            )
