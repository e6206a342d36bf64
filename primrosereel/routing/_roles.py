"""Balances runners between the prefill and the decode pool.

Pattern: utilization balancing with hysteresis. The busier pool limits the
throughput of a service, so a runner changes its role if that lowers the higher
of the two utilizations by a margin. The imbalance must last for some time, so
that a short burst causes no switch. Only the leader gives orders: the visible
instance whose process has run longest, while it sees a majority of the fleet.
"""

from collections.abc import Collection
import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _demand as demand_module
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _prefill_speed as prefill_speed
from primrosereel.routing import _runners as runners

__all__ = ['Leadership', 'RoleBalance', 'RoleSwitch']

# Samples before the first order.
MIN_SAMPLES = 6
# A switch must lower the higher utilization to at most this ratio of it.
MAX_UTILIZATION_RATIO = 0.85
# No switch is ordered while the utilization of both pools is below this.
MIN_UTILIZATION = 0.25

# How long an imbalance must last before an order.
MIN_IMBALANCE_S = 1.5
# How long a listed runner that does not answer still counts, as a share of the
# time that a switch takes. A runner that crashed is often back within seconds,
# and a switch that was not needed has to be undone by a second one.
RESTART_PATIENCE_SHARE = 0.5
# The time between two orders for a service is the duration of a switch plus
# this, divided by the number of runners that a pool lacks.
SETTLE_S = 8.0
# Delay of the next order after one that failed.
FAILED_ORDER_DELAY_S = 1.0
# Minimum time before an order in the opposite direction, so that a lull
# between two bursts does not undo an order.
REVERSAL_DELAY_S = 40.0


class RoleSwitch(NamedTuple):
    """An order for a runner to change its role."""

    runner: ids.RunnerId
    address: model.Address
    role: states.Role


@dataclasses.dataclass(slots=True)
class _BalanceState:
    """State of one service."""

    samples: int = 0
    # The runners of the last sample, and when they changed.
    runner_ids: frozenset[ids.RunnerId] = frozenset()
    runners_changed_at: float = -math.inf
    imbalanced_since: float | None = None
    next_order_at: float = 0.0
    last_order_role: states.Role | None = None
    last_order_at: float = 0.0
    # Runners that were ordered to switch, and the time by which they should
    # have switched.
    pending: dict[ids.RunnerId, float] = dataclasses.field(
        default_factory=dict
    )


