"""The instances that are known, and when each was last heard.

Pattern: epidemic membership with ages. Each heartbeat names the members that
its sender knows and how long ago each was heard by anyone, so that an
instance knows all others although it hears only some of them itself, and a
member that ended is forgotten everywhere.
"""

from collections.abc import Iterator
import dataclasses
import random as random_module
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Member', 'Members']

# A member that nobody heard for this long is forgotten. In a large fleet the
# news that a member was heard takes some heartbeats to reach all.
MEMBER_TIMEOUT_S = 15.0


class Member(NamedTuple):
    """An instance's host and availability zone; when it was heard."""

    host: str
    availability_zone: ids.AvailabilityZone
    last_seen: float


@dataclasses.dataclass(slots=True)
class Members:
    """Other instances by host.

    Example::

        members = Members('10.1.0.1')
        members.observe('10.1.0.2', zone, now)
        members.zones()  # {zone: 1}
    """

    own_host: str
    _by_host: dict[str, Member] = dataclasses.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._by_host)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_host.values())

    def __getitem__(self, host: str) -> Member:
        return self._by_host[host]

    def observe(
        self, host: str, zone: ids.AvailabilityZone, last_seen: float
    ) -> bool:
        """Take that a member was heard; True for one that is new."""
        if host == self.own_host:
            return False
        known = self._by_host.get(host)
        if known is None or last_seen > known.last_seen:
            self._by_host[host] = Member(host, zone, last_seen)
        return known is None

    def expire(self, now: float) -> None:
        """Drop the members that nobody heard lately."""
        for member in list(self._by_host.values()):
            if now - member.last_seen > MEMBER_TIMEOUT_S:
                del self._by_host[member.host]

    def zones(self) -> dict[ids.AvailabilityZone, int]:
        """Return how many members each availability zone has."""
        counts: dict[ids.AvailabilityZone, int] = {}
        for member in self._by_host.values():
            zone = member.availability_zone
            counts[zone] = counts.get(zone, 0) + 1
        return counts

    def sample(self, count: int, random: random_module.Random) -> list[str]:
        """Return the hosts of some members, or of all if there are few."""
        hosts = list(self._by_host)
        return random.sample(hosts, min(count, len(hosts)))
