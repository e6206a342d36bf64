"""At-most-once execution: the witness side of claims on idempotency keys.

A witness records which request claimed a key and refuses every other request
for it. ``_claim_requester`` is the side of the entry instance.
"""

import dataclasses
import heapq

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from primrosereel.core import _witness_sets as witness_sets
from primrosereel.core._claim_requester import ClaimRequester

__all__ = [
    'ClaimRequester',
    'ClaimWitnessSystem',
    'MAX_CLAIMS',
    'MAX_OUTCOME_BYTES',
]

Answer = states.ClaimAnswer

MAX_CLAIMS = 100_000
MAX_OUTCOME_BYTES = 4096
# A claim is kept until its key is refused as too old, plus a margin for
# adjustments of the local clock.
CLAIM_LIFETIME_S = (
    witness_sets.KEY_AGE_LIMIT_S + witness_sets.KEY_FUTURE_LIMIT_S + 10.0
)

ClaimKey = tuple[ids.ClientAccountId, ids.IdempotencyKey]


@dataclasses.dataclass(slots=True)
class Claim:
    """The request that holds a key, and its outcome once it is known.

    A withdrawn claim is kept as a tombstone, so that a delayed duplicate of
    its request does not claim the key again.
    """

    request_id: ids.RequestId
    fingerprint: int
    round: int
    withdrawn: bool = False
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    body_complete: bool = True


