"""Measures the processor time and memory of decision cores.

The cores run in a simulated region under virtual time.
"""

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
    'FULL_SIZE',
    'DaemonRates',
    'measure_claims',
    'measure_grid',
    'measure_memory',
    'measure_regions',
    'measure_request_memory',
    'measure_texts',
]

FULL_SIZE = fleet_texts.FleetSize(390, 1400, 760)
DAEMON_COUNTS = (78, 156, 273, 390)
RUNNER_COUNTS = (175, 350, 700, 1400)
CLIENT_ACCOUNT_COUNTS = (95, 190, 380, 760)
# Daemons of fleets whose regions have 6, 13, 26 and 65 daemons.
SCALED_DAEMON_COUNTS = (36, 78, 156, 390)
REQUESTS_PER_DAEMON_S = 1600 / 390
WARMUP_S = 5.0
WINDOW_S = 6.0
RUNS = 3
# For measurements that take long or vary little.
REDUCED_RUNS = 2
EVENT_COUNT = 3
EVENT_INTERVAL_S = 2.0
CLAIM_COUNTS = (1000, 2000, 4000, 8000)
REQUEST_RATES = (0.5, 1.0, 2.0, 4.0)
CORE_FILE_PATTERN = '*/primrosereel/core/*'
# Fractions of the runners and client accounts of the full text.
TEXT_FRACTIONS = (0.125, 0.25, 0.5, 1.0)


@dataclasses.dataclass
class DaemonRates:
    """Mean rates of one daemon of a region, by kind.

    ``sent`` and ``sent_bytes`` are messages to other daemons, ``core`` is
    processor seconds and ``effects`` are requests of the core, each a second.
    """

    daemons: int
    sent: dict[str, float]
    sent_bytes: dict[str, float]
    core: dict[str, float]
    effects: dict[str, float]


def _daemon_rates(
    simulated: region.SimulatedRegion, seconds: float
) -> DaemonRates:
    daemons = len(simulated.cores)
    daemon_seconds = daemons * seconds
    return DaemonRates(
        daemons,
        {k: v / daemon_seconds for k, v in simulated.sent.items()},
        {k: v / daemon_seconds for k, v in simulated.sent_bytes.items()},
        {k: v / daemon_seconds for k, v in simulated.cpu_seconds.items()},
        {k: v / daemon_seconds for k, v in simulated.effects.items()},
    )


def _scaled_size(daemons: int) -> fleet_texts.FleetSize:
    fraction = daemons / FULL_SIZE.daemons
    return fleet_texts.FleetSize(
        daemons,
        round(FULL_SIZE.runners * fraction),
        max(
            fleet_texts.MODEL_COUNT,
            round(FULL_SIZE.client_accounts * fraction),
        ),
    )


def measure_regions() -> dict[str, list[DaemonRates]]:
    """Measure regions of four sizes at start, idle, after events and loaded.

    Also measures them cut off from all other regions (``apart``).
    """
    runs: dict[str, list[DaemonRates]] = {}
    for daemons in SCALED_DAEMON_COUNTS:
        for name, rates in _region_rates(_scaled_size(daemons)).items():
            runs.setdefault(name, []).append(rates)
    return runs


def _region_rates(
    fleet_size: fleet_texts.FleetSize,
) -> dict[str, DaemonRates]:
    simulated = region.SimulatedRegion(fleet_size)
    simulated.run(1.0)
    rates = {'start': _daemon_rates(simulated, 1.0)}
    simulated.run(WARMUP_S)
    rates['idle'] = _window_rates(simulated, WINDOW_S)
    rates['list change'] = _event_rates(simulated, simulated.change_list)
    rates['text change'] = _event_rates(simulated, simulated.publish_text)
    simulated.offer_load(REQUESTS_PER_DAEMON_S, WINDOW_S + 2 * WARMUP_S + 2.0)
    simulated.run(2 * WARMUP_S + 2.0)
    rates['load'] = _window_rates(simulated, WINDOW_S)
    # Starts with new cores, as suspect states of an earlier run take long to
    # clear.
    simulated = region.SimulatedRegion(fleet_size)
    simulated.run(WARMUP_S)
    simulated.partitioned = True
    simulated.run(WARMUP_S)
    rates['apart'] = _window_rates(simulated, WINDOW_S)
    return rates


def _window_rates(
    simulated: region.SimulatedRegion, seconds: float
) -> DaemonRates:
    simulated.reset_counts()
    simulated.run(seconds)
    return _daemon_rates(simulated, seconds)


