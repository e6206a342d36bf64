"""Configuration in the form the users' operators write to their store."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

__all__ = ['HOST', 'add_accounts', 'configuration']

HOST = 'registry.example'
KV_CACHE_TOKENS = 50_000


def configuration(
    version: int = 1,
    extra_routes: Iterable[tuple[str, str, str]] = (),
    **limits: int,
) -> dict[str, Any]:
    """Return a configuration with plain and streaming routes.

    ``extra_routes`` gives prefix, service and type of additional routes.
    ``limits`` overrides entries of the ``limits`` object.
    """

    def route(
        prefix: str, service: str, kind: str, **changes: Any
    ) -> dict[str, Any]:
        return {
            'name': prefix,
            'host': HOST,
            'prefix': prefix,
            'routeType': kind,
            'timeoutMs': 1000,
            'targetLatencyMs': 300,
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
        } | changes

    stream: dict[str, Any] = {
        'timeoutMs': 4000,
        'targetLatencyMs': 900,
        'sticky': True,
        'gapTargetMs': 100,
    }
    return {
        'version': version,
        'routes': [
            route('/read/', 'plain', 'idempotent'),
            route('/file/', 'plain', 'non_idempotent'),
            route('/ask/', 'llm', 'streaming', resumable=True, **stream),
            route('/once/', 'llm', 'streaming', resumable=False, **stream),
            *(route(p, s, k) for p, s, k in extra_routes),
        ],
        'services': [
            {'name': 'plain', 'healthPath': '/health', 'maxConnections': 9},
            {
                'name': 'llm',
                'healthPath': '/health',
                'maxConnections': 99,
                'engine': {
                    'slots': 8,
                    'kvCacheTokens': KV_CACHE_TOKENS,
                    'kvTokenBytes': 35136,
                    'linkMbps': 740000.0,
                    'handleTtlS': 0.5,
                    'stageSwitchS': 6.0,
                    'moves': True,
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 3000,
        }
        | limits,
    }


def add_accounts(
    config: dict[str, Any],
    keys: Mapping[str, Iterable[str]],
    public: Collection[str] = (),
    **fields: Any,
) -> dict[str, Any]:
    """Return a configuration with client accounts, by name with their keys.

    ``public`` has the prefixes of routes without keys, and ``fields`` are
    those that all accounts have.
    """
    return config | {
        'routes': [
            route | {'public': route['prefix'] in public}
            for route in config['routes']
        ],
        'tenants': [
            {'name': name, 'apiKeys': list(own)} | fields
            for name, own in keys.items()
        ],
    }
