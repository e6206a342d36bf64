"""At-most-once execution: the entry instance's side of a claim.

``_claim_witness`` is the side of the witnesses.
"""

import enum
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from primrosereel.core import _witness_sets as witness_sets

__all__ = [
    'ClaimRedelivery',
    'ClaimRequester',
    'ClaimResult',
    'ClaimedCall',
    'Decision',
]

Answer = states.ClaimAnswer
Reason = states.RefusalReason

FIRST_RESEND_DELAY_S = 0.2
MAX_RESEND_DELAY_S = 1.0
# An instance list reaches all daemons of a region within a poll (2 s) and a
# heartbeat (1 s), and a restarted witness takes part 5 s after it is listed.
CONVERGENCE_TIMEOUT_S = 6.0
CONVERGENCE_RESEND_DELAY_S = 0.2
# How long a refusal is held back for an outcome that another witness may have.
OUTCOME_WAIT_S = 0.25
REDELIVERY_DELAY_S = 1.0
MAX_REDELIVERIES = 10
MAX_PENDING_REDELIVERIES = 1000

# Answers that the same witness may soon replace by another one.
TRANSIENT_ANSWERS = (Answer.STALE, Answer.VIEW_MISMATCH)
REFUSAL_REASONS = {
    Answer.TOO_OLD: Reason.KEY_TOO_OLD,
    Answer.IN_FUTURE: Reason.KEY_IN_FUTURE,
    Answer.FULL: Reason.CLAIMS_FULL,
    Answer.STALE: Reason.MEMBERSHIP_STALE,
    Answer.VIEW_MISMATCH: Reason.WITNESS_DISAGREES,
}


class ClaimedCall(NamedTuple):
    """A call, the key that it claims and the region of its witnesses."""

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    fingerprint: int
    request_id: ids.RequestId
    region: ids.Region


class Decision(enum.Enum):
    """What the result of a claim means for its call."""

    HELD = 'held'
    REPLAY = 'replay'
    REFUSED = 'refused'


class ClaimResult(NamedTuple):
    """The result of a claim.

    ``reply`` carries the outcome to replay. A refused claim says nothing
    about other requests with the same key, so the answer to the caller says
    that the execution is unknown: if one witness did not answer, the consent
    of another proves nothing, because an attempt may have run under a newer
    instance list.
    """

    decision: Decision
    reason: states.RefusalReason = Reason.INTERNAL
    detail: str = ''
    reply: messages.ClaimReply | None = None


class ClaimRequester:
    """Claims the key of one call at its witnesses, until they decide.

    A new round starts when a change of the instance list changes the set of
    witnesses. ``withdraw`` may be called only before the call is sent; the
    requester itself withdraws the claim if the decision is not HELD.
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
        self._resends: dict[witness_sets.Witness, tuple[float, float]] = {}
        self._list_version: tuple[int, float] | None = None
        self._convergence_deadline = math.inf
        self._first_refusal_at = math.inf
        self._result: ClaimResult | None = None

    @property
    def next_at(self) -> float:
        """The latest time at which ``advance`` must be called next."""
        times = [at for at, _ in self._resends.values()]
        times.append(self._deadline)
        times.append(self._convergence_deadline)
        times.append(self._first_refusal_at + OUTCOME_WAIT_S)
        return min(times)

    def advance(self, now: float) -> ClaimResult | None:
        """Send requests that are due or decide; return the result if any."""
        if self._result is None:
            self._update_witnesses(now)
            result = self._decide(now)
            if result is None:
                self._send_due_requests(now)
            else:
                self._finish(result)
        return self._result

    def take_reply(
        self,
        sender: witness_sets.Witness,
        reply: messages.ClaimReply,
        now: float,
    ) -> None:
        """Process a witness's reply; replies to earlier rounds are ignored."""
        if self._result is not None or reply.round != self._round:
            return
        previous = self._replies.get(sender)
        if sender not in self._witnesses or (
            previous is not None and previous.answer not in TRANSIENT_ANSWERS
        ):
            return
        self._replies[sender] = reply
        if reply.answer in TRANSIENT_ANSWERS:
            self._resends[sender] = (
                now + CONVERGENCE_RESEND_DELAY_S,
                CONVERGENCE_RESEND_DELAY_S,
            )
            self._convergence_deadline = min(
                self._convergence_deadline, now + CONVERGENCE_TIMEOUT_S
            )
            return
        self._resends.pop(sender, None)
        if not any(
            r.answer in TRANSIENT_ANSWERS for r in self._replies.values()
        ):
            self._convergence_deadline = math.inf
        if reply.answer not in (Answer.CONSENT, Answer.ABSTAIN):
            self._first_refusal_at = min(self._first_refusal_at, now)

    def withdraw(self) -> None:
        """Withdraw the claim of a call that was not and will not be sent."""
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

    def report_outcome(
        self, status: int, content_type: str, body: bytes, body_complete: bool
    ) -> None:
        """Send the outcome of the call to the witnesses."""
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
                    whole=body_complete,
                ),
            )

    def _update_witnesses(self, now: float) -> None:
        """Start a new round if the instance list gives other witnesses."""
        listing = self._world.listing
        list_version = (listing.revision, listing.as_of)
        if list_version == self._list_version:
            return
        self._list_version = list_version
        call = self._call
        listed_witnesses = witness_sets.witness_set(
            self._world, call.region, call.client_account, call.key
        )
        if listed_witnesses == self._witnesses:
            return
        self.withdraw()
        self._round += 1
        self._witnesses = listed_witnesses
        self._replies.clear()
        self._first_refusal_at = math.inf
        self._convergence_deadline = math.inf
        self._resends = {w: (now, 0.0) for w in listed_witnesses}

    def _send_due_requests(self, now: float) -> None:
        for witness, (at, delay_s) in list(self._resends.items()):
            if at > now:
                continue
            if delay_s:
                self._world.count_retry(states.RetryReason.CLAIM_UNANSWERED)
            delay_s = min(
                max(FIRST_RESEND_DELAY_S, 2 * delay_s), MAX_RESEND_DELAY_S
            )
            self._resends[witness] = (now + delay_s, delay_s)
            self._send_request(witness)

    def _send_request(self, witness: witness_sets.Witness) -> None:
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

    def _decide(self, now: float) -> ClaimResult | None:
        replies = self._replies.values()
        answers = [r.answer for r in replies]
        complete = len(answers) == len(self._witnesses) > 0
        if complete and all(
            a in (Answer.CONSENT, Answer.ABSTAIN) for a in answers
        ):
            return _agreement_result(answers)
        replay = _find_replay(replies)
        if replay is not None:
            return ClaimResult(Decision.REPLAY, reply=replay)
        if self._first_refusal_at < math.inf and (
            complete or now >= self._first_refusal_at + OUTCOME_WAIT_S
        ):
            return _refusal_result(replies)
        if now >= min(self._deadline, self._convergence_deadline):
            return _timeout_result(answers)
        return None

    def _finish(self, result: ClaimResult) -> None:
        self._result = result
        self._resends.clear()
        self._world.explain(
            self._call.request_id,
            f'claim {result.decision.value}: '
            + ', '.join(
                f'{name}={self._replies[name, incarnation].answer.value}'
                if (name, incarnation) in self._replies
                else f'{name}=no answer'
                for name, incarnation in self._witnesses
            ),
        )
        if result.decision is not Decision.HELD:
            self.withdraw()


