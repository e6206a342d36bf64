"""What idle daemons take, on real processes."""

from collections.abc import Sequence
import pathlib
import time
from typing import Any

import httpx

from primrosereel.bench import _capacity_texts as fleet_texts
from primrosereel.bench import _cost as cost
from primrosereel.bench import _fleet as fleet_module
from primrosereel.bench import _texts as texts

__all__ = ['Found', 'measure']

WINDOW_S = 5.0
RUNS = 2
SETTLE_S = 2.0
# Daemons that take the same text, each a sample of its memory.
MEMORY_DAEMONS = 3
ACCEPT_TIMEOUT_S = 10.0
# One daemon owns one group of at most 16 runners.
GROUP_SIZES = (2, 4, 8, 16)
FLEET_SIZES = (2, 4, 8, 16)
Found = dict[str, dict[float, list[float]]]


def _loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    for line in pathlib.Path('/proc/net/dev').read_text().splitlines():
        name, _, rest = line.partition(':')
        if name.strip() == 'lo':
            return int(rest.split()[0])
    raise LookupError('no loopback interface in /proc/net/dev')


def _text(runners: int) -> dict[str, Any]:
    """Return a text with one group of runners of both roles."""
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


def _sample(fleet: fleet_module.Fleet) -> dict[str, float]:
    """Return one window's figures for each daemon."""
    pids = [d.process.pid for d in fleet.daemons]
    count = len(pids)
    lists = httpx.get(f'{fleet.platform}/standin/counters').json()
    background = _loopback_bytes()
    cpu = [cost.cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(WINDOW_S)
    passed = time.monotonic() - started
    spent = [
        cost.cpu_seconds(pid) - c for pid, c in zip(pids, cpu, strict=True)
    ]
    loopback = _loopback_bytes() - background
    after = httpx.get(f'{fleet.platform}/standin/counters').json()
    return {
        'core': sum(spent) / count / passed,
        'highest core': max(spent) / passed,
        'loopback': loopback / count / passed,
        'resident': sum(map(cost.resident_bytes, pids)) / count,
        'reads': (after['reads'] - lists['reads']) / passed,
        'watches': after['watches_waiting'],
        'list reads': (after['list_reads'] - lists['list_reads']) / passed,
    }


def _measure(fleet_sizes: Sequence[int], make) -> Found:
    found: Found = {}
    for size in fleet_sizes:
        with make(size) as fleet:
            time.sleep(SETTLE_S)
            for _ in range(RUNS):
                for name, value in _sample(fleet).items():
                    runs = found.setdefault(name, {})
                    runs.setdefault(float(size), []).append(value)
    return found


def measure(fleet_sizes: Sequence[fleet_texts.FleetSize]) -> dict[str, Found]:
    """Measure fleets against daemons and runners, and memory by text."""
    return {
        'daemons': _peers(),
        'runners': _runners(),
        'memory': _memory_by_runners(fleet_sizes),
    }


def _peers() -> Found:
    """Measure fleets of several sizes, with one group of 2 runners."""
    return _measure(
        FLEET_SIZES, lambda n: fleet_module.Fleet(_text(2), daemons=n)
    )


def _runners() -> Found:
    """Measure one daemon that owns a group of several sizes."""
    return _measure(
        GROUP_SIZES, lambda n: fleet_module.Fleet(_text(n), daemons=1)
    )


def _memory_by_runners(fleet_sizes: Sequence[fleet_texts.FleetSize]) -> Found:
    """Measure a fresh daemon's memory with texts of several sizes.

    The rest of the text is of other regions, so the daemon polls no more
    runners than before.
    """
    found: Found = {'resident': {}}
    for fleet_size in fleet_sizes:
        found['resident'][float(fleet_size.runners)] = _resident(fleet_size)
    return found


def _resident(fleet_size: fleet_texts.FleetSize) -> list[float]:
    """Return the memory of fresh daemons that took one text."""
    with fleet_module.Fleet(_text(2), daemons=MEMORY_DAEMONS) as fleet:
        more = fleet_texts.fleet_text(fleet_size, 'far-')
        text = {
            part: {**fleet.text[part], **more[part]}
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
