"""What follows from the rejections of a generation by decode runners."""

from primrosereel import _states as states
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _held_place as held_place
from primrosereel.gateway import _prompt as prompt_module
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.gateway import _upstream as upstream
from primrosereel.routing import _runners as runners

__all__ = ['Rejections']

Retry = states.RetryReason

# An idle runner that rejects a request without a KV handle is assumed to be
# changing its role, and is avoided for this share of the time that a change
# takes. The order may have come from an instance that no longer runs.
SWITCH_AVOID_SHARE = 0.35
# Decode runners that may reject a request before it is refused.
MAX_REJECTIONS = 4


class Rejections:
    """The rejections of one request."""

    def __init__(
        self,
        exchange: context_module.Exchange,
        place: held_place.HeldPlace,
        prompt: prompt_module.Prompt,
    ) -> None:
        self._exchange = exchange
        self._context = exchange.context
        self._place = place
        self._prompt = prompt
        self._count = 0

    @property
    def exhausted(self) -> bool:
        """Whether the request is refused instead of being sent again."""
        return self._count >= MAX_REJECTIONS

    def handle(
        self,
        runner: runners.Runner,
        with_handle: bool,
        rejected: upstream.Rejected,
    ) -> bool:
        """Record a rejection; return whether the retry budget allows it."""
        exchange = self._exchange
        now = self._context.clock()
        backs_off = runner_signs.backs_off(self._context, runner)
        self._count += 1
        if rejected.head.status == upstream.MISDIRECTED:
            reason = Retry.RUNNER_REPLACED
            self._place.exclude(runner)
        elif with_handle and not backs_off and self._handle_is_gone(runner):
            reason = Retry.KV_CACHE_GONE
            self._prompt.invalidate_handle()
        else:
            reason = Retry.ENGINE_FULL
            runner.observe_rejection(now)
            self._place.give_up()
            if not with_handle and not backs_off and runner.idle:
                self._avoid_switching(runner, now)
        exchange.record_failed_attempt(reason, runner, str(rejected))
        return self._context.budget.try_spend(exchange.service, now)

    def _handle_is_gone(self, runner: runners.Runner) -> bool:
        """Tell whether a runner rejected a handle and not the request.

        A runner that has been full or is nearly full rejects the request; the
        handle can still be used elsewhere.
        """
        return runner.rejections == 0 and self._place.has_room_for_another(
            runner
        )

    def _avoid_switching(self, runner: runners.Runner, now: float) -> None:
        """Avoid an idle runner that rejected a request without a handle."""
        engine = self._exchange.engine
        avoid_s = SWITCH_AVOID_SHARE * engine.switch_s if engine else 0.0
        self._context.count('runners.switching')
        self._context.log.info(
            'runner taken to change its role',
            runner=runner.runner_id,
            request=self._exchange.facts.request_id,
            report=runner.report,
            avoided_s=round(avoid_s, 2),
        )
        self._context.avoid_runner(runner.runner_id, now + avoid_s)
