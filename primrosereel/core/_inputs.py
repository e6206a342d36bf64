# Subclasses inherit ``frozen`` in msgspec, which mypy does not know.
# mypy: disable-error-code="misc"
"""Messages from the adapters into the core."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _message_values as values

__all__ = [
    'CacheEventsReceived',
    'CallerLeft',
    'CancelConfirmed',
    'CancelFailed',
    'CompletionReceived',
    'ConfigurationFailed',
    'ConfigurationRead',
    'ConfigurationUnchanged',
    'DrainRequested',
    'FromPeer',
    'InstanceListRead',
    'LoadFailed',
    'LoadReported',
    'OrderAnswered',
    'PeerFailed',
    'PlainAnswered',
    'PlainFailed',
    'PlainReceived',
    'PrefillDone',
    'PrefillFailed',
    'RequestsListed',
    'RunnerStateRead',
    'StreamClosed',
    'StreamPaused',
    'StreamResumed',
    'TextChanged',
    'TokensReceived',
]


class CompletionReceived(values.Message):
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


class PlainReceived(values.Message):
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


class CallerLeft(values.Message):
    """The caller closed its connection before the answer was complete."""

    request_id: ids.RequestId


class PrefillDone(values.Message):
    """A prefill finished and its KV cache is exported."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    kv: values.KvTransfer
    cached_tokens: int
    seconds: float


class PrefillFailed(values.Message):
    """A prefill failed; ``ran`` says whether it may have run."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError
    ran: states.Ran


class TokensReceived(values.Message):
    """Tokens of a stream, the first of them at ``offset``."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    offset: int
    tokens: tuple[str, ...]
    finish: str | None = None


class StreamClosed(values.Message):
    """A decode stream ended without a finish reason."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError


class StreamPaused(values.Message):
    """The engine moved a stream's KV cache to its host memory."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class StreamResumed(values.Message):
    """The engine continues a paused stream."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class CancelConfirmed(values.Message):
    """The engine no longer holds memory for the id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class CancelFailed(values.Message):
    """It is unknown whether the engine still holds memory for the id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class PlainAnswered(values.Message):
    """A plain service answered."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds: float


class PlainFailed(values.Message):
    """A call to a plain service failed.

    ``ran`` is NOT_RUN only when no byte of the request was sent.
    """

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    error: states.UpstreamError
    ran: states.Ran


class LoadReported(values.Message):
    """A runner answered a load poll."""

    runner: ids.RunnerId
    report: values.LoadReport


class LoadFailed(values.Message):
    """A runner did not answer a load poll."""

    runner: ids.RunnerId


class CacheEventsReceived(values.Message):
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


class RequestsListed(values.Message):
    """The engine request ids a runner holds memory for."""

    runner: ids.RunnerId
    engine_request_ids: tuple[ids.EngineRequestId, ...]


class OrderAnswered(values.Message):
    """Result of an order; ``accepted`` is None when there was no answer."""

    runner: ids.RunnerId
    fencing_token: int
    accepted: bool | None


class RunnerStateRead(values.Message):
    """What a runner has loaded and the token of its last order."""

    runner: ids.RunnerId
    role: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    fencing_token: int


class ConfigurationRead(values.Message):
    """The configuration service returned a text.

    ``body`` is JSON with comments; ``revision`` is the service's own.
    """

    revision: ids.Revision
    body: bytes


class ConfigurationFailed(values.Message):
    """A read or watch of the configuration service failed."""


class ConfigurationUnchanged(values.Message):
    """The configuration service has no text newer than the local one.

    The answer to a read or watch that ended with status 204.
    """


class InstanceListRead(values.Message):
    """The platform's instance list; ``as_of`` is wall-clock seconds."""

    revision: int
    as_of: float
    instances: tuple[values.ListedInstance, ...]


class DrainRequested(values.Message):
    """The process is to stop gracefully."""


class TextChanged(values.Message):
    """Another text is in force; emitted by the configuration system."""

    revision: ids.Revision


class FromPeer(values.Message):
    """A peer message with its authenticated sender."""

    sender: ids.InstanceId
    incarnation: ids.Incarnation
    message: values.PeerMessage


class PeerFailed(values.Message):
    """Messages that did not reach a peer, or may not have."""

    peer: ids.InstanceId
    messages: tuple[values.PeerMessage, ...]
