"""A client account's admitted rate over all daemons, under virtual time."""

import heapq
import itertools
import random
from typing import Any

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _rate_limits as rate_limits
from primrosereel.core import _tables as tables
from primrosereel.core import _text_tables as text_tables

__all__ = ['SETTLE_S', 'WINDOW_S', 'RateFleet', 'admitted_rate']

CLIENT_ACCOUNT = ids.ClientAccountId('client_account')
REGION = ids.Region('region')
ZONE = ids.AvailabilityZone('zone')
TICK_S = 0.1
LATENCY_RANGE_S = (0.0005, 0.02)
# Delay until the instance list no longer shows a lost daemon.
LIST_LAG_S = 2.0
SETTLE_S = 5.0
WINDOW_S = 10.0


class RateFleet:
    """Cores with only the limits system, and callers of one client account."""

    def __init__(self, daemons: int, rate: float, seed: int) -> None:
        self.now = 0.0
        self.admitted: list[float] = []
        self.cores: dict[ids.InstanceId, core_module.Core] = {}
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Any, tuple]] = []
        self._sequence = itertools.count()
        self._listing_revision = 0
        client_account = text_module.ClientAccount(
            'hash', (), rate=rate, burst=rate
        )
        text = text_module.Text({}, {}, {CLIENT_ACCOUNT: client_account})
        for number in range(daemons):
            name = ids.InstanceId(f'entry-{number + 1:03}')
            identity = core_module.Identity(
                name, ids.Incarnation(1), REGION, ZONE, ''
            )
            core_random = random.Random(self._random.getrandbits(32))
            core = core_module.Core(identity, core_random, ('limits',))
            text_tables.activate_text(core.world, text, ids.Revision(1))
            self.cores[name] = core
            core.tick(0.0, 0.0)
            self._call_later(self._random.uniform(0, TICK_S), self._tick, name)
        self._update_listings()

    def offer_load(self, total_rate: float) -> None:
        """Start calls at a total rate with an uneven distribution.

        Half of the rate goes to a quarter of the daemons, and the other half
        is spread evenly over all daemons.
        """
        names = list(self.cores)
        busy = names[: max(1, len(names) // 4)]
        for name in names:
            rate = total_rate / 2 / len(names)
            if name in busy:
                rate += total_rate / 2 / len(busy)
            self._call_later(
                self._random.expovariate(rate), self._make_call, name, rate
            )

    def remove_limit_owner(self) -> None:
        """Remove the daemon that divides the client account's rate."""
        world = next(iter(self.cores.values())).world
        del self.cores[rate_limits.limit_owner(world, CLIENT_ACCOUNT)]
        self._call_later(LIST_LAG_S, self._update_listings)

    def run(self, until: float) -> None:
        """Run the events that are due up to and including a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = until

    def _call_later(
        self, delay_s: float, callback: Any, *arguments: Any
    ) -> None:
        event = (self.now + delay_s, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, event)

    def _update_listings(self) -> None:
        self._listing_revision += 1
        instances = {
            n: c.world.identity.listed() for n, c in self.cores.items()
        }
        for core in self.cores.values():
            core.world.listing = tables.Listing(
                self._listing_revision, self.now, dict(instances)
            )

    def _make_call(self, name: ids.InstanceId, rate: float) -> None:
        if name not in self.cores:
            # The load balancer sends the callers of a lost daemon to another.
            name = self._random.choice(list(self.cores))
        core = self.cores[name]
        if rate_limits.take_token(core.world, CLIENT_ACCOUNT, self.now) == 0.0:
            self.admitted.append(self.now)
        self._call_later(
            self._random.expovariate(rate), self._make_call, name, rate
        )

    def _tick(self, name: ids.InstanceId) -> None:
        core = self.cores.get(name)
        if core is not None:
            self._send_to_peers(name, core.tick(self.now, self.now))
            self._call_later(TICK_S, self._tick, name)

    def _send_to_peers(self, name: ids.InstanceId, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, messages.SendPeer):
                message = messages.FromPeer(
                    name, ids.Incarnation(1), effect.message
                )
                delay_s = self._random.uniform(*LATENCY_RANGE_S)
                self._call_later(
                    delay_s, self._receive, effect.destination, message
                )

    def _receive(
        self, name: ids.InstanceId, message: messages.FromPeer
    ) -> None:
        core = self.cores.get(name)
        if core is not None:
            self._send_to_peers(name, core.handle(message, self.now, self.now))


def admitted_rate(
    daemons: int, rate: float, load_factor: float, loses_owner: bool, seed: int
) -> float:
    """Return the admitted requests a second in a window after a change.

    The window starts 5 s after the start of the calls or, with
    ``loses_owner``, after the loss of the limit owner.
    """
    fleet = RateFleet(daemons, rate, seed)
    fleet.offer_load(rate * load_factor)
    if loses_owner:
        fleet.run(SETTLE_S + WINDOW_S)
        fleet.remove_limit_owner()
    start = fleet.now + SETTLE_S
    fleet.run(start + WINDOW_S)
    admitted = sum(start <= at < start + WINDOW_S for at in fleet.admitted)
    return admitted / WINDOW_S
