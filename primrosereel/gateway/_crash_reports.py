"""Finds out which requests crash runners, and refuses them.

The decisions are made in ``routing.blame``; this module observes the
connections to runners, writes the log, refuses requests and takes back those
that wait at a runner.
"""

from collections.abc import Iterable
from typing import Protocol

from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _ended_runs as ended_runs
from primrosereel.routing import _runners as runners
from primrosereel.routing import blame

__all__ = ['Attempt', 'CrashReports']

Kind = blame.CauseKind
Reason = states.RefusalReason

REASONS = {
    Kind.PROMPT_PART: Reason.PROMPT_QUARANTINED,
    Kind.GENERATION: Reason.REQUEST_QUARANTINED,
    Kind.PLAIN_CALL: Reason.REQUEST_QUARANTINED,
}


class Cancellable(Protocol):
    """A scope, with or without a deadline."""

    def cancel(self) -> None:
        """Cancel the block of the scope."""


class Attempt:
    """A request that was sent to a runner, which has not answered yet.

    ``scope``, which the request runs in, is cancelled when it is taken back.
    """

    __slots__ = ('_attempts', '_exchange', '_scope', '_taken_back')

    def __init__(
        self,
        attempts: set['Attempt'],
        exchange: context_module.Exchange,
        scope: Cancellable,
    ) -> None:
        self._attempts = attempts
        self._exchange = exchange
        self._scope = scope
        self._taken_back = False

    @property
    def exchange(self) -> context_module.Exchange:
        """The request."""
        return self._exchange

    @property
    def taken_back(self) -> bool:
        """Whether the request was taken back from the runner."""
        return self._taken_back

    def __enter__(self) -> 'Attempt':
        self._attempts.add(self)
        return self

    def __exit__(self, *_: object) -> None:
        self.record_answer()

    def record_answer(self) -> None:
        """Record that the runner has answered; keep the request there."""
        self._attempts.discard(self)

    def take_back(self) -> None:
        """Cancel the request at the runner."""
        self._taken_back = True
        self._attempts.discard(self)
        self._scope.cancel()


class CrashReports:
    """What one instance observes of requests that crash runners.

    Example::

        reports.check(exchange)  # raises admission.Refused
        with scope, reports.watched_attempt(exchange, scope) as attempt:
            ...
            attempt.record_answer()
        ...
        await reports.observe_lost_request(exchange, runner, sent_at)
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._quarantine = context.quarantine
        self._ended_runs = ended_runs.EndedRuns(context)
        self._attempts: set[Attempt] = set()
        # The quarantined causes that the log has named.
        self._logged: set[blame.Cause] = set()

    def check(self, exchange: context_module.Exchange) -> None:
        """Raise admission.Refused for a request with a quarantined cause."""
        now = self._context.clock()
        cause = self._blocking_cause(exchange, now)
        if cause is None:
            return
        crashes = self._quarantine.crash_count(cause)
        detail = f'{cause.kind.value} {cause.key}: {crashes} crashes'
        if cause.kind is Kind.PROMPT_PART:
            parts = ', '.join(exchange.facts.shared_parts)
            detail = f'part {cause.key} of {parts}: {crashes} crashes'
        raise admission.Refused(
            REASONS[cause.kind],
            self._quarantine.remaining_s(cause, now),
            detail,
        )

    def _blocking_cause(
        self, exchange: context_module.Exchange, now: float
    ) -> blame.Cause | None:
        # A request is hashed only if there is something to compare it with.
        if not self._quarantine.has_suspects:
            return None
        return self._quarantine.blocking_cause(exchange.causes, now)

    def watched_attempt(
        self, exchange: context_module.Exchange, scope: Cancellable
    ) -> Attempt:
        """Return an attempt that is watched while its block runs.

        ``scope`` is cancelled if the request is quarantined meanwhile, unless
        the runner has answered.
        """
        return Attempt(self._attempts, exchange, scope)

    async def observe_lost_request(
        self,
        exchange: context_module.Exchange,
        runner: runners.Runner,
        sent_at: float,
        events_received: int = 0,
    ) -> None:
        """Suspect a request if its runner crashed before it had answered."""
        if events_received >= blame.PROVEN_EVENTS:
            return
        crash = blame.Crash(runner.runner_id, runner.listing.born_ms)
        if not await self._ended_runs.has_crashed(runner, sent_at):
            return
        now = self._context.clock()
        suspected = exchange.causes
        if not self._quarantine.observe_crash(suspected, crash, sent_at, now):
            return
        self._context.count(f'crash_suspected.{exchange.cause.kind.value}')
        self._context.log.info(
            'request suspected of a crash',
            request=exchange.facts.request_id,
            runner=crash.runner,
            born_ms=crash.born_ms,
            crashes={
                cause.key: self._quarantine.crash_count(cause)
                for cause in suspected
            },
        )
        self._apply_changes(now)
        self._context.crash_evidence_changed()

    def observe_answer(self, exchange: context_module.Exchange) -> None:
        """Clear the causes of a request that a runner answered."""
        answered = exchange.part_causes
        if self._quarantine.has_suspects:
            answered = exchange.causes
        if not answered:
            return
        now = self._context.clock()
        cleared = self._quarantine.observe_answer(answered, now)
        if not cleared:
            return
        self._context.log.info(
            'causes cleared',
            request=exchange.facts.request_id,
            causes=[cause.key for cause in cleared],
        )
        self._apply_changes(now)
        self._context.crash_evidence_changed()

    def receive(self, evidence: Iterable[blame.Evidence]) -> None:
        """Add evidence that a peer sent."""
        now = self._context.clock()
        self._quarantine.merge(evidence, now)
        self._apply_changes(now)

    def _apply_changes(self, now: float) -> None:
        """Log which causes are quarantined, and take requests back."""
        quarantined = self._quarantine.quarantined(now)
        if quarantined == self._logged:
            return
        for cause in quarantined - self._logged:
            self._context.count(f'quarantined.{cause.kind.value}')
            self._context.log.warning(
                'cause quarantined',
                kind=cause.kind.value,
                key=cause.key,
                crashes=self._quarantine.crash_count(cause),
                seconds=round(self._quarantine.remaining_s(cause, now), 1),
            )
        for cause in self._logged - quarantined:
            self._context.log.info(
                'cause released', kind=cause.kind.value, key=cause.key
            )
        self._logged = quarantined
        self._take_back(now)

    def _take_back(self, now: float) -> None:
        """Take back the requests that wait at a runner and are blocked."""
        for attempt in list(self._attempts):
            if self._blocking_cause(attempt.exchange, now) is not None:
                self._context.count('requests.taken_back')
                self._context.log.info(
                    'request taken back',
                    request=attempt.exchange.facts.request_id,
                )
                attempt.take_back()
