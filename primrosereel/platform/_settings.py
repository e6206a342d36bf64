"""Reads the TOML settings file that the platform puts on each machine."""

import os
import pathlib
import re
import tomllib

import msgspec
from returns import result

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.gateway import _settings as settings
from primrosereel.routing import _model as model

__all__ = ['PortOutOfRange', 'read_settings', 'settings_path']

PATH_VARIABLE = 'PRIMROSEREEL_CONFIG'
BYTES_PER_MB = 1024 * 1024
# Decimal digits alone: ``int`` accepts spaces, signs and underscores too.
PORT = re.compile('[0-9]{1,20}')
DEFAULT_PATH = '/etc/primrosereel/settings.toml'
# Among the names in ``contracts``: callers compete for the engines' memory.
CONTENTION = 'pressure'


class PortOutOfRange(ValueError):
    """The port of an address is a number that no port has."""


class _Listen(msgspec.Struct, rename='camel'):
    frontend: str
    ready: str
    control: str = ''


class _Limits(msgspec.Struct, rename='camel'):
    memory_mb: numbers.MemoryMb = 128
    file_descriptors: numbers.FileDescriptors = 1024


class _Bounds(msgspec.Struct, rename='camel'):
    """Time limits and retry budget; each field has a default."""

    drain_ms: numbers.DurationMs = 2000
    grace_s: numbers.DurationS = 8
    config_apply_ms: numbers.DurationMs = 2000
    retry_budget_ratio: numbers.Weight = 0.2
    budget_window_s: numbers.DurationS = 10
    retry_budget_slack: numbers.Weight = 50
    reuse_after_s: numbers.DurationS = 2
    lease_ms: numbers.DurationMs = 3000
    stable_window_ms: numbers.DurationMs = 3000
    quota_window_s: numbers.PositiveS = 8
    quota_overage: numbers.Weight = 0.25
    quota_slack: numbers.Rate = 0
    strict_revocation: bool = False
    revoke_ms: numbers.DurationMs = 5000


class _Platform(msgspec.Struct, rename='camel'):
    address: str
    history_s: numbers.DurationS = 20


class _File(msgspec.Struct, rename='camel'):
    node_name: str
    zone: str
    listen: _Listen
    platform: _Platform
    region: str = ''
    ip: str = ''
    seeds: list[str] = []
    internal_port_range: list[numbers.Port] = []
    contracts: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(
    body: bytes,
) -> result.Result[settings.GatewaySettings, str]:
    """Decode the settings; a failure holds the error message."""
    try:
        document = tomllib.loads(body.decode())
        return result.Success(
            _to_gateway_settings(msgspec.convert(document, _File))
        )
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        # Text that is nested too deeply raises RecursionError.
        return result.Failure(str(error))


def _to_gateway_settings(file: _File) -> settings.GatewaySettings:
    bounds = file.bounds
    return settings.GatewaySettings(
        instance=ids.InstanceId(file.node_name),
        availability_zone=ids.AvailabilityZone(file.zone),
        callers=parse_address(file.listen.frontend),
        readiness=parse_address(file.listen.ready),
        store=parse_address(file.platform.address),
        peer=_peer_address(file),
        seeds=tuple(parse_address(seed) for seed in file.seeds),
        file_descriptors=file.limits.file_descriptors,
        memory_bytes=int(file.limits.memory_mb * BYTES_PER_MB),
        drain_limit_s=bounds.grace_s,
        runner_drain_s=bounds.drain_ms / 1000,
        configuration_s=bounds.config_apply_ms / 1000,
        stable_window_s=bounds.stable_window_ms / 1000,
        lease_s=bounds.lease_ms / 1000,
        retry_ratio=bounds.retry_budget_ratio,
        retry_slack=bounds.retry_budget_slack,
        retry_window_s=bounds.budget_window_s,
        quota_window_s=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
        strict_revocation=bounds.strict_revocation,
        revoke_s=bounds.revoke_ms / 1000,
        high_contention=CONTENTION in file.contracts,
    )


def _peer_address(file: _File) -> model.Address | None:
    """Return the address for peers, on the first port of the internal range.

    All machines of a deployment have the same range.
    """
    if not file.ip or not file.internal_port_range:
        return None
    return model.Address(file.ip, file.internal_port_range[0])


def parse_address(text: str) -> model.Address:
    """Parse ``IP:PORT``; raise ValueError for any other text."""
    host, _, port = text.rpartition(':')
    if not host or PORT.fullmatch(port) is None:
        raise ValueError(f'{text!r} is not IP:PORT')
    number = int(port)
    if not 0 < number < 65536:
        raise PortOutOfRange(f'{text!r}: the port is not from 1 to 65535')
    return model.Address(host, number)
