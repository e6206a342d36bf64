"""The composition root of the gateway: the only place that builds parts."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import random
import signal
import time
from typing import Any

import anyio
import anyio.abc

from primrosereel import _ids as ids
from primrosereel import _registry as registry
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _departures as departures
from primrosereel.gateway import _orders as orders
from primrosereel.gateway import _peers as peers
from primrosereel.gateway import _pool as pool_module
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _server as server_module
from primrosereel.gateway import _settings as settings_module
from primrosereel.gateway import _status as status
from primrosereel.gateway import _store_client as store_client
from primrosereel.gateway import _store_reader as store_reader
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _members as members_module
from primrosereel.routing import _model as model
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module

__all__ = ['Gateway', 'Options', 'clock']

BACKLOG = 512
MAINTENANCE_S = 0.5
RESTART_S = 0.5
DEFAULT_POLICY = 'expected-completion'
METRICS_PATH = b'/metrics'
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


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What the command line chooses; without a port there are no metrics.

    ``reload`` returns the settings as they are now, or None where they are
    unchanged or cannot be used.
    """

    policy: str = DEFAULT_POLICY
    metrics_port: int = 0
    reload: Callable[[], settings_module.GatewaySettings | None] = lambda: None


DEFAULT_OPTIONS = Options()


class Gateway:
    """One process: tables, handlers, listeners and the store's reader."""

    def __init__(
        self,
        settings: settings_module.GatewaySettings,
        dialect: ports.RequestDialect,
        make_store: Callable[[ports.HttpCall], ports.MetadataStore],
        log: Any,
        options: Options = DEFAULT_OPTIONS,
    ) -> None:
        self._settings = settings
        self._reload = options.reload
        self._metrics_at = None
        if options.metrics_port:
            self._metrics_at = model.Address(
                settings.callers.host, options.metrics_port
            )
        self._log = log
        chance = random.Random()
        policy = registry.load('routing-policy', options.policy)
        self._policy = policy
        zone = settings.availability_zone
        shards = shards_module.Shards(zone)
        table = runners.RunnerTable(shards.owns)
        ledger = ledger_module.Ledger(shards.owns)
        self._context = context_module.Context(
            settings=settings,
            clock=clock,
            incarnation=time.time_ns() // 1_000_000,
            random=chance,
            dialect=dialect,
            runners=table,
            placement=policy.plain(table, zone, chance),
            ledger=ledger,
            places=policy.decode(table, ledger, zone, chance),
            prefills=policy.prefill(table, ledger, zone),
            budget=retry_budget.RetryBudget(
                retry_budget.BudgetBounds(
                    settings.retry_ratio * policy.retry_share,
                    settings.retry_slack * policy.retry_share,
                    settings.retry_window_s,
                    1,
                )
            ),
            members=members_module.Members(
                settings.peer.host if settings.peer else ''
            ),
            shards=shards,
            departures=departures.Departures(self._part_failed),
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
        self._context.budget.set_instances(self._most_instances)
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

    def engine_uses(self) -> list[tuple[str, int, int, int]]:
        """Return what peers are told of the own use of the engines."""
        return self._context.engine_uses()

    def told_uses(self) -> list[tuple[ids.RunnerId, ledger_module.Use]]:
        """Return what peers told of their use of the engines."""
        now = clock()
        uses = (
            (row.runner_id, self._context.ledger.peer_use(row.runner_id, now))
            for row in self._context.runners
        )
        return [(runner, use) for runner, use in uses if use.requests]

    async def run(self) -> None:
        """Serve until a stop is asked for and nothing is in progress."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_signal)
            parts = [
                self._reader.run,
                self._maintain,
                self._peers.run,
                self._context.departures.run,
            ]
            if self._policy.balances_roles:
                parts.append(self._orders.run)
            for part in parts:
                tasks.start_soon(self._supervise, part)
            check = status.StatusServer(
                {self._context.dialect.readiness_path: self._readiness}, clock
            )
            tasks.start_soon(
                self._listen, self._settings.readiness, check.serve_connection
            )
            if self._metrics_at is not None:
                pages = status.StatusServer({METRICS_PATH: self._text}, clock)
                tasks.start_soon(
                    self._listen, self._metrics_at, pages.serve_connection
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

    def _readiness(self) -> callers.Reply:
        return callers.Reply(200 if self.ready else 503)

    def _text(self) -> callers.Reply:
        context = self._context
        now = clock()
        metrics = context.metrics
        metrics.gauge('active_requests', context.active)
        metrics.gauge('waiting_requests', context.places.waiting_count)
        metrics.gauge('runners', len(context.runners))
        metrics.gauge('peers', context.ledger.peer_count(now))
        metrics.gauge('members', len(context.members))
        if context.table is not None:
            metrics.gauge('configuration_version', context.table.version)
        body, content_type = metrics.render()
        return callers.Reply(
            200, headers=[(b'Content-Type', content_type)], body=body
        )

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
                    self._take_settings()
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
                self._part_failed(error)
                await anyio.sleep(RESTART_S)

    def _part_failed(self, error: Exception) -> None:
        self._context.count('internal_errors')
        self._log.error('part failed', detail=repr(error), exc_info=error)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_S)
            await self._reader.settle()
            await self._context.pool.close_old(clock())
            self._share_budget()
            self._take_settings()

    def _take_settings(self) -> None:
        """Put changed settings in force; addresses need a new process."""
        new = self._reload()
        if new is None or new == self._settings:
            return
        kept = ('instance', 'callers', 'readiness', 'peer')
        changes = {name: getattr(self._settings, name) for name in kept}
        if any(getattr(new, name) != changes[name] for name in kept):
            self._log.warning('settings need a new process', kept=kept)
        new = dataclasses.replace(new, **changes)
        self._settings = self._context.settings = new
        self._context.budget.set_bounds(
            new.retry_ratio * self._policy.retry_share,
            new.retry_slack * self._policy.retry_share,
            new.retry_window_s,
        )
        self._log.info('settings in force')

    def _share_budget(self) -> None:
        """Divide the retry budget by the instances that may share it."""
        seen = len(self._context.members) + 1
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
