"""The settings of a gateway process, independent of the platform's format."""

import dataclasses

from primrosereel import _ids as ids
from primrosereel.routing import _model as model

__all__ = ['GatewaySettings']


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and bounds of one instance; times in seconds.

    ``stable_window_s`` is the time after a disturbance from which on all
    bounds must hold. ``runner_drain_s`` is the time after which a leaving
    runner must not get new work, and ``configuration_s`` the time within which
    a new configuration must take effect. In any ``quota_window_s``, a client
    account may exceed its quota by the share ``quota_overage`` and by
    ``quota_slack`` units. With ``strict_revocation``, requests that need a key
    are refused once the configuration was not confirmed for ``revoke_s``.
    ``high_contention`` is set where callers at times ask for more than the
    engines' memory holds.
    """

    instance: ids.InstanceId
    availability_zone: ids.AvailabilityZone
    callers: model.Address
    readiness: model.Address
    store: model.Address
    # The address for this instance's peers; None if it has no peers.
    peer: model.Address | None
    seeds: tuple[model.Address, ...]
    file_descriptors: int
    memory_bytes: int
    drain_limit_s: float
    runner_drain_s: float
    configuration_s: float
    stable_window_s: float
    # The minimum time between orders of two instances to the same runner.
    lease_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float = 8.0
    quota_overage: float = 0.25
    quota_slack: float = 0.0
    strict_revocation: bool = False
    revoke_s: float = 5.0
    high_contention: bool = False
