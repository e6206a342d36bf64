"""The demonstration with daemons and stand-ins as separate processes."""

import os
import random
import time
from typing import Any
import uuid

import anyio
import httpx

from primrosereel.bench import _fleet as fleet_module
from primrosereel.bench import _load as load
from primrosereel.bench import _texts as texts

__all__ = ['run', 'uuid7']

DAEMONS = 2
REQUESTS = 24
SEED = 11
# Sum of the age limit of instance lists (10 s), the limit on key times in the
# future (2 s), the longest gap between lists (5 s) and a margin.
WITNESS_WARM_UP_S = 19.0
# Prompts share a prefix, so that the prefix cache is used.
PREFIX = 'counter log of mast 17, one line a strike. ' * 120


def uuid7(wall: float | None = None) -> str:
    """Return a UUIDv7 (RFC 9562) for a wall-clock time in seconds."""
    now_ms = int((time.time() if wall is None else wall) * 1000)
    value = (now_ms & (2**48 - 1)) << 80
    value |= int.from_bytes(os.urandom(10))
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def run() -> dict[str, Any]:
    """Run the demonstration and return its report."""
    with fleet_module.Fleet(texts.demo(), daemons=DAEMONS) as fleet:
        report = anyio.run(_run_requests, fleet)
        report['prefill'] = _prefill_tokens(fleet)
        report['refused_by_reason'] = _refusals_by_reason(fleet)
        return report


async def _run_requests(fleet: fleet_module.Fleet) -> dict[str, Any]:
    async with httpx.AsyncClient() as client:
        streamed = await _stream_completion(client, fleet)
        results = await _run_completions(client, fleet)
        certification = await _certify_twice(client, fleet)
    return {
        'streamed': streamed,
        'completions': _summary(results),
        'certification': certification,
    }


async def _stream_completion(client, fleet) -> dict[str, Any]:
    result = await load.complete(
        client,
        fleet.daemons[0].callers,
        texts.key_of('records'),
        'analyst',
        f'{PREFIX} Summarize the night of the third.',
        8,
    )
    return {
        'status': result.status,
        'text': result.text,
        'finish': result.finish,
        'reason': result.reason,
    }


async def _run_completions(client, fleet) -> list[load.Result]:
    random_source = random.Random(SEED)
    results: list[load.Result] = []

    async def send_completion(number: int) -> None:
        await anyio.sleep(random_source.uniform(0, 2))
        daemon = fleet.daemons[number % len(fleet.daemons)]
        prompt = f'{PREFIX} Question {number}. ' + 'x' * 4000 * (number % 4)
        results.append(
            await load.complete(
                client,
                daemon.callers,
                texts.key_of('analysts'),
                'analyst',
                prompt,
                24,
            )
        )

    async with anyio.create_task_group() as group:
        for number in range(REQUESTS):
            group.start_soon(send_completion, number)
    return results


async def _certify_twice(client, fleet) -> dict[str, Any]:
    """Send one certification with the same key through two daemons.

    A witness consents only to keys that are newer than its record of instance
    lists, so that a new fleet accepts no key for the first seconds.
    """
    await anyio.sleep(max(0.0, WITNESS_WARM_UP_S - fleet.age_s))
    key = uuid7()
    answers = []
    for daemon in fleet.daemons[:2]:
        answers.append(
            await load.call_plain(
                client,
                daemon.callers,
                texts.key_of('records'),
                'office',
                'POST',
                '/certifications',
                key,
                b'{"strike": 4711}',
            )
        )
    return {
        'asked': len(answers),
        'statuses': [a.status for a in answers],
        'reasons': [a.reason for a in answers if a.reason],
        'executed': fleet.executions('office', '/certifications', key),
    }


def _summary(results: list[load.Result]) -> dict[str, Any]:
    answered = [r for r in results if r.answered]
    first_token_times = [
        r.first_token_s for r in answered if r.first_token_s is not None
    ]
    gaps = [gap for r in answered for gap in r.gaps_s]
    return {
        'asked': len(results),
        'answered': len(answered),
        'first_token_s': {
            'p50': load.percentile(first_token_times, 0.5),
            'p95': load.percentile(first_token_times, 0.95),
        },
        'gap_s': {
            'p50': load.percentile(gaps, 0.5),
            'p95': load.percentile(gaps, 0.95),
        },
    }


def _prefill_tokens(fleet: fleet_module.Fleet) -> dict[str, int]:
    computed = wasted = 0
    for runner in fleet.text['services']['analyst']['runners']:
        counters = fleet.engine_counters(runner)
        computed += counters['prefill_tokens']
        wasted += counters['wasted_tokens']
    return {'tokens': computed, 'wasted_tokens': wasted}


def _refusals_by_reason(fleet: fleet_module.Fleet) -> dict[str, int]:
    totals: dict[str, int] = {}
    for daemon in fleet.daemons:
        for name, value in daemon.counters().items():
            if name.startswith('refusal.'):
                reason = name.removeprefix('refusal.')
                totals[reason] = totals.get(reason, 0) + value
    return totals
