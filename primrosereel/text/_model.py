"""The operators' text as typed, immutable data.

The text lists the models, the services with their runners and dependencies,
and the client accounts. ``primrosereel.text`` parses and checks it;
everything else only reads these structures.
"""

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states

__all__ = ['Call', 'ClientAccount', 'Model', 'Runner', 'Service', 'Text']


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of a model that the router plans requests with.

    ``prefill_tokens_s`` is prompt tokens per second on one runner,
    ``decode_step_s`` the seconds of one step of a full batch, and
    ``kv_bytes_per_token`` bytes of KV cache for one token.
    """

    prefill_tokens_s: float
    decode_step_s: float
    kv_bytes_per_token: int
    context_tokens: int


class Runner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One upstream of a service.

    ``places`` is the batch size of a decode engine or the number of calls
    that a plain service runs at a time; ``pieces`` is the number of pieces of
    KV memory, of ``piece_tokens`` tokens each; ``link_bytes_s`` is the
    bandwidth of its KV link.
    """

    address: str
    availability_zone: ids.AvailabilityZone
    role: states.Role
    places: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    link_bytes_s: float = 10e9
    leaving: bool = False
    checks_fencing: bool = False


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of call of a plain service.

    ``path`` is a prefix of the path below the service; the longest match of
    method and prefix applies.
    """

    method: str
    path: str
    kind: states.CallKind = states.CallKind.NON_IDEMPOTENT
    timeout_s: float = 10.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, its runners and the services it depends on."""

    kind: states.ServiceKind
    region: ids.Region
    runners: dict[ids.RunnerId, Runner]
    model: ids.ModelId | None = None
    adapters: tuple[str, ...] = ()
    depends_on: tuple[ids.ServiceId, ...] = ()
    calls: tuple[Call, ...] = ()
    first_token_s: float = 0.36
    token_gap_s: float = 0.069
    max_wait_s: float = 30.0
    queue_limit: int = 64


class ClientAccount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account's key, priority and limits.

    ``priority`` is the default and the highest priority of its requests.
    ``rate`` is requests per second over all daemons; ``weight`` is its share
    of a queue against other client accounts of the same priority.
    """

    key_sha256: str
    services: tuple[ids.ServiceId, ...]
    priority: int = 0
    rate: float = 10.0
    burst: float = 20.0
    weight: float = 1.0


class Text(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' text."""

    models: dict[ids.ModelId, Model]
    services: dict[ids.ServiceId, Service]
    client_accounts: dict[ids.ClientAccountId, ClientAccount]
