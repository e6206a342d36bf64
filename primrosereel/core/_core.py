"""The decision core: systems that run over tables, without I/O or clock."""

from collections.abc import Sequence
import math
import random as random_module

from primrosereel import _ids as ids
from primrosereel import _registry as registry
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['Core']


class Core:
    """Feeds messages to the systems and collects their effects.

    The same core runs in the daemon, under virtual time in tests and in
    measurements::

        core = Core(identity, random.Random(7))
        effects = core.handle(message, now=time.monotonic(), wall=time.time())

    Messages to this instance are delivered inside the same call.
    """

    def __init__(
        self,
        identity: tables.Identity,
        random: random_module.Random,
        systems: Sequence[str] = registry.DEFAULT_SYSTEMS,
    ) -> None:
        self._world = tables.World(identity, random)
        self._sequence = 0
        self._systems = [
            registry.system(name)(self._world) for name in systems
        ]
        self._receivers: dict[type, list[tables.System]] = {}
        for system in self._systems:
            for kind in system.inputs:
                self._receivers.setdefault(kind, []).append(system)

    @property
    def world(self) -> tables.World:
        """The tables, for reading only."""
        return self._world

    @property
    def wake(self) -> float:
        """The monotonic time at which a tick is due, at the latest."""
        return self._world.wake

    def gauges(self) -> dict[str, float]:
        """Return the gauges of queues and reservations by name."""
        levels: dict[str, float] = {
            'requests.active': self._world.active_requests,
            'configuration.revision': self._world.revision,
            'listing.revision': self._world.listing.revision,
        }
        for system in self._systems:
            if isinstance(system, tables.Gauged):
                levels.update(system.gauges())
        return levels

    def next_request_id(self) -> ids.RequestId:
        """Return a request id that was not used before."""
        self._sequence += 1
        identity = self._world.identity
        return ids.request_id(
            identity.instance, identity.incarnation, self._sequence
        )

    def handle(
        self, message: messages.Inbound, now: float, wall: float
    ) -> list[messages.Outbound]:
        """Process one message and return the resulting effects."""
        self._world.wall = wall
        self._deliver(message, now)
        return self._drain(now)

    def tick(self, now: float, wall: float) -> list[messages.Outbound]:
        """Run every system once and return the effects."""
        self._world.wall = wall
        self._world.wake = math.inf
        for system in self._systems:
            system.run(now)
        return self._drain(now)

    def _deliver(self, message, now: float) -> None:
        kind = type(message)
        if kind is messages.FromPeer:
            kind = type(message.message)
        for system in self._receivers.get(kind, ()):
            system.receive(message, now)
            system.run(now)

    def _drain(self, now: float) -> list[messages.Outbound]:
        """Deliver messages to this process; return all other effects."""
        world = self._world
        own = world.identity
        effects = []
        while world.outbox:
            batch, world.outbox = world.outbox, []
            for effect in batch:
                if isinstance(effect, messages.TextChanged):
                    self._deliver(effect, now)
                elif (
                    isinstance(effect, messages.SendPeer)
                    and effect.destination == own.instance
                ):
                    self._deliver(
                        messages.FromPeer(
                            own.instance, own.incarnation, effect.message
                        ),
                        now,
                    )
                else:
                    effects.append(effect)
        return effects
