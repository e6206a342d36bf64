"""Evidence for and against one cause of crashes."""

from collections.abc import Collection
import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing.blame import _causes as causes

__all__ = ['Crash', 'Evidence', 'Observation', 'Suspect']

Kind = causes.CauseKind

# Independent crashes after which a cause is quarantined: one that was never
# answered, and one that was. A part that many prompts share is often among
# those of bystanders.
MIN_CRASHES = 2
MIN_CRASHES_IF_PROVEN = {
    Kind.PROMPT_PART: 4,
    Kind.GENERATION: 3,
    Kind.PLAIN_CALL: 3,
}
# Crashes that follow each other faster than this count as one: a loss of power
# or of a network takes several runners at once.
SAME_CAUSE_S = 0.1
MAX_CRASHES_PER_CAUSE = 8
# Two whole requests at the same crashes account for each other's up to this
# number. A sound one is answered before, two deadly ones never are.
MAX_SHARED_CRASHES = 4


class Crash(NamedTuple):
    """The end of one run of a runner; ``born_ms`` is when the run started."""

    runner: ids.RunnerId
    born_ms: int


class Observation(NamedTuple):
    """When a crash was observed under a cause.

    ``repeated`` tells that the request was sent after another crash under the
    same cause was known. Such a crash is independent of that one.
    """

    at: float
    repeated: bool = False


class Evidence(NamedTuple):
    """What instances tell each other about a cause; times are clock times.

    ``answered_at`` is -inf if no answer is known.
    """

    cause: causes.Cause
    crashes: dict[Crash, Observation]
    answered_at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """Evidence about one cause; crashes before the last answer are dropped."""

    kind: causes.CauseKind
    answered_at: float
    crashes: dict[Crash, Observation] = dataclasses.field(default_factory=dict)
    # When a peer last reported crashes that an answer had voided.
    contradicted_at: float = -math.inf

    def observe_crash(self, crash: Crash, sent_at: float, at: float) -> bool:
        """Add a crash under a request sent at ``sent_at``.

        Returns whether it was unknown.
        """
        repeated = any(
            known.at <= sent_at
            for other, known in self.crashes.items()
            if other != crash
        )
        return self.add_crash(crash, Observation(at, repeated))

    def add_crash(self, crash: Crash, observation: Observation) -> bool:
        """Add a crash; return whether it was unknown.

        Instances may observe the same crash at different moments; the first
        one known here counts.
        """
        if observation.at <= self.answered_at:
            return False
        known = self.crashes.get(crash)
        if known is not None:
            if observation.repeated and not known.repeated:
                self.crashes[crash] = known._replace(repeated=True)
                return True
            return False
        self.crashes[crash] = observation
        while len(self.crashes) > MAX_CRASHES_PER_CAUSE:
            del self.crashes[min(self.crashes, key=self._observed_at)]
        return True

    def _observed_at(self, crash: Crash) -> float:
        return self.crashes[crash].at

    def record_answer(self, at: float) -> bool:
        """Record an answer; return whether it voids known crashes."""
        self.answered_at = max(self.answered_at, at)
        before = len(self.crashes)
        self.crashes = {
            crash: known
            for crash, known in self.crashes.items()
            if known.at > self.answered_at
        }
        return len(self.crashes) < before

    def independent_crashes(self, explained: Collection[Crash] = ()) -> int:
        """Return the independent crashes that are not explained.

        Those are explained that another cause was suspected of as well.
        """
        count = 0
        counted_at = -math.inf
        for known, crash in sorted(
            (known, crash) for crash, known in self.crashes.items()
        ):
            if crash in explained:
                continue
            if known.repeated or known.at - counted_at >= SAME_CAUSE_S:
                count += 1
                counted_at = known.at
        return count

    @property
    def min_crashes(self) -> int:
        """How many independent crashes quarantine the cause."""
        if self.answered_at > -math.inf:
            return MIN_CRASHES_IF_PROVEN[self.kind]
        return MIN_CRASHES

    @property
    def excess_crashes(self) -> int:
        """The crashes beyond the minimum; negative below it."""
        return self.independent_crashes() - self.min_crashes

    def is_explained_by(self, other: 'Suspect') -> bool:
        """Tell whether another cause may account for the crashes.

        Parts that crashing prompts share with sound ones have crashes of
        other causes as well, so that some that the other part lacks prove
        nothing. A whole request rarely waits at a runner that crashes for
        another reason: one crash that the other cause lacks tells them apart.
        """
        unexplained = self.independent_crashes(other.crashes)
        if self.kind is other.kind is Kind.PROMPT_PART:
            return unexplained < self.min_crashes
        if Kind.PROMPT_PART not in (self.kind, other.kind) and (
            self.crashes.keys() == other.crashes.keys()
        ):
            return self.independent_crashes() <= MAX_SHARED_CRASHES
        return unexplained < 1

    @property
    def last_at(self) -> float:
        """When the newest evidence was observed."""
        return max(
            [self.answered_at, *(known.at for known in self.crashes.values())]
        )
