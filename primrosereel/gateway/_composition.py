"""The composition root of the gateway: the only place that builds parts."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
import signal
import time
from typing import Any

import anyio
import anyio.abc

from primrosereel import _registry as registry
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _orders as orders
from primrosereel.gateway import _peers as peers
from primrosereel.gateway import _pool as pool_module
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _readiness as readiness
from primrosereel.gateway import _server as server_module
from primrosereel.gateway import _settings as settings_module
from primrosereel.gateway import _store_client as store_client
from primrosereel.gateway import _store_reader as store_reader
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runners as runners
from primrosereel.routing import _split as split

__all__ = ['Gateway', 'clock']

BACKLOG = 512
MAINTENANCE_S = 0.5
RESTART_S = 0.5
DEFAULT_PLACEMENT = 'expected-completion'
# After a stop is asked for, the platform still sends new connections until
# two checks have failed.
STOP_ACCEPTING_S = 2.5
# The shares of the time for a stop after which requests are refused, and
# after which those in progress are cut.
ACCEPT_SHARE = 0.35
CUT_SHARE = 0.9
# Instances that are assumed to share the retry budget for each seed, as those
# that are out of sight spend it as well.
INSTANCES_PER_SEED = 2


def clock() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway:
    """One process: tables, handlers, listeners and the store's reader."""

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        dialect: ports.RequestDialect,
        make_store: Callable[[ports.HttpCall], ports.MetadataStore],
        log: Any,
        placement: str = DEFAULT_PLACEMENT,
    ) -> None:
        self._settings = settings
        self._log = log
        chance = random.Random()
        table = runners.RunnerTable()
        ledger = ledger_module.Ledger()
        zone = settings.availability_zone
        self._context = context_module.Context(
            settings=settings,
            clock=clock,
            random=chance,
            dialect=dialect,
            runners=table,
            placement=registry.load('runner-placement', placement)(
                table, zone, chance
            ),
            ledger=ledger,
            places=decode_places.DecodePlaces(table, ledger, zone, chance),
            prefills=split.PrefillPlan(table, ledger, zone),
            budget=retry_budget.RetryBudget(
                retry_budget.BudgetBounds(
                    settings.retry_ratio,
                    settings.retry_slack,
                    settings.retry_window_s,
                    1,
                )
            ),
            pool=pool_module.ConnectionPool(),
            log=log,
        )
        self._reader = store_reader.StoreReader(
            self._context, make_store(store_client.StoreClient(settings.store))
        )
        self._server = server_module.Server(self._context)
        self._peers = peers.Peers(self._context)
        self._orders = orders.Orders(self._context)
        self._context.uses_changed = self._peers.changed
        self._cut_at = math.inf
        self._most_instances = INSTANCES_PER_SEED * max(1, len(settings.seeds))
        self._stop_asked = anyio.Event()

    @property
    def ready(self) -> bool:
        """Whether callers can be served."""
        return (
            self._context.table is not None
            and self._reader.synchronized
            and len(self._context.runners) > 0
            and not self._context.draining
        )

    async def run(self) -> None:
        """Serve until a stop is asked for and nothing is in progress."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_signal)
            for part in (
                self._reader.run,
                self._maintain,
                self._peers.run,
                self._orders.run,
            ):
                tasks.start_soon(self._supervise, part)
            check = readiness.ReadinessServer(
                self._context.dialect.readiness_path,
                lambda: self.ready,
                clock,
            )
            tasks.start_soon(
                self._listen, self._settings.readiness, check.serve_connection
            )
            async with anyio.create_task_group() as listening:
                listening.start_soon(
                    self._listen,
                    self._settings.callers,
                    self._server.serve_connection,
                    tasks,
                )
                self._log.info('started')
                await self._stop_asked.wait()
                await self._stop_accepting()
                listening.cancel_scope.cancel()
            await self._finish_requests()
            self._log.info('stopped', active=self._context.active)
            tasks.cancel_scope.cancel()

    async def _listen(
        self,
        address: model.Address,
        handler: Callable[[anyio.abc.SocketStream], Awaitable[None]],
        connections: anyio.abc.TaskGroup | None = None,
    ) -> None:
        """Accept connections; those in ``connections`` outlast this."""
        listener = await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=BACKLOG,
            reuse_port=False,
        )
        async with listener:
            await listener.serve(handler, connections)

    async def _wait_for_signal(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._log.info('reload asked for')
                    continue
                self._log.info('stop asked for', signal=number.name)
                self._stop_asked.set()

    async def _supervise(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run a part again when it fails; callers are served meanwhile."""
        while True:
            try:
                await part()
                return
            except Exception as error:
                self._context.count('internal_errors')
                self._log.error(
                    'part failed', detail=repr(error), exc_info=error
                )
                await anyio.sleep(RESTART_S)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_S)
            await self._reader.settle()
            await self._context.pool.close_old(clock())
            self._share_budget()

    def _share_budget(self) -> None:
        """Divide the retry budget by the instances that may share it."""
        seen = self._context.ledger.instances(clock()) + 1
        self._most_instances = max(self._most_instances, seen)
        self._context.budget.set_instances(self._most_instances)

    async def _stop_accepting(self) -> None:
        """Go out of rotation, and serve what is still sent meanwhile."""
        self._context.draining = True
        self._log.info('draining', active=self._context.active)
        limit_s = self._settings.drain_limit_s
        self._cut_at = anyio.current_time() + CUT_SHARE * limit_s
        await anyio.sleep(min(STOP_ACCEPTING_S, ACCEPT_SHARE * limit_s))
        self._context.refusing = True

    async def _finish_requests(self) -> None:
        """Close idle connections until no request is in progress."""
        while anyio.current_time() < self._cut_at:
            await self._server.close_idle()
            if not self._context.active:
                return
            await anyio.sleep(0.1)
        self._log.error('requests cut', active=self._context.active)