def _event_rates(
    simulated: region.SimulatedRegion, event: Callable[[], None]
) -> DaemonRates:
    """Return what one event adds for a daemon to its idle rates."""
    simulated.reset_counts()
    simulated.run(EVENT_COUNT * EVENT_INTERVAL_S)
    baseline = _daemon_rates(simulated, EVENT_COUNT)
    simulated.reset_counts()
    for _ in range(EVENT_COUNT):
        event()
        simulated.run(EVENT_INTERVAL_S)
    rates = _daemon_rates(simulated, EVENT_COUNT)
    return DaemonRates(
        rates.daemons,
        _subtract(rates.sent, baseline.sent),
        _subtract(rates.sent_bytes, baseline.sent_bytes),
        _subtract(rates.core, baseline.core),
        _subtract(rates.effects, baseline.effects),
    )


def _subtract(minuend: dict[str, float], subtrahend: dict[str, float]):
    return {k: v - subtrahend.get(k, 0.0) for k, v in minuend.items()}


def measure_grid() -> dict[str, dict[tuple[float, float], list[float]]]:
    """Measure one core over a grid of daemon and runner counts.

    ``tick`` is the processor seconds of one tick, and ``list`` those that a
    changed instance list adds in the second after it.
    """
    samples: dict[str, dict[tuple[float, float], list[float]]] = {
        'tick': {},
        'list': {},
    }
    for daemons in DAEMON_COUNTS:
        for runners in RUNNER_COUNTS:
            fleet_size = fleet_texts.FleetSize(
                daemons, runners, FULL_SIZE.client_accounts
            )
            simulated = region.SimulatedRegion(fleet_size, real_cores=1)
            simulated.run(WARMUP_S)
            point = (float(daemons), float(runners))
            samples['tick'][point] = [_tick_s(simulated) for _ in range(RUNS)]
            samples['list'][point] = [
                _list_change_s(simulated) for _ in range(RUNS)
            ]
    return samples


def _tick_s(simulated: region.SimulatedRegion) -> float:
    simulated.reset_counts()
    simulated.run(WARMUP_S)
    return simulated.cpu_seconds['tick'] / simulated.handled['tick']


def _list_change_s(simulated: region.SimulatedRegion) -> float:
    """Return the processor seconds for a list that shows one restart."""
    simulated.reset_counts()
    simulated.run(1.0)
    idle_s = sum(simulated.cpu_seconds.values())
    simulated.reset_counts()
    simulated.change_list()
    simulated.handle(simulated.cores[0], simulated.instance_list_read())
    simulated.run(1.0)
    return max(0.0, sum(simulated.cpu_seconds.values()) - idle_s)


def measure_memory() -> list[fits.LinearFit]:
    """Fit a core's memory by daemons, by runners and by client accounts."""
    full_counts = dataclasses.asdict(FULL_SIZE)
    line_fits = []
    for name, counts in (
        ('daemons', DAEMON_COUNTS),
        ('runners', RUNNER_COUNTS),
        ('client_accounts', CLIENT_ACCOUNT_COUNTS),
    ):
        runs = {}
        for size in counts:
            fleet_size = fleet_texts.FleetSize(**{**full_counts, name: size})
            runs[float(size)] = [
                _core_bytes(fleet_size) for _ in range(REDUCED_RUNS)
            ]
        kind = name.replace('_', ' ')
        line_fits.append(
            fits.fit_line(f'core memory by {kind}', 'B', kind, runs)
        )
    return line_fits


def _core_bytes(fleet_size: fleet_texts.FleetSize) -> float:
    simulated = region.SimulatedRegion(fleet_size, real_cores=0)
    encoded = peers.encode(
        peers.Envelope(
            ids.InstanceId(''),
            ids.Incarnation(0),
            [
                messages.ListingUpdate(
                    1, region.EPOCH_S, tuple(simulated.instances)
                )
            ],
        )
    )
    gc.collect()
    tracemalloc.start()
    try:
        listed = simulated.instances[0]
        core = core_module.Core(
            _identity(listed),
            random.Random(1),
        )
        instances = peers.decode(encoded).messages[0].instances
        core.handle(
            messages.InstanceListRead(1, region.EPOCH_S, instances),
            0.0,
            region.EPOCH_S,
        )
        core.handle(simulated.configuration_read(), 0.0, region.EPOCH_S)
        for tick in range(40):
            core.tick(tick / 10, region.EPOCH_S + tick / 10)
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()


def _identity(listed: messages.ListedInstance) -> core_module.Identity:
    return core_module.Identity(
        listed.instance,
        listed.incarnation,
        listed.region,
        listed.availability_zone,
        listed.address,
    )


def measure_request_memory() -> fits.LinearFit:
    """Fit a region's memory by the number of requests in progress.

    Counts only allocations made by code of the core, which leaves out the
    memory of the simulation.
    """
    runs: dict[float, list[float]] = {}
    for rate in REQUEST_RATES:
        simulated = region.SimulatedRegion(
            _scaled_size(SCALED_DAEMON_COUNTS[1])
        )
        simulated.run(WARMUP_S)
        gc.collect()
        tracemalloc.start()
        simulated.offer_load(rate, 2 * WARMUP_S)
        simulated.run(2 * WARMUP_S)
        gc.collect()
        snapshot = tracemalloc.take_snapshot()
        tracemalloc.stop()
        core_traces = snapshot.filter_traces(
            [tracemalloc.Filter(True, CORE_FILE_PATTERN)]
        )
        size = sum(stat.size for stat in core_traces.statistics('filename'))
        active_requests = sum(
            core.world.active_requests for core in simulated.cores
        )
        runs[float(active_requests)] = [float(size)]
    return fits.fit_line('core memory by request', 'B', 'requests', runs)