class ClaimWitnessSystem:
    """Answers claim requests as one of the witnesses of a key."""

    inputs: tuple[type, ...] = (
        messages.ClaimRequest,
        messages.ClaimOutcome,
        messages.ClaimWithdrawn,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._claims: dict[ClaimKey, Claim] = {}
        self._expiries: list[tuple[float, ClaimKey]] = []
        self._history = witness_sets.InstanceListHistory(world.identity)

    def receive(self, message: messages.FromPeer, now: float) -> None:
        """Process a message from an entry instance."""
        self._history.observe(self._world.listing, now)
        inner = message.message
        if isinstance(inner, messages.ClaimRequest):
            reply = self._answer_claim(inner)
            if reply is not None:
                self._world.count(f'claim.{reply.answer.value}')
                self._world.send(message.sender, reply)
        elif isinstance(inner, messages.ClaimOutcome):
            self._store_outcome(inner)
        elif isinstance(inner, messages.ClaimWithdrawn):
            self._withdraw_claim(inner)

    def run(self, now: float) -> None:
        """Record the current instance list and drop expired claims."""
        self._history.observe(self._world.listing, now)
        wall = self._world.wall
        while self._expiries and self._expiries[0][0] < wall:
            _, key = heapq.heappop(self._expiries)
            del self._claims[key]

    def _answer_claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply | None:
        claim = self._claims.get((request.client_account, request.key))
        # Checked first, so that a refusal for any other reason implies that
        # this witness has no claim of another request for the key.
        if claim is not None and _is_held_by_other(claim, request):
            return _taken_reply(request, claim)
        if claim is not None and _is_withdrawn_round(claim, request):
            return None
        made_at = witness_sets.key_time(request.key)
        if made_at is None:
            return None
        refusal = self._refusal_answer(request, made_at)
        if refusal is None and not self._record(request, claim, made_at):
            refusal = Answer.FULL
        if refusal is not None:
            return _make_reply(request, refusal)
        if self._history.may_consent(
            request.client_account, request.key, made_at
        ):
            return _make_reply(request, Answer.CONSENT)
        return _make_reply(request, Answer.ABSTAIN)

    def _refusal_answer(
        self, request: messages.ClaimRequest, made_at: float
    ) -> states.ClaimAnswer | None:
        world = self._world
        if world.wall - made_at > witness_sets.KEY_AGE_LIMIT_S:
            return Answer.TOO_OLD
        if made_at - world.wall > witness_sets.KEY_FUTURE_LIMIT_S:
            return Answer.IN_FUTURE
        if not self._has_current_list():
            return Answer.STALE
        own = (world.identity.instance, world.identity.incarnation)
        own_witnesses = witness_sets.witness_set(
            world, world.identity.region, request.client_account, request.key
        )
        if (
            request.region != world.identity.region
            or own_witnesses != request.witnesses
            or own not in own_witnesses
        ):
            return Answer.VIEW_MISMATCH
        if not self._history.is_settled:
            return Answer.STALE
        return None

    def _has_current_list(self) -> bool:
        """Return whether the list is fresh and newer than the last pause."""
        world = self._world
        if self._history.seen_at <= world.paused_at:
            return False
        return world.wall - world.listing.as_of <= witness_sets.MAX_LIST_AGE_S

    def _record(
        self,
        request: messages.ClaimRequest,
        claim: Claim | None,
        made_at: float,
    ) -> bool:
        """Record the claim; return False if the table is full."""
        key = (request.client_account, request.key)
        if claim is None:
            return self._insert(
                key,
                Claim(request.request_id, request.fingerprint, request.round),
                made_at,
            )
        if claim.request_id != request.request_id or claim.withdrawn:
            self._claims[key] = Claim(
                request.request_id, request.fingerprint, request.round
            )
        else:
            claim.round = max(claim.round, request.round)
        return True

    def _insert(self, key: ClaimKey, claim: Claim, made_at: float) -> bool:
        if len(self._claims) >= MAX_CLAIMS:
            return False
        self._claims[key] = claim
        heapq.heappush(self._expiries, (made_at + CLAIM_LIFETIME_S, key))
        return True

    def _store_outcome(self, outcome: messages.ClaimOutcome) -> None:
        """Store the outcome of the request that holds the key."""
        claim = self._claims.get((outcome.client_account, outcome.key))
        if claim is None or claim.request_id != outcome.request_id:
            return
        fits = len(outcome.body) <= MAX_OUTCOME_BYTES
        claim.status = outcome.status
        claim.content_type = outcome.content_type
        claim.body = outcome.body if fits else b''
        claim.body_complete = outcome.whole and fits

    def _withdraw_claim(self, withdrawn: messages.ClaimWithdrawn) -> None:
        """Free the key unless the request renewed its claim in a later round.

        A withdrawal by another request changes nothing.
        """
        key = (withdrawn.client_account, withdrawn.key)
        claim = self._claims.get(key)
        if claim is None:
            self._insert_tombstone(key, withdrawn)
        elif (
            claim.request_id == withdrawn.request_id
            and claim.round <= withdrawn.round
        ):
            claim.withdrawn = True
            claim.round = withdrawn.round

    def _insert_tombstone(
        self, key: ClaimKey, withdrawn: messages.ClaimWithdrawn
    ) -> None:
        """Record a withdrawal that arrived before its claim request."""
        made_at = witness_sets.key_time(withdrawn.key)
        if (
            made_at is None
            or abs(made_at - self._world.wall) > CLAIM_LIFETIME_S
        ):
            return
        tombstone = Claim(
            withdrawn.request_id, 0, withdrawn.round, withdrawn=True
        )
        self._insert(key, tombstone, made_at)


def _is_held_by_other(claim: Claim, request: messages.ClaimRequest) -> bool:
    return claim.request_id != request.request_id and not claim.withdrawn


def _is_withdrawn_round(claim: Claim, request: messages.ClaimRequest) -> bool:
    """Return whether the request's round was withdrawn before it arrived."""
    return (
        claim.request_id == request.request_id
        and claim.withdrawn
        and request.round <= claim.round
    )


def _make_reply(
    request: messages.ClaimRequest, answer: states.ClaimAnswer
) -> messages.ClaimReply:
    return messages.ClaimReply(
        key=request.key,
        client_account=request.client_account,
        request_id=request.request_id,
        answer=answer,
        round=request.round,
    )


def _taken_reply(
    request: messages.ClaimRequest, claim: Claim
) -> messages.ClaimReply:
    """Reply that another request holds the key.

    The outcome of that request is included if the fingerprints match.
    """
    if claim.fingerprint != request.fingerprint:
        return messages.ClaimReply(
            key=request.key,
            client_account=request.client_account,
            request_id=request.request_id,
            answer=Answer.TAKEN,
            same=False,
            round=request.round,
        )
    return messages.ClaimReply(
        key=request.key,
        client_account=request.client_account,
        request_id=request.request_id,
        answer=Answer.TAKEN,
        status=claim.status,
        content_type=claim.content_type,
        body=claim.body,
        round=request.round,
        whole=claim.body_complete,
    )
