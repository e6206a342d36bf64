"""A fleet of decision cores in virtual time.

The cores run the configuration and membership systems. Their effects go over
a bus that loses, delays and duplicates messages, and to a platform that can
be down or stale.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel.core import _messages as messages

__all__ = ['Fleet', 'Platform', 'text_body']

SYSTEMS = ('configuration', 'membership')
TICK_S = 0.1
FAILURE_S = 1.0


def text_body(places=20, runners=2, valid=True):
    """Return a text; ``places`` distinguishes the revisions."""
    rows = ', '.join(
        f'd{i}: {{address: "10.0.0.1:{i + 10}", availability_zone: "a",'
        f' role: "decode", places: {places}}}'
        for i in range(runners)
    )
    kind = 'llm' if valid else 'cloud'
    return (
        '{models: {m: {prefill_tokens_s: 25000, decode_step_s: 0.03,'
        ' kv_bytes_per_token: 40000, context_tokens: 100000}},'
        f' services: {{s: {{kind: "{kind}", region: "r0", model: "m",'
        ' runners: {p: {address: "10.0.0.1:1", availability_zone: "a",'
        f' role: "prefill"}}, {rows}}}}}}},'
        ' // no client accounts\n client_accounts: {}}'
    ).encode()


@dataclasses.dataclass
class Platform:
    """The configuration service and the instance list."""

    texts: dict = dataclasses.field(default_factory=dict)
    revision: int = 0
    served: int | None = None
    down: bool = False
    list_down: bool = False
    list_lag_s: float = 0.0
    list_revision: int = 1
    listed: dict = dataclasses.field(default_factory=dict)

    def publish(self, body):
        """Store a text under the next revision."""
        self.revision += 1
        self.texts[self.revision] = body

    @property
    def visible(self):
        """The revision that reads return; an older one when stale."""
        return self.revision if self.served is None else self.served


class Fleet:
    """Runs daemons against each other and a platform."""

    def __init__(
        self,
        sizes,
        seed=0,
        loss=0.0,
        delay_s=0.001,
        double=0.0,
        systems=SYSTEMS,
    ):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.platform = Platform()
        self.loss, self.delay_s, self.double = loss, delay_s, double
        self.systems = systems
        self.cores = {}
        self.paused = set()
        self.cut = set()
        # Daemons that cannot reach the configuration service.
        self.blind = set()
        self.read_times = []
        self.reads = collections.Counter()
        self.counts = collections.Counter()
        self.calls = collections.Counter()
        self.revisions = collections.defaultdict(list)
        self.effects = collections.defaultdict(list)
        self._events = []
        self._sequence = itertools.count()
        self._watchers = []
        for region, size in enumerate(sizes):
            for number in range(size):
                self.start(f'i{region}-{number:03}', f'r{region}')

    def start(self, name, region, listed=True):
        """Start a daemon, or restart one with a new incarnation."""
        incarnation = int(self.now * 1000)
        identity = core_module.Identity(
            ids.InstanceId(name), incarnation, region, f'{region}-a', name
        )
        self.cores[name] = core_module.Core(
            identity, random.Random(self.random.random()), self.systems
        )
        self.revisions[name].append(0)
        if listed:
            self.relist(name)

    def stop(self, name, unlist=True):
        """End a daemon."""
        del self.cores[name]
        if unlist:
            self.unlist(name)

    def relist(self, name):
        """Show a daemon in the instance list as it is now."""
        row = self.cores[name].world.identity.listed()
        if self.platform.listed.get(name) != row:
            self.platform.listed[name] = row
            self.platform.list_revision += 1

    def unlist(self, name):
        """Remove a daemon from the instance list."""
        if self.platform.listed.pop(name, None):
            self.platform.list_revision += 1

    def world(self, name):
        """Return the tables of a daemon."""
        return self.cores[name].world

    def run(self, seconds):
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            tick_at = min(self.now + TICK_S, end)
            while self._events and self._events[0][0] <= tick_at:
                self.now, _, call = heapq.heappop(self._events)
                call()
            self.now = tick_at
            self._serve_watchers()
            for name in list(self.cores):
                if name not in self.paused:
                    self._execute(
                        name, self.cores[name].tick(self.now, self.now)
                    )

    def give(self, name, message):
        """Deliver a message to a daemon at once."""
        if name in self.cores and name not in self.paused:
            self._execute(
                name, self.cores[name].handle(message, self.now, self.now)
            )

    def at_revision(self, revision):
        """Tell whether every daemon has that text in force."""
        return all(c.world.revision == revision for c in self.cores.values())

    def _schedule(self, delay_s, call):
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._sequence), call)
        )

    def _execute(self, name, effects):
        for effect in effects:
            match effect:
                case messages.SendPeer():
                    self._send(name, effect)
                case messages.WatchConfiguration():
                    self._watch(name, effect)
                case messages.ReadInstanceList():
                    self._read_list(name)
                case messages.Count():
                    self.counts[effect.name] += effect.value
                case _:
                    self.effects[name].append(effect)
        self._record_revision(name)

    def _record_revision(self, name):
        revision = self.cores[name].world.revision
        if revision != self.revisions[name][-1]:
            self.revisions[name].append(revision)

    def _send(self, name, effect):
        self.calls[name] += 1
        target = effect.destination
        sender = self.cores[name].world.identity
        if (
            target not in self.cores
            or target in self.paused
            or frozenset((name, target)) in self.cut
            or self.random.random() < self.loss
        ):
            failed = messages.PeerFailed(target, (effect.message,))
            self._schedule(FAILURE_S, lambda: self.give(name, failed))
            return
        envelope = messages.FromPeer(
            sender.instance, sender.incarnation, effect.message
        )
        copies = 2 if self.random.random() < self.double else 1
        for _ in range(copies):
            delay_s = self.random.uniform(0, 2 * self.delay_s)
            self._schedule(delay_s, lambda: self.give(target, envelope))

    def _watch(self, name, effect):
        self.reads['text'] += 1
        self.read_times.append(self.now)
        if self.platform.down or name in self.blind:
            self._schedule(
                0.01,
                lambda: self.give(name, messages.ConfigurationFailed()),
            )
        else:
            self._watchers.append(
                (name, effect.after, self.now + effect.wait_s)
            )

    def _serve_watchers(self):
        platform = self.platform
        watchers, self._watchers = self._watchers, []
        for name, after, until in watchers:
            if platform.down:
                answer = messages.ConfigurationFailed()
            elif platform.visible > after:
                body = platform.texts[platform.visible]
                answer = messages.ConfigurationRead(platform.visible, body)
            elif self.now >= until:
                answer = messages.ConfigurationUnchanged()
            else:
                self._watchers.append((name, after, until))
                continue
            self.give(name, answer)

    def _read_list(self, name):
        self.reads['list'] += 1
        if self.platform.list_down:
            return
        answer = messages.InstanceListRead(
            self.platform.list_revision,
            self.now - self.platform.list_lag_s,
            tuple(self.platform.listed.values()),
        )
        self._schedule(0.005, lambda: self.give(name, answer))
