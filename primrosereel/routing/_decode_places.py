"""Admission to decode runners by KV cache memory.

Pattern: admission control with a reservation. A place is one slot and the KV
cache memory of a request at a decode runner; it is reserved before the
prefill. A prefill without a place would be wasted, because its handle expires
before a decode runner has room. Requests that can still meet their latency
target come first in the queue, then those of higher priority, then older
ones; smaller requests do not overtake a large one at the front. Instances
exchange the first request of each queue, and only the instance whose request
ranks first uses a freed place; otherwise all of them would use it at once.
"""

from collections.abc import Iterable
import random as random_module

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel import _states as states
from primrosereel.routing import _decode_memory as decode_memory
from primrosereel.routing import _demand as demand
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _runners as runners
from primrosereel.routing import _spillover as spillover
from primrosereel.routing._tickets import queue_head
from primrosereel.routing._tickets import Ticket
from primrosereel.routing._tickets import tokens_needed

__all__ = ['DecodePlaces', 'Ticket', 'tokens_needed']

# Mean time that a stream holds its place, until the instance has observed it.
DEFAULT_HOLD_S = 3.0
# Weight of a new observation in the moving average of the holding time.
HOLD_SAMPLE_WEIGHT = 0.1
# Time constant of the decaying rate of arriving tokens.
ARRIVAL_DECAY_S = 2.0

# One of this many places goes to the oldest request of its priority, also if
# its account has used more than others.
ARRIVAL_TURNS = 4

# Cost terms; 1.0 is the cost of a runner whose whole memory is in use.
OTHER_ZONE_COST = 0.04
FAILURE_COST = 2.0
# For each second of prefill that the decode runner has to do itself.
LOCAL_PREFILL_COST = 1.0
TIE_BREAK_JITTER = 0.02


class _MeanDuration:
    """Moving average of a duration; plain average of the first samples."""

    def __init__(self, default_s: float) -> None:
        self.seconds = default_s
        self._samples = 0

    def observe(self, seconds: float) -> None:
        self._samples += 1
        weight = max(HOLD_SAMPLE_WEIGHT, 1 / self._samples)
        self.seconds += weight * (seconds - self.seconds)


