"""Slopes of the decision core under virtual time."""

from collections.abc import Callable
import dataclasses
import gc
import json
import random
import time
import tracemalloc
import uuid

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel import text as text_module
from primrosereel.bench import _capacity_fit as fits
from primrosereel.bench import _capacity_region as region
from primrosereel.bench import _capacity_texts as fleet_texts
from primrosereel.core import _configuration as configuration
from primrosereel.core import _messages as messages
from primrosereel.core import _witness_sets as witness_sets
from primrosereel.daemon import _peers as peers

__all__ = [
    'FULL',
    'Rates',
    'claims',
    'grid',
    'memory',
    'region_runs',
    'request_memory',
    'texts',
]

FULL = fleet_texts.FleetSize(390, 1400, 760)
DAEMONS = (78, 156, 273, 390)
RUNNERS = (175, 350, 700, 1400)
CLIENT_ACCOUNTS = (95, 190, 380, 760)
# Regions of 6, 13, 26 and 65 daemons.
REGION_DAEMONS = (36, 78, 156, 390)
RATE = 1600 / 390
WARM_S = 5.0
WINDOW_S = 6.0
RUNS = 3
# For what takes long or differs little.
FEWER_RUNS = 2
EVENTS = 3
EVENT_S = 2.0
CLAIMS = (1000, 2000, 4000, 8000)
REQUEST_RATES = (0.5, 1.0, 2.0, 4.0)
CORE_FILES = '*/primrosereel/core/*'
# Fractions of the full text.
TEXT_PARTS = (0.125, 0.25, 0.5, 1.0)


@dataclasses.dataclass
class Rates:
    """What one daemon of a region does in a second."""

    daemons: int
    sent: dict[str, float]
    sent_bytes: dict[str, float]
    core: dict[str, float]
    effects: dict[str, float]


def _rates(simulated: region.Region, seconds: float) -> Rates:
    count = len(simulated.cores)
    divide = count * seconds
    return Rates(
        count,
        {k: v / divide for k, v in simulated.sent.items()},
        {k: v / divide for k, v in simulated.sent_bytes.items()},
        {k: v / divide for k, v in simulated.seconds.items()},
        {k: v / divide for k, v in simulated.effects.items()},
    )


def _scaled(daemons: int) -> fleet_texts.FleetSize:
    part = daemons / FULL.daemons
    return fleet_texts.FleetSize(
        daemons,
        round(FULL.runners * part),
        max(fleet_texts.MODEL_COUNT, round(FULL.client_accounts * part)),
    )


def region_runs() -> dict[str, list[Rates]]:
    """Run regions of four sizes idle, through events and under load."""
    found: dict[str, list[Rates]] = {}
    for daemons in REGION_DAEMONS:
        for name, rates in _region_run(_scaled(daemons)).items():
            found.setdefault(name, []).append(rates)
    return found


def _region_run(fleet_size: fleet_texts.FleetSize) -> dict[str, Rates]:
    simulated = region.Region(fleet_size)
    simulated.run(1.0)
    found = {'start': _rates(simulated, 1.0)}
    simulated.run(WARM_S)
    found['idle'] = _window(simulated, WINDOW_S)
    found['list change'] = _events(simulated, simulated.change_list)
    found['text change'] = _events(simulated, simulated.publish)
    simulated.offer(RATE, WINDOW_S + 2 * WARM_S + 2.0)
    simulated.run(2 * WARM_S + 2.0)
    found['load'] = _window(simulated, WINDOW_S)
    # Fresh cores, as suspects of an earlier run recover slowly.
    simulated = region.Region(fleet_size)
    simulated.run(WARM_S)
    simulated.apart = True
    simulated.run(WARM_S)
    found['apart'] = _window(simulated, WINDOW_S)
    return found


def _window(simulated: region.Region, seconds: float) -> Rates:
    simulated.forget()
    simulated.run(seconds)
    return _rates(simulated, seconds)


def _events(simulated: region.Region, event: Callable[[], None]) -> Rates:
    """Return what one event adds, a daemon, on top of the idle seconds."""
    simulated.forget()
    simulated.run(EVENTS * EVENT_S)
    quiet = _rates(simulated, EVENTS)
    simulated.forget()
    for _ in range(EVENTS):
        event()
        simulated.run(EVENT_S)
    busy = _rates(simulated, EVENTS)
    return Rates(
        busy.daemons,
        _less(busy.sent, quiet.sent),
        _less(busy.sent_bytes, quiet.sent_bytes),
        _less(busy.core, quiet.core),
        _less(busy.effects, quiet.effects),
    )


