# msgspec hands ``frozen`` down to subclasses, which mypy does not know.
# mypy: disable-error-code="misc"
"""Messages between daemons."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _message_values as values

__all__ = [
    'ClaimOutcome',
    'ClaimReply',
    'ClaimRequest',
    'ClaimWithdrawn',
    'DemandReport',
    'Grant',
    'GrantQueued',
    'GrantRefused',
    'GrantRequest',
    'Heartbeat',
    'HolderQuery',
    'HolderReply',
    'ListingQuery',
    'ListingUpdate',
    'LiveGrants',
    'LiveGrantsQuery',
    'PauseStream',
    'Progress',
    'ResumeStream',
    'ShareReply',
    'TextDifference',
    'TextFull',
    'TextQuery',
]


class GrantRequest(values.PeerMessage):
    """An entry asks a group owner for places.

    ``kv`` names an exported KV cache that still stands: then only a decode
    place is asked for. ``exclude`` lists runners that failed this request.
    """

    request_id: ids.RequestId
    attempt: int
    service: ids.ServiceId
    group: ids.GroupId
    client_account: ids.ClientAccountId
    priority: int
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    wait_s: float
    availability_zone: ids.AvailabilityZone
    kv: values.KvTransfer | None = None
    exclude: tuple[ids.RunnerId, ...] = ()
    parent: bool = False


class Grant(values.PeerMessage):
    """Places on a prefill and a decode runner, for ``lease_s`` seconds.

    ``prefill_runner`` is None when the request brought its KV cache.
    """

    request_id: ids.RequestId
    attempt: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    lease_s: float
    explanation: str = ''


class GrantQueued(values.PeerMessage):
    """The owner has no place yet and keeps the request in its queue.

    It answers the first ask of an attempt that has to wait, so that an entry
    can tell a busy owner from an unreachable one; it may answer repeated asks.
    """

    request_id: ids.RequestId
    attempt: int


class GrantRefused(values.PeerMessage):
    """The owner has no place within the request's deadline."""

    request_id: ids.RequestId
    attempt: int
    reason: states.RefusalReason
    retry_after_s: float


class Progress(values.PeerMessage):
    """An entry tells the owner how a granted request gets on.

    ``runner`` is the runner the stage concerns and ``offset`` the number of
    output tokens so far. ``speed`` is what the entry observed: seconds per
    uncached prompt token after a prefill, seconds per output token in a
    stream, 0 where it observed nothing.
    """

    request_id: ids.RequestId
    attempt: int
    group: ids.GroupId
    stage: states.Stage
    runner: ids.RunnerId | None = None
    cached_tokens: int = 0
    offset: int = 0
    speed: float = 0.0


class PauseStream(values.PeerMessage):
    """The owner asks an entry to pause a latency-tolerant stream."""

    request_id: ids.RequestId
    attempt: int


class ResumeStream(values.PeerMessage):
    """The owner lets a paused stream continue."""

    request_id: ids.RequestId
    attempt: int


class LiveGrantsQuery(values.PeerMessage):
    """A new owner asks for the grants that an entry holds in its group."""

    group: ids.GroupId


class LiveGrants(values.PeerMessage):
    """An entry's live grants in a group."""

    group: ids.GroupId
    grants: tuple[values.LiveGrant, ...]


class ClaimRequest(values.PeerMessage):
    """An entry claims an idempotency key at a witness.

    ``round`` counts the asks of one request with different witnesses.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    fingerprint: int
    request_id: ids.RequestId
    region: ids.Region
    witnesses: tuple[tuple[ids.InstanceId, ids.Incarnation], ...]
    round: int = 0


class ClaimReply(values.PeerMessage):
    """A witness's answer.

    With TAKEN, ``same`` says whether the fingerprint was the same and
    ``status`` and ``body`` hold the first outcome where it is known
    (``status`` 0 where it is not). ``whole`` is False when the body was too
    large to be kept.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    request_id: ids.RequestId
    answer: states.ClaimAnswer
    same: bool = True
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    round: int = 0
    whole: bool = True


class ClaimOutcome(values.PeerMessage):
    """The answer of a call that ran under a claim.

    ``whole`` is False when the body was too large to be kept.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    request_id: ids.RequestId
    status: int
    content_type: str
    body: bytes
    whole: bool = True


class ClaimWithdrawn(values.PeerMessage):
    """The claim's request was not sent under this or an earlier round.

    A later round of the same request may still be sent, so a witness keeps
    a claim that a later round renewed.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    request_id: ids.RequestId
    round: int = 0


class DemandReport(values.PeerMessage):
    """A daemon's demand of client accounts in the last second.

    ``demands`` holds pairs of client account and requests a second.
    """

    demands: tuple[tuple[ids.ClientAccountId, float], ...]


class ShareReply(values.PeerMessage):
    """The rates a daemon may use, in requests a second, on a lease."""

    shares: tuple[tuple[ids.ClientAccountId, float], ...]
    lease_s: float


class Heartbeat(values.PeerMessage):
    """Sign of life with what the sender knows is newest.

    ``suspects`` are instances the sender cannot reach.
    """

    revision: ids.Revision
    listing_revision: int
    listing_as_of: float
    leaving: bool = False
    reply: bool = False
    suspects: tuple[ids.InstanceId, ...] = ()


class ListingQuery(values.PeerMessage):
    """Asks a peer for its instance list."""


class ListingUpdate(values.PeerMessage):
    """An instance list, as one daemon read it.

    With ``base`` above 0, ``instances`` holds only the rows that are new or
    changed since the list of that revision, and ``removed`` those that left.
    """

    revision: int
    as_of: float
    instances: tuple[values.ListedInstance, ...]
    base: int = 0
    removed: tuple[ids.InstanceId, ...] = ()


class TextDifference(values.PeerMessage):
    """Changes that turn text ``base`` into text ``revision``.

    ``changes`` is the encoded difference; ``digest`` is of the result.
    """

    base: ids.Revision
    revision: ids.Revision
    changes: bytes
    digest: int


class TextQuery(values.PeerMessage):
    """Asks a peer for a text newer than ``revision``."""

    revision: ids.Revision


class TextFull(values.PeerMessage):
    """A whole text, compressed MessagePack."""

    revision: ids.Revision
    body: bytes
    digest: int


class HolderQuery(values.PeerMessage):
    """Asks a holder which of the ids it still needs."""

    runner: ids.RunnerId
    engine_request_ids: tuple[ids.EngineRequestId, ...]


class HolderReply(values.PeerMessage):
    """The ids among those asked for that the holder does not need."""

    runner: ids.RunnerId
    unneeded: tuple[ids.EngineRequestId, ...]
