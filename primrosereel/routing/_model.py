"""Value types of routing: routes, services, runners and requests."""

import dataclasses
import enum
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states

__all__ = [
    'Address',
    'CallerLimits',
    'Engine',
    'LoadReport',
    'MoveAnswer',
    'MoveOutcome',
    'PrefillResult',
    'RequestFacts',
    'ResponseFacts',
    'Route',
    'RouteKind',
    'RunOptions',
    'RunnerListing',
    'Service',
    'WeightedService',
]

# Used if a request does not state its number of tokens.
DEFAULT_PROMPT_TOKENS = 1000
DEFAULT_OUTPUT_TOKENS = 200


class Address(NamedTuple):
    """An IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class RouteKind(enum.Enum):
    """How often a request may run, and whether its response is streamed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class WeightedService(NamedTuple):
    """A service and its share of a route's requests."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to services, with time limits and latency targets.

    ``priority`` 0 is the most urgent. ``max_attempts`` counts runners
    and includes the first one. ``gap_target_s`` is None on routes without
    streams. A ``public`` route needs no key of a client account.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int
    resumable: bool = False
    gap_target_s: float | None = None
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of one engine of a service; ``kv_tokens`` is its memory.

    ``switch_s`` is the duration of a role change, and ``moves`` tells whether
    running streams can be moved between engines.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_mbps: float
    handle_ttl_s: float
    switch_s: float = 6.0
    moves: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None for plain services."""

    name: ids.ServiceId
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerListing:
    """A runner's entry in the platform's list.

    ``cold_s`` is the remaining time of a cold start, and ``born_ms`` when the
    runner started. Since then ``sequence`` increases with what the runner
    writes.
    """

    runner: ids.RunnerId
    service: ids.ServiceId
    address: Address
    availability_zone: ids.AvailabilityZone
    role: states.Role
    slots: int
    leaving: bool
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0

    @property
    def routing_fields(self) -> tuple[Any, ...]:
        """The fields that affect routing."""
        return (
            self.service,
            self.address,
            self.role,
            self.leaving,
            self.born_ms,
        )


class LoadReport(NamedTuple):
    """Load that a runner's response reports; ``slowness`` 1.0 is typical."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """Values from the headers of a request.

    ``deadline_s`` is how long the caller waits, None if it is not stated.
    ``states_tokens`` is set if the caller stated the tokens, even if a number
    was not valid and the default stands for it.
    """

    request_id: str = ''
    deadline_s: float | None = None
    prompt_tokens: int = DEFAULT_PROMPT_TOKENS
    output_tokens: int = DEFAULT_OUTPUT_TOKENS
    last_event_id: int | None = None
    # The caller's estimate of the output tokens; often inaccurate.
    length_hint: int | None = None
    # The parts of the prompt that other requests may share, in order.
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    states_tokens: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunOptions:
    """Options that the router adds to a request to a runner."""

    runner: ids.RunnerId
    deadline_s: float
    priority: int | None = None
    prefill_only: bool = False
    handle: str | None = None
    last_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseFacts:
    """Values from the headers of a runner's response.

    ``not_run`` is set if the runner states that the request did not run,
    ``signed`` if the response has the runner's signature, and ``leaving`` if
    the runner states that it leaves. For ``retry_after_s`` seconds after a
    refusal the runner wants no requests. ``invalid_headers`` names headers on
    the runner's availability whose values were ignored.
    """

    request_id: str | None = None
    signed: bool = False
    not_run: bool = False
    encoded: bool = False
    load: LoadReport | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    invalid_headers: tuple[str, ...] = ()


class PrefillResult(NamedTuple):
    """The handle under which a prefill runner keeps a prompt's KV cache."""

    handle: str
    tokens: int


class MoveOutcome(enum.Enum):
    """What a runner answers to a call that copies a running request."""

    COPIED = 'copied'
    # The request was stopped, and the target has no room for the copy or
    # cannot be reached; the runner keeps the KV cache.
    NO_ROOM = 'no_room'
    NO_RUN = 'no_run'
    # The answer does not tell whether the request was stopped.
    UNCLEAR = 'unclear'


class MoveAnswer(NamedTuple):
    """An answer to a call that copies a running request.

    ``handle`` names the KV cache; it is None unless it was copied or is kept.
    """

    outcome: MoveOutcome
    status: int
    handle: str | None = None
