"""What a gateway process needs to know, in the product's own names."""

import dataclasses

from primrosereel import _ids as ids
from primrosereel.routing import _model as model

__all__ = ['GatewaySettings']


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and bounds of one instance; times in seconds.

    ``stable_window_s`` is after which time without trouble all bounds hold.
    ``runner_drain_s`` is how soon a leaving runner must get no new work, and
    ``configuration_s`` how soon a new configuration must be in force.
    """

    instance: ids.InstanceId
    availability_zone: ids.AvailabilityZone
    callers: model.Address
    readiness: model.Address
    store: model.Address
    # Where this instance's peers reach it; None where there are none.
    peer: model.Address | None
    seeds: tuple[model.Address, ...]
    file_descriptors: int
    drain_limit_s: float
    runner_drain_s: float
    configuration_s: float
    stable_window_s: float
    # Orders of two instances to a runner are at least this far apart.
    lease_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
