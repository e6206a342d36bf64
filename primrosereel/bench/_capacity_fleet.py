"""Measures idle daemons that run as real processes."""

from collections.abc import Sequence
import pathlib
import time
from typing import Any

import httpx

from primrosereel.bench import _capacity_texts as fleet_texts
from primrosereel.bench import _cost as cost
from primrosereel.bench import _fleet as fleet_module
from primrosereel.bench import _texts as texts

__all__ = ['Samples', 'measure']

WINDOW_S = 5.0
SAMPLES_PER_FLEET = 2
SETTLE_S = 2.0
# Daemons with the same text; each gives one sample of resident memory.
MEMORY_DAEMONS = 3
ACCEPT_TIMEOUT_S = 10.0
# One daemon owns one group of at most 16 runners.
GROUP_RUNNER_COUNTS = (2, 4, 8, 16)
FLEET_DAEMON_COUNTS = (2, 4, 8, 16)
Samples = dict[str, dict[float, list[float]]]


def _loopback_received_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, rest = line.partition(':')
        if name.strip() == 'lo':
            return int(rest.split()[0])
    raise LookupError('no loopback interface in /proc/net/dev')


def _single_group_text(runners: int) -> dict[str, Any]:
    """Return a text with one group, which has runners of both roles."""
    text = texts.demo()
    service = text['services'].pop('analyst')
    text['services'].clear()
    row = next(iter(service['runners'].values()))
    service['runners'] = {
        f'analyst-{n}': {**row, 'role': 'prefill' if n % 3 == 0 else 'decode'}
        for n in range(runners)
    }
    text['services']['analyst'] = service
    for client_account in text['client_accounts'].values():
        client_account['services'] = ['analyst']
    return text


def _sample_fleet(fleet: fleet_module.Fleet) -> dict[str, float]:
    """Return the figures of one window, mostly as means over the daemons."""
    pids = [d.process.pid for d in fleet.daemons]
    count = len(pids)
    counters_before = httpx.get(f'{fleet.platform}/standin/counters').json()
    loopback_before = _loopback_received_bytes()
    cpu_before = [cost.cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started
    cpu_s = [
        cost.cpu_seconds(pid) - c
        for pid, c in zip(pids, cpu_before, strict=True)
    ]
    loopback_bytes = _loopback_received_bytes() - loopback_before
    counters_after = httpx.get(f'{fleet.platform}/standin/counters').json()
    return {
        'core': sum(cpu_s) / count / elapsed_s,
        'highest core': max(cpu_s) / elapsed_s,
        'loopback': loopback_bytes / count / elapsed_s,
        'resident': sum(map(cost.resident_bytes, pids)) / count,
        'reads': (counters_after['reads'] - counters_before['reads'])
        / elapsed_s,
        'watches': counters_after['watches_waiting'],
        'list reads': (
            counters_after['list_reads'] - counters_before['list_reads']
        )
        / elapsed_s,
    }


def _measure_fleets(counts: Sequence[int], make_fleet) -> Samples:
    samples: Samples = {}
    for count in counts:
        with make_fleet(count) as fleet:
            time.sleep(SETTLE_S)
            for _ in range(SAMPLES_PER_FLEET):
                for name, value in _sample_fleet(fleet).items():
                    runs = samples.setdefault(name, {})
                    runs.setdefault(float(count), []).append(value)
    return samples


def measure(
    fleet_sizes: Sequence[fleet_texts.FleetSize],
) -> dict[str, Samples]:
    """Measure fleets by daemons and by runners, and memory by text size."""
    return {
        'daemons': _measure_by_daemons(),
        'runners': _measure_by_runners(),
        'memory': _measure_memory_by_runners(fleet_sizes),
    }


def _measure_by_daemons() -> Samples:
    """Measure fleets of several daemon counts with one group of 2 runners."""
    return _measure_fleets(
        FLEET_DAEMON_COUNTS,
        lambda n: fleet_module.Fleet(_single_group_text(2), daemons=n),
    )


def _measure_by_runners() -> Samples:
    """Measure one daemon that owns one group, for several group sizes."""
    return _measure_fleets(
        GROUP_RUNNER_COUNTS,
        lambda n: fleet_module.Fleet(_single_group_text(n), daemons=1),
    )


def _measure_memory_by_runners(
    fleet_sizes: Sequence[fleet_texts.FleetSize],
) -> Samples:
    """Measure the memory of new daemons with texts of several sizes.

    The runners added to the text belong to other regions, so the daemon
    polls as few runners as without them.
    """
    samples: Samples = {'resident': {}}
    for fleet_size in fleet_sizes:
        samples['resident'][float(fleet_size.runners)] = _resident_bytes(
            fleet_size
        )
    return samples


def _resident_bytes(fleet_size: fleet_texts.FleetSize) -> list[float]:
    """Return the resident bytes of new daemons that accepted one text."""
    with fleet_module.Fleet(
        _single_group_text(2), daemons=MEMORY_DAEMONS
    ) as fleet:
        other_regions = fleet_texts.fleet_text(fleet_size, 'far-')
        text = {
            part: {**fleet.text[part], **other_regions[part]}
            for part in ('models', 'services', 'client_accounts')
        }
        fleet.publish(text)

        def is_accepted() -> bool:
            return all(
                len(daemon.operator_get('/status')['runners']) > 2
                for daemon in fleet.daemons
            )

        fleet.wait_for(is_accepted, 'the text is accepted', ACCEPT_TIMEOUT_S)
        time.sleep(1.0)
        pids = [daemon.process.pid for daemon in fleet.daemons]
        return [float(cost.resident_bytes(pid)) for pid in pids]
