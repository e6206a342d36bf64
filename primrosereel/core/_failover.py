"""Retries requests on other runners after an upstream failed."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _attempt_cleanup as attempt_cleanup
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _grants as grants
from primrosereel.core import _messages as messages
from primrosereel.core import _retry_budget as retry_budget

__all__ = [
    'on_prefill_failed',
    'on_prefill_timeout',
    'place_again',
    'take_retry',
]

Error = states.UpstreamError
Retry = states.RetryReason
Refusal = states.RefusalReason

PREFILL_REASONS = {
    Error.CONNECT: Retry.CONNECT_FAILED,
    Error.FULL: Retry.ENGINE_FULL,
}
TIMEOUT_REASONS = frozenset((Retry.STREAM_SILENT,))


def take_retry(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    reason: states.RetryReason,
    now: float,
    detail: str,
) -> bool:
    """Take one retry from the budget; without one, end the request."""
    entry.world.explain(request.id, f'{reason.value}: {detail}')
    if request.retries >= retry_budget.MAX_RETRIES_PER_REQUEST:
        refusal = (
            Refusal.UPSTREAM_TIMEOUT
            if reason in TIMEOUT_REASONS
            else Refusal.UPSTREAM_FAILED
        )
        attempt_cleanup.fail_request(entry, request, refusal, now, detail)
        return False
    if not entry.world.retry_budget.take(now):
        attempt_cleanup.fail_request(
            entry, request, Refusal.RETRY_BUDGET, now, detail
        )
        return False
    entry.world.count_retry(reason)
    return True


def place_again(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    reason: states.RetryReason,
    now: float,
    detail: str,
    failed: ids.RunnerId | None = None,
) -> None:
    """Abandon the attempt and ask for other places.

    A KV cache that is still exported is decoded elsewhere. A request whose
    caller has received tokens may wait as long as a new request.
    """
    if not take_retry(entry, request, reason, now, detail):
        return
    request.retries += 1
    keep_kv = request.prefill is not None and request.prefill.is_exported(now)
    attempt_cleanup.abandon_attempt(entry, request, now, keep_kv)
    if failed is not None and failed not in request.exclude:
        request.exclude += (failed,)
    if request.sent_tokens:
        request.deadline = now + request.service.max_wait_s
    grants.request_places(entry, request, now)


def on_prefill_failed(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    failure: messages.PrefillFailed,
    now: float,
) -> None:
    """Run the prefill on another runner."""
    prefill = request.prefill
    assert prefill is not None
    if failure.ran is states.Ran.NOT_RUN:
        request.may_have_run.discard(request.attempt)
        request.holds.discard(request.hold(failure.runner))
        prefill.tokens = 0
    place_again(
        entry,
        request,
        PREFILL_REASONS.get(failure.error, Retry.PREFILL_FAILED),
        now,
        f'prefill on {failure.runner}: {failure.error.value}',
        failure.runner,
    )


def on_prefill_timeout(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Cancel a prefill that takes too long and run it elsewhere."""
    assert request.prefill is not None
    runner = request.prefill.runner
    detail = f'prefill on {runner}: no answer in time'
    place_again(entry, request, Retry.PREFILL_FAILED, now, detail, runner)
