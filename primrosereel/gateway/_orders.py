"""Gives the orders that balance runners between prefill and decode."""

import time

import anyio

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _roles as roles

__all__ = ['Orders']

SAMPLE_S = 0.5
ANSWER_S = 1.0
MAX_ANSWER_BYTES = 65536
FINISH_S = 4.0
# The runner carries the order out, or it holds already.
TAKEN = ('status 202', 'status 200')


class Orders:
    """Samples the balance and, while this instance leads, gives orders."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._balance = roles.RoleBalance(context.runners, context.ledger)
        self._leadership = roles.Leadership(
            ledger_module.Process(
                context.incarnation, context.settings.instance
            ),
            context.settings.lease_s,
        )
        self._leads = False

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await anyio.sleep(SAMPLE_S)
            context = self._context
            now = context.clock()
            context.free_reservations(now)
            self._update_leadership(now)
            for service in list(
                context.table.services.values() if context.table else ()
            ):
                if service.engine is None:
                    continue
                switch = self._balance.sample(
                    service.name,
                    service.engine,
                    context.places.hold_s,
                    now,
                )
                if switch is not None and self._leads:
                    taken = await self._order(switch, service.engine)
                    if not taken:
                        self._balance.order_failed(
                            service.name, switch.runner, context.clock()
                        )

    def _update_leadership(self, now: float) -> None:
        context = self._context
        candidates = context.ledger.active_processes(now)
        peers = context.ledger.peer_count(now)
        leads = not context.draining and self._leadership.update(
            candidates, peers, now
        )
        if leads != self._leads:
            self._leads = leads
            context.log.info(
                'leads' if leads else 'leads no longer', peers=peers
            )

    async def _order(
        self, switch: roles.RoleSwitch, engine: model.Engine
    ) -> bool:
        """Give an order; False where the runner did not take it."""
        context = self._context
        # Unix milliseconds: later holders have higher tokens without a store.
        token = time.time_ns() // 1_000_000
        now = context.clock()
        # Running work is finished before the switch begins.
        context.reserve(switch.runner, now + engine.switch_s + FINISH_S)
        outcome = await self._send(switch, token)
        taken = outcome in TAKEN
        row = context.runners.get(switch.runner)
        if not taken:
            context.reserve(switch.runner, now)
            if row is not None:
                row.observe_failure(now)
        context.count('orders')
        context.log.info(
            'order',
            runner=switch.runner,
            role=switch.role.value,
            fencing_token=token,
            outcome=outcome,
        )
        return taken

    async def _send(self, switch: roles.RoleSwitch, token: int) -> str:
        context = self._context
        method, target, headers, body = context.dialect.role_order(
            switch.runner, switch.role, context.settings.instance, token
        )
        headers.append((b'Host', str(switch.address).encode()))
        connection = None
        try:
            with anyio.fail_after(ANSWER_S):
                connection = await http.connect(switch.address, ANSWER_S)
                head = await connection.exchange(
                    http.Call(method, target, headers, body)
                )
                await connection.whole_body(MAX_ANSWER_BYTES)
            return f'status {head.status}'
        except (http.ConnectionFailed, TimeoutError) as error:
            return repr(error)
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await connection.close()
