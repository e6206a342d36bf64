"""How much memory of decode runners is in use, at all instances."""

from primrosereel import _ids as ids
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners

__all__ = ['DecodeMemory']

# Share of an engine's KV cache memory that is reserved at most.
USABLE_KV_SHARE = 0.97
# Assumed size of a request of which only the presence is known.
UNSEEN_REQUEST_TOKENS = 4000


class DecodeMemory:
    """Estimates the use of decode runners from own and peers' counts.

    Example::

        memory = DecodeMemory(ledger)
        memory.set_services(services)
        memory.use(runner, now).tokens / memory.capacity(runner)
    """

    def __init__(self, ledger: ledger_module.Ledger) -> None:
        self._ledger = ledger
        self._engines: dict[ids.ServiceId, model.Engine] = {}

    @property
    def services(self) -> list[ids.ServiceId]:
        """The services whose runners are engines."""
        return list(self._engines)

    def set_services(
        self, services: dict[ids.ServiceId, model.Service]
    ) -> None:
        """Apply the engine capacities of a new configuration."""
        self._engines = {
            name: service.engine
            for name, service in services.items()
            if service.engine is not None
        }

    def has_room(
        self, runner: runners.Runner, tokens: int, now: float
    ) -> bool:
        """Tell whether a runner has memory for more tokens than are in use."""
        return self.use(runner, now).tokens + tokens <= self.capacity(runner)

    def fits(self, runner: runners.Runner, tokens: int, now: float) -> bool:
        """Tell whether a runner has a place for a request of a size."""
        if now < runner.full_until:
            return False
        use = self.use(runner, now)
        if use.requests >= runner.listing.slots:
            return False
        # An idle runner is tried with a request that is larger than its
        # memory. One without requests that has tokens in use is avoided.
        idle = not use.requests and not use.tokens
        return idle or use.tokens + tokens <= self.capacity(runner)

    def use(self, runner: runners.Runner, now: float) -> ledger_module.Use:
        """Return the estimated use of a runner by all instances."""
        others = self._ledger.peer_use(runner.runner_id, now)
        use = ledger_module.Use(
            runner.in_flight + others.requests,
            runner.tokens + others.tokens,
            runner.local_prefill_tokens + others.local_prefill_tokens,
        )
        missing = self._ledger.missing_count(now)
        return (
            self._with_unseen_instances(runner, use, missing, now)
            if missing
            else use
        )

    def _with_unseen_instances(
        self,
        runner: runners.Runner,
        use: ledger_module.Use,
        missing: int,
        now: float,
    ) -> ledger_module.Use:
        """Add the estimated use of instances that went missing.

        The runner's own load report counts, with a weight that decays with
        its age. If more instances are missing than visible, each missing one
        is assumed to use as much as a visible one, so that every side of a
        partition keeps to its share.
        """
        requests, tokens, local_prefill_tokens = use
        visible = self._ledger.peer_count(now) + 1
        mean_tokens = tokens / requests if requests else UNSEEN_REQUEST_TOKENS
        unseen = max(
            0.0, runner.in_flight + runner.peer_requests_now(now) - requests
        )
        if missing > visible:
            unseen = max(unseen, requests * missing / visible)
        return ledger_module.Use(
            requests + round(unseen),
            tokens + int(unseen * mean_tokens),
            local_prefill_tokens,
        )

    def capacity(self, runner: runners.Runner) -> float:
        """Return the tokens that may be reserved at a runner."""
        engine = self._engines.get(runner.listing.service)
        if engine is None or engine.kv_tokens <= 0:
            return float('inf')
        return USABLE_KV_SHARE * engine.kv_tokens
