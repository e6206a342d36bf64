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
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from primrosereel.core import _turns as turns

__all__ = ['Order', 'OrdersSystem', 'differences', 'wanted']

SET_ROLE = 'set_role'
LOAD_MODEL = 'load_model'
LOAD_ADAPTER = 'load_adapter'

READ_INTERVAL_S = 5.0
READ_SPACING_S = 0.25
FOLLOW_OWNERSHIP_S = 0.5
CONFIRMED_WITHIN_S = 5.0
MAX_LOADS = 2
# An order that is not met is given again. An engine that is executing it
# ignores the repetition; one that was restarted in between needs it.
REPEAT_S = 60.0
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


def wanted(
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


def differences(
    orders: tuple[Order, ...], state: messages.RunnerStateRead
) -> tuple[Order, ...]:
    """Return the orders that an engine's state does not meet yet."""
    met = {Order(SET_ROLE, state.role)}
    met.update(Order(LOAD_MODEL, name) for name in state.models)
    met.update(Order(LOAD_ADAPTER, name) for name in state.adapters)
    return tuple(order for order in orders if order not in met)


@dataclasses.dataclass(frozen=True, slots=True)
class Outstanding:
    """An order that was given and is not known to be met.

    A load counts against the service's limit until ``counts_until``.
    """

    order: Order
    service: ids.ServiceId
    repeat_at: float
    until: float


class OrdersSystem:
    """Reads the states of the owned engines and gives them orders."""

    inputs: tuple[type, ...] = (
        messages.RunnerStateRead,
        messages.OrderAnswered,
        messages.Heartbeat,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._turns = turns.Turns(READ_INTERVAL_S, READ_SPACING_S)
        self._follow_at = 0.0
        self._outstanding: dict[ids.RunnerId, Outstanding] = {}

    def receive(self, message, now: float) -> None:
        """Process an engine's state, its answer or a peer's heartbeat."""
        if isinstance(message, messages.RunnerStateRead):
            self._reconcile(message, now)
        elif isinstance(message, messages.OrderAnswered):
            self._take_answer(message, now)
        elif (
            message.message.revision == self._world.revision
            and message.sender != self._world.identity.instance
        ):
            self._world.confirmed_at = now

    def run(self, now: float) -> None:
        """Request the state of the next engine."""
        if now >= self._follow_at:
            self._follow_at = now + FOLLOW_OWNERSHIP_S
            owned = turns.owned_engines(self._world)
            self._turns.follow(owned, now)
            self._outstanding = {
                runner: given
                for runner, given in self._outstanding.items()
                if runner in owned
            }
        runner = self._turns.take(now)
        if runner is not None:
            self._world.emit(messages.ReadRunnerState(runner))

    def _reconcile(self, state: messages.RunnerStateRead, now: float) -> None:
        world = self._world
        row = world.runners.get(state.runner)
        if row is None or world.text is None or row.leaving:
            return
        if not turns.owns(world, state.runner):
            return
        missing = differences(
            wanted(world.text, row.service, state.runner), state
        )
        given = self._outstanding.get(state.runner)
        if given is not None and given.order not in missing:
            del self._outstanding[state.runner]
            given = None
        if not missing:
            return
        if state.fencing_token > world.revision:
            # Another daemon has a newer text and gives the orders.
            world.count('order.outdated')
        elif not self._is_confirmed(row, now):
            world.count('order.unconfirmed')
        elif given is not None and now < given.until:
            if now >= given.repeat_at:
                self._give(row, given.order, given.until, now)
        elif self._may_load(row, missing[0], now):
            self._give(row, missing[0], now + LOAD_TIMEOUT_S, now)

    def _is_confirmed(self, row: tables.Runner, now: float) -> bool:
        """Return whether an order to this engine is safe.

        It is if the engine checks fencing tokens, and so rejects outdated
        orders, or if the local revision was confirmed recently.
        """
        if row.facts.checks_fencing:
            return True
        return now - self._world.confirmed_at <= CONFIRMED_WITHIN_S

    def _may_load(self, row: tables.Runner, order: Order, now: float) -> bool:
        """Return whether the service's limit on loads allows the order."""
        if order.kind == SET_ROLE:
            return True
        loading = sum(
            given.service == row.service
            and given.order.kind != SET_ROLE
            and now < given.until
            for given in self._outstanding.values()
        )
        return loading < self._load_limit(row)

    def _load_limit(self, row: tables.Runner) -> int:
        """Return the number of loads allowed to the owned groups now."""
        world = self._world
        groups = sorted(world.service_groups.get(row.service, (row.group,)))
        turn_count = math.ceil(len(groups) / MAX_LOADS)
        turn = int(world.wall // LOAD_TURN_S) % turn_count
        loading = groups[turn * MAX_LOADS : (turn + 1) * MAX_LOADS]
        if row.group not in loading:
            return 0
        return MAX_LOADS // len(loading)

    def _give(
        self, row: tables.Runner, order: Order, until: float, now: float
    ) -> None:
        world = self._world
        self._outstanding[row.runner] = Outstanding(
            order, row.service, now + REPEAT_S, until
        )
        world.count(f'order.{order.kind}')
        world.emit(messages.GiveOrder(row.runner, world.revision, *order))

    def _take_answer(self, answer: messages.OrderAnswered, now: float) -> None:
        """Drop a refused order; repeat one that may not have arrived."""
        given = self._outstanding.get(answer.runner)
        if given is None or answer.accepted is True:
            return
        if answer.accepted is False:
            self._world.count('order.refused')
            del self._outstanding[answer.runner]
        else:
            self._world.count('order.unanswered')
            self._outstanding[answer.runner] = dataclasses.replace(
                given, repeat_at=now
            )
