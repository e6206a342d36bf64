"""Simulates one region of decision cores in a full fleet.

Some or all cores of the region are real and run under virtual time. All other
instances are stubs that answer heartbeats, demand reports and queries for live
grants. Simulated runners and the simulated platform answer every call. The
cost of each message is the processor time of this thread in the core.
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

__all__ = ['EPOCH_S', 'OUTPUT_TOKENS', 'SimulatedRegion']

TICK_INTERVAL_S = 0.1
MIN_TICK_DELAY_S = 0.001
NETWORK_LATENCY_S = 0.0005
EPOCH_S = 1_800_000_000.0
# A request has 332 output tokens, one each 30 ms, in events of 10 tokens.
OUTPUT_TOKENS = 332
TOKENS_PER_EVENT = 10
PREFILL_S = 0.06
PROMPT_TOKENS = 4000
PREFIX_BLOCKS = 16


KindCounts = collections.Counter[str]


class _Node:
    """A real core and the virtual time of its next tick."""

    def __init__(self, core: core_module.Core) -> None:
        self.core = core
        self.next_tick = 0.0


class SimulatedRegion:
    """Runs the cores of region ``r0`` against stubs of all other instances.

    ``sent`` and ``sent_bytes`` count the messages that real cores send to
    other daemons, by kind. ``cpu_seconds`` and ``handled`` are the processor
    time and the number of messages handled and ticks, by kind. ``effects``
    counts the effects that the cores return, by kind.
    """

    def __init__(
        self,
        fleet_size: fleet_texts.FleetSize,
        seed: int = 1,
        real_cores: int | None = None,
    ) -> None:
        self.now = 0.0
        self.fleet_size = fleet_size
        self.random = random.Random(seed)
        self.sent: KindCounts = collections.Counter()
        self.sent_bytes: KindCounts = collections.Counter()
        self.cpu_seconds: dict[str, float] = collections.defaultdict(float)
        self.handled: KindCounts = collections.Counter()
        self.effects: KindCounts = collections.Counter()
        self.finished_requests = 0
        # If set, only real cores answer; messages to all other instances
        # fail.
        self.partitioned = False
        self.listing_revision = 1
        self.revision = ids.Revision(1)
        self.text = fleet_texts.fleet_text(fleet_size)
        self.text_body = json.dumps(self.text).encode()
        self.instances = self._make_instances()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._nodes: dict[ids.InstanceId, _Node] = {}
        self._watchers: list[_Node] = []
        count = (
            fleet_size.daemons_per_region if real_cores is None else real_cores
        )
        for row in self.instances[:count]:
            self._add_node(row)

    @property
    def cores(self) -> list[core_module.Core]:
        """The real cores."""
        return [node.core for node in self._nodes.values()]

    def reset_counts(self) -> None:
        """Reset all counters."""
        self.finished_requests = 0
        self.cpu_seconds.clear()
        for counter in (
            self.sent,
            self.sent_bytes,
            self.handled,
            self.effects,
        ):
            counter.clear()

    def run(self, seconds: float) -> None:
        """Advance virtual time and run the events that fall due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def offer_load(self, rate: float, seconds: float) -> None:
        """Schedule Poisson arrivals at each real core, ``rate`` a second."""
        services = [s for s in self.text['services'] if s.endswith('-0')]
        for node in self._nodes.values():
            at = self.now
            while (at := at + self.random.expovariate(rate)) < (
                self.now + seconds
            ):
                self._schedule_call(
                    at,
                    functools.partial(self._receive_request, node, services),
                )

    def change_list(self) -> None:
        """Change the instance list: an instance of another region restarts."""
        last = self.instances[-1]
        self.instances[-1] = messages.ListedInstance(
            last.instance,
            ids.Incarnation(last.incarnation + 1),
            last.region,
            last.availability_zone,
            last.address,
        )
        self.listing_revision += 1

    def publish_text(self) -> None:
        """Publish a text in which one more runner is leaving."""
        self.revision = ids.Revision(self.revision + 1)
        runner = f's{self.revision % fleet_texts.MODEL_COUNT}-0-0'
        service = self.text['services'][runner.rpartition('-')[0]]
        service['runners'][runner]['leaving'] = True
        self.text_body = json.dumps(self.text).encode()
        watchers, self._watchers = self._watchers, []
        for node in watchers:
            self._deliver_later(node, self.configuration_read())

    def configuration_read(self) -> messages.ConfigurationRead:
        """Return the current answer of the configuration service."""
        return messages.ConfigurationRead(self.revision, self.text_body)

    def instance_list_read(self) -> messages.InstanceListRead:
        """Return the current instance list as the platform answers it."""
        return messages.InstanceListRead(
            self.listing_revision, EPOCH_S + self.now, tuple(self.instances)
        )

    def handle(
        self, core: core_module.Core, message: messages.Inbound
    ) -> list[messages.Outbound]:
        """Pass a message to a core and record its processor time."""
        kind = type(message).__name__
        if isinstance(message, messages.FromPeer):
            kind = type(message.message).__name__
        started = time.thread_time()
        effects = core.handle(message, self.now, EPOCH_S + self.now)
        self.cpu_seconds[kind] += time.thread_time() - started
        self.handled[kind] += 1
        return effects

    def _make_instances(self) -> list[messages.ListedInstance]:
        instances = []
        for number in range(self.fleet_size.daemons):
            region, index = divmod(number, self.fleet_size.daemons_per_region)
            region = min(region, fleet_texts.REGION_COUNT - 1)
            instances.append(
                messages.ListedInstance(
                    ids.InstanceId(f'entry-{number:03}'),
                    ids.Incarnation(1_800_000_000_000),
                    ids.Region(f'r{region}'),
                    ids.AvailabilityZone(
                        f'z{(region * 2 + index) % fleet_texts.ZONE_COUNT}'
                    ),
                    f'10.{region}.200.{index}:7000',
                )
            )
        return instances

    def _add_node(self, listed: messages.ListedInstance) -> None:
        identity = core_module.Identity(
            listed.instance,
            listed.incarnation,
            listed.region,
            listed.availability_zone,
            listed.address,
        )
        rng = random.Random(self.random.random())
        node = _Node(core_module.Core(identity, rng))
        self._nodes[listed.instance] = node
        self._schedule_call(0.0, functools.partial(self._start, node))

    def _start(self, node: _Node) -> None:
        self._deliver(node, self.instance_list_read())
        self._tick(node)

    def _schedule_call(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._event_numbers), call))

    def _deliver(self, node: _Node, message: messages.Inbound) -> None:
        self._apply_effects(node, self.handle(node.core, message))
        if node.core.wake < node.next_tick:
            self._schedule_tick(node)

    def _deliver_later(
        self, node: _Node, message: messages.Inbound, delay_s: float = 0.0
    ) -> None:
        when = self.now + NETWORK_LATENCY_S + delay_s
        self._schedule_call(
            when, functools.partial(self._deliver, node, message)
        )

    def _tick(self, node: _Node) -> None:
        if self.now < node.next_tick:
            return
        node.next_tick = self.now + TICK_INTERVAL_S
        started = time.thread_time()
        effects = node.core.tick(self.now, EPOCH_S + self.now)
        self.cpu_seconds['tick'] += time.thread_time() - started
        self.handled['tick'] += 1
        self._apply_effects(node, effects)
        self._schedule_tick(node)

    def _schedule_tick(self, node: _Node) -> None:
        wake = max(node.core.wake, self.now + MIN_TICK_DELAY_S)
        node.next_tick = min(node.next_tick, wake)
        self._schedule_call(
            node.next_tick, functools.partial(self._tick, node)
        )

    def _apply_effects(
        self, node: _Node, effects: list[messages.Outbound]
    ) -> None:
        for effect in effects:
            kind = type(effect).__name__
            self.effects[kind] += 1
            handler = getattr(self, f'_on_{kind}', None)
            if handler is not None:
                handler(node, effect)

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
            self._answer_as_peer(node, effect)
            return
        message = messages.FromPeer(
            own.instance, own.incarnation, effect.message
        )
        self._deliver_later(other, message)

    def _answer_as_peer(self, node: _Node, effect: messages.SendPeer) -> None:
        """Answer a message to an instance without a real core."""
        if self.partitioned:
            failed = messages.PeerFailed(effect.destination, (effect.message,))
            self._deliver_later(node, failed, 1.0)
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
        self._deliver_later(
            node, messages.FromPeer(effect.destination, sender, reply)
        )

    def _on_WatchConfiguration(
        self, node: _Node, effect: messages.WatchConfiguration
    ) -> None:
        if effect.after < self.revision:
            self._deliver_later(node, self.configuration_read())
        elif effect.wait_s:
            self._watchers.append(node)
            self._schedule_call(
                self.now + effect.wait_s,
                functools.partial(self._end_watch, node),
            )
        else:
            self._deliver_later(node, messages.ConfigurationUnchanged())

    def _end_watch(self, node: _Node) -> None:
        if node in self._watchers:
            self._watchers.remove(node)
            self._deliver(node, messages.ConfigurationUnchanged())

    def _on_ReadInstanceList(self, node: _Node, _effect: Any) -> None:
        self._deliver_later(node, self.instance_list_read())

    def _on_PollLoad(self, node: _Node, effect: messages.PollLoad) -> None:
        report = messages.LoadReport(0, 0, 200, incarnation=1)
        self._deliver_later(node, messages.LoadReported(effect.runner, report))

    def _on_PollCacheEvents(
        self, node: _Node, effect: messages.PollCacheEvents
    ) -> None:
        since = effect.since
        answer = messages.CacheEventsReceived(
            effect.runner, since, since, since, (), ()
        )
        self._deliver_later(node, answer)

    def _on_ListRequests(
        self, node: _Node, effect: messages.ListRequests
    ) -> None:
        self._deliver_later(node, messages.RequestsListed(effect.runner, ()))

    def _on_ReadRunnerState(
        self, node: _Node, effect: messages.ReadRunnerState
    ) -> None:
        row = node.core.world.runners[effect.runner]
        model = self.text['services'][row.service]['model']
        self._deliver_later(
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
        self._deliver_later(node, answer)

    def _on_FinishCaller(self, _node: _Node, _effect: Any) -> None:
        self.finished_requests += 1

    def _receive_request(self, node: _Node, services: list[str]) -> None:
        service = self.random.choice(services)
        model = int(service[1])
        account_numbers = range(
            model, self.fleet_size.client_accounts, fleet_texts.MODEL_COUNT
        )
        number = self.random.choice(account_numbers)
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
        self._deliver(node, request)

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
        self._deliver_later(node, done, PREFILL_S)

    def _on_StartDecode(
        self, node: _Node, effect: messages.StartDecode
    ) -> None:
        for offset in range(0, OUTPUT_TOKENS, TOKENS_PER_EVENT):
            count = min(TOKENS_PER_EVENT, OUTPUT_TOKENS - offset)
            last = offset + count == OUTPUT_TOKENS
            part = messages.TokensReceived(
                effect.request_id,
                effect.attempt,
                effect.runner,
                offset,
                ('word ',) * count,
                'length' if last else None,
            )
            self._deliver_later(
                node, part, fleet_texts.DECODE_STEP_S * (offset + 1)
            )
