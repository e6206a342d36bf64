# msgspec hands ``frozen`` down to subclasses, which mypy does not know.
# mypy: disable-error-code="misc"
"""Typed messages into and out of the decision core.

Inbound messages come from the adapters, outbound ones are effects that the
adapters carry out, and peer messages travel between daemons. All times are
seconds; a field that ends in ``_s`` is a duration, so no message carries one
process's monotonic clock to another.
"""

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states

__all__ = [
    'AbortCaller',
    'AnswerPlain',
    'CacheEventsReceived',
    'CallerLeft',
    'CallPlain',
    'CancelFailed',
    'CancelConfirmed',
    'CancelUpstream',
    'ClaimOutcome',
    'ClaimReply',
    'ClaimRequest',
    'ClaimWithdrawn',
    'CompletionReceived',
    'ConfigurationFailed',
    'ConfigurationRead',
    'ConfigurationUnchanged',
    'Count',
    'DemandReport',
    'DrainFinished',
    'DrainRequested',
    'FinishCaller',
    'FromPeer',
    'GiveOrder',
    'Grant',
    'GrantQueued',
    'GrantRefused',
    'GrantRequest',
    'Heartbeat',
    'HolderQuery',
    'HolderReply',
    'Inbound',
    'InstanceListRead',
    'KvTransfer',
    'ListedInstance',
    'ListingQuery',
    'ListingUpdate',
    'ListRequests',
    'LiveGrant',
    'LiveGrants',
    'LiveGrantsQuery',
    'LoadFailed',
    'LoadReport',
    'LoadReported',
    'OrderAnswered',
    'Outbound',
    'PauseStream',
    'PauseUpstream',
    'PeerFailed',
    'PeerMessage',
    'PlainAnswered',
    'PlainFailed',
    'PlainReceived',
    'PollCacheEvents',
    'PollLoad',
    'PrefillDone',
    'PrefillFailed',
    'Progress',
    'ReadInstanceList',
    'ReadRunnerState',
    'ReattachStream',
    'RefuseCaller',
    'RequestsListed',
    'ResumeStream',
    'ResumeUpstream',
    'RunnerStateRead',
    'SendPeer',
    'SendTokens',
    'ShareReply',
    'StartDecode',
    'StartPrefill',
    'StreamClosed',
    'StreamPaused',
    'StreamResumed',
    'TextChanged',
    'TextDifference',
    'TextFull',
    'TextQuery',
    'TokensReceived',
    'WatchConfiguration',
]


class Message(msgspec.Struct, frozen=True, gc=False):
    """Base of the messages inside one process."""


class PeerMessage(
    msgspec.Struct, frozen=True, gc=False, tag=True, array_like=True
):
    """Base of the messages between daemons (MessagePack on the wire)."""


# Values carried by messages.


class KvTransfer(msgspec.Struct, frozen=True, array_like=True):
    """An exported KV cache that a decode engine can import."""

    handle: str
    runner: ids.RunnerId
    tokens: int
    bytes: int


class LoadReport(msgspec.Struct, frozen=True):
    """What a runner says of its own load; it may be out of date.

    ``age_s`` is how long ago the runner took the values.
    """

    busy: int
    queued: int
    free_pieces: int
    backlog_tokens: int = 0
    leaving: bool = False
    incarnation: int = 0
    age_s: float = 0.0


class ListedInstance(msgspec.Struct, frozen=True, array_like=True):
    """One daemon in the platform's instance list."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    address: str
    leaving: bool = False


class LiveGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant as its entry instance knows it.

    ``paused`` tells the new owner that the stream waits to be resumed.
    """

    request_id: ids.RequestId
    attempt: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    tokens: int
    priority: int
    decoding: bool
    customer: ids.CustomerId
    paused: bool = False


# From callers.


class CompletionReceived(Message):
    """A caller asks an LLM service for a completion."""

    request_id: ids.RequestId
    caller_request_id: str
    key_sha256: str
    service: ids.ServiceId
    prompt: str
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int | None = None
    parent: bool = False


