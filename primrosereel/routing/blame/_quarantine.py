"""Quarantine of causes under which runners crash.

A request that crashes the runner that runs it crashes the next one as well,
wherever it is sent, while each runner looks healthy until then. What such
requests have in common is a part of their prompts, or the whole request that
comes again, so crashes are counted for these causes and not for runners.

Suspects of a crash are the causes of the requests that the runner had not
answered yet. An answer clears the causes of its request. A cause is
quarantined after some independent crashes without an answer in between;
requests with it are refused until the quarantine, a short one, lapses; then
one more crash renews it for long, and each further one for twice as long. All
instances exchange the evidence and draw the same conclusions.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
import random as random_module

from primrosereel.routing.blame import _causes as causes
from primrosereel.routing.blame import _evidence as evidence_module

__all__ = ['PROVEN_EVENTS', 'Quarantine']

# A runner that sent this many events of an answer is not crashed by the
# prompt. The first event may still be sent by a runner that crashes.
PROVEN_EVENTS = 2

# The duration of the first quarantine, which may be that of a bystander: few
# crashes do not tell who caused them, the trial after it does.
FIRST_QUARANTINE_S = 10.0
# The duration after one more crash; it doubles with each further one.
QUARANTINE_S = 300.0
MAX_DOUBLINGS = 4
# An instance adds up to this share of the duration at random, so that not all
# instances try the cause again at once.
DURATION_JITTER = 0.5

# How long evidence of an answer is reported to peers.
PROOF_REPORTED_S = 10.0

# Bounds of memory and of what is sent to peers.
MAX_SUSPECTS = 512
MAX_ANSWERED_PARTS = 4096
MAX_REPORTED_CAUSES = 12
# Places for the causes with the newest evidence, as peers know the others.
NEWEST_REPORTED_CAUSES = 6


class Quarantine:
    """Evidence about causes, and the causes that are quarantined.

    Example::

        quarantine = Quarantine(random)
        quarantine.observe_crash(request_causes, crash, sent_at, now)
        cause = quarantine.blocking_cause(request_causes, now)
        if cause is not None:
            retry_after_s = quarantine.remaining_s(cause, now)
    """

    def __init__(self, random: random_module.Random) -> None:
        self._duration_factor = 1 + DURATION_JITTER * random.random()
        self._suspects: dict[causes.Cause, evidence_module.Suspect] = {}
        # When this instance last saw an answer to a prompt with each part;
        # the least recently answered part comes first.
        self._answered_at: dict[causes.Cause, float] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any cause is suspected of a crash."""
        return bool(self._suspects)

    def observe_crash(
        self,
        suspected: Iterable[causes.Cause],
        crash: evidence_module.Crash,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record a crash under an unanswered request with these causes.

        The request was sent to the runner at ``sent_at``. Returns whether
        peers should know of the crash.
        """
        added = [
            self._suspect(cause).observe_crash(crash, sent_at, now)
            for cause in suspected
        ]
        self._drop_excess()
        return any(added)

    def observe_answer(
        self, answered: Iterable[causes.Cause], now: float
    ) -> list[causes.Cause]:
        """Record that a runner answered a request; return cleared causes.

        Answers to whole requests are remembered of suspects only.
        """
        cleared = []
        for cause in answered:
            if cause.kind is causes.CauseKind.PROMPT_PART:
                self._answered_at.pop(cause, None)
                self._answered_at[cause] = now
            suspect = self._suspects.get(cause)
            if suspect is not None and suspect.record_answer(now):
                cleared.append(cause)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            del self._answered_at[next(iter(self._answered_at))]
        return cleared

    def merge(
        self, reported: Iterable[evidence_module.Evidence], now: float
    ) -> None:
        """Add evidence that a peer sent.

        A peer that does not know of a later answer is told with the next
        report.
        """
        for cause, crashes, answered_at in reported:
            suspect = self._suspect(cause)
            for crash, observation in crashes.items():
                suspect.add_crash(crash, observation)
                if observation.at <= suspect.answered_at:
                    suspect.contradicted_at = now
            suspect.record_answer(answered_at)
        self._drop_excess()

    def evidence(self, now: float) -> list[evidence_module.Evidence]:
        """Return the evidence for peers, as much as fits in a datagram.

        It is of the causes with most crashes and of those seen last.
        """
        self._expire(now)
        suspects = self._suspects
        newest = sorted(suspects, key=lambda c: -suspects[c].last_at)
        most_crashes = sorted(
            suspects,
            key=lambda c: (-len(suspects[c].crashes), -suspects[c].last_at),
        )
        reported = set(newest[:NEWEST_REPORTED_CAUSES])
        for cause in most_crashes:
            if len(reported) >= MAX_REPORTED_CAUSES:
                break
            reported.add(cause)
        return [
            evidence_module.Evidence(
                cause,
                dict(suspects[cause].crashes),
                suspects[cause].answered_at,
            )
            for cause in most_crashes
            if cause in reported
        ]

    def crash_count(self, cause: causes.Cause) -> int:
        """Return the known crashes under a cause since its last answer."""
        suspect = self._suspects.get(cause)
        return len(suspect.crashes) if suspect is not None else 0

    def quarantined(self, now: float) -> set[causes.Cause]:
        """Return the causes that are quarantined."""
        return {
            cause
            for cause in self._suspects
            if self.remaining_s(cause, now) > 0
        }

    def remaining_s(self, cause: causes.Cause, now: float) -> float:
        """Return how long a cause stays quarantined; 0.0 if it is not."""
        suspect = self._suspects.get(cause)
        if suspect is None or suspect.excess_crashes < 0:
            return 0.0
        until = suspect.last_at + self._quarantine_s(suspect)
        return max(0.0, until - now)

    def _quarantine_s(self, suspect: evidence_module.Suspect) -> float:
        """Return how long a quarantine lasts after the newest evidence."""
        if suspect.excess_crashes <= 0:
            return self._duration_factor * FIRST_QUARANTINE_S
        doublings = min(suspect.excess_crashes, MAX_DOUBLINGS)
        return self._duration_factor * QUARANTINE_S * 2**doublings

    def blocking_cause(
        self, request_causes: Collection[causes.Cause], now: float
    ) -> causes.Cause | None:
        """Return the cause for which a request must be refused, if any.

        A cause does not block a request that lacks another cause to which the
        crashes can be due. A cause that sound and crashing requests share is
        then answered, and cleared, and so is a request that was in flight
        beside the one that crashed the runners.
        """
        suspected = [
            cause
            for cause in request_causes
            if cause in self._suspects and self.remaining_s(cause, now) > 0
        ]
        if not suspected:
            return None
        others = self._possible_causes(now).difference(request_causes)
        for cause in suspected:
            suspect = self._suspects[cause]
            if not any(
                suspect.is_explained_by(self._suspects[other])
                for other in others
            ):
                return cause
        return None

    def _possible_causes(self, now: float) -> set[causes.Cause]:
        """Return the causes that may account for crashes under others.

        Parts have to be quarantined, as many prompts share them. A whole
        request need not be: the instance that saw its crashes may not have
        known yet that they are independent.
        """
        whole = {
            cause
            for cause, suspect in self._suspects.items()
            if cause.kind is not causes.CauseKind.PROMPT_PART
            and suspect.crashes
        }
        return whole | self.quarantined(now)

    def _suspect(self, cause: causes.Cause) -> evidence_module.Suspect:
        suspect = self._suspects.get(cause)
        if suspect is None:
            answered_at = self._answered_at.get(cause, -math.inf)
            suspect = self._suspects[cause] = evidence_module.Suspect(
                cause.kind, answered_at
            )
        return suspect

    def _expire(self, now: float) -> None:
        """Drop evidence that no longer matters.

        Crashes are remembered beyond the end of the quarantine, so that one
        more renews it.
        """
        for cause, suspect in list(self._suspects.items()):
            kept_s = PROOF_REPORTED_S
            if suspect.crashes:
                quarantine_s = self._quarantine_s(suspect)
                kept_s = 2 * max(QUARANTINE_S, quarantine_s)
            last_at = max(suspect.last_at, suspect.contradicted_at)
            if now - last_at > kept_s:
                del self._suspects[cause]

    def _drop_excess(self) -> None:
        """Keep the causes with most crashes, then those seen last."""
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=self._rank)]

    def _rank(self, cause: causes.Cause) -> tuple[int, float, str, str]:
        suspect = self._suspects[cause]
        return (
            len(suspect.crashes),
            suspect.last_at,
            cause.kind.value,
            cause.key,
        )