def _less(more: dict[str, float], fewer: dict[str, float]):
    return {k: v - fewer.get(k, 0.0) for k, v in more.items()}


def grid() -> dict[str, dict[tuple[float, float], list[float]]]:
    """Measure one core over daemons and runners, both varied.

    ``tick`` is seconds of one tick, ``list`` what a changed instance list
    costs in the second after it.
    """
    found: dict[str, dict[tuple[float, float], list[float]]] = {
        'tick': {},
        'list': {},
    }
    for daemons in DAEMONS:
        for runners in RUNNERS:
            fleet_size = fleet_texts.FleetSize(
                daemons, runners, FULL.client_accounts
            )
            simulated = region.Region(fleet_size, real=1)
            simulated.run(WARM_S)
            place = (float(daemons), float(runners))
            found['tick'][place] = [_tick_s(simulated) for _ in range(RUNS)]
            found['list'][place] = [_list_s(simulated) for _ in range(RUNS)]
    return found


def _tick_s(simulated: region.Region) -> float:
    simulated.forget()
    simulated.run(WARM_S)
    return simulated.seconds['tick'] / simulated.handled['tick']


def _list_s(simulated: region.Region) -> float:
    """Return the core's seconds for a list that shows one restart."""
    simulated.forget()
    simulated.run(1.0)
    quiet = sum(simulated.seconds.values())
    simulated.forget()
    simulated.change_list()
    simulated.handle(simulated.cores[0], simulated.listed())
    simulated.run(1.0)
    return max(0.0, sum(simulated.seconds.values()) - quiet)


def memory() -> list[fits.LinearFit]:
    """Measure a core's memory against daemons, runners and client accounts."""
    full = dataclasses.asdict(FULL)
    found = []
    for name, counts in (
        ('daemons', DAEMONS),
        ('runners', RUNNERS),
        ('client_accounts', CLIENT_ACCOUNTS),
    ):
        runs = {}
        for size in counts:
            fleet_size = fleet_texts.FleetSize(**{**full, name: size})
            runs[float(size)] = [
                _core_bytes(fleet_size) for _ in range(FEWER_RUNS)
            ]
        found.append(fits.fit_line(f'core memory by {name}', 'B', name, runs))
    return found


def _core_bytes(fleet_size: fleet_texts.FleetSize) -> float:
    simulated = region.Region(fleet_size, real=0)
    packed = peers.encode(
        peers.Envelope(
            ids.InstanceId(''),
            ids.Incarnation(0),
            [messages.ListingUpdate(1, region.EPOCH_S, tuple(simulated.rows))],
        )
    )
    gc.collect()
    tracemalloc.start()
    try:
        row = simulated.rows[0]
        core = core_module.Core(
            _identity(row),
            random.Random(1),
        )
        rows = peers.decode(packed).messages[0].instances
        core.handle(
            messages.InstanceListRead(1, region.EPOCH_S, rows),
            0.0,
            region.EPOCH_S,
        )
        core.handle(simulated.read(), 0.0, region.EPOCH_S)
        for tick in range(40):
            core.tick(tick / 10, region.EPOCH_S + tick / 10)
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()


def _identity(row: messages.ListedInstance) -> core_module.Identity:
    return core_module.Identity(
        row.instance,
        row.incarnation,
        row.region,
        row.availability_zone,
        row.address,
    )


def request_memory() -> fits.LinearFit:
    """Measure a region's memory against requests in progress.

    Only what code of the core allocates counts, so the harness is left out.
    """
    runs: dict[float, list[float]] = {}
    for rate in REQUEST_RATES:
        simulated = region.Region(_scaled(REGION_DAEMONS[1]))
        simulated.run(WARM_S)
        gc.collect()
        tracemalloc.start()
        simulated.offer(rate, 2 * WARM_S)
        simulated.run(2 * WARM_S)
        gc.collect()
        taken = tracemalloc.take_snapshot()
        tracemalloc.stop()
        held = taken.filter_traces([tracemalloc.Filter(True, CORE_FILES)])
        size = sum(stat.size for stat in held.statistics('filename'))
        used = sum(core.world.active_requests for core in simulated.cores)
        runs[float(used)] = [float(size)]
    return fits.fit_line('core memory by request', 'B', 'requests', runs)