class DecodePlaces:
    """Reserves slots and memory of decode runners for requests."""

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
        self._memory = decode_memory.DecodeMemory(ledger)
        self._hold = _MeanDuration(DEFAULT_HOLD_S)
        self._stream = _MeanDuration(DEFAULT_HOLD_S)
        self._suspended_until = 0.0
        self._admitted = 0
        self._arrivals = demand.DecayingRate(ARRIVAL_DECAY_S)
        self._spillover = spillover.Spillover(table, random)

    @property
    def waiting_tokens(self) -> int:
        """Total tokens of the requests that wait at this instance."""
        return sum(ticket.tokens for ticket in self._waiting)

    @property
    def hold_s(self) -> float:
        """Mean time that a stream holds its place, in seconds."""
        return self._hold.seconds

    @property
    def stream_s(self) -> float:
        """Mean time from a request's prefill to the end of its stream."""
        return self._stream.seconds

    @property
    def known_foreign_runners(self) -> int:
        """Number of runners of other shards whose free memory is known."""
        return len(self._spillover)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait at this instance."""
        return len(self._waiting)

    def set_services(
        self, services: dict[ids.ServiceId, model.Service]
    ) -> None:
        """Apply the engine capacities of a new configuration."""
        self._memory.set_services(services)

    def queue_heads(self, now: float) -> tuple[ledger_module.QueueHead, ...]:
        """Return the first waiting request of each service."""
        first: dict[ids.ServiceId, Ticket] = {}
        for ticket in self._in_order(now):
            first.setdefault(ticket.service, ticket)
        return tuple(
            queue_head(ticket, now, self._by_arrival)
            for ticket in first.values()
        )

    def observe_hold(self, hold_s: float, stream_s: float | None) -> None:
        """Update the mean times with those of a request that has ended.

        ``stream_s`` is None if it ended before its prompt was prefilled.
        """
        self._hold.observe(hold_s)
        if stream_s is not None:
            self._stream.observe(stream_s)

    def add(self, ticket: Ticket, now: float) -> None:
        """Queue a ticket and admit the waiting tickets that fit."""
        is_new = not ticket.prefilled and not ticket.displaced
        if is_new and not ticket.is_late(now):
            self._arrivals.add(ticket.tokens, now)
        if ticket not in self._waiting:
            self._waiting.append(ticket)
        self.admit(now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def suspend_until(self, when: float) -> None:
        """Admit no request before a time.

        A newly started instance does not know what other instances have
        reserved until their reports have arrived.
        """
        self._suspended_until = when

    def admit(self, now: float) -> None:
        """Give places to the waiting tickets in the order of their rank.

        A ticket that does not fit blocks the later ones of its service.
        """
        if now < self._suspended_until:
            return
        blocked: set[ids.ServiceId] = set()
        while self._admit_one(blocked, now):
            pass

    def _admit_one(self, blocked: set[ids.ServiceId], now: float) -> bool:
        """Give the next place, whose order may differ from the last one's.

        Services without a place for their first ticket are added to
        ``blocked``. Returns False if no ticket gets a place.
        """
        for ticket in self._in_order(now):
            if ticket.service in blocked:
                continue
            runner = None
            head = queue_head(ticket, now, self._by_arrival)
            if self._ledger.is_first(head, now):
                runner = self.choose(ticket, now)
                if runner is None or runner.availability.is_missing:
                    runner = self._spillover.choose(ticket, now) or runner
            if runner is None:
                blocked.add(ticket.service)
                continue
            self._waiting.remove(ticket)
            self._admitted += 1
            ticket.runner = runner
            runner.in_flight += 1
            runner.tokens += ticket.tokens
            ticket.on_admitted()
            return True
        return False

    def move(self, ticket: Ticket, runner: runners.Runner) -> None:
        """Release a ticket's place and reserve one at another runner."""
        self.release(ticket)
        ticket.runner = runner
        runner.in_flight += 1
        runner.tokens += ticket.tokens

    def release(self, ticket: Ticket) -> None:
        """Release a ticket's place."""
        runner, ticket.runner = ticket.runner, None
        if runner is not None:
            runner.in_flight -= 1
            runner.tokens -= ticket.tokens

    def choose(self, ticket: Ticket, now: float) -> runners.Runner | None:
        """Return the runner with the lowest cost that has room, if any."""
        candidates = [
            runner
            for runner in self._candidates(ticket, now)
            if self._memory.fits(runner, ticket.tokens, now)
        ]
        return min(
            self._table.preferred(candidates, now),
            key=lambda runner: self._cost(runner, ticket, now),
            default=None,
        )

    def free_memory(self, now: float) -> list[tuple[ids.RunnerId, int]]:
        """Return the free memory of the shard's decode runners, most first.

        Suspect, full and missing runners are left out. Memory of unknown
        size counts as the largest number that can be told to peers.
        """
        free = [
            (
                runner.runner_id,
                int(
                    min(self._memory.capacity(runner), numbers.MAX_WHOLE)
                    - self._memory.use(runner, now).tokens
                ),
            )
            for service in self._memory.services
            for runner in self._table.ready(service, states.Role.DECODE, now)
            if runner.is_available(now)
            and not runner.availability.preference(now)
            and self._table.owned(runner)
        ]
        return sorted(free, key=lambda entry: -entry[1])

    def learn_free_memory(
        self, free: Iterable[tuple[ids.RunnerId, int]], now: float
    ) -> None:
        """Store the free memory that another shard reported of its runners."""
        self._spillover.learn(free, now)

    def describe(self, service: ids.ServiceId, now: float) -> str:
        """Return the state behind a decision about a service, for the log."""
        parts = [
            f'{runner.runner_id} {use.requests} requests {use.tokens} tokens'
            + ('' if now >= runner.full_until else ' full')
            + (' suspect' if runner.is_suspect(now) else '')
            for runner in self._table.ready(service, states.Role.DECODE, now)
            for use in (self._memory.use(runner, now),)
        ]
        parts += [
            f'{runner.runner_id} {runner.availability.state_at(now).value}'
            for runner in self._table.barred(service, states.Role.DECODE, now)
        ]
        return (
            f'{len(self._waiting)} requests waiting here, '
            f'{self._ledger.waiting_tokens(now)} tokens waiting at '
            f'{self._ledger.peer_count(now)} peers, '
            f'{self._ledger.missing_count(now)} peers missing, '
            f'mean hold {self.hold_s:.2f} s; ' + ', '.join(parts)
        )

    def expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Return the expected time until a ticket gets a place.

        Memory is assumed to be released at a constant rate: all that is in
        use within the mean time that a stream holds its place.
        """
        used = free = 0.0
        for runner in self._candidates(ticket, now):
            capacity = self._memory.capacity(runner)
            in_use = self._memory.use(runner, now).tokens
            used += in_use
            free += max(0.0, capacity - in_use)
        if not used and not free:
            return float('inf')
        tokens_ahead = ticket.tokens + self._ledger.waiting_tokens(now)
        # A rank depends on the expected duration of a prefill, which is
        # computed over all prefill runners.
        own_rank = ticket.rank(now, by_arrival=True)
        tokens_ahead += sum(
            other.tokens
            for other in self._waiting
            if other is not ticket
            and other.service == ticket.service
            and other.rank(now, by_arrival=True) < own_rank
        )
        rate = used / max(self.hold_s, 0.1)
        if ticket.is_late(now):
            # Requests that arrive meanwhile rank before a late one.
            rate -= self._arrivals.per_s(now)
        if tokens_ahead <= free:
            return 0.0
        return (tokens_ahead - free) / rate if rate > 0 else float('inf')

    def has_room(
        self, runner: runners.Runner, tokens: int, now: float
    ) -> bool:
        """Tell whether a runner has memory for more tokens than are in use."""
        return self._memory.has_room(runner, tokens, now)

    def requests_at(self, runner: runners.Runner, now: float) -> int:
        """Return the estimated number of requests of all instances."""
        return self._memory.use(runner, now).requests

    @property
    def _by_arrival(self) -> bool:
        """Whether the next place goes by arrival alone.

        Each account then gets its part of these places, so that none is
        served less than a quarter as often as all.
        """
        return self._admitted % ARRIVAL_TURNS == 0

    def _in_order(self, now: float) -> list[Ticket]:
        by_arrival = self._by_arrival
        return sorted(self._waiting, key=lambda t: t.rank(now, by_arrival))

    def _candidates(self, ticket: Ticket, now: float) -> list[runners.Runner]:
        """Return the ready runners; only available ones if there are any."""
        ready = self._table.ready(
            ticket.service, states.Role.DECODE, now, ticket.excluded
        )
        return [
            runner for runner in ready if runner.is_available(now)
        ] or ready

    def _cost(
        self, runner: runners.Runner, ticket: Ticket, now: float
    ) -> float:
        use = self._memory.use(runner, now)
        capacity = self._memory.capacity(runner)
        cost = (use.tokens + ticket.tokens) / capacity
        cost += use.requests / max(1, runner.listing.slots)
        # A slow runner keeps the memory of a request for longer.
        cost *= runner.decode_slowness
        if use.local_prefill_tokens:
            cost += LOCAL_PREFILL_COST * prefill_plan.local_prefill_s(
                use.local_prefill_tokens
            )
        if runner.listing.availability_zone != self._availability_zone:
            cost += OTHER_ZONE_COST
        cost += FAILURE_COST * runner.failure_rate
        if runner.is_suspect(now):
            cost += 10.0 * (1 + runner.failures)
        return cost + TIE_BREAK_JITTER * self._random.random()
