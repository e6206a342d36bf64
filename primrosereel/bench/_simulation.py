"""Discrete-event simulation of routers and engine models.

The routers are the production decision core or a baseline with the same
interface; the engines are the models that the engine stand-in uses. Messages
between them take a fixed time. Time is virtual, so that the seed alone
determines a run.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import json
import random
from typing import Any
from typing import Protocol

from primrosereel import _ids as ids
from primrosereel import core as core_module
from primrosereel import standin
from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _simulated_engines as simulated_engines
from primrosereel.bench import _timeline as timeline_module
from primrosereel.core import _messages as messages

__all__ = ['Router', 'Simulation', 'core_router']

TICK_S = 0.1
MIN_SLEEP_S = 0.001
# Wall-clock time at virtual time 0.
EPOCH_S = 1_800_000_000.0


class Router(Protocol):
    """The interface that the simulation needs; the core implements it."""

    @property
    def wake(self) -> float:
        """The latest time at which the next tick is due."""

    def next_request_id(self) -> ids.RequestId:
        """Return an unused request id."""

    def handle(
        self, message: messages.Inbound, now: float, wall: float
    ) -> list[messages.Outbound]:
        """Handle one message and return the effects."""

    def tick(self, now: float, wall: float) -> list[messages.Outbound]:
        """Return the effects that are due."""


def core_router(identity: core_module.Identity, seed: int) -> Router:
    """Build the decision core as a router."""
    return core_module.Core(identity, random.Random(seed))


class _Node:
    """One daemon: its router and the time of its next tick."""

    def __init__(self, identity, router: Router) -> None:
        self.identity = identity
        self.router = router
        self.alive = True
        self.next_tick = 0.0


class Simulation:
    """A fleet of routers that send requests to a fleet of engine models."""

    def __init__(
        self,
        text: dict[str, Any],
        daemons: int = 6,
        seed: int = 1,
        make_router: Callable[..., Router] = core_router,
        region: str = 'dk-east',
        engine_options: dict[str, Any] | None = None,
    ) -> None:
        self.outcomes: list[arrivals_module.RequestOutcome] = []
        self.counters: dict[str, int] = {}
        self._timeline = timeline_module.Timeline()
        self.engines = simulated_engines.Engines(
            self._timeline, self._deliver_later, self._prompt_of
        )
        self._text = text
        self._outcomes_by_request: dict[
            ids.RequestId, arrivals_module.RequestOutcome
        ] = {}
        self._nodes: dict[ids.InstanceId, _Node] = {}
        self._effect_handlers = (
            self._make_effect_handlers() | self.engines.effect_handlers()
        )
        self.engines.make_engines(
            text, random.Random(seed), engine_options or {}
        )
        self._make_nodes(daemons, seed, make_router, region)

    @property
    def nodes(self) -> list[Any]:
        """The daemons, in order."""
        return list(self._nodes.values())

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        self._timeline.call_at(time, callback)

    def run(
        self, arrivals: Iterable[arrivals_module.Arrival], until: float
    ) -> None:
        """Run a workload; arrivals are assigned to daemons round-robin."""
        nodes = itertools.cycle(self.nodes)
        for arrival in arrivals:
            self.call_at(
                arrival.time, self._make_arrival_callback(arrival, next(nodes))
            )
        self._timeline.run(until)

    def _make_nodes(self, count, seed, make_router, region) -> None:
        for number in range(count):
            identity = core_module.Identity(
                ids.InstanceId(f'entry-{number + 1}'),
                ids.Incarnation(1),
                ids.Region(region),
                ids.AvailabilityZone(f'{region}-a'),
                f'127.0.0.1:{20000 + number}',
            )
            router = make_router(identity, seed * 1000 + number)
            self._nodes[identity.instance] = _Node(identity, router)
        body = json.dumps(self._text).encode()
        configuration = messages.ConfigurationRead(ids.Revision(1), body)
        for node in self._nodes.values():
            self.call_at(
                0.0, functools.partial(self._start_node, node, configuration)
            )

    def _start_node(
        self, node: _Node, configuration: messages.Inbound
    ) -> None:
        self._handle(node, self._read_instance_list())
        self._handle(node, configuration)
        self._tick(node)

    def _read_instance_list(self) -> messages.InstanceListRead:
        instances = tuple(
            n.identity.listed() for n in self._nodes.values() if n.alive
        )
        return messages.InstanceListRead(1, self._wall(), instances)

    def _wall(self) -> float:
        return EPOCH_S + self._timeline.now

    def _tick(self, node: _Node) -> None:
        if not node.alive or self._timeline.now < node.next_tick:
            return
        node.next_tick = self._timeline.now + TICK_S
        self._execute_effects(
            node, node.router.tick(self._timeline.now, self._wall())
        )
        self._schedule_tick(node)

    def _schedule_tick(self, node: _Node) -> None:
        # The daemon limits its wake-ups to the same rate.
        due = min(
            node.next_tick,
            max(node.router.wake, self._timeline.now + MIN_SLEEP_S),
        )
        node.next_tick = due
        self.call_at(due, lambda: self._tick(node))

    def _handle(self, node: _Node, message: messages.Inbound) -> None:
        if not node.alive:
            return
        effects = node.router.handle(message, self._timeline.now, self._wall())
        self._execute_effects(node, effects)
        if node.router.wake < node.next_tick:
            self._schedule_tick(node)

    def _deliver_later(self, node: _Node, message: messages.Inbound) -> None:
        self.call_at(
            self._timeline.now + simulated_engines.LATENCY_S,
            lambda: self._handle(node, message),
        )

    def _execute_effects(self, node: _Node, effects) -> None:
        for effect in effects:
            handler = self._effect_handlers.get(type(effect))
            if handler is not None:
                handler(node, effect)

    def _make_arrival_callback(
        self, arrival: arrivals_module.Arrival, node: _Node
    ) -> Callable[[], None]:
        def arrive() -> None:
            outcome = arrivals_module.RequestOutcome(arrival)
            self.outcomes.append(outcome)
            request = node.router.next_request_id()
            self._outcomes_by_request[request] = outcome
            self._handle(
                node,
                messages.CompletionReceived(
                    request_id=request,
                    caller_request_id='',
                    key_sha256=arrival.key_sha256,
                    service=arrival.service,
                    prompt='',
                    prompt_tokens=arrival.prompt_tokens,
                    max_tokens=arrival.max_tokens,
                    prefix_hashes=arrival.prefix_hashes,
                    priority=arrival.priority,
                ),
            )

        return arrive

    def _make_effect_handlers(
        self,
    ) -> dict[type, Callable[[_Node, Any], None]]:
        return {
            messages.Count: self._count,
            messages.SendPeer: self._send_peer,
            messages.ReadInstanceList: lambda node, _: self._deliver_later(
                node, self._read_instance_list()
            ),
            messages.SendTokens: self._send_tokens,
            messages.FinishCaller: self._finish_request,
            messages.RefuseCaller: self._fail_request,
            messages.AbortCaller: self._fail_request,
        }

    def _count(self, node: _Node, effect: messages.Count) -> None:
        total = self.counters.get(effect.name, 0)
        self.counters[effect.name] = total + effect.value

    def _send_peer(self, node: _Node, effect: messages.SendPeer) -> None:
        destination = self._nodes.get(effect.destination)
        if destination is None or not destination.alive:
            failed = messages.PeerFailed(effect.destination, (effect.message,))
            self._deliver_later(node, failed)
            return
        sender = node.identity
        self._deliver_later(
            destination,
            messages.FromPeer(
                sender.instance, sender.incarnation, effect.message
            ),
        )

    def _send_tokens(self, node: _Node, effect: messages.SendTokens) -> None:
        outcome = self._outcomes_by_request[effect.request_id]
        if outcome.output_tokens == 0:
            outcome.first_token_at = self._timeline.now
        else:
            gap = (self._timeline.now - outcome.last_token_at) / max(
                1, len(effect.tokens)
            )
            outcome.longest_gap_s = max(outcome.longest_gap_s, gap)
        outcome.last_token_at = self._timeline.now
        outcome.output_tokens += len(effect.tokens)

    def _finish_request(
        self, node: _Node, effect: messages.FinishCaller
    ) -> None:
        outcome = self._outcomes_by_request[effect.request_id]
        outcome.ended_at = self._timeline.now
        outcome.complete = outcome.output_tokens == outcome.arrival.max_tokens

    def _fail_request(self, node: _Node, effect: Any) -> None:
        outcome = self._outcomes_by_request[effect.request_id]
        outcome.ended_at = self._timeline.now
        outcome.reason = effect.reason.value

    def _prompt_of(self, request: ids.RequestId) -> tuple[standin.Prompt, int]:
        """Return a request's prompt and its number of delivered tokens."""
        outcome = self._outcomes_by_request[request]
        arrival = outcome.arrival
        prompt = standin.Prompt(
            arrival.prompt_key, arrival.prompt_tokens, arrival.prefix_hashes
        )
        return prompt, outcome.output_tokens
