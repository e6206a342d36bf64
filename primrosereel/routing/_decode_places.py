"""Admission to decode runners by memory: a place is taken before the prefill.

Pattern: admission control with a reservation. A prompt that is read while no
decode runner has room for it is read in vain, as the handle lapses within a
moment. Requests wait for room in order: those that can still meet their
target first, then by priority and arrival; a large request at the head is
not passed by smaller ones. Instances tell each other their first waiting
request, and only the one that goes first takes a place that has come free;
without that all of them take it at once.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math
import random as random_module

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _runners as runners

__all__ = ['DecodePlaces', 'Ticket', 'tokens_needed']

# The part of an engine's memory that is given out.
USABLE_KV_SHARE = 0.97
# Streams hold less than their whole length for most of their time.
RESERVED_OUTPUT_SHARE = 0.6
# Used until an instance has seen how long streams hold their place.
DEFAULT_HOLD_S = 3.0
HOLD_SAMPLE_WEIGHT = 0.1
ARRIVAL_DECAY_S = 2.0

# Free memory that a runner of another shard must have been told to have, in
# sizes of the request, and for how long that is believed.
SPILLOVER_HEADROOM_FACTOR = 2.5
FREE_MEMORY_VALID_S = 2.5

# Of a request of which nothing is known but that it is there.
UNSEEN_REQUEST_TOKENS = 4000

OTHER_ZONE_COST = 0.04
FAILURE_COST = 2.0
# Of a second of reading prompts between the tokens of streams, beside a whole
# runner's memory.
LOCAL_PREFILL_COST = 1.0
TIE_BREAK_JITTER = 0.02


def tokens_needed(facts: model.RequestFacts) -> int:
    """Return the KV cache that a request is expected to need, in tokens."""
    output = facts.output_tokens
    if facts.length_hint is not None:
        output = min(output, facts.length_hint)
    return facts.prompt_tokens + int(RESERVED_OUTPUT_SHARE * output)


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request that wants a place; ``runner`` is set once it has one."""

    service: ids.ServiceId
    tokens: int
    priority: int
    arrived_at: float
    # The latest moment to start that still meets the target, as seen now:
    # the prompts that are read meanwhile change it.
    latest_start: Callable[[float], float]
    excluded: Collection[ids.RunnerId] = ()
    runner: runners.Runner | None = None
    on_admitted: Callable[[], None] = lambda: None

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Order in which tickets get places."""
        return self.is_late(now), self.priority, self.arrived_at

    def is_late(self, now: float) -> bool:
        """Tell whether the target is missed even if it starts now."""
        return now > self.latest_start(now)


class _ArrivalRate:
    """The rate at which tokens were asked for lately."""

    def __init__(self) -> None:
        self._tokens_per_s = 0.0
        self._at = 0.0

    def add(self, tokens: int, now: float) -> None:
        self._tokens_per_s = self.tokens_per_s(now) + tokens / ARRIVAL_DECAY_S
        self._at = now

    def tokens_per_s(self, now: float) -> float:
        return self._tokens_per_s * math.exp(
            (self._at - now) / ARRIVAL_DECAY_S
        )


class DecodePlaces:
    """Gives out the memory of decode runners."""

    def __init__(
        self,
        table: runners.RunnerTable,
        ledger: ledger_module.Ledger,
        availability_zone: ids.AvailabilityZone,
        random: random_module.Random,
    ) -> None:
        self._table = table
        self._ledger = ledger
        self._availability_zone = availability_zone
        self._random = random
        self._waiting: list[Ticket] = []
        self._engines: dict[ids.ServiceId, model.Engine] = {}
        self._hold_s = DEFAULT_HOLD_S
        self._suspended_until = 0.0
        self._arrivals = _ArrivalRate()
        # What other shards told: free tokens of a runner, and when.
        self._foreign_free_memory: dict[ids.RunnerId, tuple[int, float]] = {}

    @property
    def waiting_tokens(self) -> int:
        """The tokens of this instance's waiting requests."""
        return sum(ticket.tokens for ticket in self._waiting)

    @property
    def hold_s(self) -> float:
        """How long a stream holds its place, on average."""
        return self._hold_s

    @property
    def known_foreign_runners(self) -> int:
        """The runners of other shards whose free memory is known."""
        return len(self._foreign_free_memory)

    @property
    def waiting(self) -> int:
        """The requests that wait."""
        return len(self._waiting)

    def set_services(
        self, services: dict[ids.ServiceId, model.Service]
    ) -> None:
        """Take the capacities of a new configuration."""
        self._engines = {
            name: service.engine
            for name, service in services.items()
            if service.engine is not None
        }

    def queue_heads(self, now: float) -> tuple[ledger_module.QueueHead, ...]:
        """Return the first waiting request of each service."""
        first: dict[ids.ServiceId, Ticket] = {}
        for ticket in sorted(self._waiting, key=lambda t: t.rank(now)):
            first.setdefault(ticket.service, ticket)
        return tuple(_queue_head(ticket, now) for ticket in first.values())

    def observe_hold(self, seconds: float) -> None:
        """Learn how long a stream held its place."""
        self._hold_s += HOLD_SAMPLE_WEIGHT * (seconds - self._hold_s)

    def add(self, ticket: Ticket, now: float) -> None:
        """Queue a ticket and admit what fits."""
        if not ticket.is_late(now):
            self._arrivals.add(ticket.tokens, now)
        self._waiting.append(ticket)
        self.admit(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a ticket out of the queue."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def suspend_until(self, when: float) -> None:
        """Give out no place before a time.

        An instance that started does not know what others have under way
        until it has heard them.
        """
        self._suspended_until = when

    def admit(self, now: float) -> None:
        """Give places to the waiting tickets in order, while they fit."""
        if now < self._suspended_until:
            return
        blocked: set[ids.ServiceId] = set()
        for ticket in sorted(self._waiting, key=lambda t: t.rank(now)):
            if ticket.service in blocked:
                continue
            runner = None
            if self._ledger.is_first(_queue_head(ticket, now), now):
                runner = self.choose(ticket, now) or self._choose_spillover(
                    ticket, now
                )
            if runner is None:
                blocked.add(ticket.service)
                continue
            self._waiting.remove(ticket)
            ticket.runner = runner
            runner.in_flight += 1
            runner.tokens += ticket.tokens
            ticket.on_admitted()

    def move(self, ticket: Ticket, runner: runners.Runner) -> None:
        """Move a ticket's place to another runner."""
        self.release(ticket)
        ticket.runner = runner
        runner.in_flight += 1
        runner.tokens += ticket.tokens

    def release(self, ticket: Ticket) -> None:
        """Give a ticket's place back."""
        runner, ticket.runner = ticket.runner, None
        if runner is not None:
            runner.in_flight -= 1
            runner.tokens -= ticket.tokens

    def choose(self, ticket: Ticket, now: float) -> runners.Runner | None:
        """Return the runner with the most room for a ticket, if any."""
        candidates = [
            runner
            for runner in self._candidates(ticket, now)
            if self._fits(runner, ticket, now)
        ]
        return min(
            candidates,
            key=lambda runner: self._cost(runner, ticket, now),
            default=None,
        )

    def free_memory(self, now: float) -> list[tuple[ids.RunnerId, int]]:
        """Return the free memory of the shard's decode runners, most first.

        Those that failed or refused just now are left out.
        """
        free = [
            (
                runner.runner_id,
                int(self._capacity(runner) - self._use(runner, now).tokens),
            )
            for service in self._engines
            for runner in self._table.ready(service, states.Role.DECODE)
            if runner.is_available(now) and self._table.owned(runner)
        ]
        return sorted(free, key=lambda entry: -entry[1])

    def learn_free_memory(
        self, free: Iterable[tuple[ids.RunnerId, int]], now: float
    ) -> None:
        """Take the free memory that another shard told of its runners."""
        for runner_id, (_, reported_at) in list(
            self._foreign_free_memory.items()
        ):
            if now - reported_at > FREE_MEMORY_VALID_S:
                del self._foreign_free_memory[runner_id]
        for runner_id, tokens in free:
            self._foreign_free_memory[runner_id] = tokens, now

    def _choose_spillover(
        self, ticket: Ticket, now: float
    ) -> runners.Runner | None:
        """Return a runner of another shard that was told to have much room.

        Others may spill there at the same moment, so it is one of several at
        random, with room for more than the ticket.
        """
        wanted = SPILLOVER_HEADROOM_FACTOR * ticket.tokens
        found = [
            runner
            for runner in self._table.foreign(
                ticket.service, states.Role.DECODE, ticket.excluded
            )
            if runner.is_available(now)
            and self._reported_free_tokens(runner, now) >= wanted
        ]
        if not found:
            return None
        runner = self._random.choice(found)
        tokens, reported_at = self._foreign_free_memory[runner.runner_id]
        self._foreign_free_memory[runner.runner_id] = (
            tokens - ticket.tokens,
            reported_at,
        )
        return runner

    def _reported_free_tokens(
        self, runner: runners.Runner, now: float
    ) -> float:
        tokens, reported_at = self._foreign_free_memory.get(
            runner.runner_id, (0, -math.inf)
        )
        return tokens if now - reported_at <= FREE_MEMORY_VALID_S else 0.0

    def describe(self, service: ids.ServiceId, now: float) -> str:
        """Return what a decision about a service rests on, for the log."""
        parts = [
            f'{runner.runner_id} {use.requests}/{use.tokens}'
            + ('' if now >= runner.full_until else ' full')
            + (' suspect' if runner.is_suspect(now) else '')
            for runner in self._table.ready(service, states.Role.DECODE)
            for use in (self._use(runner, now),)
        ]
        return (
            f'{len(self._waiting)} waiting here, '
            f'{self._ledger.waiting_tokens(now)} tokens at '
            f'{self._ledger.peer_count(now)} peers, '
            f'{self._ledger.missing_count(now)} missing, '
            f'hold {self._hold_s:.2f} s; ' + ', '.join(parts)
        )

    def least_used(self, ticket: Ticket, now: float) -> runners.Runner | None:
        """Return the runner to try although none is known to have room."""
        return min(
            self._candidates(ticket, now),
            key=lambda runner: self._cost(runner, ticket, now),
            default=None,
        )

    def expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Return when a ticket is expected to get a place, in seconds.

        The runners' memory is given back at the rate at which streams end:
        all that is in use within the time that a stream holds its place.
        """
        used = room = 0.0
        for runner in self._candidates(ticket, now):
            capacity = self._capacity(runner)
            in_use = self._use(runner, now).tokens
            used += in_use
            room += max(0.0, capacity - in_use)
        if not used and not room:
            return float('inf')
        ahead = ticket.tokens + self._ledger.waiting_tokens(now)
        ahead += sum(
            other.tokens
            for other in self._waiting
            if other is not ticket
            and other.service == ticket.service
            and other.rank(now) < ticket.rank(now)
        )
        rate = used / max(self._hold_s, 0.1)
        if ticket.is_late(now):
            # What arrives meanwhile goes before a late request.
            rate -= self._arrivals.tokens_per_s(now)
        if ahead <= room:
            return 0.0
        return (ahead - room) / rate if rate > 0 else float('inf')

    def is_within_capacity(self, runner: runners.Runner, now: float) -> bool:
        """Tell whether what is known to be at a runner fits."""
        return self._use(runner, now).tokens <= self._capacity(runner)

    def _candidates(self, ticket: Ticket, now: float) -> list[runners.Runner]:
        """Return runners that may be sent the request, sound ones if any."""
        ready = self._table.ready(
            ticket.service, states.Role.DECODE, ticket.excluded
        )
        return [
            runner for runner in ready if runner.is_available(now)
        ] or ready

    def _fits(
        self, runner: runners.Runner, ticket: Ticket, now: float
    ) -> bool:
        if now < runner.full_until:
            return False
        use = self._use(runner, now)
        if use.requests >= runner.listing.slots:
            return False
        return (
            not use.requests
            or use.tokens + ticket.tokens <= self._capacity(runner)
        )

    def _use(self, runner: runners.Runner, now: float) -> ledger_module.Use:
        others = self._ledger.peer_use(runner.runner_id, now)
        use = ledger_module.Use(
            runner.in_flight + others.requests,
            runner.tokens + others.tokens,
            runner.local_prefill_tokens + others.local_prefill_tokens,
        )
        missing = self._ledger.missing_count(now)
        return (
            self._with_unseen_instances(runner, use, missing, now)
            if missing
            else use
        )

    def _with_unseen_instances(
        self,
        runner: runners.Runner,
        use: ledger_module.Use,
        missing: int,
        now: float,
    ) -> ledger_module.Use:
        """Add what instances out of sight are believed to have there.

        The runner's own report counts while it is fresh. An instance that
        sees fewer than it misses takes each of those to use as much as
        itself, which leaves every instance its share.
        """
        requests, tokens, local_prefill_tokens = use
        seen = self._ledger.peer_count(now) + 1
        mean = tokens / requests if requests else UNSEEN_REQUEST_TOKENS
        unseen = max(
            0.0, runner.in_flight + runner.peer_requests_now(now) - requests
        )
        if missing > seen:
            unseen = max(unseen, requests * missing / seen)
        return ledger_module.Use(
            requests + round(unseen),
            tokens + int(unseen * mean),
            local_prefill_tokens,
        )

    def _capacity(self, runner: runners.Runner) -> float:
        engine = self._engines.get(runner.listing.service)
        if engine is None or engine.kv_tokens <= 0:
            return float('inf')
        return USABLE_KV_SHARE * engine.kv_tokens

    def _cost(
        self, runner: runners.Runner, ticket: Ticket, now: float
    ) -> float:
        use = self._use(runner, now)
        capacity = self._capacity(runner)
        cost = (use.tokens + ticket.tokens) / capacity
        cost += use.requests / max(1, runner.listing.slots)
        cost += LOCAL_PREFILL_COST * prefill_plan.local_prefill_s(
            use.local_prefill_tokens
        )
        if runner.listing.availability_zone != self._availability_zone:
            cost += OTHER_ZONE_COST
        cost += FAILURE_COST * runner.failure_rate
        if runner.is_suspect(now):
            cost += 10.0 * (1 + runner.failures)
        return cost + TIE_BREAK_JITTER * self._random.random()


def _queue_head(ticket: Ticket, now: float) -> ledger_module.QueueHead:
    late, priority, _ = ticket.rank(now)
    return ledger_module.QueueHead(
        ticket.service, late, priority, now - ticket.arrived_at
    )
