"""Orders that bring the owned engines in line with the text.

What an engine should have is a pure function of the text in force, and the
fencing token of an order is the text's revision, so two daemons with the same
text give the same orders.
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

__all__ = ['Order', 'OrdersSystem', 'differences', 'wanted']

SET_ROLE = 'set_role'
LOAD_MODEL = 'load_model'
LOAD_ADAPTER = 'load_adapter'

READ_INTERVAL_S = 5.0
READ_SPACING_S = 0.25
FOLLOW_OWNERSHIP_S = 0.5
CONFIRMED_WITHIN_S = 5.0
MAX_LOADS = 2
# An order that is not met is given again; engines that are carrying it out
# ignore that, and one that was restarted in between needs it.
REPEAT_S = 60.0
# A load that is not seen to end gives its place to others after this time.
# The weight store is rate-limited, so loads of minutes are normal.
LOAD_TIMEOUT_S = 600.0
# A service with more than 2 groups has owners that don't know of each
# other's loads; they take turns of this length by the wall clock.
LOAD_TURN_S = 60.0


class Order(NamedTuple):
    """One order as the engine interface has it."""

    kind: str
    value: str


def wanted(
    text: text_module.Text, service: ids.ServiceId, runner: ids.RunnerId
) -> tuple[Order, ...]:
    """Return what the text asks of a runner; nothing of plain ones."""
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
    """Return the orders that an engine does not meet, in their sequence."""
    met = {Order(SET_ROLE, state.role)}
    met.update(Order(LOAD_MODEL, name) for name in state.models)
    met.update(Order(LOAD_ADAPTER, name) for name in state.adapters)
    return tuple(order for order in orders if order not in met)


@dataclasses.dataclass(frozen=True, slots=True)
class Outstanding:
    """An order that was given and is not yet seen to be met.

    A load holds one of the service's places for loads until ``until``.
    """

    order: Order
    service: ids.ServiceId
    repeat_at: float
    until: float


class OrdersSystem:
    """Reads back the owned engines in turn and orders what is missing."""

    inputs: tuple[type, ...] = (
        messages.RunnerStateRead,
        messages.OrderAnswered,
        messages.Heartbeat,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._turns = engine_schedule.EngineSchedule(
            READ_INTERVAL_S, READ_SPACING_S
        )
        self._follow_at = 0.0
        self._outstanding: dict[ids.RunnerId, Outstanding] = {}

    def receive(self, message, now: float) -> None:
        """Take an engine's state, its answer or a peer's heartbeat."""
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
        """Read the state of the engine whose turn it is."""
        if now >= self._follow_at:
            self._follow_at = now + FOLLOW_OWNERSHIP_S
            owned = engine_schedule.owned_engines(self._world)
            self._turns.set_engines(owned, now)
            self._outstanding = {
                runner: given
                for runner, given in self._outstanding.items()
                if runner in owned
            }
        runner = self._turns.take_due(now)
        if runner is not None:
            self._world.emit(messages.ReadRunnerState(runner))

    def _reconcile(self, state: messages.RunnerStateRead, now: float) -> None:
        world = self._world
        row = world.runners.get(state.runner)
        if row is None or world.text is None or row.leaving:
            return
        if not engine_schedule.owns_engine(world, state.runner):
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
            # A newer text is in force somewhere; its owner gives the orders.
            world.count('order.outdated')
        elif not self._is_confirmed(row, now):
            world.count('order.unconfirmed')
        elif given is not None and now < given.until:
            if now >= given.repeat_at:
                self._give(row, given.order, given.until, now)
        elif self._may_load(row, missing[0], now):
            self._give(row, missing[0], now + LOAD_TIMEOUT_S, now)

    def _is_confirmed(self, row: tables.Runner, now: float) -> bool:
        """Tell whether an old order could not do harm, or this is not one."""
        if row.facts.checks_fencing:
            return True
        return now - self._world.confirmed_at <= CONFIRMED_WITHIN_S

    def _may_load(self, row: tables.Runner, order: Order, now: float) -> bool:
        """Hold the loads of a service to what the weight store bears."""
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
        """Return the loads that the owned groups may have now."""
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
        """Take back a refused order; one without an answer may have begun."""
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
