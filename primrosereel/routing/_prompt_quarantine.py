"""Quarantine of prompt parts under which runners crash.

Pattern: quarantine of a poison message ("query of death") by a circuit
breaker for each prompt part. A request that crashes the runner that answers it
crashes the next one as well, wherever it is sent, while each runner looks
healthy until then. What such requests have in common is a part of their
prompts, so crashes are counted for parts and not for runners.

Suspects of a crash are the parts of the requests that the runner had not
answered yet. An answer clears the parts of its prompt. A part is quarantined
after some independent crashes without an answer in between; requests with it
are refused until the quarantine lapses, then one more crash renews it for
twice as long. All instances exchange the evidence and draw the same
conclusions.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math
import random as random_module
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Crash', 'PartEvidence', 'PromptQuarantine', 'PROVEN_EVENTS']

# A runner that sent this many events of an answer is not crashed by the
# prompt. The first event may still be sent by a runner that crashes.
PROVEN_EVENTS = 2

# Independent crashes after which a part is quarantined: of a part that was
# never answered, and of one that was. A part that many prompts share is often
# among those of bystanders.
MIN_CRASHES = 2
MIN_CRASHES_IF_PROVEN = 4
# Crashes that follow each other faster than this count as one: a loss of power
# or of a network takes several runners at once.
SAME_CAUSE_S = 0.1

# The duration of a quarantine; it doubles with each further crash.
QUARANTINE_S = 300.0
MAX_DOUBLINGS = 4
# An instance adds up to this share of the duration at random, so that not all
# instances try the part again at once.
DURATION_JITTER = 0.5

# How long evidence of an answer is reported to peers.
PROOF_REPORTED_S = 10.0

# Bounds of memory and of what is sent to peers.
MAX_SUSPECTS = 512
MAX_ANSWERED_PARTS = 4096
MAX_CRASHES_PER_PART = 8
MAX_REPORTED_PARTS = 8


class Crash(NamedTuple):
    """The end of one run of a runner; ``born_ms`` is when the run started."""

    runner: ids.RunnerId
    born_ms: int


class PartEvidence(NamedTuple):
    """What instances tell each other about a part; all times are clock times.

    ``answered_at`` is -inf if no answer to a prompt with the part is known.
    """

    part: ids.PromptPartId
    crashed_at: dict[Crash, float]
    answered_at: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Evidence about one part; crashes before the last answer are dropped."""

    answered_at: float
    crashed_at: dict[Crash, float] = dataclasses.field(default_factory=dict)
    # When a peer last reported crashes that an answer had voided.
    contradicted_at: float = -math.inf

    def add_crash(self, crash: Crash, at: float) -> bool:
        """Add a crash; return whether it was unknown."""
        if at <= self.answered_at or crash in self.crashed_at:
            return False
        self.crashed_at[crash] = at
        while len(self.crashed_at) > MAX_CRASHES_PER_PART:
            oldest = min(self.crashed_at, key=self.crashed_at.__getitem__)
            del self.crashed_at[oldest]
        return True

    def record_answer(self, at: float) -> bool:
        """Record an answer; return whether it voids known crashes."""
        self.answered_at = max(self.answered_at, at)
        before = len(self.crashed_at)
        self.crashed_at = {
            crash: crashed_at
            for crash, crashed_at in self.crashed_at.items()
            if crashed_at > self.answered_at
        }
        return len(self.crashed_at) < before

    def excess_crashes(self, explained: Collection[Crash] = ()) -> int:
        """Return the independent crashes beyond the minimum.

        The result is negative below the minimum. Crashes that are explained by
        another part do not count.
        """
        count = 0
        counted_at = -math.inf
        for at, crash in sorted(
            (at, crash) for crash, at in self.crashed_at.items()
        ):
            if crash not in explained and at - counted_at >= SAME_CAUSE_S:
                count += 1
                counted_at = at
        proven = self.answered_at > -math.inf
        return count - (MIN_CRASHES_IF_PROVEN if proven else MIN_CRASHES)

    def quarantine_s(self, shortest_s: float) -> float:
        """Return how long a quarantine lasts after the newest evidence."""
        doublings = min(max(0, self.excess_crashes()), MAX_DOUBLINGS)
        return shortest_s * 2**doublings

    @property
    def last_at(self) -> float:
        """When the newest evidence was observed."""
        return max([self.answered_at, *self.crashed_at.values()])