class PlainReceived(Message):
    """A caller calls a plain service.

    ``fingerprint`` is a hash of method, path and body: the same idempotency
    key with another fingerprint is refused.
    """

    request_id: ids.RequestId
    caller_request_id: str
    key_sha256: str
    service: ids.ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    idempotency_key: str | None = None
    fingerprint: int = 0
    priority: int | None = None
    parent: bool = False


class CallerLeft(Message):
    """The caller closed its connection before the answer was whole."""

    request_id: ids.RequestId


# From upstreams.


class PrefillDone(Message):
    """A prefill ended and its KV cache stands exported."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    kv: KvTransfer
    cached_tokens: int
    seconds: float


class PrefillFailed(Message):
    """A prefill did not end; ``ran`` says what is known of its work."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError
    ran: states.Ran


class TokensReceived(Message):
    """Tokens of a stream, the first of them at ``offset``."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    offset: int
    tokens: tuple[str, ...]
    finish: str | None = None


class StreamClosed(Message):
    """A decode stream ended without a finish."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError


class StreamPaused(Message):
    """The engine moved a stream's KV cache to its host memory."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class StreamResumed(Message):
    """The engine continues a paused stream."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class CancelConfirmed(Message):
    """The engine holds nothing more for the id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class CancelFailed(Message):
    """It is not known whether the engine still holds the id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class PlainAnswered(Message):
    """A plain service answered."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds: float


class PlainFailed(Message):
    """A call to a plain service failed.

    ``ran`` is NOT_RUN only when no byte of the request was sent.
    """

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError
    ran: states.Ran


class LoadReported(Message):
    """A runner answered a load poll."""

    runner: ids.RunnerId
    report: LoadReport


class LoadFailed(Message):
    """A runner did not answer a load poll."""

    runner: ids.RunnerId


class CacheEventsReceived(Message):
    """A runner's prefix cache events after sequence number ``since``.

    ``first`` is the sequence number of the oldest event given; a gap between
    ``since`` and ``first`` means that events were lost.
    """

    runner: ids.RunnerId
    since: int
    first: int
    next: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class RequestsListed(Message):
    """The engine request ids a runner holds memory for."""

    runner: ids.RunnerId
    engine_request_ids: tuple[ids.EngineRequestId, ...]


class OrderAnswered(Message):
    """A runner answered an order; ``accepted`` is None when it did not."""

    runner: ids.RunnerId
    fencing_token: int
    accepted: bool | None


class RunnerStateRead(Message):
    """What a runner has loaded and which orders it last took."""

    runner: ids.RunnerId
    role: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    fencing_token: int


# From the platform and the process itself.


class ConfigurationRead(Message):
    """The configuration service returned a text.

    ``body`` is JSON with comments; ``revision`` is the service's own.
    """

    revision: ids.Revision
    body: bytes


class ConfigurationFailed(Message):
    """A read or watch of the configuration service failed."""


class ConfigurationUnchanged(Message):
    """The configuration service has no text newer than the one held.

    The answer to a read or watch that ended with status 204.
    """


class InstanceListRead(Message):
    """The platform's instance list; ``as_of`` is wall-clock seconds."""

    revision: int
    as_of: float
    instances: tuple[ListedInstance, ...]


class DrainRequested(Message):
    """The process is to stop gracefully."""


class TextChanged(Message):
    """Another text came into force; emitted by the configuration system."""

    revision: ids.Revision


# Between daemons.


class GrantRequest(PeerMessage):
    """An entry asks a group owner for places.

    ``kv`` names an exported KV cache that still stands: then only a decode
    place is asked for. ``exclude`` lists runners that failed this request.
    """

    request_id: ids.RequestId
    attempt: int
    service: ids.ServiceId
    group: ids.GroupId
    customer: ids.CustomerId
    priority: int
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: tuple[int, ...]
    wait_s: float
    availability_zone: ids.AvailabilityZone
    kv: KvTransfer | None = None
    exclude: tuple[ids.RunnerId, ...] = ()
    parent: bool = False


