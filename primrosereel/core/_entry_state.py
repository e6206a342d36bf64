"""State of the completion requests that callers sent to this instance."""

from collections.abc import Callable
import dataclasses
import enum
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _cancels as cancels_module
from primrosereel.core import _messages as messages
from primrosereel.core import _release_retries as release_retries
from primrosereel.core import _tables as tables
from primrosereel.core import _timers as timers_module

__all__ = [
    'DirectChoice',
    'KV_EXPORT_LIFETIME_S',
    'Pause',
    'Prefill',
    'CompletionRequest',
    'EntryState',
    'Stream',
]

# Engines evict an exported KV cache in about a second.
KV_EXPORT_LIFETIME_S = 1.0

# direct_choice(world, service, group, exclude, kv)
DirectChoice = Callable[..., tuple[ids.RunnerId | None, ids.RunnerId] | None]


class Pause(enum.Enum):
    """Whether a stream is paused at its engine."""

    RUNNING = 'running'
    WANTED = 'wanted'
    PAUSING = 'pausing'
    PAUSED = 'paused'
    RESUMING = 'resuming'


@dataclasses.dataclass(slots=True)
class Prefill:
    """The prefill whose KV cache a request uses or waits for.

    ``attempt`` is the one it was started under; a later attempt may decode
    its KV cache. ``tokens`` is the work counted as wasted when the KV cache
    is never decoded.
    """

    runner: ids.RunnerId
    attempt: int
    tokens: int
    repeats_work: bool
    kv: messages.KvTransfer | None = None
    exported_at: float = -math.inf
    settled: bool = False

    @property
    def exported_until(self) -> float:
        """When the engine is expected to have evicted the KV cache."""
        return self.exported_at + KV_EXPORT_LIFETIME_S

    def is_exported(self, now: float) -> bool:
        """Return whether the KV cache is likely to be still exported."""
        return self.kv is not None and now < self.exported_until


@dataclasses.dataclass(slots=True)
class Stream:
    """A decode on one runner, as the entry instance sees it.

    ``token_gap_s`` is seconds per token in the last window of tokens.
    """

    runner: ids.RunnerId
    progress_at: float
    token_gap_s: float
    first_token_timeout_s: float
    has_tokens: bool = False
    window_start: float = 0.0
    window_tokens: int = 0
    gap_measured: bool = False
    slow_reported: bool = False
    reattaches: int = 0
    detached: bool = False
    pause: Pause = Pause.RUNNING
    pause_ordered_at: float = 0.0
    pause_sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class CompletionRequest:
    """One accepted completion request.

    ``sent_tokens`` are the tokens sent to the caller; their number is the
    offset at which the stream continues. ``holds`` lists the engine request
    ids for which runners may hold memory. ``may_have_run`` are the attempts
    that an engine may have worked on.
    """

    call: messages.CompletionReceived
    client_account: ids.ClientAccountId
    priority: int
    service: text_module.Service
    model: text_module.Model
    deadline: float
    state: states.RequestState = states.RequestState.WAITING_GRANT
    attempt: int = 0
    group: ids.GroupId = ids.GroupId('')
    groups_tried: tuple[ids.GroupId, ...] = ()
    owner: ids.InstanceId | None = None
    owner_answered: bool = False
    exclude: tuple[ids.RunnerId, ...] = ()
    retries: int = 0
    prefill: Prefill | None = None
    prefill_deadline: float = math.inf
    decode_runner: ids.RunnerId | None = None
    stream: Stream | None = None
    renew_at: float = math.inf
    sent_tokens: list[str] = dataclasses.field(default_factory=list)
    holds: set[cancels_module.Hold] = dataclasses.field(default_factory=set)
    may_have_run: set[int] = dataclasses.field(default_factory=set)

    @property
    def id(self) -> ids.RequestId:
        """The request's id."""
        return self.call.request_id

    @property
    def kv(self) -> messages.KvTransfer | None:
        """The exported KV cache, while it is kept for another decode."""
        return None if self.prefill is None else self.prefill.kv

    @property
    def ran(self) -> states.Ran:
        """What is known of the request's execution."""
        if self.may_have_run:
            return states.Ran.UNKNOWN
        return states.Ran.NOT_RUN

    def hold(
        self, runner: ids.RunnerId, attempt: int | None = None
    ) -> cancels_module.Hold:
        """Return a runner's hold for an attempt, by default the current."""
        number = self.attempt if attempt is None else attempt
        return cancels_module.Hold(
            runner, ids.engine_request_id(self.id, number)
        )


class EntryState:
    """The requests of one entry instance and what its modules share."""

    def __init__(
        self, world: tables.World, direct_choice: DirectChoice
    ) -> None:
        self.world = world
        self.requests: dict[ids.RequestId, CompletionRequest] = {}
        self.timers: timers_module.Timers[ids.RequestId] = (
            timers_module.Timers()
        )
        self.cancels = cancels_module.Cancels(world)
        self.release_retries = release_retries.ReleaseRetries(world)
        self.direct_choice = direct_choice
