"""Cost of the daemon compared with a minimal pass-through, as processes.

Both serve the same completions from the same engines in turns within one
run. The CPU time is read from the operating system's process accounting.
"""

import os
import pathlib
import statistics
import sys
import time
from typing import Any

import anyio
import httpx

from primrosereel.bench import _fleet as fleet_module
from primrosereel.bench import _load as load
from primrosereel.bench import _ports as ports
from primrosereel.bench import _texts as texts

__all__ = ['cpu_seconds', 'resident_bytes', 'run']

MEASUREMENT_ROUNDS = 5
STREAMS = 16
TOKENS_PER_STREAM = 200
FIRST_TOKEN_CALLS = 20
# The engines generate fast, so that the router's share of the time is large.
ENGINE_OPTIONS = {
    'prefill_tokens_s': 1e7,
    'decode_step_s': 0.01,
    'places': 64,
    'pieces': 1000,
}
PROMPT = 'counter log, one line a strike. ' * 60
CLOCK_TICKS_S = os.sysconf('SC_CLK_TCK')
SERVICE = 'analyst'


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process so far."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise ProcessLookupError(pid)


def _text() -> dict[str, Any]:
    """Return a text with one runner of each role."""
    text = texts.demo()
    service = text['services'][SERVICE]
    runners = service['runners']
    kept_runners = {}
    for role in ('prefill', 'decode'):
        name = next(
            n for n, runner in runners.items() if runner['role'] == role
        )
        kept_runners[name] = {**runners[name], 'places': 64, 'pieces': 1000}
    service['runners'] = kept_runners
    text['models']['base'] = {
        **text['models']['base'],
        'prefill_tokens_s': ENGINE_OPTIONS['prefill_tokens_s'],
        'decode_step_s': ENGINE_OPTIONS['decode_step_s'],
    }
    return text


def run() -> dict[str, Any]:
    """Measure the daemon and the pass-through; return medians and spreads."""
    with fleet_module.Fleet(
        _text(), daemons=1, engine_options=ENGINE_OPTIONS
    ) as fleet:
        idle_bytes = resident_bytes(fleet.daemons[0].process.pid)
        passthrough = _start_passthrough(fleet)
        try:
            return {
                'idle_resident_mb': idle_bytes / 1e6,
                **anyio.run(_measure, fleet, passthrough),
            }
        finally:
            passthrough.kill()


def _start_passthrough(fleet: fleet_module.Fleet) -> fleet_module.Process:
    addresses = [
        fleet.addresses[name]
        for name in fleet.text['services'][SERVICE]['runners']
    ]
    listen = f'{fleet_module.HOST}:{ports.free_port()}'
    command = [
        sys.executable,
        '-m',
        'primrosereel.bench._passthrough',
        listen,
        *addresses,
    ]
    process = fleet.start_process('passthrough', command)
    process.address = listen
    fleet.wait_for(
        lambda: httpx.post(
            f'http://{listen}/', json={'prompt': 'x', 'max_tokens': 1}
        ),
        'the pass-through answers',
    )
    return process


async def _measure(fleet, passthrough) -> dict[str, Any]:
    daemon = fleet.daemons[0]
    targets = {
        'daemon': (daemon.callers, daemon.process.pid),
        'passthrough': (f'http://{passthrough.address}', passthrough.pid),
    }
    token_cpu_s: dict[str, list[float]] = {name: [] for name in targets}
    first_token_s: dict[str, list[float]] = {name: [] for name in targets}
    async with httpx.AsyncClient(
        limits=httpx.Limits(max_connections=None)
    ) as client:
        for _ in range(MEASUREMENT_ROUNDS):
            for name, (url, pid) in targets.items():
                first_token_s[name].append(
                    await _median_first_byte_s(client, url)
                )
                token_cpu_s[name].append(
                    await _cpu_seconds_per_token(client, url, pid)
                )
    return {
        'cpu_us_per_token': _summary(token_cpu_s, 1e6),
        'first_token_ms': _summary(first_token_s, 1e3),
        'cpu_ratio': statistics.median(token_cpu_s['daemon'])
        / statistics.median(token_cpu_s['passthrough']),
        'added_first_token_ms': 1e3
        * (
            statistics.median(first_token_s['daemon'])
            - statistics.median(first_token_s['passthrough'])
        ),
    }


def _summary(values: dict[str, list[float]], factor: float) -> dict[str, Any]:
    return {
        name: {
            'median': factor * statistics.median(samples),
            'spread': factor * (max(samples) - min(samples)),
        }
        for name, samples in values.items()
    }


async def _stream_completion(client, url: str, tokens: int) -> float:
    """Stream one completion; return the seconds until its first bytes."""
    started = time.perf_counter()
    first_byte_s = 0.0
    body = {
        'model': SERVICE,
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    key = texts.key_of('analysts')
    async with client.stream(
        'POST',
        f'{url}/v1/completions',
        json=body,
        headers={'authorization': f'Bearer {key}'},
        timeout=load.TIMEOUT_S,
    ) as response:
        response.raise_for_status()
        async for _ in response.aiter_raw():
            first_byte_s = first_byte_s or time.perf_counter() - started
    return first_byte_s


async def _median_first_byte_s(client, url: str) -> float:
    """Return the median time to the first bytes of sequential calls."""
    return statistics.median(
        [
            await _stream_completion(client, url, 1)
            for _ in range(FIRST_TOKEN_CALLS)
        ]
    )


async def _cpu_seconds_per_token(client, url: str, pid: int) -> float:
    """Return the CPU seconds per token of concurrent streams."""
    before = cpu_seconds(pid)
    async with anyio.create_task_group() as group:
        for _ in range(STREAMS):
            group.start_soon(
                _stream_completion, client, url, TOKENS_PER_STREAM
            )
    return (cpu_seconds(pid) - before) / (STREAMS * TOKENS_PER_STREAM)
