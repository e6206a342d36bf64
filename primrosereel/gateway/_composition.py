"""The composition root of the gateway, which builds and runs its parts."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
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
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _graceful_stop as graceful_stop
from primrosereel.gateway import _leave_callbacks as leave_callbacks
from primrosereel.gateway import _listener as listener_module
from primrosereel.gateway import _loop_watch as loop_watch
from primrosereel.gateway import _orders as orders
from primrosereel.gateway import _peers as peers
from primrosereel.gateway import _pool as pool_module
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _response_memory as response_memory
from primrosereel.gateway import _runner_changes as runner_changes
from primrosereel.gateway import _server as server_module
from primrosereel.gateway import _settings as settings_module
from primrosereel.gateway import _signals as signals
from primrosereel.gateway import _status as status
from primrosereel.gateway import _stop_plan as stop_plan
from primrosereel.gateway import _store_client as store_client
from primrosereel.gateway import _store_reader as store_reader
from primrosereel.gateway import _time_limits as time_limits
from primrosereel.gateway import _unsent_places as unsent_places
from primrosereel.routing import _availability as availability_module
from primrosereel.routing import _decode_speed as decode_speed
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _members as members_module
from primrosereel.routing import _model as model
from primrosereel.routing import _outages as outages_module
from primrosereel.routing import _quotas as quotas_module
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module
from primrosereel.routing import blame

__all__ = ['Gateway', 'Options', 'clock']

MAINTENANCE_INTERVAL_S = 0.5
RESTART_DELAY_S = 0.5
DEFAULT_POLICY = 'expected-completion'
METRICS_PATH = b'/metrics'
# The status of a page that could not be built. The platform sends an instance
# that cannot tell whether it is ready no new connections.
READINESS_FAILED = 503
METRICS_FAILED = 500
# Calls whose times differ by less are not told apart, and the time of a call
# before any was observed.
CALL_RESOLUTION_S = 1e-4
DEFAULT_CALL_S = 0.05
# The retry budget is divided by at least this number of instances per seed, as
# instances that are not known here spend it as well.
INSTANCES_PER_SEED = 2


def clock() -> float:
    """Return seconds of a clock that also counts time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the command line; port 0 disables the metrics page.

    ``reload`` returns the current settings, or None if they are unchanged or
    invalid. ``before_exit`` is called when all is stopped but the handling of
    signals.
    """

    policy: str = DEFAULT_POLICY
    metrics_port: int = 0
    reload: Callable[[], settings_module.GatewaySettings | None] = lambda: None
    before_exit: Callable[[], None] = lambda: None


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
        self._before_exit = options.before_exit
        self._metrics_address = None
        if options.metrics_port:
            self._metrics_address = model.Address(
                settings.callers.host, options.metrics_port
            )
        self._log = log
        random_source = random.Random()
        policy = registry.load('routing-policy', options.policy)
        self._policy = policy
        zone = settings.availability_zone
        shards = shards_module.Shards(zone)
        table = runners.RunnerTable(
            shards.owns,
            availability_module.AvailabilityTable(
                on_transition=self._availability_changed
            ),
            outages_module.Outages(random_source),
        )
        ledger = ledger_module.Ledger(shards.owns)
        speeds = runner_speeds.RunnerSpeeds(table)
        incarnation = time.time_ns() // 1_000_000
        self._context = context_module.Context(
            settings=settings,
            clock=clock,
            incarnation=incarnation,
            random=random_source,
            dialect=dialect,
            runners=table,
            placement=policy.plain(table, zone, random_source),
            ledger=ledger,
            places=policy.decode(table, ledger, zone, random_source),
            prefills=policy.prefill(table, ledger, zone, speeds),
            runner_speeds=speeds,
            decode_speed=decode_speed.DecodeSpeed(speeds),
            call_costs=request_costs.RequestCosts(
                CALL_RESOLUTION_S, DEFAULT_CALL_S
            ),
            output_costs=request_costs.RequestCosts(
                1.0, model.DEFAULT_OUTPUT_TOKENS
            ),
            budget=retry_budget.RetryBudget(
                retry_budget.BudgetBounds(
                    settings.retry_ratio * policy.retry_share,
                    settings.retry_slack * policy.retry_share,
                    settings.retry_window_s,
                    1,
                )
            ),
            quotas=quotas_module.Quotas(
                _quota_bounds(settings), incarnation, random_source
            ),
            members=members_module.Members(
                settings.peer.host if settings.peer else ''
            ),
            shards=shards,
            leave_callbacks=leave_callbacks.LeaveCallbacks(self._part_failed),
            unsent_places=unsent_places.UnsentPlaces(),
            pool=pool_module.ConnectionPool(),
            response_memory=response_memory.ResponseMemory(
                settings.memory_bytes
            ),
            log=log,
            quarantine=blame.Quarantine(random_source),
            time_limits=time_limits.TimeLimits(clock),
        )
        self._loop_watch = loop_watch.LoopWatch(
            clock, log, self._context.metrics
        )
        self._runner_changes = runner_changes.RunnerChanges(self._context)
        crash_reports = crash_reports_module.CrashReports(self._context)
        self._reader = store_reader.StoreReader(
            self._context, make_store(store_client.StoreClient(settings.store))
        )
        self._server = server_module.Server(self._context, crash_reports)
        self._peers = peers.Peers(self._context, self._reader, crash_reports)
        self._orders = orders.Orders(self._context)
        self._context.uses_changed = self._peers.notify_uses_changed
        self._context.quota_spent = self._peers.notify_quota_spent
        self._context.crash_evidence_changed = self._peers.send_crash_evidence
        self._context.availability_changed = self._peers.send_runner_notices
        self._context.send_store_notice = self._peers.send_store_notice
        self._max_instances_seen = INSTANCES_PER_SEED * max(
            1, len(settings.seeds)
        )
        self._context.budget.set_instances(self._max_instances_seen)
        self._stop_requested = anyio.Event()
        self._stop_window: stop_plan.SignalWindow | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served; the readiness page reports it."""
        return (
            self._context.table is not None
            and self._reader.synchronized
            and len(self._context.runners) > 0
            and not self._context.draining
        )

    def engine_uses(self) -> list[tuple[str, int, int, int]]:
        """Return this instance's use of the engines, as sent to peers."""
        return self._context.engine_uses()

    def peer_uses(self) -> list[tuple[ids.RunnerId, ledger_module.Use]]:
        """Return the use of the engines that peers reported."""
        now = clock()
        uses = (
            (
                runner.runner_id,
                self._context.ledger.peer_use(runner.runner_id, now),
            )
            for runner in self._context.runners
        )
        return [(runner_id, use) for runner_id, use in uses if use.requests]

    async def run(self) -> None:
        """Serve until a stop is requested and no request is in progress."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_for_signal)
            parts = [
                self._loop_watch.run,
                self._reader.run,
                self._maintain,
                self._peers.run,
                self._context.leave_callbacks.run,
                self._context.pool.run,
            ]
            if self._policy.balances_roles:
                parts.append(self._orders.run)
            for part in parts:
                tasks.start_soon(self._supervise, part)
            check = status.StatusServer(
                {self._context.dialect.readiness_path: self._readiness_page},
                clock,
                self._part_failed,
                READINESS_FAILED,
            )
            tasks.start_soon(
                self._listen,
                self._settings.readiness,
                check.serve_connection,
                tasks,
            )
            if self._metrics_address is not None:
                pages = status.StatusServer(
                    {METRICS_PATH: self._metrics_page},
                    clock,
                    self._part_failed,
                    METRICS_FAILED,
                )
                tasks.start_soon(
                    self._listen,
                    self._metrics_address,
                    pages.serve_connection,
                    tasks,
                )
            async with anyio.create_task_group() as listening:
                listening.start_soon(
                    self._listen,
                    self._settings.callers,
                    self._server.serve_connection,
                    tasks,
                )
                self._log.info('started')
                await self._stop_requested.wait()
                stop = self._begin_stop()
                await stop.serve_until_refusing()
                listening.cancel_scope.cancel()
            await stop.finish_requests()
            self._log.info('stopped', active=self._context.active)
            self._before_exit()
            tasks.cancel_scope.cancel()

    def _availability_changed(
        self, transition: availability_module.Transition
    ) -> None:
        """Act on a change of a runner's availability."""
        self._runner_changes.apply(transition)

    def _readiness_page(self) -> callers.Reply:
        return callers.Reply(200 if self.ready else 503)

    def _metrics_page(self) -> callers.Reply:
        context = self._context
        now = clock()
        metrics = context.metrics
        metrics.gauge('active_requests', context.active)
        metrics.gauge('caller_connections', self._server.open_connections)
        metrics.gauge(
            'lingering_connections', self._server.lingering_connections
        )
        metrics.gauge('waiting_requests', context.places.waiting_count)
        metrics.gauge('loop_late_seconds', self._loop_watch.recent_late_s(now))
        metrics.gauge('runners', len(context.runners))
        metrics.gauge(
            'runners_accepting', context.runners.accepting_count(now)
        )
        metrics.gauge('runners_down', context.runners.down_count())
        metrics.gauge('peers', context.ledger.peer_count(now))
        metrics.gauge('members', len(context.members))
        metrics.gauge(
            'quarantined_causes', len(context.quarantine.quarantined(now))
        )
        if context.table is not None:
            metrics.gauge('configuration_version', context.table.version)
        states = context.quotas.states(now)
        metrics.gauge_accounts(
            'quota_level', {state.account: state.level for state in states}
        )
        metrics.gauge_accounts(
            'quota_available_rate',
            {state.account: state.available_rate for state in states},
        )
        body, content_type = metrics.render()
        return callers.Reply(
            200, headers=[(b'Content-Type', content_type)], body=body
        )

    async def _listen(
        self,
        address: model.Address,
        handler: Callable[[anyio.abc.SocketStream], Awaitable[None]],
        connections: anyio.abc.TaskGroup,
    ) -> None:
        """Accept connections until cancelled; they outlast the listener."""
        await listener_module.Listener(
            address, handler, connections, self._accept_failed
        ).run()

    def _accept_failed(self, address: model.Address, error: OSError) -> None:
        self._context.count('connections.not_accepted')
        self._log.error(
            'accept failed', address=str(address), detail=repr(error)
        )

    async def _wait_for_signal(self) -> None:
        async for notice in signals.receive(self._loop_watch, clock):
            if notice.number == signal.SIGHUP:
                self._log.info('reload asked for')
                self._try_to_apply_settings()
                continue
            window = notice.window
            self._log.info(
                'stop asked for',
                signal=notice.number.name,
                not_run_s=round(window.latest_at - window.earliest_at, 3),
                handled_s=round(clock() - window.latest_at, 3),
            )
            if self._stop_window is None:
                self._stop_window = window
            self._stop_requested.set()

    def _begin_stop(self) -> graceful_stop.GracefulStop:
        now = clock()
        window = self._stop_window or stop_plan.SignalWindow(now, now)
        return graceful_stop.GracefulStop(
            self._context, self._server, self._loop_watch, window
        )

    async def _supervise(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run a part, and restart it when it fails."""
        while True:
            try:
                await part()
                return
            except Exception as error:
                self._part_failed(error)
                await anyio.sleep(RESTART_DELAY_S)

    def _part_failed(self, error: Exception) -> None:
        self._context.count('internal_errors')
        self._log.error('part failed', detail=repr(error), exc_info=error)

    async def _maintain(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            self._context.time_limits.follow_clock()
            await self._reader.remove_missing_runners()
            await self._context.pool.close_expired(clock())
            self._context.runner_speeds.refresh(clock())
            self._update_budget_share()
            self._try_to_apply_settings()

    def _try_to_apply_settings(self) -> None:
        """Apply changed settings; an error leaves the process running."""
        try:
            self._apply_settings()
        except Exception as error:
            self._part_failed(error)

    def _apply_settings(self) -> None:
        """Apply changed settings.

        Changes of the instance name, of the store's address and of the
        addresses to listen on need a restart.
        """
        new = self._reload()
        if new is None or new == self._settings:
            return
        kept = ('instance', 'callers', 'readiness', 'store', 'peer')
        kept_values = {name: getattr(self._settings, name) for name in kept}
        if any(getattr(new, name) != kept_values[name] for name in kept):
            self._log.warning('settings need a new process', kept=kept)
        new = dataclasses.replace(new, **kept_values)
        self._settings = self._context.settings = new
        self._context.budget.set_bounds(
            new.retry_ratio * self._policy.retry_share,
            new.retry_slack * self._policy.retry_share,
            new.retry_window_s,
        )
        self._context.quotas.set_bounds(
            new.quota_window_s,
            new.quota_overage,
            new.quota_slack,
            clock(),
        )
        self._log.info('settings in force')

    def _update_budget_share(self) -> None:
        """Divide the retry budget by the highest number of instances seen."""
        instances = len(self._context.members) + 1
        self._max_instances_seen = max(self._max_instances_seen, instances)
        self._context.budget.set_instances(self._max_instances_seen)


def _quota_bounds(
    settings: settings_module.GatewaySettings,
) -> quotas_module.QuotaBounds:
    """Return the bounds; without seeds, the instance is the only one."""
    return quotas_module.QuotaBounds(
        settings.quota_window_s,
        settings.quota_overage,
        settings.quota_slack,
        max(1, INSTANCES_PER_SEED * len(settings.seeds)),
    )