def claims() -> dict[str, fits.LinearFit]:
    """Measure a witness's time and memory against claims in its table."""
    seconds: dict[float, list[float]] = {}
    held: dict[float, list[float]] = {}
    for count in CLAIMS:
        pairs = [_claim_run(count) for _ in range(FEWER_RUNS)]
        seconds[float(count)] = [s for s, _ in pairs]
        held[float(count)] = [b for _, b in pairs]
    return {
        'seconds': fits.fit_line(
            'claims in a witness', 's', 'claims', seconds
        ),
        'bytes': fits.fit_line('claims held', 'B', 'claims', held),
    }


def _claim_run(count: int) -> tuple[float, float]:
    """Return processor seconds and bytes for a number of claims."""
    simulated = region.Region(_scaled(REGION_DAEMONS[0]), real=1)
    simulated.run(WARM_S)
    core = simulated.cores[0]
    sender = simulated.rows[1]
    asked = [
        messages.FromPeer(
            sender.instance,
            sender.incarnation,
            claim_request(core.world, simulated.now, number),
        )
        for number in range(count)
    ]
    started = time.thread_time()
    for message in asked[: count // 2]:
        simulated.handle(core, message)
    spent = 2 * (time.thread_time() - started)
    gc.collect()
    tracemalloc.start()
    for message in asked[count // 2 :]:
        simulated.handle(core, message)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return spent, 2.0 * used


def claim_request(world, now: float, number: int) -> messages.ClaimRequest:
    """Return a claim on a new key of which the own instance is a witness."""
    source = random.Random(number)
    client_account = ids.ClientAccountId('client_account-1')
    while True:
        key = _key(int((region.EPOCH_S + now) * 1000), source)
        found = witness_sets.witness_set(
            world, world.identity.region, client_account, key
        )
        if world.identity.instance in (name for name, _ in found):
            break
    return messages.ClaimRequest(
        key,
        client_account,
        source.getrandbits(62),
        ids.RequestId(f'entry-001.1800000000000.{number}'),
        world.identity.region,
        found,
    )


def _key(stamp_ms: int, source: random.Random) -> ids.IdempotencyKey:
    """Return a UUIDv7 of a time."""
    low = source.getrandbits(62) | 1 << 63
    value = stamp_ms << 80 | 7 << 76 | source.getrandbits(12) << 64 | low
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def texts() -> dict[str, fits.LinearFit]:
    """Measure parse, difference and size of texts of four sizes."""
    found: dict[str, dict[float, list[float]]] = {}
    for part in TEXT_PARTS:
        fleet_size = fleet_texts.FleetSize(
            390, round(FULL.runners * part), round(FULL.client_accounts * part)
        )
        for _ in range(RUNS):
            for name, value in _text_run(fleet_size).items():
                runs = found.setdefault(name, {})
                runs.setdefault(float(fleet_size.runners), []).append(value)
    return {
        name: fits.fit_line(
            name, 'B' if 'bytes' in name else 's', 'runners', runs
        )
        for name, runs in found.items()
    }


def _text_run(fleet_size: fleet_texts.FleetSize) -> dict[str, float]:
    source = fleet_texts.fleet_text(fleet_size)
    body = json.dumps(source).encode()
    started = time.thread_time()
    text = text_module.parse(body).unwrap()
    parsed = time.thread_time() - started
    runner = source['services']['s0-0']['runners']['s0-0-0']
    runner['leaving'] = True
    after = text_module.parse(json.dumps(source).encode()).unwrap()
    changes = text_module.difference(text, after)
    encoded = text_module.encode(changes)
    started = time.thread_time()
    result = text_module.apply(text, changes).unwrap()
    text_module.digest(result)
    faults = text_module.check(result, text)
    applied = time.thread_time() - started
    assert not faults
    packed, _ = configuration.pack_text(text)
    return {
        'parse and check of a text': parsed,
        'apply, digest and check of a difference': applied,
        'text, JSON bytes': float(len(body)),
        'text, compressed bytes': float(len(packed)),
        'difference bytes': float(len(encoded)),
    }