class PromptQuarantine:
    """Evidence about prompt parts, and the parts that are quarantined.

    Example::

        quarantine = PromptQuarantine(random)
        quarantine.observe_crash(facts.shared_parts, crash, now)
        part = quarantine.blocking_part(facts.shared_parts, now)
        if part is not None:
            retry_after_s = quarantine.remaining_s(part, now)
    """

    def __init__(self, random: random_module.Random) -> None:
        self._duration_s = QUARANTINE_S * (
            1 + DURATION_JITTER * random.random()
        )
        self._suspects: dict[ids.PromptPartId, _Suspect] = {}
        # When this instance last saw an answer to a prompt with each part;
        # the least recently answered part comes first.
        self._answered_at: dict[ids.PromptPartId, float] = {}

    def observe_crash(
        self, parts: Iterable[ids.PromptPartId], crash: Crash, now: float
    ) -> bool:
        """Record a crash under an unanswered request with these parts.

        Returns whether peers should know of it.
        """
        added = [self._suspect(part).add_crash(crash, now) for part in parts]
        self._drop_excess()
        return any(added)

    def observe_answer(
        self, parts: Iterable[ids.PromptPartId], now: float
    ) -> list[ids.PromptPartId]:
        """Record that a runner answered a prompt; return the cleared parts."""
        cleared = []
        for part in parts:
            self._answered_at.pop(part, None)
            self._answered_at[part] = now
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.record_answer(now):
                cleared.append(part)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            del self._answered_at[next(iter(self._answered_at))]
        return cleared

    def merge(self, evidence: Iterable[PartEvidence], now: float) -> None:
        """Add evidence that a peer sent.

        A peer that does not know of a later answer is told with the next
        report.
        """
        for part, crashed_at, answered_at in evidence:
            suspect = self._suspect(part)
            for crash, at in crashed_at.items():
                suspect.add_crash(crash, at)
                if at <= suspect.answered_at:
                    suspect.contradicted_at = now
            suspect.record_answer(answered_at)
        self._drop_excess()

    def evidence(self, now: float) -> list[PartEvidence]:
        """Return the evidence for peers, of the parts with most crashes."""
        self._expire(now)
        ranked = sorted(
            self._suspects.items(),
            key=lambda item: (-len(item[1].crashed_at), -item[1].last_at),
        )
        return [
            PartEvidence(part, dict(suspect.crashed_at), suspect.answered_at)
            for part, suspect in ranked[:MAX_REPORTED_PARTS]
        ]

    def crash_count(self, part: ids.PromptPartId) -> int:
        """Return the known crashes under a part since its last answer."""
        suspect = self._suspects.get(part)
        return len(suspect.crashed_at) if suspect is not None else 0

    def quarantined(self, now: float) -> set[ids.PromptPartId]:
        """Return the parts that are quarantined."""
        return {
            part for part in self._suspects if self.remaining_s(part, now) > 0
        }

    def remaining_s(self, part: ids.PromptPartId, now: float) -> float:
        """Return how long a part stays quarantined; 0.0 if it is not."""
        suspect = self._suspects.get(part)
        if suspect is None or suspect.excess_crashes() < 0:
            return 0.0
        until = suspect.last_at + suspect.quarantine_s(self._duration_s)
        return max(0.0, until - now)

    def blocking_part(
        self, parts: Collection[ids.PromptPartId], now: float
    ) -> ids.PromptPartId | None:
        """Return the part for which a request must be refused, if any.

        A part does not block a request that lacks another quarantined part to
        which enough of the crashes can be due. A part that sound and crashing
        requests share is then answered, and cleared.
        """
        if not self._suspects:
            return None
        suspected = [part for part in parts if self.remaining_s(part, now) > 0]
        if not suspected:
            return None
        others = self.quarantined(now).difference(parts)
        for part in suspected:
            suspect = self._suspects[part]
            if all(
                suspect.excess_crashes(self._suspects[other].crashed_at) >= 0
                for other in others
            ):
                return part
        return None

    def _suspect(self, part: ids.PromptPartId) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            answered_at = self._answered_at.get(part, -math.inf)
            suspect = self._suspects[part] = _Suspect(answered_at)
        return suspect

    def _expire(self, now: float) -> None:
        """Drop evidence that no longer matters.

        Crashes are remembered beyond the end of the quarantine, so that one
        more renews it.
        """
        for part, suspect in list(self._suspects.items()):
            kept_s = PROOF_REPORTED_S
            if suspect.crashed_at:
                kept_s = 2 * suspect.quarantine_s(self._duration_s)
            last_at = max(suspect.last_at, suspect.contradicted_at)
            if now - last_at > kept_s:
                del self._suspects[part]

    def _drop_excess(self) -> None:
        """Keep the parts with most crashes, then those seen last."""
        while len(self._suspects) > MAX_SUSPECTS:
            _, part = min(
                ((len(suspect.crashed_at), suspect.last_at), part)
                for part, suspect in self._suspects.items()
            )
            del self._suspects[part]