def _agreement_result(answers: list[states.ClaimAnswer]) -> ClaimResult:
    if Answer.CONSENT in answers:
        return ClaimResult(Decision.HELD)
    return ClaimResult(
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


def _refusal_result(replies) -> ClaimResult:
    taken = [r for r in replies if r.answer is Answer.TAKEN]
    if any(not r.same for r in taken):
        return ClaimResult(
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
        return ClaimResult(Decision.REFUSED, Reason.KEY_IN_USE, detail)
    for answer in (Answer.TOO_OLD, Answer.IN_FUTURE, Answer.FULL):
        if any(r.answer is answer for r in replies):
            return ClaimResult(Decision.REFUSED, REFUSAL_REASONS[answer])
    raise AssertionError('no witness refused the claim')


def _timeout_result(answers: list[states.ClaimAnswer]) -> ClaimResult:
    for answer in TRANSIENT_ANSWERS:
        if answer in answers:
            return ClaimResult(Decision.REFUSED, REFUSAL_REASONS[answer])
    return ClaimResult(Decision.REFUSED, Reason.WITNESS_UNREACHABLE)


class ClaimRedelivery:
    """Resends withdrawals and outcomes that did not reach a witness.

    Losing one is safe, but the key would be refused, or its outcome unknown,
    until the key is too old.
    """

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._attempts: dict[
            tuple[ids.InstanceId, messages.PeerMessage], int
        ] = {}
        self._due: list[
            tuple[float, ids.InstanceId, messages.PeerMessage]
        ] = []

    @property
    def next_at(self) -> float:
        """The time of the next resend."""
        return self._due[0][0] if self._due else math.inf

    def on_peer_failed(self, failure: messages.PeerFailed, now: float) -> None:
        """Schedule resends of the messages that did not reach a peer."""
        for message in failure.messages:
            if isinstance(
                message, messages.ClaimOutcome | messages.ClaimWithdrawn
            ):
                self._schedule(failure.peer, message, now)

    def advance(self, now: float) -> None:
        """Resend the messages that are due, in the order of their failures."""
        while self._due and self._due[0][0] <= now:
            _, peer, message = self._due.pop(0)
            if peer in self._world.listing.instances:
                self._world.send(peer, message)
            else:
                self._attempts.pop((peer, message), None)

    def _schedule(self, peer, message, now: float) -> None:
        attempts = self._attempts.pop((peer, message), 0) + 1
        if attempts > MAX_REDELIVERIES:
            return
        while len(self._attempts) >= MAX_PENDING_REDELIVERIES:
            del self._attempts[next(iter(self._attempts))]
        if len(self._due) < MAX_PENDING_REDELIVERIES:
            self._attempts[peer, message] = attempts
            self._due.append((now + REDELIVERY_DELAY_S, peer, message))
