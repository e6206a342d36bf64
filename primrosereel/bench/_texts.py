"""Configuration texts for the demonstration, the bench and the tests.

``lynreg`` and ``guadalajara`` correspond to the two deployments under
``examples``; ``scale`` multiplies the number of their runners.
"""

import hashlib
from typing import Any

__all__ = ['demo', 'guadalajara', 'key_of', 'lynreg']

# A prompt of 8,000 tokens takes 0.16 s of prefill and 320 MB of KV cache.
MODEL = {
    'prefill_tokens_s': 50_000.0,
    'decode_step_s': 0.03,
    'kv_bytes_per_token': 40_000,
    'context_tokens': 131_072,
}
BASE_PORT = 18_100


def key_of(client_account: str) -> str:
    """Return the API key whose hash the texts contain."""
    return f'demo-{client_account}'


def _client_account(
    name: str, services: list[str], priority: int = 0, rate: float = 1000.0
) -> dict[str, Any]:
    return {
        'key_sha256': hashlib.sha256(key_of(name).encode()).hexdigest(),
        'services': services,
        'priority': priority,
        'rate': rate,
        'burst': rate,
    }


def _llm(
    name: str,
    region: str,
    zones: list[str],
    prefill: int,
    decode: int,
    port: int,
    **more: Any,
) -> dict[str, Any]:
    runners = {}
    roles = ['prefill'] * prefill + ['decode'] * decode
    for number, role in enumerate(roles):
        runners[f'{name}-{number + 1}'] = {
            'address': f'127.0.0.1:{port + number}',
            'availability_zone': zones[number % len(zones)],
            'role': role,
            'checks_fencing': True,
        }
    return {
        'kind': 'llm',
        'region': region,
        'model': 'base',
        'runners': runners,
        **more,
    }


def _plain(
    name: str,
    region: str,
    zones: list[str],
    count: int,
    port: int,
    calls: list[dict[str, Any]],
    **more: Any,
) -> dict[str, Any]:
    runners = {
        f'{name}-{number + 1}': {
            'address': f'127.0.0.1:{port + number}',
            'availability_zone': zones[number % len(zones)],
            'role': 'plain',
        }
        for number in range(count)
    }
    return {
        'kind': 'plain',
        'region': region,
        'runners': runners,
        'calls': calls,
        **more,
    }


def _call(method: str, path: str, kind: str) -> dict[str, Any]:
    return {'method': method, 'path': path, 'kind': kind}


def demo() -> dict[str, Any]:
    """Return a small text with one LLM service and one plain service."""
    zones = ['dk-east-a', 'dk-east-b']
    return {
        'models': {'base': MODEL},
        'services': {
            'analyst': _llm('analyst', 'dk-east', zones, 2, 2, BASE_PORT),
            'office': _plain(
                'office',
                'dk-east',
                zones,
                2,
                BASE_PORT + 50,
                [
                    _call('GET', '/archive', 'idempotent'),
                    _call('POST', '/certifications', 'non_idempotent'),
                ],
            ),
        },
        'client_accounts': {
            'analysts': _client_account('analysts', ['analyst', 'office']),
            'records': _client_account('records', ['analyst', 'office'], 5),
        },
    }


def lynreg(scale: int = 1) -> dict[str, Any]:
    """Return the text of Lynreg, a deployment with long prompts.

    It has 5 LLM runners and 3 plain ones.
    """
    zones = ['dk-east-a', 'dk-east-b', 'dk-east-c']
    return {
        'models': {'base': MODEL},
        'services': {
            'log-analyst': _llm(
                'log-analyst',
                'dk-east',
                zones,
                2 * scale,
                3 * scale,
                BASE_PORT,
            ),
            'records-office': _plain(
                'records-office',
                'dk-east',
                zones,
                3 * scale,
                BASE_PORT + 100 * scale,
                [
                    _call('GET', '/archive', 'idempotent'),
                    _call('POST', '/corrections', 'non_idempotent'),
                    _call('POST', '/certifications', 'non_idempotent'),
                ],
                depends_on=['log-analyst'],
            ),
        },
        'client_accounts': {
            'analysts': _client_account('analysts', ['log-analyst']),
            'grid-operators': _client_account(
                'grid-operators', ['log-analyst']
            ),
            'assessors': _client_account('assessors', ['log-analyst']),
            'records-office': _client_account(
                'records-office', ['log-analyst', 'records-office'], 5
            ),
        },
    }


def guadalajara(scale: int = 1) -> dict[str, Any]:
    """Return the text of Guadalajara, a deployment with bursts.

    It has 6 LLM runners and 4 plain ones.
    """
    zones = ['jal-occ-a', 'jal-occ-b', 'jal-occ-c', 'jal-occ-d']
    return {
        'models': {'base': MODEL},
        'services': {
            'lectores-modelo': _llm(
                'lectores-modelo',
                'jal-occ',
                zones,
                2 * scale,
                4 * scale,
                BASE_PORT,
            ),
            'ventanilla-app': _plain(
                'ventanilla-app',
                'jal-occ',
                zones,
                4 * scale,
                BASE_PORT + 100 * scale,
                [
                    _call('GET', '/badges', 'idempotent'),
                    _call('POST', '/renewals', 'non_idempotent'),
                    _call('POST', '/fees', 'non_idempotent'),
                ],
                depends_on=['lectores-modelo'],
            ),
        },
        'client_accounts': {
            'clerks': _client_account(
                'clerks', ['lectores-modelo', 'ventanilla-app']
            ),
            'supervisors': _client_account(
                'supervisors', ['lectores-modelo', 'ventanilla-app'], 5
            ),
        },
    }
