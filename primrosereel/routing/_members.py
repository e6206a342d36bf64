"""Membership: the known instances, and when each was last seen.

Pattern: gossip membership with ages. Each heartbeat names members that its
sender knows and how long ago any instance heard from each. An instance thus
knows all others although it receives messages from some of them only, and a
member that ended expires everywhere.
"""

from collections.abc import Iterator
import dataclasses
import random as random_module
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Member', 'Members']

# A member that no instance heard from for this long expires. In a large fleet
# it takes some heartbeats until all instances know that a member was seen.
MEMBER_TIMEOUT_S = 15.0


class Member(NamedTuple):
    """An instance's host and availability zone; when it was last seen."""

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

    def __contains__(self, host: str) -> bool:
        return host in self._by_host

    def __getitem__(self, host: str) -> Member:
        return self._by_host[host]

    def observe(
        self, host: str, zone: ids.AvailabilityZone, last_seen: float
    ) -> bool:
        """Record when a member was seen; return True if it is new."""
        if host == self.own_host:
            return False
        known = self._by_host.get(host)
        if known is None or last_seen > known.last_seen:
            self._by_host[host] = Member(host, zone, last_seen)
        return known is None

    def expire(self, now: float) -> None:
        """Remove the members that no instance heard from lately."""
        for member in list(self._by_host.values()):
            if now - member.last_seen > MEMBER_TIMEOUT_S:
                del self._by_host[member.host]

    def zones(self) -> dict[ids.AvailabilityZone, int]:
        """Return the number of members in each availability zone."""
        counts: dict[ids.AvailabilityZone, int] = {}
        for member in self._by_host.values():
            zone = member.availability_zone
            counts[zone] = counts.get(zone, 0) + 1
        return counts

    def sample(self, count: int, random: random_module.Random) -> list[str]:
        """Return the hosts of random members, of all if there are fewer."""
        hosts = list(self._by_host)
        return random.sample(hosts, min(count, len(hosts)))
