"""At-most-once execution: the entry instance's side of a claim."""

import enum
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from primrosereel.core import _witness_sets as witness_sets

__all__ = ['ClaimedCall', 'ClaimRound', 'Decision', 'Redelivery', 'Verdict']

Answer = states.ClaimAnswer
Reason = states.RefusalReason

FIRST_REPEAT_S = 0.2
LAST_REPEAT_S = 1.0
# Lists reach all daemons of a region within a poll (2 s) and a heartbeat
# (1 s), and a restarted witness takes part 5 s after it is listed.
CONVERGE_S = 6.0
CONVERGE_REPEAT_S = 0.2
# How long a refusal waits for an outcome that another witness may know.
OUTCOME_WAIT_S = 0.25
REDELIVERY_S = 1.0
MAX_REDELIVERIES = 10
MAX_PENDING_DELIVERIES = 1000

# Answers after which the same witness may answer otherwise soon.
PASSING = (Answer.STALE, Answer.VIEW_MISMATCH)
REASONS = {
    Answer.TOO_OLD: Reason.KEY_TOO_OLD,
    Answer.IN_FUTURE: Reason.KEY_IN_FUTURE,
    Answer.FULL: Reason.CLAIMS_FULL,
    Answer.STALE: Reason.MEMBERSHIP_STALE,
    Answer.VIEW_MISMATCH: Reason.WITNESS_DISAGREES,
}


class ClaimedCall(NamedTuple):
    """Which call claims which key, and where its witnesses are."""

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    fingerprint: int
    request_id: ids.RequestId
    region: ids.Region


class Decision(enum.Enum):
    """What a finished round means for its call."""

    HELD = 'held'
    REPLAY = 'replay'
    REFUSED = 'refused'


class Verdict(NamedTuple):
    """The end of a round.

    ``reply`` carries the outcome to replay. A refused round says nothing
    about other requests with the same key, so the caller is told that the
    execution is unknown: one witness's consent is no proof when another did
    not answer, because an attempt may have run under a newer list.
    """

    decision: Decision
    reason: states.RefusalReason = Reason.INTERNAL
    detail: str = ''
    reply: messages.ClaimReply | None = None


class ClaimRound:
    """Asks a key's witnesses until they decide, for one call.

    The round is repeated with other witnesses when the instance list
    changes. ``withdraw`` may be called only while the call was not sent; the
    round itself withdraws when it ends in anything but HELD.
    """

    def __init__(
        self, world: tables.World, call: ClaimedCall, deadline: float
    ) -> None:
        self._world = world
        self._call = call
        self._deadline = deadline
        self._round = 0
        self._witnesses: tuple[witness_sets.Witness, ...] = ()
        self._replies: dict[witness_sets.Witness, messages.ClaimReply] = {}
        self._repeats: dict[witness_sets.Witness, tuple[float, float]] = {}
        self._stamp: tuple[int, float] | None = None
        self._converge_until = math.inf
        self._refused_at = math.inf
        self._verdict: Verdict | None = None

    @property
    def next_at(self) -> float:
        """When ``advance`` has something to do, at the latest."""
        times = [at for at, _ in self._repeats.values()]
        times.append(self._deadline)
        times.append(self._converge_until)
        times.append(self._refused_at + OUTCOME_WAIT_S)
        return min(times)

    def advance(self, now: float) -> Verdict | None:
        """Ask, ask again or decide; return the verdict once there is one."""
        if self._verdict is None:
            self._follow_listing(now)
            verdict = self._decide(now)
            if verdict is None:
                self._ask_due(now)
            else:
                self._end(verdict)
        return self._verdict

    def take_reply(
        self,
        sender: witness_sets.Witness,
        reply: messages.ClaimReply,
        now: float,
    ) -> None:
        """Take a witness's answer; answers to earlier rounds are ignored."""
        if self._verdict is not None or reply.round != self._round:
            return
        known = self._replies.get(sender)
        if sender not in self._witnesses or (
            known is not None and known.answer not in PASSING
        ):
            return
        self._replies[sender] = reply
        if reply.answer in PASSING:
            self._repeats[sender] = (
                now + CONVERGE_REPEAT_S,
                CONVERGE_REPEAT_S,
            )
            self._converge_until = min(self._converge_until, now + CONVERGE_S)
            return
        self._repeats.pop(sender, None)
        if not any(r.answer in PASSING for r in self._replies.values()):
            self._converge_until = math.inf
        if reply.answer not in (Answer.CONSENT, Answer.ABSTAIN):
            self._refused_at = min(self._refused_at, now)

    def withdraw(self) -> None:
        """Give the claim up; the call was not sent and never will be."""
        for instance, _ in self._witnesses:
            self._world.send(
                instance,
                messages.ClaimWithdrawn(
                    key=self._call.key,
                    client_account=self._call.client_account,
                    request_id=self._call.request_id,
                    round=self._round,
                ),
            )
        self._witnesses = ()

    def report(
        self, status: int, content_type: str, body: bytes, whole: bool
    ) -> None:
        """Tell the witnesses the outcome of the call."""
        for instance, _ in self._witnesses:
            self._world.send(
                instance,
                messages.ClaimOutcome(
                    key=self._call.key,
                    client_account=self._call.client_account,
                    request_id=self._call.request_id,
                    status=status,
                    content_type=content_type,
                    body=body,
                    whole=whole,
                ),
            )

    def _follow_listing(self, now: float) -> None:
        """Start anew when the list names other witnesses."""
        listing = self._world.listing
        stamp = (listing.revision, listing.as_of)
        if stamp == self._stamp:
            return
        self._stamp = stamp
        call = self._call
        found = witness_sets.witness_set(
            self._world, call.region, call.client_account, call.key
        )
        if found == self._witnesses:
            return
        self.withdraw()
        self._round += 1
        self._witnesses = found
        self._replies.clear()
        self._refused_at = math.inf
        self._converge_until = math.inf
        self._repeats = {w: (now, 0.0) for w in found}

    def _ask_due(self, now: float) -> None:
        for witness, (at, delay_s) in list(self._repeats.items()):
            if at > now:
                continue
            if delay_s:
                self._world.count_retry(states.RetryReason.CLAIM_UNANSWERED)
            delay_s = min(max(FIRST_REPEAT_S, 2 * delay_s), LAST_REPEAT_S)
            self._repeats[witness] = (now + delay_s, delay_s)
            self._ask(witness)

    def _ask(self, witness: witness_sets.Witness) -> None:
        call = self._call
        self._world.send(
            witness[0],
            messages.ClaimRequest(
                key=call.key,
                client_account=call.client_account,
                fingerprint=call.fingerprint,
                request_id=call.request_id,
                region=call.region,
                witnesses=self._witnesses,
                round=self._round,
            ),
        )

    def _decide(self, now: float) -> Verdict | None:
        replies = self._replies.values()
        answers = [r.answer for r in replies]
        complete = len(answers) == len(self._witnesses) > 0
        if complete and all(
            a in (Answer.CONSENT, Answer.ABSTAIN) for a in answers
        ):
            return _judge_agreement(answers)
        replay = _find_replay(replies)
        if replay is not None:
            return Verdict(Decision.REPLAY, reply=replay)
        if self._refused_at < math.inf and (
            complete or now >= self._refused_at + OUTCOME_WAIT_S
        ):
            return _judge_refusal(replies)
        if now >= min(self._deadline, self._converge_until):
            return _judge_timeout(answers)
        return None

    def _end(self, verdict: Verdict) -> None:
        self._verdict = verdict
        self._repeats.clear()
        self._world.explain(
            self._call.request_id,
            f'claim {verdict.decision.value}: '
            + ', '.join(
                f'{name}={self._replies[name, inc].answer.value}'
                if (name, inc) in self._replies
                else f'{name}=no answer'
                for name, inc in self._witnesses
            ),
        )
        if verdict.decision is not Decision.HELD:
            self.withdraw()


