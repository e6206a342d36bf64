"""State that the request handlers share; built by the composition root."""

from collections.abc import Callable
import dataclasses
import math
import random as random_module
from typing import Any

import anyio.abc

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _caller_messages as caller_messages
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _causes as causes
from primrosereel.gateway import _leave_callbacks as leave_callbacks_module
from primrosereel.gateway import _metrics as metrics_module
from primrosereel.gateway import _pool as pool_module
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _response_memory as response_memory_module
from primrosereel.gateway import _settings as settings
from primrosereel.gateway import _time_limits as time_limits_module
from primrosereel.gateway import _unsent_places as unsent_places_module
from primrosereel.routing import _availability as availability
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _decode_speed as decode_speed
from primrosereel.routing import _demand as demand_module
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _members as members_module
from primrosereel.routing import _model as model
from primrosereel.routing import _peer_versions as peer_versions_module
from primrosereel.routing import _placement as placement
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _quotas as quotas_module
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module
from primrosereel.routing import _shared_watch as shared_watch
from primrosereel.routing import _table as table_module
from primrosereel.routing import blame

__all__ = ['Context', 'Exchange']

# More tokens than the memory of any engine holds, so that a runner with this
# use counts as full.
OVER_CAPACITY_TOKENS = 100_000_000
# Steps of a request that have their own histogram.
LATENCY_STEPS = ('queued_s', 'prefill_s', 'first_event_s')


