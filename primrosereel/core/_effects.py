# Subclasses inherit ``frozen`` in msgspec, which mypy does not know.
# mypy: disable-error-code="misc"
"""Effects: what the core asks the adapters to do."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _message_values as values

__all__ = [
    'AbortCaller',
    'AnswerPlain',
    'CallPlain',
    'CancelUpstream',
    'Count',
    'DrainFinished',
    'FinishCaller',
    'GiveOrder',
    'ListRequests',
    'PauseUpstream',
    'PollCacheEvents',
    'PollLoad',
    'ReadInstanceList',
    'ReadRunnerState',
    'ReattachStream',
    'RefuseCaller',
    'ResumeUpstream',
    'SendPeer',
    'SendTokens',
    'StartDecode',
    'StartPrefill',
    'WatchConfiguration',
]


class StartPrefill(values.Message):
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


class StartDecode(values.Message):
    """Import the KV cache and stream tokens from ``offset`` on."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    service: ids.ServiceId
    kv: values.KvTransfer
    prompt: str
    max_tokens: int
    priority: int
    offset: int


class ReattachStream(values.Message):
    """Request a running stream again over a new connection."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    offset: int


class CancelUpstream(values.Message):
    """Free the memory that a runner holds for an engine request id."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


class PauseUpstream(values.Message):
    """Pause a stream at its engine."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class ResumeUpstream(values.Message):
    """Continue a paused stream at its engine."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId


class CallPlain(values.Message):
    """Send a call to a plain service."""

    request_id: ids.RequestId
    attempt: int
    runner: ids.RunnerId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float


class SendTokens(values.Message):
    """Pass tokens to the caller."""

    request_id: ids.RequestId
    tokens: tuple[str, ...]


class FinishCaller(values.Message):
    """End the caller's answer cleanly."""

    request_id: ids.RequestId
    finish: str
    prompt_tokens: int
    output_tokens: int


class RefuseCaller(values.Message):
    """Refuse a request before any part of its answer was sent."""

    request_id: ids.RequestId
    reason: states.RefusalReason
    ran: states.Ran
    retry_after_s: float | None = None
    detail: str = ''


class AbortCaller(values.Message):
    """End a stream with an error after part of it was sent."""

    request_id: ids.RequestId
    reason: states.RefusalReason
    detail: str = ''


class AnswerPlain(values.Message):
    """Pass a plain service's answer to the caller."""

    request_id: ids.RequestId
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False


class PollLoad(values.Message):
    """Ask a runner for its load."""

    runner: ids.RunnerId


class PollCacheEvents(values.Message):
    """Ask a runner for its prefix cache events after ``since``."""

    runner: ids.RunnerId
    since: int


class ListRequests(values.Message):
    """Ask a runner which engine requests it holds."""

    runner: ids.RunnerId


class GiveOrder(values.Message):
    """Give a runner an order."""

    runner: ids.RunnerId
    fencing_token: int
    kind: str
    value: str


class ReadRunnerState(values.Message):
    """Read which models and adapters a runner has loaded."""

    runner: ids.RunnerId


class SendPeer(values.Message):
    """Send a message to another daemon."""

    destination: ids.InstanceId
    message: values.PeerMessage


class WatchConfiguration(values.Message):
    """Wait for a text newer than ``after``; ``wait_s`` 0 reads at once."""

    after: ids.Revision
    wait_s: float


class ReadInstanceList(values.Message):
    """Read the platform's instance list."""


class Count(values.Message):
    """Increment a counter."""

    name: str
    value: int = 1


class DrainFinished(values.Message):
    """No request is left in progress."""
