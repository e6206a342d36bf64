"""What the operator and the runners write to the store, and when."""

import collections
import dataclasses
import enum
import functools
import math

import anyio

from primrosereel.standin import _operator_config as operator_config
from tests.soak import processes
from tests.soak import spans

__all__ = [
    'KEY_MARK',
    'STEADY_KEY',
    'AddedRoute',
    'Key',
    'Operator',
    'RouteState',
]

CONFIG_KEY = 'op/config'
FIRST_IDLE_MS = 3000
IDLE_LIMITS_MS = (700, 1500, 3000, 5000)
STREAM_TIMEOUTS_MS = (3000, 4000, 5000)
PLAIN_TIMEOUTS_MS = (1000, 1500, 2000)
MAX_ADDED_ROUTES = 6
MAX_CHANGING_KEYS = 3
# Part of each key, which must not leave the processes.
KEY_MARK = 'soak-key-'
ROUTE_CHANGE_SHARE = 0.7
LIMIT_CHANGE_SHARE = 0.5
# A version that was acknowledged this long ago is in force everywhere.
IN_FORCE_S = processes.CONFIG_APPLY_S + 1.0


class RouteState(enum.Enum):
    """Whether the configurations that may be in force have a route."""

    PRESENT = 'present'
    ABSENT = 'absent'
    CHANGING = 'changing'


@dataclasses.dataclass(slots=True)
class AddedRoute:
    """A route that was added later; times are those of acknowledgements."""

    prefix: str
    added_at: float
    removed_at: float = math.inf

    def state(self, at):
        """Return the route's state for a request that is sent at a time."""
        if at > self.removed_at + IN_FORCE_S:
            return RouteState.ABSENT
        if self.added_at + IN_FORCE_S < at < self.removed_at:
            return RouteState.PRESENT
        return RouteState.CHANGING


@dataclasses.dataclass(slots=True, eq=False)
class Key:
    """A key of a client account; times are those of acknowledgements."""

    text: str
    account: str
    added_at: float = -math.inf
    removed_at: float = math.inf

    state = AddedRoute.state


# All versions have it.
STEADY_KEY = Key(f'{KEY_MARK}steady', 'steady')


class Operator:
    """Writes configurations and runners' entries to the store.

    ``disturbed`` has the periods in which the store is in disruption for all
    processes. ``leaving`` has for each runner the periods in which its newest
    entry says that it leaves, or is missing.
    """

    def __init__(self, store, runners, links):
        self.disturbed = spans.Spans()
        self.leaving = collections.defaultdict(spans.Spans)
        self.routes = []
        # The keys that come and go, one with each version.
        self.keys = []
        self._store = store
        self._runners = runners
        self._links = links
        self._states = {}
        # The number of the open period of each runner that is leaving.
        self._open_leaves = {}
        self._version = 1
        self._timeouts_ms = {}
        # Each limit with the time until which it may be in force.
        self._idle_limits = [[FIRST_IDLE_MS / 1000, math.inf]]
        self._write_configuration()

    # Runners.

    def publish_runner(self, name, state):
        """Write a runner's entry; the state None removes it."""
        self._states[name] = state
        if state == 'ready':
            if name in self._open_leaves:
                self.leaving[name].end(self._open_leaves.pop(name))
        elif name not in self._open_leaves:
            self._open_leaves[name] = self.leaving[name].begin()
        self.write_runner(name)

    def is_leaving(self, name):
        return name in self._open_leaves

    def write_runner(self, name):
        """Write a runner's newest entry once more."""
        state = self._states[name]
        if state is None:
            self._store.delete(f'servers/{name}')
            return
        entry = self._runners[name].entry(state)
        if name in self._links:
            entry['address'] = f'127.0.0.1:{self._links[name].port}'
        self._store.put(f'servers/{name}', entry)

    def write_others(self, count):
        """Write what concerns no process, as heartbeats do constantly."""
        for number in range(count):
            self._store.put(f'other/{number}', {})

    # Configurations.

    @property
    def version(self):
        """The newest version of the configuration."""
        return self._version

    @property
    def live_prefixes(self):
        return [r.prefix for r in self.routes if r.removed_at == math.inf]

    def idle_limit_s(self):
        """Return the shortest idle limit that may be in force."""
        now = anyio.current_time()
        return min(limit for limit, until in self._idle_limits if until > now)

    def route(self, path):
        """Return the added route of a path, or None."""
        return next(
            (r for r in self.routes if path.startswith(r.prefix)), None
        )

    def change_configuration(self, random):
        """Write a version, mostly with changes."""
        self._version += random.randint(1, 3)
        changes = (self._change_idle_limit, self._change_timeouts)
        route_changes = (self._add_route, self._add_route, self._remove_route)
        if random.random() < ROUTE_CHANGE_SHARE:
            random.choice(route_changes)(random)
        if random.random() < LIMIT_CHANGE_SHARE:
            random.choice(changes)(random)
        self._change_keys()
        self._write_configuration()

    def _change_keys(self):
        now = anyio.current_time()
        text = f'{KEY_MARK}{self._version}'
        self.keys.append(Key(text, 'changing', now))
        live = [key for key in self.keys if key.removed_at == math.inf]
        for key in live[:-MAX_CHANGING_KEYS]:
            key.removed_at = now

    def _change_idle_limit(self, random):
        self._idle_limits[-1][1] = anyio.current_time() + IN_FORCE_S
        limit_s = random.choice(IDLE_LIMITS_MS) / 1000
        self._idle_limits.append([limit_s, math.inf])

    def _change_timeouts(self, random):
        for kind, timeouts in (
            ('streaming', STREAM_TIMEOUTS_MS),
            ('plain', PLAIN_TIMEOUTS_MS),
        ):
            self._timeouts_ms[kind] = random.choice(timeouts)

    def _add_route(self, _):
        if len(self.live_prefixes) < MAX_ADDED_ROUTES:
            prefix = f'/added-{len(self.routes)}/'
            self.routes.append(AddedRoute(prefix, anyio.current_time()))

    def _remove_route(self, random):
        live = [r for r in self.routes if r.removed_at == math.inf]
        if live:
            random.choice(live).removed_at = anyio.current_time()

    def _write_configuration(self):
        added = [(p, 'plain', 'idempotent') for p in self.live_prefixes]
        limit_ms = round(1000 * self._idle_limits[-1][0])
        configuration = operator_config.configuration(
            self._version, added, idleTimeoutMs=limit_ms
        )
        for route in configuration['routes']:
            kind = 'plain' if route['service'] == 'plain' else 'streaming'
            if kind in self._timeouts_ms:
                route['timeoutMs'] = self._timeouts_ms[kind]
        live = [key.text for key in self.keys if key.removed_at == math.inf]
        configuration = operator_config.add_accounts(
            configuration, {'steady': [STEADY_KEY.text], 'changing': live}
        )
        self._store.put(CONFIG_KEY, configuration)

    # After a return of the store from a copy.

    async def write_again(self, random, pause_s):
        """Write what the store lost, in some order, with pauses up to a time.

        Pauses of 0 write all of it at one moment.
        """
        writes = [
            functools.partial(self.write_runner, n) for n in self._states
        ]
        writes.append(self._write_configuration)
        random.shuffle(writes)
        for write in writes:
            if pause_s:
                await anyio.sleep(random.uniform(0.0, pause_s))
            write()
