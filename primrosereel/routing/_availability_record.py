"""What is known of one runner's availability."""

import dataclasses
import math

from primrosereel.routing._availability_states import Availability
from primrosereel.routing._availability_states import BARRED
from primrosereel.routing._availability_states import Event
from primrosereel.routing._availability_states import RunVersion
from primrosereel.routing._availability_states import Source
from primrosereel.routing._availability_states import TRANSITIONS

__all__ = ['AvailabilityRecord', 'entry_event', 'is_older']


@dataclasses.dataclass(eq=False, slots=True)
class AvailabilityRecord:
    """What is known of the newest known run of a runner.

    The runner takes new requests from ``accepts_from`` until
    ``accepts_until``.
    """

    version: RunVersion = RunVersion(0)
    # Start of a run whose entry was followed by one of an older run, as the
    # entry of another writer is; 0 if there is none.
    replaced_born_ms: int = 0
    # The history of the store in which the newest entry, or its removal, was
    # read; None if it is not known or others told of a newer run.
    history: int | None = None
    state: Availability = Availability.READY
    source: Source = Source.ENTRY
    since: float = -math.inf
    accepts_from: float = -math.inf
    accepts_until: float = math.inf
    back_off_until: float = -math.inf
    # The known run has ended. What the runner refuses since then, it refuses
    # as a run whose entry was not read yet.
    run_ended: bool = False
    next_back_off_until: float = -math.inf
    # A peer was refused; other runners are preferred until then.
    hinted_until: float = -math.inf
    # The entry is removed; it may come back until ``missing_until``.
    is_unlisted: bool = False
    missing_until: float = math.inf
    entry_seen_at: float = -math.inf
    returned_at: float = -math.inf
    # The run said that it leaves. That outlasts a return of its entry.
    said_leaving: bool = False

    def is_followed(self, history: int | None) -> bool:
        """Tell whether an entry of a history was written after the known."""
        return history is not None and history == self.history

    def accepts(self, now: float) -> bool:
        """Tell whether the runner may get a new request."""
        return self.accepts_from <= now < self.accepts_until

    @property
    def is_missing(self) -> bool:
        """Whether the entry is missing and the runner may have left."""
        return self.state is Availability.MISSING

    @property
    def is_removed(self) -> bool:
        """Whether the runner is gone and its entry too."""
        return self.is_unlisted and self.state is Availability.GONE

    def preference(self, now: float) -> int:
        """Return how willingly the runner is used, 0 first.

        A runner that refused a peer's request comes second, and one whose
        entry is missing last.
        """
        if self.is_missing:
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
        if self.state in BARRED:
            self.accepts_from = math.inf
        self.accepts_until = self.missing_until

    def start_run(self, born_ms: int) -> None:
        """Forget what was said of other runs."""
        if born_ms < self.version.born_ms:
            self.replaced_born_ms = self.version.born_ms
        elif born_ms >= self.replaced_born_ms:
            self.replaced_born_ms = 0
        self.version = RunVersion(born_ms)
        self.history = None
        self.back_off_until = self.next_back_off_until
        self.hinted_until = self.next_back_off_until = -math.inf
        self.run_ended = False
        self.said_leaving = False

    def describe(self, now: float) -> str:
        """Return the state, its source and age, for the log."""
        age = f' for {now - self.since:.3f} s' if self.since > -1e9 else ''
        return f'{self.state.value} by {self.source.value}{age}'


def is_older(
    version: RunVersion, known: RunVersion, follows: bool = False
) -> bool:
    """Tell whether an entry is older than the known one.

    ``follows`` is set if the store's own order tells that it was written
    later. An entry without a start of the run, or without a sequence, is not
    older than others.
    """
    if follows or not version.born_ms or not known.born_ms:
        return False
    if version.born_ms != known.born_ms:
        return version.born_ms < known.born_ms
    return 0 < version.sequence < known.sequence


def entry_event(
    record: AvailabilityRecord,
    version: RunVersion,
    leaving: bool,
    follows: bool,
) -> Event:
    """Return the event of an entry that is not older than the known one."""
    if version.born_ms and version.born_ms != record.version.born_ms:
        return Event.NEW_RUN_LEAVING if leaving else Event.NEW_RUN
    if version == record.version and version.sequence and not follows:
        says_more = leaving and record.state is not Availability.GONE
        return Event.LISTED_LEAVING if says_more else Event.LISTED_AGAIN
    if leaving or record.said_leaving:
        return Event.LISTED_LEAVING
    return Event.LISTED
