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

JSON = [(b'content-type', b'application/json')]
EXPLAIN = '/explain/'


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
        if scope['type'] == 'lifespan':
            await asgi.run_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        status, document = self._route(scope)
        await asgi.respond(send, status, msgspec.json.encode(document), JSON)

    def _route(self, scope) -> tuple[int, Any]:
        path, method = scope['path'], scope['method']
        if path == '/livez':
            return 200, self._liveness()
        if path == '/readyz':
            return self._readiness()
        if not self._allowed(scope):
            return 403, {'error': 'a valid bearer token is needed'}
        if path == '/status':
            return 200, self._status()
        if path.startswith(EXPLAIN):
            return self._explain(path.removeprefix(EXPLAIN))
        if path == '/drain' and method == 'POST':
            self._drain()
            return 202, {'draining': True}
        return 404, {'error': f'there is no {path}'}

    def _allowed(self, scope) -> bool:
        expected = self._settings.token_sha256
        given = asgi.header(scope, b'authorization') or ''
        scheme, _, token = given.partition(' ')
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
            name: {'state': row.state.value, 'revision': row.revision}
            for name, row in world.peers.items()
        }
        runners = {
            name: {
                'service': row.service,
                'group': row.group,
                'role': row.facts.role.value,
                'leaving': row.leaving,
                'suspect': row.suspect,
            }
            for name, row in world.runners.items()
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
