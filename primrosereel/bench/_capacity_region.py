"""One region of decision cores in a full fleet, under virtual time.

The cores of the region are real, or only some of them; all other instances
are reflections that answer heartbeats and reports. Runners and the platform
answer every call. The time that each message takes in a core is the
processor time of this thread.
"""

import collections
from collections.abc import Callable
import functools
import heapq
import itertools
import json
import random
import time
from typing import Any

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel.bench import _capacity_texts as fleet_texts
from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers

__all__ = ['EPOCH_S', 'OUTPUT_TOKENS', 'Region']

TICK_S = 0.1
MIN_SLEEP_S = 0.001
LATENCY_S = 0.0005
EPOCH_S = 1_800_000_000.0
# One request: 332 tokens at 30 ms, delivered in parts of 10 tokens.
OUTPUT_TOKENS = 332
PART_TOKENS = 10
PREFILL_S = 0.06
PROMPT_TOKENS = 4000
PREFIX_BLOCKS = 16


Counts = collections.Counter[str]


class _Node:
    """A real core and when it next ticks."""

    def __init__(self, core: core_module.Core) -> None:
        self.core = core
        self.next_tick = 0.0


class Region:
    """Runs the cores of region ``r0`` against reflections of the rest.

    ``sent`` and ``sent_bytes`` count messages between daemons by kind;
    ``seconds`` and ``handled`` are processor time and number by kind, and
    ``effects`` counts what the cores ask of runners and the platform.
    """

    def __init__(
        self,
        fleet_size: fleet_texts.FleetSize,
        seed: int = 1,
        real: int | None = None,
    ) -> None:
        self.now = 0.0
        self.fleet_size = fleet_size
        self.random = random.Random(seed)
        self.sent: Counts = collections.Counter()
        self.sent_bytes: Counts = collections.Counter()
        self.seconds: dict[str, float] = collections.defaultdict(float)
        self.handled: Counts = collections.Counter()
        self.effects: Counts = collections.Counter()
        self.finished = 0
        # While True no instance outside the region answers.
        self.apart = False
        self.listing_revision = 1
        self.revision = ids.Revision(1)
        self.text = fleet_texts.fleet_text(fleet_size)
        self.body = json.dumps(self.text).encode()
        self.rows = self._make_rows()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._nodes: dict[ids.InstanceId, _Node] = {}
        self._watchers: list[_Node] = []
        count = fleet_size.daemons_per_region if real is None else real
        for row in self.rows[:count]:
            self._add(row)

    @property
    def cores(self) -> list[core_module.Core]:
        """The real cores."""
        return [node.core for node in self._nodes.values()]

    def forget(self) -> None:
        """Set all counts to zero."""
        self.finished = 0
        self.seconds.clear()
        for counter in (
            self.sent,
            self.sent_bytes,
            self.handled,
            self.effects,
        ):
            counter.clear()

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def offer(self, rate: float, seconds: float) -> None:
        """Let requests arrive at each real core at a rate a second."""
        services = [s for s in self.text['services'] if s.endswith('-0')]
        for node in self._nodes.values():
            at = self.now
            while (at := at + self.random.expovariate(rate)) < (
                self.now + seconds
            ):
                self._at(at, functools.partial(self._arrive, node, services))

    def change_list(self) -> None:
        """Restart an instance of another region in the list."""
        last = self.rows[-1]
        self.rows[-1] = messages.ListedInstance(
            last.instance,
            ids.Incarnation(last.incarnation + 1),
            last.region,
            last.availability_zone,
            last.address,
        )
        self.listing_revision += 1

    def publish(self) -> None:
        """Put a text into force in which one runner leaves."""
        self.revision = ids.Revision(self.revision + 1)
        runner = f's{self.revision % fleet_texts.MODEL_COUNT}-0-0'
        service = self.text['services'][runner.rpartition('-')[0]]
        service['runners'][runner]['leaving'] = True
        self.body = json.dumps(self.text).encode()
        watchers, self._watchers = self._watchers, []
        for node in watchers:
            self._later(node, self.read())

    def read(self) -> messages.ConfigurationRead:
        """Return the configuration service's answer as of now."""
        return messages.ConfigurationRead(self.revision, self.body)

    def listed(self) -> messages.InstanceListRead:
        """Return the platform's answer as of now."""
        return messages.InstanceListRead(
            self.listing_revision, EPOCH_S + self.now, tuple(self.rows)
        )

    def handle(
        self, core: core_module.Core, message: messages.Inbound
    ) -> list[messages.Outbound]:
        """Feed a message to a core and record its time."""
        kind = type(message).__name__
        if isinstance(message, messages.FromPeer):
            kind = type(message.message).__name__
        started = time.thread_time()
        effects = core.handle(message, self.now, EPOCH_S + self.now)
        self.seconds[kind] += time.thread_time() - started
        self.handled[kind] += 1
        return effects

    def _make_rows(self) -> list[messages.ListedInstance]:
        found = []
        for number in range(self.fleet_size.daemons):
            region, place = divmod(number, self.fleet_size.daemons_per_region)
            region = min(region, fleet_texts.REGION_COUNT - 1)
            found.append(
                messages.ListedInstance(
                    ids.InstanceId(f'entry-{number:03}'),
                    ids.Incarnation(1_800_000_000_000),
                    ids.Region(f'r{region}'),
                    ids.AvailabilityZone(
                        f'z{(region * 2 + place) % fleet_texts.ZONE_COUNT}'
                    ),
                    f'10.{region}.200.{place}:7000',
                )
            )
        return found

    def _add(self, row: messages.ListedInstance) -> None:
        identity = core_module.Identity(
            row.instance,
            row.incarnation,
            row.region,
            row.availability_zone,
            row.address,
        )
        source = random.Random(self.random.random())
        node = _Node(core_module.Core(identity, source))
        self._nodes[row.instance] = node
        self._at(0.0, functools.partial(self._start, node))

    def _start(self, node: _Node) -> None:
        self._feed(node, self.listed())
        self._tick(node)

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._numbers), call))

    def _feed(self, node: _Node, message: messages.Inbound) -> None:
        self._carry(node, self.handle(node.core, message))
        if node.core.wake < node.next_tick:
            self._schedule(node)

    def _later(
        self, node: _Node, message: messages.Inbound, after_s: float = 0.0
    ) -> None:
        when = self.now + LATENCY_S + after_s
        self._at(when, functools.partial(self._feed, node, message))

    def _tick(self, node: _Node) -> None:
        if self.now < node.next_tick:
            return
        node.next_tick = self.now + TICK_S
        started = time.thread_time()
        effects = node.core.tick(self.now, EPOCH_S + self.now)
        self.seconds['tick'] += time.thread_time() - started
        self.handled['tick'] += 1
        self._carry(node, effects)
        self._schedule(node)

    def _schedule(self, node: _Node) -> None:
        wake = max(node.core.wake, self.now + MIN_SLEEP_S)
        node.next_tick = min(node.next_tick, wake)
        self._at(node.next_tick, functools.partial(self._tick, node))

    def _carry(self, node: _Node, effects: list[messages.Outbound]) -> None:
        for effect in effects:
            kind = type(effect).__name__
            self.effects[kind] += 1
            carrier = getattr(self, f'_on_{kind}', None)
            if carrier is not None:
                carrier(node, effect)

    def _on_SendPeer(self, node: _Node, effect: messages.SendPeer) -> None:
        own = node.core.world.identity
        kind = type(effect.message).__name__
        envelope = peers.Envelope(
            own.instance, own.incarnation, [effect.message]
        )
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(peers.encode(envelope))
        other = self._nodes.get(effect.destination)
        if other is None:
            self._reflect(node, effect)
            return
        message = messages.FromPeer(
            own.instance, own.incarnation, effect.message
        )
        self._later(other, message)

    def _reflect(self, node: _Node, effect: messages.SendPeer) -> None:
        """Answer for an instance that is not simulated."""
        if self.apart:
            failed = messages.PeerFailed(effect.destination, (effect.message,))
            self._later(node, failed, 1.0)
            return
        reply: messages.PeerMessage
        match effect.message:
            case messages.Heartbeat(reply=False):
                reply = messages.Heartbeat(
                    self.revision,
                    self.listing_revision,
                    EPOCH_S + self.now,
                    reply=True,
                )
            case messages.DemandReport(demands=demands):
                reply = messages.ShareReply(demands, 3.0)
            case messages.LiveGrantsQuery(group=group):
                reply = messages.LiveGrants(group, ())
            case _:
                return
        sender = ids.Incarnation(1_800_000_000_000)
        self._later(node, messages.FromPeer(effect.destination, sender, reply))

    def _on_WatchConfiguration(
        self, node: _Node, effect: messages.WatchConfiguration
    ) -> None:
        if effect.after < self.revision:
            self._later(node, self.read())
        elif effect.wait_s:
            self._watchers.append(node)
            self._at(
                self.now + effect.wait_s,
                functools.partial(self._end_watch, node),
            )
        else:
            self._later(node, messages.ConfigurationUnchanged())

    def _end_watch(self, node: _Node) -> None:
        if node in self._watchers:
            self._watchers.remove(node)
            self._feed(node, messages.ConfigurationUnchanged())

    def _on_ReadInstanceList(self, node: _Node, _effect: Any) -> None:
        self._later(node, self.listed())

    def _on_PollLoad(self, node: _Node, effect: messages.PollLoad) -> None:
        report = messages.LoadReport(0, 0, 200, incarnation=1)
        self._later(node, messages.LoadReported(effect.runner, report))

    def _on_PollCacheEvents(
        self, node: _Node, effect: messages.PollCacheEvents
    ) -> None:
        since = effect.since
        answer = messages.CacheEventsReceived(
            effect.runner, since, since, since, (), ()
        )
        self._later(node, answer)

    def _on_ListRequests(
        self, node: _Node, effect: messages.ListRequests
    ) -> None:
        self._later(node, messages.RequestsListed(effect.runner, ()))

    def _on_ReadRunnerState(
        self, node: _Node, effect: messages.ReadRunnerState
    ) -> None:
        row = node.core.world.runners[effect.runner]
        model = self.text['services'][row.service]['model']
        self._later(
            node,
            messages.RunnerStateRead(
                effect.runner, row.facts.role.value, (model,), (), 1
            ),
        )

    def _on_CancelUpstream(
        self, node: _Node, effect: messages.CancelUpstream
    ) -> None:
        answer = messages.CancelConfirmed(
            effect.runner, effect.engine_request_id
        )
        self._later(node, answer)

    def _on_FinishCaller(self, _node: _Node, _effect: Any) -> None:
        self.finished += 1

    def _arrive(self, node: _Node, services: list[str]) -> None:
        service = self.random.choice(services)
        model = int(service[1])
        own = range(
            model, self.fleet_size.client_accounts, fleet_texts.MODEL_COUNT
        )
        number = self.random.choice(own)
        hashes = tuple(
            self.random.getrandbits(62) for _ in range(PREFIX_BLOCKS)
        )
        request = messages.CompletionReceived(
            node.core.next_request_id(),
            '',
            fleet_texts.key_sha256(number),
            ids.ServiceId(service),
            '',
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            hashes,
        )
        self._feed(node, request)

    def _on_StartPrefill(
        self, node: _Node, effect: messages.StartPrefill
    ) -> None:
        size = PROMPT_TOKENS * fleet_texts.KV_BYTES_PER_TOKEN
        kv = messages.KvTransfer('h', effect.runner, PROMPT_TOKENS, size)
        done = messages.PrefillDone(
            effect.request_id,
            effect.attempt,
            effect.runner,
            kv,
            0,
            PREFILL_S,
        )
        self._later(node, done, PREFILL_S)

    def _on_StartDecode(
        self, node: _Node, effect: messages.StartDecode
    ) -> None:
        for offset in range(0, OUTPUT_TOKENS, PART_TOKENS):
            count = min(PART_TOKENS, OUTPUT_TOKENS - offset)
            last = offset + count == OUTPUT_TOKENS
            part = messages.TokensReceived(
                effect.request_id,
                effect.attempt,
                effect.runner,
                offset,
                ('word ',) * count,
                'length' if last else None,
            )
            self._later(node, part, fleet_texts.DECODE_STEP_S * (offset + 1))
