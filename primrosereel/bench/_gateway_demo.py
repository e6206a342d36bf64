"""The demonstration of the gateway with stand-ins of the users' platform."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

import anyio
import httpx

from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from primrosereel.standin import _operator_config as operator_config

__all__ = ['run']

GENERATIONS = 8
FILINGS = 6
ACCOUNT_CALLS = 5
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
# Two client accounts; the quota of the second one allows three requests.
TENANTS: list[dict[str, Any]] = [
    {'name': 'analysts', 'apiKeys': ['demo-key-1']},
    {
        'name': 'visitors',
        'apiKeys': ['demo-key-2'],
        'ratePerS': 0.001,
        'burst': 3,
    },
]
RUNNERS = (
    ('p1', 'llm', 'prefill'),
    ('d1', 'llm', 'decode'),
    ('d2', 'llm', 'decode'),
    ('s1', 'plain', None),
    ('s2', 'plain', None),
)
SETTINGS_TEMPLATE = """
nodeName = "demo-1"
zone = "zone-a"
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
[platform]
address = "127.0.0.1:{store}"
"""


def run() -> dict[str, Any]:
    """Run the gateway with its stand-ins and return the report."""
    return anyio.run(_run)


async def _run() -> dict[str, Any]:
    async with anyio.create_task_group() as tasks:
        store = metadata_store.MetadataStore()
        await tasks.start(store.server.serve)
        store.put(
            'op/config', operator_config.configuration() | {'tenants': TENANTS}
        )
        runners = {}
        for name, service, stage in RUNNERS:
            runner = listed_runner.ListedRunner(
                listed_runner.RunnerOptions(
                    name, service, stage, events=20, event_s=0.02
                )
            )
            await tasks.start(runner.server.serve)
            store.put(f'servers/{name}', runner.entry())
            runners[name] = runner
        with tempfile.TemporaryDirectory() as folder:
            report = await _run_gateway(store, runners, pathlib.Path(folder))
        tasks.cancel_scope.cancel()
    return report


async def _run_gateway(store, runners, folder: pathlib.Path) -> dict[str, Any]:
    callers, readiness = _free_port(), _free_port()
    settings = folder / 'settings.toml'
    settings.write_text(
        SETTINGS_TEMPLATE.format(
            callers=callers, readiness=readiness, store=store.server.port
        )
    )
    process = subprocess.Popen(
        [sys.executable, '-m', 'primrosereel.cmd.gateway'],
        env=os.environ | {'PRIMROSEREEL_CONFIG': str(settings)},
        stdout=subprocess.DEVNULL,
    )
    headers = {'Host': operator_config.HOST}
    try:
        async with httpx.AsyncClient(
            base_url=f'http://127.0.0.1:{callers}', headers=headers
        ) as client:
            await _wait_ready(client, readiness)
            return await _send_requests(client, runners, process)
    finally:
        process.kill()
        process.wait()


async def _wait_ready(client: httpx.AsyncClient, port: int) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                url = f'http://127.0.0.1:{port}/v1/readiness'
                if (await client.get(url)).is_success:
                    return
            except httpx.TransportError:
                pass
            await anyio.sleep(0.05)


async def _send_requests(client, runners, process) -> dict[str, Any]:
    complete = 0
    for number in range(GENERATIONS):
        answer = await client.post(
            '/ask/1', headers=_headers(f'g{number}', tokens='2000,100')
        )
        complete += answer.text.count('\n\n') == 20
    # s1 refuses two calls, which must then run once, at another runner.
    runners['s1'].faults.extend([listed_runner.Fault.SHED] * 2)
    filed = [
        await client.post(
            '/file/1', headers=_headers(f'f{number}'), content=b'strike'
        )
        for number in range(FILINGS)
    ]
    executed = sum(
        runners[name].runs[f'f{number}']
        for name in ('s1', 's2')
        for number in range(FILINGS)
    )
    return {
        'generations': {'asked': GENERATIONS, 'whole': complete},
        'prefills': sum(runners['p1'].prefills.values()),
        'filings': {
            'asked': FILINGS,
            'filed': sum(answer.is_success for answer in filed),
            'executed': executed,
        },
        'accounts': await _call_as_accounts(client),
        'stop': await _stop_during_stream(client, process),
    }


async def _call_as_accounts(client) -> dict[str, dict[str, int]]:
    """Return how many calls of each account were served or over its quota."""
    counts = {}
    for account in TENANTS:
        name, key = account['name'], account['apiKeys'][0]
        answers = [
            await client.get(
                '/read/1', headers=_headers(f'{name}{number}', key=key)
            )
            for number in range(ACCOUNT_CALLS)
        ]
        statuses = [answer.status_code for answer in answers]
        counts[name] = {
            'asked': ACCOUNT_CALLS,
            'served': statuses.count(200),
            'over_quota': statuses.count(429),
        }
    return counts


async def _stop_during_stream(client, process) -> dict[str, Any]:
    """Stop the gateway during a stream; report on both."""
    text = ''
    async with client.stream(
        'POST', '/once/1', headers=_headers('last', tokens='2000,100')
    ) as answer:
        async for part in answer.aiter_text():
            if not text:
                process.send_signal(signal.SIGTERM)
            text += part
    with anyio.fail_after(STOP_TIMEOUT_S):
        while process.poll() is None:
            await anyio.sleep(0.05)
    return {
        'stream_whole': text.count('\n\n') == 20,
        'exit_status': process.returncode,
    }


def _headers(
    request_id: str, tokens: str = '', key: str = 'demo-key-1'
) -> dict[str, str]:
    headers = {
        'Request-Id': request_id,
        'Deadline-Ms': '3000',
        'Authorization': f'Token {key}',
    }
    if tokens:
        headers['Token-Usage'] = tokens
    return headers


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]
