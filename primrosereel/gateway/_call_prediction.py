"""What one attempt of a plain call is expected to take, and what it took."""

from collections.abc import Iterator
import contextlib

from primrosereel.gateway import _context as context_module
from primrosereel.routing import _expected_work as expected_work
from primrosereel.routing import _model as model
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _runners as runners

__all__ = ['CallPrediction']


class CallPrediction:
    """The inputs of a decision, and how they compare with the answer.

    Example::

        prediction = CallPrediction(exchange, key, runner)
        with prediction.in_progress():
            report, seconds = await call(runner)
        prediction.compare(report, seconds)
    """

    def __init__(
        self,
        exchange: context_module.Exchange,
        key: request_costs.CostKey,
        runner: runners.Runner,
    ) -> None:
        context = exchange.context
        now = context.clock()
        self._exchange = exchange
        self._key = key
        self._runner = runner
        self._cost = cost = context.call_costs.expected(key, now)
        self._requests = runner.estimated_requests(now)
        self._slowness = runner.slowness
        self._expected_s = expected_work.expected_call_s(
            runner, cost, cost.mean, now
        )
        self._has_free_slot = expected_work.has_free_slot(runner, now)
        self._started_at = now

    @contextlib.contextmanager
    def in_progress(self) -> Iterator[None]:
        """Count the call as work at its runner while the block runs."""
        call = request_costs.CallInProgress(self._started_at, self._cost)
        self._runner.calls.append(call)
        try:
            yield
        finally:
            self._runner.calls.remove(call)

    def compare(self, report: model.LoadReport | None, seconds: float) -> None:
        """Record the time of the answer beside the expected one."""
        exchange = self._exchange
        context = exchange.context
        if self._has_free_slot and not (report and report.waiting):
            expected_work.observe_call(
                context.call_costs,
                context.runner_speeds,
                self._runner,
                self._key,
                seconds,
                context.clock(),
            )
        kind = exchange.route.kind.value
        context.metrics.observe(f'predicted_{kind}_seconds', self._expected_s)
        context.metrics.observe(f'answered_{kind}_seconds', seconds)
        exchange.steps.update(
            expected_s=round(self._expected_s, 4),
            cost_s=round(self._cost.mean, 4),
            cost_samples=round(self._cost.samples),
            slowness=round(self._slowness, 2),
            requests=round(self._requests, 1),
        )
