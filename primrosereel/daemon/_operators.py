"""The HTTP application for operators.

Liveness and readiness need no token, since the load balancer and the platform
poll them. All other paths need the token and are refused if none is set.
"""

from collections.abc import Callable
import hashlib
import hmac
from typing import Any

import msgspec

from primrosereel import _ids as ids
from primrosereel import settings as settings_module
from primrosereel.daemon import _asgi as asgi
from primrosereel.daemon import _driver as driver_module
from primrosereel.daemon import _metrics as metrics_module

__all__ = ['OperatorApplication']

JSON_HEADERS = [(b'content-type', b'application/json')]
EXPLAIN_PREFIX = '/explain/'


class OperatorApplication:
    """Serves liveness, readiness, status, explanations and drain."""

    def __init__(
        self,
        driver: driver_module.Driver,
        settings: settings_module.Operators,
        metrics: metrics_module.StatsdMetrics,
        drain: Callable[[], None],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._driver = driver
        self._settings = settings
        self._metrics = metrics
        self._drain = drain
        self._is_stopping = is_stopping

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI connection."""
        if not await asgi.is_request(scope, receive, send):
            return
        status, document = self._route(scope)
        await asgi.respond(
            send, status, msgspec.json.encode(document), JSON_HEADERS
        )

    def _route(self, scope) -> tuple[int, Any]:
        path, method = scope['path'], scope['method']
        if path == '/livez':
            return 200, self._liveness()
        if path == '/readyz':
            return self._readiness()
        if not self._has_valid_token(scope):
            return 403, {'error': 'a valid bearer token is needed'}
        if path == '/status':
            return 200, self._status()
        if path.startswith(EXPLAIN_PREFIX):
            return self._explain(path.removeprefix(EXPLAIN_PREFIX))
        if path == '/drain' and method == 'POST':
            self._drain()
            return 202, {'draining': True}
        return 404, {'error': f'there is no {path}'}

    def _has_valid_token(self, scope) -> bool:
        expected = self._settings.token_sha256
        credentials = asgi.header(scope, b'authorization') or ''
        scheme, _, token = credentials.partition(' ')
        if expected is None or scheme.lower() != 'bearer':
            return False
        digest = hashlib.sha256(token.strip().encode('latin-1')).hexdigest()
        return hmac.compare_digest(digest, expected)

    def _liveness(self) -> dict[str, Any]:
        identity = self._driver.core.world.identity
        return {
            'instance': identity.instance,
            'incarnation': identity.incarnation,
            'leaving': self._is_stopping(),
        }

    def _readiness(self) -> tuple[int, dict[str, Any]]:
        revision = self._driver.core.world.revision
        ready = revision > 0 and not self._is_stopping()
        return (200 if ready else 503), {'ready': ready, 'revision': revision}

    def _status(self) -> dict[str, Any]:
        world = self._driver.core.world
        peers = {
            name: {'state': peer.state.value, 'revision': peer.revision}
            for name, peer in world.peers.items()
        }
        runners = {
            name: {
                'service': runner.service,
                'group': runner.group,
                'role': runner.facts.role.value,
                'leaving': runner.leaving,
                'suspect': runner.suspect,
            }
            for name, runner in world.runners.items()
        }
        return {
            **self._liveness(),
            'revision': world.revision,
            'listing': {
                'revision': world.listing.revision,
                'instances': sorted(world.listing.instances),
            },
            'peers': peers,
            'runners': runners,
            'counters': self._metrics.counters(),
            'gauges': self._metrics.gauges(),
        }

    def _explain(self, request: str) -> tuple[int, Any]:
        explanations = self._driver.core.world.explanations
        lines = explanations.get(ids.RequestId(request))
        if lines is None:
            return 404, {'error': f'request {request} is not known here'}
        return 200, {'request_id': request, 'lines': lines}
