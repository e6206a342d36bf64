"""Sends the role orders that balance runners between prefill and decode."""

import time

import anyio

from primrosereel import _ids as ids
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _http as http
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.routing import _demand as demand
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _roles as roles

__all__ = ['Orders']

SAMPLE_INTERVAL_S = 0.5
CONNECT_TIMEOUT_S = 1.0
# Longer than a sound runner is silent: an order that is given up may have been
# accepted.
RESPONSE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 65536
# The time allowed for running work to finish before a change of role starts.
FINISH_RUNNING_S = 4.0
# 202: the runner carries the order out; 200: it already has the role.
ACCEPTED_OUTCOMES = ('status 202', 'status 200')


class Orders:
    """Samples the balance and sends orders while this instance leads."""

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
            await anyio.sleep(SAMPLE_INTERVAL_S)
            context = self._context
            now = context.clock()
            context.expire_avoided_runners(now)
            self._update_leadership(now)
            if context.draining:
                # Another instance leads, and requests need the time.
                continue
            for service in list(
                context.table.services.values() if context.table else ()
            ):
                if service.engine is None:
                    continue
                switch = self._balance.sample(
                    service.name,
                    service.engine,
                    self._demand(service.name, now),
                    now,
                    context.prefills.speed(service.name).token_s,
                )
                if switch is not None and self._leads:
                    accepted = await self._give_order(switch, service.engine)
                    if not accepted:
                        self._balance.order_failed(
                            service.name, switch.runner, context.clock()
                        )

    def _demand(self, service: ids.ServiceId, now: float) -> demand.Demand:
        """Return the demand for a service at all instances of the shard."""
        context = self._context
        own = context.demand.demand(service, context.places.stream_s, now)
        return own.plus(context.ledger.demand(service, now))

    def _update_leadership(self, now: float) -> None:
        context = self._context
        candidates = context.ledger.active_processes(now)
        peers = context.ledger.peer_count(now)
        leads = not context.draining and self._leadership.update(
            candidates,
            peers,
            now,
            context.shards.own_zones,
            self._in_contact(),
        )
        if leads != self._leads:
            self._leads = leads
            context.log.info(
                'leads' if leads else 'leads no longer', peers=peers
            )

    def _in_contact(self) -> bool:
        """Return whether another instance is known, if the seeds name one."""
        context = self._context
        own = context.settings.peer
        own_host = own.host if own is not None else None
        expected = any(
            seed.host != own_host for seed in context.settings.seeds
        )
        return not expected or len(context.members) > 0

    async def _give_order(
        self, switch: roles.RoleSwitch, engine: model.Engine
    ) -> bool:
        """Send an order; return False if the runner did not accept it."""
        context = self._context
        # Unix milliseconds, so that a later leader has a higher fencing token
        # without a shared store.
        token = time.time_ns() // 1_000_000
        now = context.clock()
        # The runner finishes running work before it changes its role.
        context.avoid_runner(
            switch.runner, now + engine.switch_s + FINISH_RUNNING_S
        )
        outcome = await self._send(switch, token)
        accepted = outcome in ACCEPTED_OUTCOMES
        runner = context.runners.get(switch.runner)
        if not accepted:
            context.stop_avoiding_runner(switch.runner)
            if runner is not None and self._accepts(switch):
                runner.observe_failure(now)
        context.count('orders')
        context.log.info(
            'order',
            runner=switch.runner,
            role=switch.role.value,
            fencing_token=token,
            outcome=outcome,
        )
        return accepted

    def _accepts(self, switch: roles.RoleSwitch) -> bool:
        context = self._context
        return context.runners.availability.accepts(
            switch.runner, context.clock()
        )

    async def _connect(self, switch: roles.RoleSwitch) -> http.HttpConnection:
        runner = self._context.runners.get(switch.runner)
        if runner is None or runner.listing.address != switch.address:
            return await http.connect(
                switch.address,
                CONNECT_TIMEOUT_S,
                self._context.response_memory,
            )
        return await runner_connect.connect(
            self._context, runner, CONNECT_TIMEOUT_S
        )

    async def _send(self, switch: roles.RoleSwitch, token: int) -> str:
        context = self._context
        method, target, headers, body = context.dialect.role_order(
            switch.runner, switch.role, context.settings.instance, token
        )
        headers.append((b'Host', str(switch.address).encode()))
        connection = None
        try:
            connection = await self._connect(switch)
            if not self._accepts(switch):
                return 'the runner takes no orders now'
            with final_poll.fail_after(RESPONSE_TIMEOUT_S):
                head = await connection.send_request(
                    http.OutgoingRequest(method, target, headers, body)
                )
                runner = context.runners.get(switch.runner)
                if runner is not None:
                    runner_signs.observe_answer(context, runner, head)
                await connection.read_body(MAX_RESPONSE_BYTES)
            return f'status {head.status}'
        except (http.HttpError, TimeoutError) as error:
            return repr(error)
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await connection.close()