@dataclasses.dataclass(slots=True)
class Context:
    """Tables, clock, adapters and counters of one process."""

    settings: settings.GatewaySettings
    clock: Callable[[], float]
    # When the process started, in Unix milliseconds.
    incarnation: int
    random: random_module.Random
    dialect: ports.RequestDialect
    runners: runners.RunnerTable
    placement: placement.PlacementPolicy
    ledger: ledger_module.Ledger
    places: decode_places.DecodePlaces
    prefills: prefill_plan.PrefillPlan
    runner_speeds: runner_speeds.RunnerSpeeds
    decode_speed: decode_speed.DecodeSpeed
    # The costs of plain calls in seconds, and the outputs of generations in
    # tokens.
    call_costs: request_costs.RequestCosts
    output_costs: request_costs.RequestCosts
    budget: retry_budget.RetryBudget
    quotas: quotas_module.Quotas
    members: members_module.Members
    shards: shards_module.Shards
    leave_callbacks: leave_callbacks_module.LeaveCallbacks
    unsent_places: unsent_places_module.UnsentPlaces
    pool: pool_module.ConnectionPool
    response_memory: response_memory_module.ResponseMemory
    log: Any
    quarantine: blame.Quarantine
    time_limits: time_limits_module.TimeLimits
    demand: demand_module.DemandMeter = dataclasses.field(
        default_factory=demand_module.DemandMeter
    )
    peer_versions: peer_versions_module.PeerVersions = dataclasses.field(
        default_factory=peer_versions_module.PeerVersions
    )
    table: table_module.RoutingTable | None = None
    # When the table came into force.
    table_since: float = -math.inf
    # When the last call began whose answer told the store's state.
    version_confirmed_at: float = -math.inf
    # A stop first sets ``draining`` (not ready, requests are still served),
    # then ``refusing`` (new requests are refused).
    draining: bool = False
    refusing: bool = False
    active: int = 0
    # Runners that are avoided while they change their role: the role that
    # they give up, and until when they are avoided.
    avoided_runners: dict[ids.RunnerId, tuple[states.Role, float]] = (
        dataclasses.field(default_factory=dict)
    )
    # Called after each change of a runner's availability.
    availability_changed: Callable[[availability.Transition], None] = (
        lambda _: None
    )
    # When the shard was last told what is used and what waits here.
    shard_told_at: float = -math.inf
    # Called when this instance's use of the engines changed.
    uses_changed: Callable[[], None] = lambda: None
    # Returns how late the event loop ran lately, in seconds.
    loop_late_s: Callable[[], float] = lambda: 0.0
    # Called when peers are to be told what was spent of a quota.
    quota_spent: Callable[[], None] = lambda: None
    # Called when peers should be told which requests crash runners.
    crash_evidence_changed: Callable[[], None] = lambda: None
    # Called with what this instance has read from the store.
    send_store_notice: Callable[[shared_watch.Notice | None], None] = (
        lambda _: None
    )
    metrics: metrics_module.Metrics = dataclasses.field(
        default_factory=metrics_module.Metrics
    )

    def engine_uses(self) -> list[tuple[str, int, int, int]]:
        """Return this instance's use of each engine.

        An entry holds the runner, the requests, the KV cache tokens and the
        prompt tokens that a decode runner prefills itself. A runner that is
        avoided during a change of role counts as full.
        """
        uses: list[tuple[str, int, int, int]] = []
        for runner in self.runners:
            if runner.listing.role is states.Role.PLAIN:
                continue
            tokens = runner.tokens
            if runner.runner_id in self.avoided_runners:
                tokens += OVER_CAPACITY_TOKENS
            if runner.in_flight or tokens:
                uses.append(
                    (
                        runner.runner_id,
                        runner.in_flight,
                        tokens,
                        runner.local_prefill_tokens,
                    )
                )
        return uses

    def other_shard_zones(self) -> set[ids.AvailabilityZone]:
        """Return the zones of other shards whose engines are used here."""
        return {
            runner.listing.availability_zone
            for runner in self.runners
            if runner.listing.role is not states.Role.PLAIN
            and runner.in_flight
            and not self.runners.owned(runner)
        }

    def avoid_runner(self, runner_id: ids.RunnerId, until: float) -> None:
        """Send a runner no requests until a time; peers do the same."""
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        _, previous_until = self.avoided_runners.get(runner_id, (None, until))
        until = max(until, previous_until)
        self.avoided_runners[runner_id] = runner.listing.role, until
        runner.full_until = until
        self.uses_changed()

    def stop_avoiding_runner(self, runner_id: ids.RunnerId) -> None:
        """Send a runner requests again that did not accept an order."""
        self.avoided_runners.pop(runner_id, None)
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.full_until = -math.inf
        self.uses_changed()

    def expire_avoided_runners(self, now: float) -> None:
        """Stop avoiding runners that have changed role or reached the time."""
        for runner_id, (role, until) in list(self.avoided_runners.items()):
            runner = self.runners.get(runner_id)
            switched = runner is not None and runner.listing.role is not role
            if now >= until or switched:
                del self.avoided_runners[runner_id]
                self.uses_changed()

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 without one."""
        return self.table.version if self.table else 0

    @property
    def contended(self) -> bool:
        """Whether callers may compete for the memory of decode runners.

        The settings say so, or the fleet is divided: each shard then has few
        runners, which its bursts fill, and each instance sees few requests.
        """
        return self.settings.high_contention or self.shards.divided

    @property
    def unconfirmed_s(self) -> float:
        """For how long keys have not been accepted; 0 while they are.

        With strict revocation, the store must have confirmed the version
        lately, as a newer one may have withdrawn any key.
        """
        if not self.settings.strict_revocation:
            return 0.0
        since = self.version_confirmed_at + self.settings.revoke_s
        return max(0.0, self.clock() - since)

    @property
    def caller_limits(self) -> model.CallerLimits:
        """The limits of callers' requests that are in force."""
        return self.table.limits if self.table else model.CallerLimits()

    @property
    def version_age_s(self) -> float | None:
        """For how long the version has been in force; None without one."""
        return _age_s(self.clock() - self.table_since)

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.metrics.count(name)


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller in progress."""

    context: Context
    request: callers.CallerRequest
    # The configuration version that the request began with.
    table: table_module.RoutingTable
    # None without client accounts, and for other callers of public routes.
    client_account: client_accounts.ClientAccount | None
    route: model.Route
    service: ids.ServiceId
    facts: model.RequestFacts
    time_limit: time_limits_module.TimeLimit
    # The task group of the request; its tasks end with the request.
    tasks: anyio.abc.TaskGroup
    # The number of runners that were sent the request and may have run it.
    attempts: int = 0
    # The duration in seconds of each finished step, for the log.
    steps: dict[str, float] = dataclasses.field(default_factory=dict)
    # Counts the bodies that are kept until the caller has its answer.
    kept_responses: response_memory_module.Reservation = dataclasses.field(
        init=False
    )
    _cause: blame.Cause | None = dataclasses.field(default=None, init=False)
    # The sends of which no runner has stated that the request did not run.
    _possible_runs: int = dataclasses.field(default=0, init=False)

    def __post_init__(self) -> None:
        self.kept_responses = self.context.response_memory.reservation()

    @property
    def cause(self) -> blame.Cause:
        """The request as a cause of crashes; hashed when it is needed."""
        if self._cause is None:
            self._cause = causes.request_cause(
                self.request,
                self.route,
                self.service,
                self.facts.shared_parts,
                self._caller_identity(),
            )
        return self._cause

    def _caller_identity(self) -> list[bytes]:
        """Return what tells callers apart for the causes of crashes.

        Peers are told a hash of it. Keys of client accounts are not part of
        it, as no trace of them may leave the process.
        """
        if self.table.client_accounts is None:
            return self.context.dialect.authorization(self.request.headers)
        return [self.account_name.encode()] if self.account_name else []

    @property
    def account_name(self) -> ids.ClientAccountId | None:
        """The name of the client account; None without one."""
        account = self.client_account
        return account.name if account is not None else None

    @property
    def priority(self) -> priorities.RequestPriority:
        """The priority by client account and route."""
        return self.table.priority(self.route, self.client_account)

    @property
    def part_causes(self) -> tuple[blame.Cause, ...]:
        """The shared parts of a generation's prompt as causes of crashes."""
        if self.route.kind is not model.RouteKind.STREAMING:
            return ()
        return tuple(map(blame.part_cause, self.facts.shared_parts))

    @property
    def causes(self) -> tuple[blame.Cause, ...]:
        """All in the request that a runner may have crashed under."""
        return *self.part_causes, self.cause

    @property
    def may_have_run(self) -> bool:
        """Whether a runner may have run the request, or may still do so."""
        return self._possible_runs > 0

    def record_sent(self) -> None:
        """Record that a runner is about to be sent the request."""
        self._possible_runs += 1

    def record_not_run(self) -> None:
        """Record that a runner which was sent the request did not run it."""
        self._possible_runs -= 1

    @property
    def call_key(self) -> request_costs.CostKey:
        """The kind of a plain call."""
        request = self.request
        return request_costs.call_key(
            self.route.name, request.method, request.target
        )

    @property
    def output_key(self) -> request_costs.CostKey:
        """The kind of a generation by its output."""
        return request_costs.output_key(
            self.route.name,
            self.facts.prompt_tokens,
            self.facts.length_hint,
            self.account_name or '',
        )

    def record_internal_error(self, error: Exception) -> None:
        """Log and count an unexpected error."""
        self.context.count('internal_errors')
        self.context.log.error(
            'internal error',
            request=self.facts.request_id,
            detail=repr(error),
            exc_info=error,
        )

    def record_step(self, name: str, started_at: float) -> None:
        """Record how long a step took."""
        self.steps[name] = round(self.context.clock() - started_at, 4)

    def record_served(self, runner: ids.RunnerId, status: int) -> None:
        """Log and count a response that came from a runner."""
        context = self.context
        context.count('served')
        seconds = context.clock() - self.request.received_at
        kind = self.route.kind.value
        context.metrics.observe(f'served_{kind}_seconds', seconds)
        for step in LATENCY_STEPS:
            if step in self.steps:
                name = step.removesuffix('_s') + '_seconds'
                context.metrics.observe(name, self.steps[step])
        context.log.info(
            'served',
            request=self.facts.request_id,
            route=self.route.name,
            account=self.account_name,
            runner=runner,
            status=status,
            attempts=self.attempts,
            seconds=round(seconds, 4),
            **self.steps,
        )

    @property
    def engine(self) -> model.Engine | None:
        """The capacity of the service's engines; None if it has none."""
        service = self.table.services.get(self.service)
        return service.engine if service is not None else None

    @property
    def remaining_s(self) -> float:
        """The time left until the request must end."""
        return self.time_limit.remaining_s

    def refusal(
        self,
        reason: states.RefusalReason,
        retry_after_s: float,
        detail: str = '',
        status: int = 503,
    ) -> callers.Reply:
        """Return the reply to a request that did not and will not run."""
        self._log_refusal(reason, status, detail, round(retry_after_s, 2))
        return callers.Reply(
            status, headers=[caller_messages.retry_after(retry_after_s)]
        )

    def failure(
        self, reason: states.RefusalReason, status: int
    ) -> callers.Reply:
        """Return the reply to a request that may have run."""
        self._log_refusal(reason, status)
        return callers.Reply(status)

    def _log_refusal(
        self,
        reason: states.RefusalReason,
        status: int,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        self.context.count(f'refused.{reason.value}')
        self.context.log.info(
            'refused',
            request=self.facts.request_id,
            service=self.service,
            account=self.account_name,
            reason=reason.value,
            status=status,
            detail=detail,
            retry_after_s=retry_after_s,
            attempts=self.attempts,
            left_s=round(self.remaining_s, 3),
            version=self.table.version,
            version_age_s=self.context.version_age_s,
        )

    def record_failed_attempt(
        self,
        reason: states.RetryReason,
        runner: runners.Runner,
        detail: str,
        events_received: int | None = None,
    ) -> None:
        """Log and count a failed attempt with its reason.

        ``events_received`` is the number of new events that the runner sent;
        None for attempts that are no stream.
        """
        self.context.count(f'retry.{reason.value}')
        now = self.context.clock()
        self.context.log.info(
            'attempt failed',
            request=self.facts.request_id,
            account=self.account_name,
            runner=runner.runner_id,
            reason=reason.value,
            detail=detail,
            in_flight=runner.in_flight,
            tokens=runner.tokens,
            peers=self.context.ledger.peer_use(runner.runner_id, now),
            report=runner.report,
            report_age_s=_age_s(now - runner.reported_at),
            left_s=round(self.remaining_s, 3),
            shared_parts=self.facts.shared_parts,
            events_received=events_received,
            born_ms=runner.listing.born_ms,
            request_key=self.cause.key,
        )


def _age_s(seconds: float) -> float | None:
    return round(seconds, 3) if seconds < 1e6 else None
