"""Counts a prompt at the decode runner that prefills it itself."""

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _runners as runners

__all__ = ['LocalPrefill']


class LocalPrefill:
    """The prefill of one attempt at its own decode runner.

    Example::

        local_prefill.begin(runner)
        # The runner has sent its first event.
        local_prefill.end()
    """

    def __init__(self, exchange: context_module.Exchange) -> None:
        self._exchange = exchange
        self._runner: runners.Runner | None = None

    def begin(self, runner: runners.Runner) -> None:
        """Count the prompt at a runner."""
        self.end()
        runner.local_prefill_tokens += self._exchange.facts.prompt_tokens
        self._runner = runner
        self._exchange.context.uses_changed()

    def end(self) -> None:
        """Do not count the prompt any more."""
        runner, self._runner = self._runner, None
        if runner is not None:
            runner.local_prefill_tokens -= self._exchange.facts.prompt_tokens
            self._exchange.context.uses_changed()