class RoleBalance:
    """Decides which runner changes its role and when."""

    def __init__(
        self, table: runners.RunnerTable, ledger: ledger_module.Ledger
    ) -> None:
        self._table = table
        self._ledger = ledger
        self._services: dict[ids.ServiceId, _BalanceState] = {}

    def sample(
        self,
        service: ids.ServiceId,
        engine: model.Engine,
        demand: demand_module.Demand,
        now: float,
        prefill_token_s: float = prefill_speed.DEFAULT_TOKEN_S,
    ) -> RoleSwitch | None:
        """Sample a service's load; return a switch if one is due.

        ``prefill_token_s`` is the time of a typical prefill runner for each
        prompt token.
        """
        state = self._services.setdefault(service, _BalanceState())
        patience_s = RESTART_PATIENCE_SHARE * engine.switch_s
        prefill, decode = (
            self._responsive(service, role, patience_s, now)
            for role in (states.Role.PREFILL, states.Role.DECODE)
        )
        if not decode or engine.kv_tokens <= 0:
            return None
        self._note_runners(state, [*prefill, *decode], now)
        state.samples += 1
        self._expire_pending(state, now)
        deficit = self._decode_deficit(
            state, engine, demand, prefill_token_s, prefill, decode
        )
        role = states.Role.DECODE if deficit > 0 else states.Role.PREFILL
        if not deficit or state.samples < MIN_SAMPLES:
            state.imbalanced_since = None
            return None
        if state.imbalanced_since is None:
            state.imbalanced_since = now
        sustained = not prefill or (
            now - state.imbalanced_since >= MIN_IMBALANCE_S
            and now - state.runners_changed_at >= patience_s
        )
        if not sustained or now < state.next_order_at:
            return None
        reverses = bool(prefill) and state.last_order_role not in (None, role)
        if reverses and now < state.last_order_at + REVERSAL_DELAY_S:
            return None
        runner = self._donor(
            state, prefill if role is states.Role.DECODE else decode, now
        )
        if runner is None:
            return None
        state.imbalanced_since = None
        state.last_order_role, state.last_order_at = role, now
        # The larger the deficit is, the sooner the next order may follow.
        state.next_order_at = now + (engine.switch_s + SETTLE_S) / abs(deficit)
        state.pending[runner.runner_id] = now + engine.switch_s + SETTLE_S
        return RoleSwitch(runner.runner_id, runner.listing.address, role)

    def _donor(
        self,
        state: _BalanceState,
        donors: list[runners.Runner],
        now: float,
    ) -> runners.Runner | None:
        """Return the runner to switch; None while all of them back off."""
        return min(
            (
                runner
                for runner in donors
                if runner.runner_id not in state.pending
                and runner.availability.accepts(now)
            ),
            key=lambda r: (
                r.availability.preference(now),
                r.is_suspect(now),
                self._tokens_in_use(r, now),
                r.runner_id,
            ),
            default=None,
        )

    def _note_runners(
        self,
        state: _BalanceState,
        present: list[runners.Runner],
        now: float,
    ) -> None:
        """Record when runners came or went.

        While runners are replaced one after the other, those of the moment
        say little about those that will be left.
        """
        runner_ids = frozenset(runner.runner_id for runner in present)
        if state.samples and runner_ids != state.runner_ids:
            state.runners_changed_at = now
        state.runner_ids = runner_ids

    def _responsive(
        self,
        service: ids.ServiceId,
        role: states.Role,
        patience_s: float,
        now: float,
    ) -> list[runners.Runner]:
        """Return the runners of a role in the own shard that are not lost.

        A runner that ended stays listed for some heartbeats, and longer while
        the store is unavailable. It is lost once it has been down for
        ``patience_s`` seconds.
        """
        return [
            runner
            for runner in self._table.staying(service, role, now)
            if not self._is_lost(runner, now - patience_s, now)
        ]

    def _is_lost(
        self, runner: runners.Runner, down_before: float, now: float
    ) -> bool:
        """Tell whether a runner has been down since before a time."""
        down_since = self._table.down_since(runner)
        if runner.is_down(now):
            down_since = min(runner.failing_since, down_since or math.inf)
        return down_since is not None and down_since <= down_before

    def order_failed(
        self, service: ids.ServiceId, runner_id: ids.RunnerId, now: float
    ) -> None:
        """Record that an order failed; the next one may follow soon."""
        state = self._services[service]
        state.next_order_at = now + FAILED_ORDER_DELAY_S
        state.pending.pop(runner_id, None)

    def _expire_pending(self, state: _BalanceState, now: float) -> None:
        for runner_id, until in list(state.pending.items()):
            runner = self._table.get(runner_id)
            switched = (
                runner is None or runner.listing.role is state.last_order_role
            )
            if switched or now >= until:
                del state.pending[runner_id]

    def _tokens_in_use(self, runner: runners.Runner, now: float) -> int:
        return (
            runner.tokens + self._ledger.peer_use(runner.runner_id, now).tokens
        )

    def _decode_deficit(
        self,
        state: _BalanceState,
        engine: model.Engine,
        demand: demand_module.Demand,
        prefill_token_s: float,
        prefill: list[runners.Runner],
        decode: list[runners.Runner],
    ) -> int:
        """Return how many runners decode lacks; negative if prefill does.

        Runners that were ordered to switch count with their new role.
        """
        switching = len(state.pending)
        if state.last_order_role is states.Role.PREFILL:
            switching = -switching
        prefill_count, decode_count = (
            len(prefill) - switching,
            len(decode) + switching,
        )
        if prefill_count < 1:
            # Decode runners that do prefill slow down all their streams.
            return -1 if decode_count > 1 else 0
        slowness = sum(runner.slowness for runner in prefill) / max(
            1, len(prefill)
        )
        prefill_demand = (
            demand.prompt_tokens_per_s * prefill_token_s * (slowness or 1.0)
        )
        decode_demand = demand.kv_tokens / engine.kv_tokens

        def max_utilization(prefill_runners: int) -> float:
            return max(
                prefill_demand / prefill_runners,
                decode_demand
                / (prefill_count + decode_count - prefill_runners),
            )

        current = (
            max_utilization(prefill_count) if decode_count else float('inf')
        )
        if current < MIN_UTILIZATION:
            return 0
        best = min(
            range(1, prefill_count + decode_count),
            key=max_utilization,
            default=prefill_count,
        )
        return (
            prefill_count - best
            if max_utilization(best) <= MAX_UTILIZATION_RATIO * current
            else 0
        )


class Leadership:
    """Decides whether this instance is the leader, which gives orders.

    The process that has run longest leads, so a restart changes the leader at
    most once. A new leader waits for two leases before its first order, so
    that orders of two instances are never less than a lease apart.
    """

    def __init__(self, own: ledger_module.Process, lease_s: float) -> None:
        self._own = own
        self._lease_s = lease_s
        self._leads_since: float | None = None
        self._largest_shard = 0
        self._shard_zones: frozenset[ids.AvailabilityZone] = frozenset()

    def update(
        self,
        candidates: Collection[ledger_module.Process],
        visible_peers: int,
        now: float,
        shard_zones: frozenset[ids.AvailabilityZone] = frozenset(),
        in_contact: bool = True,
    ) -> bool:
        """Return whether this instance may give orders now.

        ``candidates`` are the other processes of the shard that may lead, and
        ``visible_peers`` counts all its other visible instances, including
        those in an orderly shutdown. ``shard_zones`` are its zones, empty
        while the fleet is one shard. ``in_contact`` is False if there are
        other instances, of which none is known: one of them may lead.
        """
        if shard_zones != self._shard_zones:
            # The majority of a divided fleet is that of the own shard.
            self._shard_zones = shard_zones
            self._largest_shard = 0
            self._leads_since = None
        self._largest_shard = max(self._largest_shard, visible_peers + 1)
        leads = all(self._own < other for other in candidates)
        sees_majority = 2 * (visible_peers + 1) > self._largest_shard
        if not leads or not sees_majority or not in_contact:
            self._leads_since = None
            return False
        if self._leads_since is None:
            self._leads_since = now
        return now - self._leads_since >= 2 * self._lease_s
