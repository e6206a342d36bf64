"""Configuration, states, outcomes and events of the engine model."""

import enum
from typing import NamedTuple

import msgspec

from primrosereel import _states as states

__all__ = [
    'Chunk',
    'Counters',
    'EngineConfig',
    'EngineState',
    'Event',
    'HeldRequest',
    'ImportEnded',
    'Kv',
    'LoadView',
    'OrderEnded',
    'Outcome',
    'Paused',
    'PrefillEnded',
    'Resumed',
    'State',
    'StreamEnded',
    'StreamStarted',
]


class EngineConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity, speed and delays of one engine.

    ``places`` is the number of streams in a full batch, ``decode_step_s`` the
    duration of one decode step of that batch. KV cache memory consists of
    ``pieces`` blocks of ``piece_tokens`` tokens each. An unused prefill
    result is evicted ``kv_eviction_s`` after it is exported, or
    ``pin_limit_s`` after its transfer has begun. If ``models`` is empty, any
    model name is served. Each load order reads ``weights_bytes`` from the
    weight store.
    """

    runner: str = 'runner'
    role: states.Role = states.Role.DECODE
    places: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    link_bytes_s: float = 10e9
    kv_bytes_per_token: int = 160_000
    prefill_tokens_s: float = 20_000.0
    decode_step_s: float = 0.03
    cache_blocks: int = 4096
    kv_eviction_s: float = 0.8
    pin_limit_s: float = 10.0
    reader_grace_s: float = 3.0
    load_lag_s: float = 0.5
    cache_event_lag_s: float = 0.3
    cache_event_loss: float = 0.0
    checks_fencing: bool = False
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    weights_bytes: int = 10_000_000_000
    weight_store_bytes_s: float = 10e9


class Outcome(enum.Enum):
    """Immediate result of a call to the engine."""

    OK = 'ok'
    FULL = 'full'
    LEAVING = 'leaving'
    NOT_FOUND = 'not_found'
    CONFLICT = 'conflict'
    WRONG_ROLE = 'wrong_role'
    NO_MODEL = 'no_model'
    OLD_TOKEN = 'old_token'
    DROPPED = 'dropped'


class State(enum.Enum):
    """Stage of a request that the engine holds."""

    QUEUED = 'queued'
    PREFILLING = 'prefilling'
    EXPORTED = 'exported'
    IMPORTING = 'importing'
    DECODING = 'decoding'
    PAUSING = 'pausing'
    PAUSED = 'paused'
    RESUMING = 'resuming'
    FINISHED = 'finished'


class Kv(NamedTuple):
    """An exported KV cache."""

    handle: str
    runner: str
    tokens: int
    bytes: int


class PrefillEnded(NamedTuple):
    """A prefill finished; ``cost_s`` is the compute time it took."""

    time: float
    request_id: str
    kv: Kv
    cached_tokens: int
    cost_s: float


class ImportEnded(NamedTuple):
    """A decode engine no longer reads a KV cache.

    The code that drives the models then calls ``release_export`` on the
    prefill engine. ``ok`` is false if the import was abandoned.
    """

    time: float
    request_id: str
    ok: bool


class StreamStarted(NamedTuple):
    """A stream produced its first token."""

    time: float
    request_id: str


class StreamEnded(NamedTuple):
    """A stream ended.

    ``reason`` is ``length`` or ``stop`` for a stream that finished, and
    ``cancelled``, ``abandoned`` (no reader) or ``crashed`` for one that did
    not.
    """

    time: float
    request_id: str
    end: int
    reason: str


class Paused(NamedTuple):
    """A stream's KV cache has been moved to host memory."""

    time: float
    request_id: str


class Resumed(NamedTuple):
    """A paused stream's KV cache has been moved back."""

    time: float
    request_id: str


class OrderEnded(NamedTuple):
    """A load of a model or an adapter finished."""

    time: float
    kind: str
    value: str


Event = (
    PrefillEnded
    | ImportEnded
    | StreamStarted
    | StreamEnded
    | Paused
    | Resumed
    | OrderEnded
)


class Chunk(NamedTuple):
    """Tokens of a stream, the first of them at ``offset``.

    ``finish`` is the finish reason if the last token is included. ``gone``
    means that the engine no longer holds the stream. ``garbled`` and ``cut``
    are injected faults: unreadable data, and an end without a finish reason.
    """

    request_id: str
    offset: int
    tokens: tuple[str, ...]
    finish: str | None = None
    gone: bool = False
    garbled: bool = False
    cut: bool = False


class HeldRequest(msgspec.Struct, frozen=True):
    """One request that the engine holds, and its memory in pieces."""

    request_id: str
    state: State
    pieces: int


class LoadView(msgspec.Struct, frozen=True):
    """A load report; ``age_s`` is the age of its values in seconds."""

    places: int
    busy: int
    queued: int
    pieces: int
    free_pieces: int
    backlog_tokens: int
    incarnation: int
    leaving: bool
    age_s: float


class EngineState(msgspec.Struct, frozen=True):
    """What an engine has loaded and the last fencing token it accepted."""

    role: states.Role
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    fencing_token: int
    incarnation: int


class Counters(msgspec.Struct):
    """Exact counts of an engine's work, for tests and measurements.

    ``prefill_tokens`` counts computed (uncached) prompt tokens. Of these,
    ``wasted_tokens`` belong to results that were evicted unused, and
    ``cancelled_tokens`` to prefills that were cancelled after they started.
    """

    prefills_started: int = 0
    prefills_done: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    evicted_unused: int = 0
    wasted_tokens: int = 0
    cancelled_tokens: int = 0
    decodes_started: int = 0
    decodes_done: int = 0
    decode_tokens: int = 0
    refused_full: int = 0
    cancelled: int = 0
    cancels_dropped: int = 0
    abandoned: int = 0
    pauses: int = 0
    resumes: int = 0
    orders_taken: int = 0
    orders_refused: int = 0
    crashes: int = 0
    places_held: int = 0
    places_highest: int = 0
    pieces_held: int = 0
    pieces_highest: int = 0
    requests_held: int = 0
