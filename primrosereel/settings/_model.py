"""The daemon's settings as typed, immutable data."""

import dataclasses

from primrosereel import _ids as ids

__all__ = [
    'Callers',
    'Drain',
    'Operators',
    'Peers',
    'Platform',
    'Seed',
    'Settings',
    'Tls',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Tls:
    """Paths of PEM files.

    ``authority`` is the CA that signs the other side's certificate; None if
    the other side presents no certificate.
    """

    certificate: str
    key: str
    authority: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The port for callers and its limits.

    ``max_requests`` bounds the requests open at a time; the other limits
    are for a single request.
    """

    address: str
    tls: Tls | None = None
    max_requests: int = 1000
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 32_768
    max_prompt_tokens: int = 100_000
    max_output_tokens: int = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """The port for operators.

    Without ``token_sha256`` only the paths that need no token are served.
    """

    address: str
    token_sha256: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A daemon to contact while the instance list cannot be read."""

    instance: ids.InstanceId
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """The port for the other daemons."""

    address: str
    tls: Tls | None = None
    seeds: tuple[Seed, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Base URLs of the configuration service and the instance list."""

    configuration: str
    instances: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Graceful shutdown.

    New requests are still accepted for ``grace_s`` seconds after the stop
    signal or command, until the load balancer has noticed that the daemon is
    not ready; ``limit_s`` bounds the wait for the requests in progress.
    """

    grace_s: float = 3.0
    limit_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a daemon."""

    instance: ids.InstanceId
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    callers: Callers
    operators: Operators
    peers: Peers
    platform: Platform
    drain: Drain = Drain()
    incarnation: ids.Incarnation | None = None
    statsd: str | None = None
    log_level: str = 'info'
    # Signs the header that marks calls made on behalf of another request.
    secret: str | None = None