class Grant(PeerMessage):
    """Places on a prefill and a decode runner, for ``lease_s`` seconds.

    ``prefill_runner`` is None when the request brought its KV cache.
    """

    request_id: ids.RequestId
    attempt: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    lease_s: float
    explanation: str = ''


class GrantQueued(PeerMessage):
    """The owner has no place yet and keeps the request in its queue.

    It answers the first ask of an attempt that has to wait, so that an entry
    can tell a busy owner from an unreachable one; it may answer repeated asks.
    """

    request_id: ids.RequestId
    attempt: int


class GrantRefused(PeerMessage):
    """The owner has no place within the request's deadline."""

    request_id: ids.RequestId
    attempt: int
    reason: states.RefusalReason
    retry_after_s: float


class Progress(PeerMessage):
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


class PauseStream(PeerMessage):
    """The owner asks an entry to pause a patient stream."""

    request_id: ids.RequestId
    attempt: int


class ResumeStream(PeerMessage):
    """The owner lets a paused stream continue."""

    request_id: ids.RequestId
    attempt: int


class LiveGrantsQuery(PeerMessage):
    """A new owner asks for the grants that an entry holds in its group."""

    group: ids.GroupId


class LiveGrants(PeerMessage):
    """An entry's live grants in a group."""

    group: ids.GroupId
    grants: tuple[LiveGrant, ...]


class ClaimRequest(PeerMessage):
    """An entry claims an idempotency key at a witness.

    ``round`` counts the asks of one request with different witnesses.
    """

    key: ids.IdempotencyKey
    customer: ids.CustomerId
    fingerprint: int
    request_id: ids.RequestId
    region: ids.Region
    witnesses: tuple[tuple[ids.InstanceId, ids.Incarnation], ...]
    round: int = 0


class ClaimReply(PeerMessage):
    """A witness's answer.

    With TAKEN, ``same`` says whether the fingerprint was the same and
    ``status`` and ``body`` hold the first outcome where it is known
    (``status`` 0 where it is not). ``whole`` is False when the body was too
    large to be kept.
    """

    key: ids.IdempotencyKey
    customer: ids.CustomerId
    request_id: ids.RequestId
    answer: states.ClaimAnswer
    same: bool = True
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    round: int = 0
    whole: bool = True


class ClaimOutcome(PeerMessage):
    """The answer of a call that ran under a claim.

    ``whole`` is False when the body was too large to be kept.
    """

    key: ids.IdempotencyKey
    customer: ids.CustomerId
    request_id: ids.RequestId
    status: int
    content_type: str
    body: bytes
    whole: bool = True


class ClaimWithdrawn(PeerMessage):
    """The claim's request was not sent under this or an earlier round.

    A later round of the same request may still be sent, so a witness keeps
    a claim that a later round renewed.
    """

    key: ids.IdempotencyKey
    customer: ids.CustomerId
    request_id: ids.RequestId
    round: int = 0


class DemandReport(PeerMessage):
    """A daemon's demand of customers in the last second.

    ``demands`` holds pairs of customer and requests a second.
    """

    demands: tuple[tuple[ids.CustomerId, float], ...]


class ShareReply(PeerMessage):
    """The rates a daemon may use, in requests a second, on a lease."""

    shares: tuple[tuple[ids.CustomerId, float], ...]
    lease_s: float


class Heartbeat(PeerMessage):
    """Sign of life with what the sender knows is newest.

    ``suspects`` are instances the sender cannot reach.
    """

    revision: ids.Revision
    listing_revision: int
    listing_as_of: float
    leaving: bool = False
    reply: bool = False
    suspects: tuple[ids.InstanceId, ...] = ()


class ListingQuery(PeerMessage):
    """Asks a peer for its instance list."""


class ListingUpdate(PeerMessage):
    """An instance list, as one daemon read it.

    With ``base`` above 0, ``instances`` holds only the rows that are new or
    changed since the list of that revision, and ``removed`` those that left.
    """

    revision: int
    as_of: float
    instances: tuple[ListedInstance, ...]
    base: int = 0
    removed: tuple[ids.InstanceId, ...] = ()