def _judge_agreement(answers: list[states.ClaimAnswer]) -> Verdict:
    if Answer.CONSENT in answers:
        return Verdict(Decision.HELD)
    return Verdict(
        Decision.REFUSED,
        Reason.KEY_TOO_OLD,
        'no witness knows the instance list from before the key was made',
    )


def _find_replay(replies) -> messages.ClaimReply | None:
    for reply in replies:
        if (
            reply.answer is Answer.TAKEN
            and reply.same
            and reply.status
            and reply.whole
        ):
            return reply
    return None


def _judge_refusal(replies) -> Verdict:
    taken = [r for r in replies if r.answer is Answer.TAKEN]
    if any(not r.same for r in taken):
        return Verdict(
            Decision.REFUSED,
            Reason.KEY_MISMATCH,
            'the key was used for a call with other content',
        )
    if taken:
        status = max(r.status for r in taken)
        detail = 'the key belongs to a call without a known outcome'
        if status:
            detail = (
                f'the first call was answered with status {status}; '
                'its body is too large to be kept'
            )
        return Verdict(Decision.REFUSED, Reason.KEY_IN_USE, detail)
    for answer in (Answer.TOO_OLD, Answer.IN_FUTURE, Answer.FULL):
        if any(r.answer is answer for r in replies):
            return Verdict(Decision.REFUSED, REASONS[answer])
    raise AssertionError('a refused round has a refusal')


def _judge_timeout(answers: list[states.ClaimAnswer]) -> Verdict:
    for answer in PASSING:
        if answer in answers:
            return Verdict(Decision.REFUSED, REASONS[answer])
    return Verdict(Decision.REFUSED, Reason.WITNESS_UNREACHABLE)


class Redelivery:
    """Repeats withdrawals and outcomes that did not reach a witness.

    A lost one is no danger, but the key would stay refused, or its outcome
    unknown, until it is too old.
    """

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._tries: dict[
            tuple[ids.InstanceId, messages.PeerMessage], int
        ] = {}
        self._due: list[
            tuple[float, ids.InstanceId, messages.PeerMessage]
        ] = []

    @property
    def next_at(self) -> float:
        """When ``advance`` has something to do."""
        return self._due[0][0] if self._due else math.inf

    def failed(self, failure: messages.PeerFailed, now: float) -> None:
        """Take the messages that did not reach a peer."""
        for message in failure.messages:
            if isinstance(
                message, messages.ClaimOutcome | messages.ClaimWithdrawn
            ):
                self._plan(failure.peer, message, now)

    def advance(self, now: float) -> None:
        """Send again what is due; sent in the order in which it failed."""
        while self._due and self._due[0][0] <= now:
            _, peer, message = self._due.pop(0)
            if peer in self._world.listing.instances:
                self._world.send(peer, message)
            else:
                self._tries.pop((peer, message), None)

    def _plan(self, peer, message, now: float) -> None:
        tries = self._tries.pop((peer, message), 0) + 1
        if tries > MAX_REDELIVERIES:
            return
        while len(self._tries) >= MAX_PENDING_DELIVERIES:
            del self._tries[next(iter(self._tries))]
        if len(self._due) < MAX_PENDING_DELIVERIES:
            self._tries[peer, message] = tries
            self._due.append((now + REDELIVERY_S, peer, message))
