"""Enumerations of states and reasons.

The values appear in answers to callers, in logs and in the names of counters,
so they must not change.
"""

import enum

__all__ = [
    'CallKind',
    'ClaimAnswer',
    'EndReason',
    'PeerState',
    'Ran',
    'RefusalReason',
    'RequestState',
    'RetryReason',
    'Role',
    'ServiceKind',
    'Stage',
    'UpstreamError',
]


class Ran(enum.Enum):
    """What is known about the execution of a refused request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RefusalReason(enum.Enum):
    """Why a request was refused or ended without a complete answer."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    PROMPT_TOO_LARGE = 'prompt_too_large'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    REQUEST_QUARANTINED = 'request_quarantined'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    UNAUTHENTICATED = 'unauthenticated'
    UNAUTHENTICATED_STALE = 'unauthenticated_stale'
    UNCONFIRMED_VERSION = 'unconfirmed_version'
    PRIORITY_NOT_ALLOWED = 'priority_not_allowed'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_CALL = 'unknown_call'
    RATE_LIMITED = 'rate_limited'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    NO_CAPACITY = 'no_capacity'
    NO_RUNNER = 'no_runner'
    RUNNERS_BACKING_OFF = 'runners_backing_off'
    DEPENDENCY_UNAVAILABLE = 'dependency_unavailable'
    NO_CONFIGURATION = 'no_configuration'
    DRAINING = 'draining'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_INVALID = 'idempotency_key_invalid'
    KEY_TOO_OLD = 'idempotency_key_too_old'
    KEY_IN_FUTURE = 'idempotency_key_in_future'
    KEY_IN_USE = 'idempotency_key_in_use'
    KEY_MISMATCH = 'idempotency_key_mismatch'
    WITNESS_UNREACHABLE = 'witness_unreachable'
    WITNESS_DISAGREES = 'witness_disagrees'
    MEMBERSHIP_STALE = 'membership_stale'
    CLAIMS_FULL = 'claims_full'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    RETRY_BUDGET = 'retry_budget'
    CALLER_MEMORY = 'caller_memory'
    INTERNAL = 'internal'


class EndReason(enum.Enum):
    """Why a connection ended without a complete answer to its request."""

    CALLER_GONE = 'caller_gone'
    STREAM_CUT = 'stream_cut'
    INTERNAL_ERROR = 'internal_error'
    PROCESS_STOPPED = 'process_stopped'


class RetryReason(enum.Enum):
    """Why a request was attempted again."""

    OWNER_SILENT = 'owner_silent'
    CONNECT_FAILED = 'connect_failed'
    ENGINE_FULL = 'engine_full'
    PREFILL_FAILED = 'prefill_failed'
    KV_CACHE_GONE = 'kv_cache_gone'
    RUNNER_REPLACED = 'runner_replaced'
    DECODE_FAILED = 'decode_failed'
    STREAM_SILENT = 'stream_silent'
    STREAM_BROKEN = 'stream_broken'
    PLAIN_NOT_RUN = 'plain_not_run'
    PLAIN_IDEMPOTENT = 'plain_idempotent'
    CANCEL_UNCONFIRMED = 'cancel_unconfirmed'
    CLAIM_UNANSWERED = 'claim_unanswered'


class Role(enum.Enum):
    """The phase or kind of work that a runner does."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class ServiceKind(enum.Enum):
    """Whether a service's runners are engines or plain services."""

    LLM = 'llm'
    PLAIN = 'plain'


class CallKind(enum.Enum):
    """Whether a call may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


class RequestState(enum.Enum):
    """State of a completion request at its entry instance."""

    WAITING_GRANT = 'waiting_grant'
    PREFILL = 'prefill'
    DECODE = 'decode'
    DONE = 'done'


class Stage(enum.Enum):
    """Progress that an entry reports to the group owner of its request."""

    PREFILL_DONE = 'prefill_done'
    DECODING = 'decoding'
    RENEWED = 'renewed'
    PAUSED = 'paused'
    RESUMED = 'resumed'
    RELEASED = 'released'


class ClaimAnswer(enum.Enum):
    """A witness's answer to a claim on an idempotency key."""

    CONSENT = 'consent'
    ABSTAIN = 'abstain'
    TAKEN = 'taken'
    TOO_OLD = 'too_old'
    IN_FUTURE = 'in_future'
    STALE = 'stale'
    VIEW_MISMATCH = 'view_mismatch'
    FULL = 'full'


class PeerState(enum.Enum):
    """What is known about another instance."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


class UpstreamError(enum.Enum):
    """How a call to an upstream failed."""

    CONNECT = 'connect'
    FULL = 'full'
    KV_GONE = 'kv_gone'
    NOT_FOUND = 'not_found'
    TIMEOUT = 'timeout'
    BROKEN = 'broken'
    PROTOCOL = 'protocol'
    STATUS = 'status'