def measure_claims() -> dict[str, fits.LinearFit]:
    """Fit a witness's processor time and memory by claims in its table."""
    seconds: dict[float, list[float]] = {}
    held_bytes: dict[float, list[float]] = {}
    for count in CLAIM_COUNTS:
        pairs = [_claim_costs(count) for _ in range(REDUCED_RUNS)]
        seconds[float(count)] = [s for s, _ in pairs]
        held_bytes[float(count)] = [b for _, b in pairs]
    return {
        'seconds': fits.fit_line(
            'claims in a witness', 's', 'claims', seconds
        ),
        'bytes': fits.fit_line('claims held', 'B', 'claims', held_bytes),
    }


def _claim_costs(count: int) -> tuple[float, float]:
    """Return the processor seconds and bytes of a number of claims.

    Tracing of memory slows the code, so time is measured on one half of the
    claims and memory on the other; both are doubled.
    """
    simulated = region.SimulatedRegion(
        _scaled_size(SCALED_DAEMON_COUNTS[0]), real_cores=1
    )
    simulated.run(WARMUP_S)
    core = simulated.cores[0]
    sender = simulated.instances[1]
    requests = [
        messages.FromPeer(
            sender.instance,
            sender.incarnation,
            claim_request(core.world, simulated.now, number),
        )
        for number in range(count)
    ]
    started = time.thread_time()
    for message in requests[: count // 2]:
        simulated.handle(core, message)
    cpu_s = 2 * (time.thread_time() - started)
    gc.collect()
    tracemalloc.start()
    for message in requests[count // 2 :]:
        simulated.handle(core, message)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return cpu_s, 2.0 * allocated


def claim_request(world, now: float, number: int) -> messages.ClaimRequest:
    """Return a claim on a new key for which this instance is a witness."""
    rng = random.Random(number)
    client_account = ids.ClientAccountId('client_account-1')
    while True:
        key = _uuid7_key(int((region.EPOCH_S + now) * 1000), rng)
        witnesses = witness_sets.witness_set(
            world, world.identity.region, client_account, key
        )
        if world.identity.instance in (name for name, _ in witnesses):
            break
    return messages.ClaimRequest(
        key,
        client_account,
        rng.getrandbits(62),
        ids.RequestId(f'entry-001.1800000000000.{number}'),
        world.identity.region,
        witnesses,
    )


def _uuid7_key(timestamp_ms: int, rng: random.Random) -> ids.IdempotencyKey:
    """Return a UUIDv7 key with the given timestamp."""
    low = rng.getrandbits(62) | 1 << 63
    value = timestamp_ms << 80 | 7 << 76 | rng.getrandbits(12) << 64 | low
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def measure_texts() -> dict[str, fits.LinearFit]:
    """Fit processing times and sizes of texts by their number of runners."""
    samples: dict[str, dict[float, list[float]]] = {}
    for fraction in TEXT_FRACTIONS:
        fleet_size = fleet_texts.FleetSize(
            390,
            round(FULL_SIZE.runners * fraction),
            round(FULL_SIZE.client_accounts * fraction),
        )
        for _ in range(RUNS):
            for name, value in _text_costs(fleet_size).items():
                runs = samples.setdefault(name, {})
                runs.setdefault(float(fleet_size.runners), []).append(value)
    return {
        name: fits.fit_line(
            name, 'B' if 'bytes' in name else 's', 'runners', runs
        )
        for name, runs in samples.items()
    }


def _text_costs(fleet_size: fleet_texts.FleetSize) -> dict[str, float]:
    document = fleet_texts.fleet_text(fleet_size)
    body = json.dumps(document).encode()
    started = time.thread_time()
    text = text_module.parse(body).unwrap()
    parse_s = time.thread_time() - started
    runner = document['services']['s0-0']['runners']['s0-0-0']
    runner['leaving'] = True
    after = text_module.parse(json.dumps(document).encode()).unwrap()
    changes = text_module.difference(text, after)
    encoded = text_module.encode(changes)
    started = time.thread_time()
    result = text_module.apply(text, changes).unwrap()
    text_module.digest(result)
    faults = text_module.check(result, text)
    apply_s = time.thread_time() - started
    assert not faults
    compressed, _ = configuration.pack_text(text)
    return {
        'parse and check of a text': parse_s,
        'apply, digest and check of a difference': apply_s,
        'text, JSON bytes': float(len(body)),
        'text, compressed bytes': float(len(compressed)),
        'difference bytes': float(len(encoded)),
    }
