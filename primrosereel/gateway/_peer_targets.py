"""Which instances get the datagrams that tell of used engines."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _context as context_module

__all__ = ['PeerTargets']

# For how long another shard is still sent updates after its engines were used.
OTHER_SHARD_UPDATE_S = 3.0


class PeerTargets:
    """The hosts of the own shard, and of others whose engines are used."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        # Zones of other shards that are sent updates, and until when.
        self._other_zones_until: dict[ids.AvailabilityZone, float] = {}

    def update_shards(self) -> None:
        """Divide the known instances and runners into shards."""
        context = self._context
        zones = context.members.zones()
        own_zone = context.settings.availability_zone
        # A zone without decode runners cannot place any request on its own.
        decode_zones = {
            runner.listing.availability_zone
            for runner in context.runners
            if runner.listing.role is states.Role.DECODE
        }
        changed = context.shards.update(
            len(context.members) + 1, {own_zone, *zones}, decode_zones
        )
        if changed:
            context.log.info(
                'shards changed',
                divided=context.shards.divided,
                zones=sorted(context.shards.zones(own_zone)),
                members=len(context.members),
            )

    def shard_hosts(self) -> set[str]:
        """Return the hosts of the own shard's other instances."""
        shards = self._context.shards
        return {
            member.host
            for member in self._context.members
            if shards.owns(member.availability_zone)
        }

    def other_shard_hosts(self) -> set[str]:
        """Return hosts of other shards whose engines were used here lately."""
        context = self._context
        if not context.shards.divided:
            return set()
        now = context.clock()
        for zone in context.other_shard_zones():
            self._other_zones_until[zone] = now + OTHER_SHARD_UPDATE_S
        zones: set[ids.AvailabilityZone] = set()
        for zone, until in list(self._other_zones_until.items()):
            if now >= until:
                del self._other_zones_until[zone]
            else:
                zones |= context.shards.zones(zone)
        return {
            member.host
            for member in context.members
            if member.availability_zone in zones
        }
