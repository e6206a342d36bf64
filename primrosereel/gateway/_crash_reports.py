"""Finds out which prompts crash runners, and refuses them.

The decisions are made in ``routing._prompt_quarantine``; this module observes
the connections to runners, writes the log and refuses requests.
"""

from collections.abc import Iterable

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _admission as admission
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _prompt_quarantine as prompt_quarantine
from primrosereel.routing import _runners as runners

__all__ = ['CrashReports']


class CrashReports:
    """What one instance observes of prompts that crash runners.

    Example::

        reports.check(exchange)  # raises admission.Refused
        ...
        await reports.observe_lost_stream(exchange, runner, 0)
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._quarantine = context.quarantine
        # The quarantined parts that the log has named.
        self._logged: set[ids.PromptPartId] = set()

    def check(self, exchange: context_module.Exchange) -> None:
        """Raise admission.Refused for a prompt with a quarantined part."""
        now = self._context.clock()
        parts = exchange.facts.shared_parts
        part = self._quarantine.blocking_part(parts, now)
        if part is None:
            return
        crashes = self._quarantine.crash_count(part)
        raise admission.Refused(
            states.RefusalReason.PROMPT_QUARANTINED,
            self._quarantine.remaining_s(part, now),
            f'part {part} of {", ".join(parts)}: {crashes} crashes',
        )

    async def observe_lost_stream(
        self,
        exchange: context_module.Exchange,
        runner: runners.Runner,
        events_received: int,
    ) -> None:
        """Suspect a prompt if its runner crashed before it had answered.

        A runner that accepts connections has not crashed: only this one
        connection was lost.
        """
        parts = exchange.facts.shared_parts
        if not parts or events_received >= prompt_quarantine.PROVEN_EVENTS:
            return
        crash = prompt_quarantine.Crash(
            runner.runner_id, runner.listing.born_ms
        )
        if not await upstream.refuses_connections(runner):
            return
        now = self._context.clock()
        if not self._quarantine.observe_crash(parts, crash, now):
            return
        self._context.count('prompts.crash_suspected')
        self._context.log.info(
            'prompt suspected of a crash',
            request=exchange.facts.request_id,
            runner=crash.runner,
            born_ms=crash.born_ms,
            crashes={p: self._quarantine.crash_count(p) for p in parts},
        )
        self._log_changes(now)
        self._context.crash_evidence_changed()

    def observe_answer(self, exchange: context_module.Exchange) -> None:
        """Clear the parts of a prompt that a runner answered."""
        now = self._context.clock()
        cleared = self._quarantine.observe_answer(
            exchange.facts.shared_parts, now
        )
        if not cleared:
            return
        self._context.log.info(
            'prompt parts cleared',
            request=exchange.facts.request_id,
            shared_parts=cleared,
        )
        self._log_changes(now)
        self._context.crash_evidence_changed()

    def receive(
        self, evidence: Iterable[prompt_quarantine.PartEvidence]
    ) -> None:
        """Add evidence that a peer sent."""
        now = self._context.clock()
        self._quarantine.merge(evidence, now)
        self._log_changes(now)

    def _log_changes(self, now: float) -> None:
        quarantined = self._quarantine.quarantined(now)
        for part in quarantined - self._logged:
            self._context.count('prompts.quarantined')
            self._context.log.warning(
                'prompt part quarantined',
                part=part,
                crashes=self._quarantine.crash_count(part),
                seconds=round(self._quarantine.remaining_s(part, now), 1),
            )
        for part in self._logged - quarantined:
            self._context.log.info('prompt part released', part=part)
        self._logged = quarantined
