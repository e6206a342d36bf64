"""Places at decode runners of other shards, from the memory they report."""

from collections.abc import Iterable
import math
import random as random_module

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _runners as runners
from primrosereel.routing import _tickets as tickets

__all__ = ['Spillover']

# Free memory that a runner of another shard needs for a spillover, as a
# multiple of the request's size, and how long a report of it is valid.
SPILLOVER_HEADROOM_FACTOR = 2.5
FREE_MEMORY_VALID_S = 2.5


class Spillover:
    """Chooses a runner of another shard that has memory to spare."""

    def __init__(
        self, table: runners.RunnerTable, random: random_module.Random
    ) -> None:
        self._table = table
        self._random = random
        # Free tokens of runners of other shards, and when they were reported.
        self._free: dict[ids.RunnerId, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._free)

    def learn(
        self, free: Iterable[tuple[ids.RunnerId, int]], now: float
    ) -> None:
        """Store the free memory that another shard reported of its runners."""
        for runner_id, (_, reported_at) in list(self._free.items()):
            if now - reported_at > FREE_MEMORY_VALID_S:
                del self._free[runner_id]
        for runner_id, tokens in free:
            self._free[runner_id] = tokens, now

    def choose(
        self, ticket: tickets.Ticket, now: float
    ) -> runners.Runner | None:
        """Return a runner of another shard that reported enough free memory.

        Other instances may choose from the same report at the same time. The
        runner is therefore picked at random among those with free memory for
        several such requests.
        """
        needed_tokens = SPILLOVER_HEADROOM_FACTOR * ticket.tokens
        candidates = [
            runner
            for runner in self._table.foreign(
                ticket.service, states.Role.DECODE, now, ticket.excluded
            )
            if runner.is_available(now)
            and self._reported_free_tokens(runner, now) >= needed_tokens
        ]
        if not candidates:
            return None
        runner = self._random.choice(self._table.preferred(candidates, now))
        tokens, reported_at = self._free[runner.runner_id]
        self._free[runner.runner_id] = (
            tokens - ticket.tokens,
            reported_at,
        )
        return runner

    def _reported_free_tokens(
        self, runner: runners.Runner, now: float
    ) -> float:
        tokens, reported_at = self._free.get(runner.runner_id, (0, -math.inf))
        return tokens if now - reported_at <= FREE_MEMORY_VALID_S else 0.0
