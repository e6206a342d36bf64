"""What the handlers of requests share; built by the composition root."""

from collections.abc import Callable
import dataclasses
import random as random_module
from typing import Any

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _departures as departures_module
from primrosereel.gateway import _metrics as metrics_module
from primrosereel.gateway import _pool as pool_module
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _settings as settings
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _members as members_module
from primrosereel.routing import _model as model
from primrosereel.routing import _placement as placement
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _retry_budget as retry_budget
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module
from primrosereel.routing import _table as table_module

__all__ = ['Context', 'Exchange']

# More than any engine's memory holds.
WHOLE_RUNNER_TOKENS = 100_000_000
# Steps of a request that have a histogram each.
LATENCY_STEPS = ('queued_s', 'prefill_s', 'first_event_s')


@dataclasses.dataclass(slots=True)
class Context:
    """Tables, clock, adapters and counters of one process."""

    settings: settings.GatewaySettings
    clock: Callable[[], float]
    # The Unix millisecond of the process's start.
    incarnation: int
    random: random_module.Random
    dialect: ports.RequestDialect
    runners: runners.RunnerTable
    placement: placement.PlacementPolicy
    ledger: ledger_module.Ledger
    places: decode_places.DecodePlaces
    prefills: prefill_plan.PrefillPlan
    budget: retry_budget.RetryBudget
    members: members_module.Members
    shards: shards_module.Shards
    departures: departures_module.Departures
    pool: pool_module.ConnectionPool
    log: Any
    table: table_module.RoutingTable | None = None
    # Out of rotation, and, later in a stop, taking no more requests.
    draining: bool = False
    refusing: bool = False
    active: int = 0
    # Runners that change their role: the one they give up, and until when.
    reserved: dict[ids.RunnerId, tuple[states.Role, float]] = (
        dataclasses.field(default_factory=dict)
    )
    # Called when the own use of the engines changed.
    uses_changed: Callable[[], None] = lambda: None
    metrics: metrics_module.Metrics = dataclasses.field(
        default_factory=metrics_module.Metrics
    )

    def engine_uses(self) -> list[tuple[str, int, int, int]]:
        """Return runner, requests, tokens and tokens read, own ones only.

        A runner that was ordered to change its role counts as full.
        """
        uses: list[tuple[str, int, int, int]] = []
        for row in self.runners:
            if row.listing.role is states.Role.PLAIN:
                continue
            tokens = row.tokens
            if row.runner_id in self.reserved:
                tokens += WHOLE_RUNNER_TOKENS
            if row.in_flight or tokens:
                uses.append(
                    (
                        row.runner_id,
                        row.in_flight,
                        tokens,
                        row.local_prefill_tokens,
                    )
                )
        return uses

    def foreign_zones(self) -> set[ids.AvailabilityZone]:
        """Return the zones of other shards whose engines are in use here."""
        return {
            row.listing.availability_zone
            for row in self.runners
            if row.listing.role is not states.Role.PLAIN
            and row.in_flight
            and not self.runners.owned(row)
        }

    def reserve(self, runner: ids.RunnerId, until: float) -> None:
        """Keep all requests away from a runner until a time."""
        row = self.runners.get(runner)
        if row is None:
            return
        _, before = self.reserved.get(runner, (None, until))
        until = max(until, before)
        self.reserved[runner] = row.listing.role, until
        row.full_until = until
        self.uses_changed()

    def free_reservations(self, now: float) -> None:
        """Forget reservations of runners that have changed their role."""
        for runner, (role, until) in list(self.reserved.items()):
            row = self.runners.get(runner)
            switched = row is not None and row.listing.role is not role
            if now >= until or switched:
                del self.reserved[runner]
                self.uses_changed()

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.metrics.count(name)


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller on its way; ``ends_at`` on the clock."""

    context: Context
    request: callers.CallerRequest
    route: model.Route
    service: ids.ServiceId
    facts: model.RequestFacts
    ends_at: float
    # Runners that were sent the request and may have run it.
    attempts: int = 0
    # Seconds of the steps that were taken, for the log.
    steps: dict[str, float] = dataclasses.field(default_factory=dict)

    def note_step(self, name: str, began: float) -> None:
        """Keep how long a step took."""
        self.steps[name] = round(self.context.clock() - began, 4)

    def note_served(self, runner: ids.RunnerId, status: int) -> None:
        """Log and count an answer that came from a runner."""
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
            runner=runner,
            status=status,
            attempts=self.attempts,
            seconds=round(seconds, 4),
            **self.steps,
        )

    @property
    def engine(self) -> model.Engine | None:
        """The capacity of the service's engines, None without engines."""
        table = self.context.table
        service = table.services.get(self.service) if table else None
        return service.engine if service is not None else None

    @property
    def left_s(self) -> float:
        """The time left."""
        return self.ends_at - self.context.clock()

    def refusal(
        self,
        reason: states.RefusalReason,
        retry_after_s: float,
        detail: str = '',
    ) -> callers.Reply:
        """Return the answer to a request that did not and will not run."""
        self._note(reason, 503, detail, round(retry_after_s, 2))
        return callers.Reply(
            503, headers=[(b'Retry-After', b'%.2f' % retry_after_s)]
        )

    def failure(
        self, reason: states.RefusalReason, status: int
    ) -> callers.Reply:
        """Return the answer to a request that may have run."""
        self._note(reason, status)
        return callers.Reply(status)

    def _note(
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
            reason=reason.value,
            status=status,
            detail=detail,
            retry_after_s=retry_after_s,
            attempts=self.attempts,
            left_s=round(self.left_s, 3),
            version=self.context.table.version if self.context.table else 0,
        )

    def note_retry(
        self, reason: states.RetryReason, runner: runners.Runner, why: str
    ) -> None:
        """Log and count that an attempt failed and why."""
        self.context.count(f'retry.{reason.value}')
        now = self.context.clock()
        self.context.log.info(
            'attempt failed',
            request=self.facts.request_id,
            runner=runner.runner_id,
            reason=reason.value,
            detail=why,
            in_flight=runner.in_flight,
            tokens=runner.tokens,
            peers=self.context.ledger.peer_use(runner.runner_id, now),
            report=runner.report,
            report_age_s=_age(now - runner.reported_at),
            left_s=round(self.left_s, 3),
        )


def _age(seconds: float) -> float | None:
    return round(seconds, 3) if seconds < 1e6 else None
