"""Orders that reconcile the owned engines with the text in force.

The desired state of an engine is a pure function of the text, and the fencing
token of an order is the text's revision, so two daemons with the same text
give the same orders.
"""

import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _engine_schedule as engine_schedule
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['Order', 'OrdersSystem', 'desired_orders', 'unmet_orders']

SET_ROLE = 'set_role'
LOAD_MODEL = 'load_model'
LOAD_ADAPTER = 'load_adapter'

STATE_READ_INTERVAL_S = 5.0
MIN_STATE_READ_SPACING_S = 0.25
OWNERSHIP_CHECK_INTERVAL_S = 0.5
MAX_CONFIRMATION_AGE_S = 5.0
MAX_LOADS_PER_SERVICE = 2
# An order that is not met is given again. An engine that is executing it
# ignores the repetition; one that was restarted in between needs it.
ORDER_REPEAT_DELAY_S = 60.0
# A load that does not finish stops counting against the limit after this
# time. The weight store is rate-limited, so loads of minutes are normal.
LOAD_TIMEOUT_S = 600.0
# The owners of a service's groups do not know of each other's loads. If a
# service has more than 2 groups, they take turns of this length by the wall
# clock.
LOAD_TURN_S = 60.0


class Order(NamedTuple):
    """Kind and value of an order, as in the engine interface."""

    kind: str
    value: str


def desired_orders(
    text: text_module.Text, service: ids.ServiceId, runner: ids.RunnerId
) -> tuple[Order, ...]:
    """Return the state of a runner that the text defines, as orders.

    There are none for the runners of plain services.
    """
    facts = text.services.get(service)
    if facts is None or facts.kind is not states.ServiceKind.LLM:
        return ()
    if runner not in facts.runners:
        return ()
    orders = [Order(SET_ROLE, facts.runners[runner].role.value)]
    if facts.model is not None:
        orders.append(Order(LOAD_MODEL, facts.model))
    orders += [Order(LOAD_ADAPTER, name) for name in facts.adapters]
    return tuple(orders)


def unmet_orders(
    orders: tuple[Order, ...], state: messages.RunnerStateRead
) -> tuple[Order, ...]:
    """Return the orders that an engine does not meet, in their sequence."""
    met = {Order(SET_ROLE, state.role)}
    met.update(Order(LOAD_MODEL, name) for name in state.models)
    met.update(Order(LOAD_ADAPTER, name) for name in state.adapters)
    return tuple(order for order in orders if order not in met)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOrder:
    """An order that was given and is not known to be met.

    A load counts against the service's limit until ``counts_until``.
    """

    order: Order
    service: ids.ServiceId
    repeat_at: float
    counts_until: float


class OrdersSystem:
    """Reads the states of the owned engines and gives them orders."""

    inputs: tuple[type, ...] = (
        messages.RunnerStateRead,
        messages.OrderAnswered,
        messages.Heartbeat,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._schedule = engine_schedule.EngineSchedule(
            STATE_READ_INTERVAL_S, MIN_STATE_READ_SPACING_S
        )
        self._next_ownership_check_at = 0.0
        self._pending: dict[ids.RunnerId, PendingOrder] = {}

    def receive(self, message, now: float) -> None:
        """Process an engine's state, its answer or a peer's heartbeat."""
        if isinstance(message, messages.RunnerStateRead):
            self._reconcile(message, now)
        elif isinstance(message, messages.OrderAnswered):
            self._process_answer(message, now)
        elif (
            message.message.revision == self._world.revision
            and message.sender != self._world.identity.instance
        ):
            self._world.confirmed_at = now

    def run(self, now: float) -> None:
        """Request the state of the next engine."""
        if now >= self._next_ownership_check_at:
            self._next_ownership_check_at = now + OWNERSHIP_CHECK_INTERVAL_S
            owned = engine_schedule.owned_engines(self._world)
            self._schedule.set_engines(owned, now)
            self._pending = {
                runner: pending
                for runner, pending in self._pending.items()
                if runner in owned
            }
        runner = self._schedule.take_due(now)
        if runner is not None:
            self._world.emit(messages.ReadRunnerState(runner))

    def _reconcile(self, state: messages.RunnerStateRead, now: float) -> None:
        world = self._world
        row = world.runners.get(state.runner)
        if row is None or world.text is None or row.leaving:
            return
        if not engine_schedule.owns_engine(world, state.runner):
            return
        unmet = unmet_orders(
            desired_orders(world.text, row.service, state.runner), state
        )
        pending = self._pending.get(state.runner)
        if pending is not None and pending.order not in unmet:
            del self._pending[state.runner]
            pending = None
        if not unmet:
            return
        if state.fencing_token > world.revision:
            # Another daemon has a newer text and gives the orders.
            world.count('order.outdated')
        elif not self._is_order_safe(row, now):
            world.count('order.unconfirmed')
        elif pending is not None and now < pending.counts_until:
            if now >= pending.repeat_at:
                self._give_order(row, pending.order, pending.counts_until, now)
        elif self._is_load_allowed(row, unmet[0], now):
            self._give_order(row, unmet[0], now + LOAD_TIMEOUT_S, now)

    def _is_order_safe(self, row: tables.Runner, now: float) -> bool:
        """Return whether an order to this engine is safe.

        It is if the engine checks fencing tokens, and so rejects outdated
        orders, or if the local revision was confirmed recently.
        """
        if row.facts.checks_fencing:
            return True
        return now - self._world.confirmed_at <= MAX_CONFIRMATION_AGE_S

    def _is_load_allowed(
        self, row: tables.Runner, order: Order, now: float
    ) -> bool:
        """Return whether the service's limit on loads allows the order."""
        if order.kind == SET_ROLE:
            return True
        load_count = sum(
            pending.service == row.service
            and pending.order.kind != SET_ROLE
            and now < pending.counts_until
            for pending in self._pending.values()
        )
        return load_count < self._load_limit(row)

    def _load_limit(self, row: tables.Runner) -> int:
        """Return the number of loads allowed to the owned groups now."""
        world = self._world
        groups = sorted(world.service_groups.get(row.service, (row.group,)))
        turn_count = math.ceil(len(groups) / MAX_LOADS_PER_SERVICE)
        turn = int(world.wall // LOAD_TURN_S) % turn_count
        loading_groups = groups[
            turn * MAX_LOADS_PER_SERVICE : (turn + 1) * MAX_LOADS_PER_SERVICE
        ]
        if row.group not in loading_groups:
            return 0
        return MAX_LOADS_PER_SERVICE // len(loading_groups)

    def _give_order(
        self, row: tables.Runner, order: Order, counts_until: float, now: float
    ) -> None:
        world = self._world
        self._pending[row.runner] = PendingOrder(
            order, row.service, now + ORDER_REPEAT_DELAY_S, counts_until
        )
        world.count(f'order.{order.kind}')
        world.emit(messages.GiveOrder(row.runner, world.revision, *order))

    def _process_answer(
        self, answer: messages.OrderAnswered, now: float
    ) -> None:
        """Drop a refused order; repeat one that may not have arrived."""
        pending = self._pending.get(answer.runner)
        if pending is None or answer.accepted is True:
            return
        if answer.accepted is False:
            self._world.count('order.refused')
            del self._pending[answer.runner]
        else:
            self._world.count('order.unanswered')
            self._pending[answer.runner] = dataclasses.replace(
                pending, repeat_at=now
            )
