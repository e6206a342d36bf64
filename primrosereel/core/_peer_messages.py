# Subclasses inherit ``frozen`` in msgspec, which mypy does not know.
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
    """Requests places from a group owner for an entry instance.

    If ``kv`` names an exported KV cache that still exists, only a decode
    place is requested. ``exclude`` lists runners that failed this request.
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

    ``prefill_runner`` is None if the request already has a KV cache.
    """

    request_id: ids.RequestId
    attempt: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    lease_s: float
    explanation: str = ''


class GrantQueued(values.PeerMessage):
    """The owner has no free place yet and keeps the request in its queue.

    It answers the first request of an attempt that has to wait, so that an
    entry can tell a busy owner from an unreachable one. Repeated requests may
    be answered as well.
    """

    request_id: ids.RequestId
    attempt: int


class GrantRefused(values.PeerMessage):
    """The owner does not grant places.

    ``reason`` tells whether there is no place within the request's deadline,
    no capacity, no runner or no room in the queue.
    """

    request_id: ids.RequestId
    attempt: int
    reason: states.RefusalReason
    retry_after_s: float


class Progress(values.PeerMessage):
    """Reports the progress of a granted request to the owner.

    ``runner`` is the runner that the stage concerns and ``offset`` the number
    of output tokens so far. ``speed`` is the time that the entry measured:
    seconds per uncached prompt token after a prefill, seconds per output
    token in a stream, 0 if there is no measurement.
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
    """Asks an entry to pause a latency-tolerant stream."""

    request_id: ids.RequestId
    attempt: int


class ResumeStream(values.PeerMessage):
    """Lets an entry resume a paused stream."""

    request_id: ids.RequestId
    attempt: int


class LiveGrantsQuery(values.PeerMessage):
    """Asks an entry for its live grants in a group with a new owner."""

    group: ids.GroupId


class LiveGrants(values.PeerMessage):
    """An entry's live grants in a group."""

    group: ids.GroupId
    grants: tuple[values.LiveGrant, ...]


class ClaimRequest(values.PeerMessage):
    """Claims an idempotency key at a witness.

    ``witnesses`` are those that the entry computed. ``round`` increases each
    time they change for the same request.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    fingerprint: int
    request_id: ids.RequestId
    region: ids.Region
    witnesses: tuple[tuple[ids.InstanceId, ids.Incarnation], ...]
    round: int = 0


class ClaimReply(values.PeerMessage):
    """A witness's answer to a claim.

    With TAKEN, ``same`` tells whether the fingerprints match; ``status``,
    ``content_type`` and ``body`` are the outcome of the request that holds
    the key (``status`` is 0 while it is unknown). ``whole`` is False if the
    body was too large to be stored.
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
    """The answer of a call that ran under a claim, sent to its witnesses.

    ``whole`` is False if the body was too large to be stored.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    request_id: ids.RequestId
    status: int
    content_type: str
    body: bytes
    whole: bool = True


class ClaimWithdrawn(values.PeerMessage):
    """Withdraws a claim whose call was not sent in this or an earlier round.

    The call may still be sent in a later round, so a witness keeps a claim
    that a later round renewed.
    """

    key: ids.IdempotencyKey
    client_account: ids.ClientAccountId
    request_id: ids.RequestId
    round: int = 0


class DemandReport(values.PeerMessage):
    """A daemon's recent demand of client accounts.

    ``demands`` holds pairs of a client account and its requests per second.
    """

    demands: tuple[tuple[ids.ClientAccountId, float], ...]


class ShareReply(values.PeerMessage):
    """A daemon's shares of client accounts' rates, with a lease.

    ``shares`` holds pairs of a client account and requests per second.
    """

    shares: tuple[tuple[ids.ClientAccountId, float], ...]
    lease_s: float


class Heartbeat(values.PeerMessage):
    """Shows that the sender is alive and which revisions it has.

    ``reply`` is True in an answer to a heartbeat. ``suspects`` are instances
    that the sender cannot reach.
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
    """An instance list, as the sender read it or its changes.

    If ``base`` is above 0, ``instances`` holds only the rows that are new or
    changed since the list of that revision, and ``removed`` the instances
    that left.
    """

    revision: int
    as_of: float
    instances: tuple[values.ListedInstance, ...]
    base: int = 0
    removed: tuple[ids.InstanceId, ...] = ()


class TextDifference(values.PeerMessage):
    """Changes that turn text ``base`` into text ``revision``.

    ``changes`` is the encoded difference; ``digest`` is that of the result.
    """

    base: ids.Revision
    revision: ids.Revision
    changes: bytes
    digest: int


class TextQuery(values.PeerMessage):
    """Asks a peer for a text newer than ``revision``."""

    revision: ids.Revision


class TextFull(values.PeerMessage):
    """A complete text as compressed MessagePack; see ``pack_text``."""

    revision: ids.Revision
    body: bytes
    digest: int


class HolderQuery(values.PeerMessage):
    """Asks a holder which of its engine requests it no longer needs."""

    runner: ids.RunnerId
    engine_request_ids: tuple[ids.EngineRequestId, ...]


class HolderReply(values.PeerMessage):
    """The queried engine requests that the holder does not need."""

    runner: ids.RunnerId
    unneeded: tuple[ids.EngineRequestId, ...]
