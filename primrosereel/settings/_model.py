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
    """Paths of PEM files; ``authority`` signs the other side's certificate.

    ``authority`` is None where the other side shows no certificate.
    """

    certificate: str
    key: str
    authority: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The port for callers and what a single caller may use."""

    address: str
    tls: Tls | None = None
    max_requests: int = 1000
    max_body_bytes: int = 1_000_000
    max_header_bytes: int = 32_768
    max_prompt_tokens: int = 100_000
    max_output_tokens: int = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """The operators' port; without a token only liveness is open."""

    address: str
    token_sha256: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A daemon to ask while the instance list cannot be read."""

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

    New requests are still taken for ``grace_s`` seconds after the stop was
    asked for, the time the balancer needs to see it; ``limit_s`` bounds the
    wait for the requests in progress.
    """

    grace_s: float = 3.0
    limit_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Everything a daemon is told at start."""

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
