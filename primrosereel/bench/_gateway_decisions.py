"""CPU time of the gateway's decisions at several sizes of the fleet.

Measured are the choice of a plain call's runner, and the admission of a
request to a decode runner. All runners accept requests, and the peers of the
own shard have reported what they use, as on a day without disturbances.
"""

from collections.abc import Callable
import random as random_module
import statistics
import time
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _placement as placement_module
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module

__all__ = ['FleetSize', 'run']

NOW_S = 100.0
ROUNDS = 15
DECISIONS_PER_ROUND = 400
# A place is admitted and released, and few places are in use meanwhile.
REQUEST_TOKENS = 2000
DECODE_SHARE = 0.65
ENGINE_SERVICE = ids.ServiceId('engine')
PLAIN_SERVICE = ids.ServiceId('plain')
ENGINE = model.Engine(
    slots=64,
    kv_tokens=64_655,
    kv_token_bytes=35136.0,
    link_mbps=740_000.0,
    handle_ttl_s=0.5,
)
SERVICES = {
    ENGINE_SERVICE: model.Service(ENGINE_SERVICE, '/health', 99, ENGINE)
}


class FleetSize(NamedTuple):
    """Numbers of a fleet; instances and engines are spread over the zones."""

    instances: int
    zones: int
    engines: int
    plain_runners: int


FLEET_SIZES = (
    FleetSize(9, 3, 9, 3),
    FleetSize(87, 3, 60, 3),
    FleetSize(195, 5, 156, 5),
)


def run() -> dict[str, Any]:
    """Measure all sizes; return medians and spreads in microseconds."""
    return {
        f'{size.instances} instances': {
            'plain call, us': _measure(_plain_decision(size)),
            'decode place, us': _measure(_decode_decision(size)),
        }
        for size in FLEET_SIZES
    }


def _measure(decide: Callable[[], None]) -> dict[str, float]:
    """Return the median CPU time of a decision over the rounds."""
    rounds_us = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(DECISIONS_PER_ROUND):
            decide()
        seconds = time.process_time() - started
        rounds_us.append(1e6 * seconds / DECISIONS_PER_ROUND)
    return {
        'median': round(statistics.median(rounds_us), 2),
        'spread': round(max(rounds_us) - min(rounds_us), 2),
    }


def _plain_decision(size: FleetSize) -> Callable[[], None]:
    table, _ = _make_tables(size)
    placement = placement_module.Placement(
        table, _zone(0, size), random_module.Random(1)
    )

    def decide() -> None:
        if placement.choose(PLAIN_SERVICE, (), NOW_S) is None:
            raise RuntimeError('no runner was chosen')

    return decide


def _decode_decision(size: FleetSize) -> Callable[[], None]:
    table, ledger = _make_tables(size)
    places = decode_places.DecodePlaces(
        table, ledger, _zone(0, size), random_module.Random(1)
    )
    places.set_services(SERVICES)

    def decide() -> None:
        ticket = decode_places.Ticket(
            ENGINE_SERVICE,
            REQUEST_TOKENS,
            priorities.route_only(1),
            NOW_S,
            lambda now: now + 1.0,
        )
        places.add(ticket, NOW_S)
        if ticket.runner is None:
            raise RuntimeError('no place was given')
        places.release(ticket)

    return decide


def _make_tables(
    size: FleetSize,
) -> tuple[runners.RunnerTable, ledger_module.Ledger]:
    """Return the tables of the first instance of a fleet."""
    zones = [_zone(number, size) for number in range(size.zones)]
    shards = shards_module.Shards(zones[0])
    shards.update(size.instances, zones, zones)
    table = runners.RunnerTable(shards.owns)
    for number in range(size.engines):
        role = states.Role.PREFILL
        if number < DECODE_SHARE * size.engines:
            role = states.Role.DECODE
        table.put(_listing(ENGINE_SERVICE, role, number, size))
    for number in range(size.plain_runners):
        table.put(_listing(PLAIN_SERVICE, states.Role.PLAIN, number, size))
    ledger = ledger_module.Ledger(shards.owns)
    for number in range(1, size.instances):
        if shards.owns(_zone(number, size)):
            ledger.apply(_peer_report(number, size), NOW_S)
    return table, ledger


def _zone(number: int, size: FleetSize) -> ids.AvailabilityZone:
    """Return the zone of an instance or runner by its number."""
    return ids.AvailabilityZone(f'zone-{number % size.zones}')


def _listing(
    service: ids.ServiceId, role: states.Role, number: int, size: FleetSize
) -> model.RunnerListing:
    return model.RunnerListing(
        ids.RunnerId(f'{service}-{number}'),
        service,
        model.Address('127.0.0.1', 1024 + number),
        _zone(number, size),
        role,
        ENGINE.slots,
        False,
        born_ms=1,
    )


def _peer_report(number: int, size: FleetSize) -> ledger_module.PeerReport:
    """Return the report of a peer with a request at one decode runner."""
    decode_runners = max(1, round(DECODE_SHARE * size.engines))
    runner = ids.RunnerId(f'{ENGINE_SERVICE}-{number % decode_runners}')
    return ledger_module.PeerReport(
        ids.InstanceId(f'instance-{number}'),
        incarnation=1,
        sequence=1,
        uses={runner: ledger_module.Use(1, REQUEST_TOKENS)},
        availability_zone=_zone(number, size),
    )