class TextDifference(PeerMessage):
    """Changes that turn text ``base`` into text ``revision``.

    ``changes`` is the encoded difference; ``digest`` is of the result.
    """

    base: ids.Revision
    revision: ids.Revision
    changes: bytes
    digest: int


class TextQuery(PeerMessage):
    """Asks a peer for a text newer than ``revision``."""

    revision: ids.Revision


class TextFull(PeerMessage):
    """A whole text, compressed MessagePack."""

    revision: ids.Revision
    body: bytes
    digest: int


class HolderQuery(PeerMessage):
    """Asks a holder which of the ids it still needs."""

    runner: ids.RunnerId
    engine_request_ids: tuple[ids.EngineRequestId, ...]


class HolderReply(PeerMessage):
    """The ids among those asked for that the holder does not need."""

    runner: ids.RunnerId
    unneeded: tuple[ids.EngineRequestId, ...]


class FromPeer(Message):
    """A peer message with its authenticated sender."""

    sender: ids.InstanceId
    incarnation: ids.Incarnation
    message: PeerMessage


class PeerFailed(Message):
    """Messages that did not reach a peer, or may not have."""

    peer: ids.InstanceId
    messages: tuple[PeerMessage, ...]


# Effects.


class StartPrefill(Message):
    """Run a prefill and leave its KV cache exported for ``lease_s``.

    ``continuation`` is the text generated so far, when a stream moves to
    another engine; the prefill covers it as well.
    """

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    service: ids.ServiceId
    prompt: str
    continuation: str
    priority: int
    lease_s: float
    timeout_s: float


class StartDecode(Message):
    """Import the KV cache and stream tokens from ``offset`` on."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    service: ids.ServiceId
    kv: KvTransfer
    prompt: str
    max_tokens: int
    priority: int
    offset: int


class ReattachStream(Message):
    """Ask for a running stream again over a new connection."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    offset: int


class CancelUpstream(Message):
    """Free what a runner holds for an engine request id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class PauseUpstream(Message):
    """Pause a stream at its engine."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class ResumeUpstream(Message):
    """Continue a paused stream at its engine."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class CallPlain(Message):
    """Send a call to a plain service."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float


class SendTokens(Message):
    """Pass tokens to the caller."""

    request_id: ids.RequestId
    tokens: tuple[str, ...]


class FinishCaller(Message):
    """End the caller's answer cleanly."""

    request_id: ids.RequestId
    finish: str
    prompt_tokens: int
    output_tokens: int


class RefuseCaller(Message):
    """Refuse a request of which nothing was sent to the caller."""

    request_id: ids.RequestId
    reason: states.RefusalReason
    ran: states.Ran
    retry_after_s: float | None = None
    detail: str = ''


class AbortCaller(Message):
    """End a stream with an error after part of it was sent."""

    request_id: ids.RequestId
    reason: states.RefusalReason
    detail: str = ''


class AnswerPlain(Message):
    """Pass a plain service's answer to the caller."""

    request_id: ids.RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False


class PollLoad(Message):
    """Ask a runner for its load."""

    runner: ids.RunnerId


class PollCacheEvents(Message):
    """Ask a runner for its prefix cache events after ``since``."""

    runner: ids.RunnerId
    since: int


class ListRequests(Message):
    """Ask a runner which engine requests it holds."""

    runner: ids.RunnerId


class GiveOrder(Message):
    """Give a runner an order."""

    runner: ids.RunnerId
    fencing_token: int
    kind: str
    value: str


class ReadRunnerState(Message):
    """Read back what a runner has loaded."""

    runner: ids.RunnerId


class SendPeer(Message):
    """Send a message to another daemon."""

    destination: ids.InstanceId
    message: PeerMessage


class WatchConfiguration(Message):
    """Wait for a text newer than ``after``; ``wait_s`` 0 reads at once."""

    after: ids.Revision
    wait_s: float


class ReadInstanceList(Message):
    """Read the platform's instance list."""


class Count(Message):
    """Increment a counter."""

    name: str
    value: int = 1


class DrainFinished(Message):
    """No request is left in progress."""


Inbound = Message
Outbound = Message
