"""The interfaces to the platform that the gateway needs, as protocols."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import NamedTuple
from typing import Protocol

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _model as model
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _table as table_module

__all__ = [
    'EntryFault',
    'HistoryLost',
    'HttpCall',
    'MetadataStore',
    'RequestDialect',
    'StaleAnswer',
    'StoreChange',
    'StoreError',
    'StoreOrigin',
    'StoreResponse',
    'StoreState',
    'StoreUnavailable',
]

Headers = Sequence[tuple[bytes, bytes]]


class StoreOrigin(NamedTuple):
    """Which history of the store a response belongs to.

    ``era`` rises each time the store comes back from a copy, and is None if
    the response does not name it. ``unreadable`` is a value that is no era.
    """

    era: ids.StoreEra | None = None
    unreadable: str = ''


NO_ORIGIN = StoreOrigin()


class StoreError(Exception):
    """A call to the store returned no usable response.

    ``origin`` is that of the response, if there was one.
    """

    def __init__(
        self, detail: str = '', origin: StoreOrigin = NO_ORIGIN
    ) -> None:
        super().__init__(detail)
        self.origin = origin


class StoreUnavailable(StoreError):
    """The store did not respond, refused, or sent an unreadable response."""


class HistoryLost(StoreError):
    """The store no longer has the history that a watch asked for."""


class StaleAnswer(StoreError):
    """An answer is from before a return of the store that is known."""


class EntryFault(enum.Enum):
    """Why an entry cannot be used."""

    UNREADABLE = 'unreadable'
    # It is well formed but for a number that no true entry has.
    OUT_OF_RANGE = 'out_of_range'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChange:
    """One store entry: a runner, a configuration, or an unrelated entry.

    ``fault`` is None if the entry could be read, and ``detail`` names the
    field that it is due to. ``revision`` is that of the entry's last change.
    """

    key: str = ''
    runner: runner_list.ListingChange | None = None
    table: table_module.RoutingTable | None = None
    fault: EntryFault | None = None
    detail: str = ''
    revision: int = 0


class StoreResponse(NamedTuple):
    """A response of the store, as it was received."""

    status: int
    headers: Headers
    body: bytes


class StoreState(NamedTuple):
    """Entries, and the revision up to which they are complete.

    ``relevant_revision`` is that of the last change of a runner or of the
    configuration, None if there is none. ``content`` holds these changes for
    ``MetadataStore.decode``.
    """

    changes: tuple[StoreChange, ...]
    revision: int
    relevant_revision: int | None = None
    content: bytes = b''
    origin: StoreOrigin = NO_ORIGIN


class HttpCall(Protocol):
    """Makes one HTTP request to the store."""

    async def __call__(
        self, method: bytes, target: bytes, limit: int, wait_s: float
    ) -> StoreResponse:
        """Return the response, or raise StoreUnavailable.

        ``limit`` bounds the body in bytes; ``wait_s`` is how long the store
        is asked to wait before it responds.
        """


class MetadataStore(Protocol):
    """The platform's store; access is read-only."""

    async def read(self) -> StoreState:
        """Read all entries; they are of one history."""

    async def watch(self, after: int, wait_s: float) -> StoreState:
        """Wait for changes after a revision."""

    def decode(self, content: bytes) -> tuple[StoreChange, ...]:
        """Return the changes that another instance has read.

        Raises StoreUnavailable if they cannot be decoded.
        """


class RequestDialect(Protocol):
    """Header names and formats of requests and of runners' responses."""

    readiness_path: bytes

    def request_facts(self, headers: Headers) -> model.RequestFacts:
        """Decode a caller's headers."""

    def authorization(self, headers: Headers) -> list[bytes]:
        """Return the values of all header fields with credentials."""

    def challenge(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that ask a caller for a key."""

    def forwarded(
        self, headers: Headers, with_accounts: bool
    ) -> list[tuple[bytes, bytes]]:
        """Return the caller's headers that are forwarded to a runner."""

    def run_headers(
        self, options: model.RunOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that the router adds."""

    def account_headers(
        self, account: ids.ClientAccountId
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that tell a runner who calls."""

    def response_facts(
        self, status: int, headers: Headers
    ) -> model.ResponseFacts:
        """Decode the headers of a runner's response."""

    def prefill_result(
        self, address: model.Address, body: bytes
    ) -> model.PrefillResult | None:
        """Decode the response to a prefill."""

    def role_order(
        self,
        runner: ids.RunnerId,
        role: states.Role,
        holder: str,
        fencing_token: int,
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Return method, target, headers and body of a role order."""

    def move(
        self,
        runner: ids.RunnerId,
        request_id: str,
        target: model.Address,
        last: bool,
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Return the call that copies a running request to another runner."""

    def move_answer(
        self, status: int, source: model.Address, last: bool, body: bytes
    ) -> model.MoveAnswer:
        """Decode the response to a ``move`` call."""

    def free_handle(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the call that frees a KV handle."""
