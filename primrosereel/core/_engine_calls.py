"""Starts prefills and decodes at engines."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages
from primrosereel.core import _stragglers as stragglers

__all__ = ['GRANT_RENEWAL_S', 'start_decode', 'start_prefill']

# The lease of a grant is 30 s; two renewals may be lost.
GRANT_RENEWAL_S = 10.0

# Multiple of the expected prefill time. Engines batch other prefills first,
# and a straggler gets some time because a new prefill repeats the whole work.
PREFILL_TIMEOUT_FACTOR = 8.0
MIN_PREFILL_TIMEOUT_S = 2.0
# Lets the adapter report its own timeout first.
PREFILL_ANSWER_MARGIN_S = 0.5

# Twice the time after which engines evict an exported KV cache.
KV_LEASE_S = 2 * entry_state.KV_EXPORT_LIFETIME_S

FIRST_TOKEN_TIMEOUT_S = 2.0
TRANSFER_TIMEOUT_FACTOR = 4.0


def start_prefill(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    runner: ids.RunnerId,
    now: float,
) -> None:
    """Start a prefill of the prompt and the text generated so far."""
    tokens = request.call.prompt_tokens + len(request.sent_tokens)
    seconds = PREFILL_TIMEOUT_FACTOR * tokens / request.model.prefill_tokens_s
    timeout_s = max(MIN_PREFILL_TIMEOUT_S, seconds)
    request.state = states.RequestState.PREFILL
    request.prefill = entry_state.Prefill(
        runner, request.attempt, tokens, bool(request.sent_tokens)
    )
    request.holds.add(request.hold(runner))
    request.may_have_run.add(request.attempt)
    request.prefill_deadline = now + timeout_s + PREFILL_ANSWER_MARGIN_S
    request.renew_at = now + GRANT_RENEWAL_S
    entry.timers.set(
        request.id, min(request.prefill_deadline, request.renew_at)
    )
    stragglers.end_probe_window(entry.world, runner)
    entry.world.explain(
        request.id, f'attempt {request.attempt}: prefill on {runner}'
    )
    entry.world.emit(
        messages.StartPrefill(
            request.id,
            request.attempt,
            runner,
            request.call.service,
            request.call.prompt,
            ''.join(request.sent_tokens),
            request.priority,
            KV_LEASE_S,
            timeout_s,
        )
    )


def start_decode(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Start the decode on the granted runner; the KV cache is exported."""
    runner = request.decode_runner
    kv = request.kv
    assert runner is not None and kv is not None
    first_token_timeout_s = (
        FIRST_TOKEN_TIMEOUT_S
        + TRANSFER_TIMEOUT_FACTOR * _transfer_s(entry, runner, kv)
    )
    request.state = states.RequestState.DECODE
    request.stream = entry_state.Stream(
        runner, now, request.model.decode_step_s, first_token_timeout_s
    )
    request.holds.add(request.hold(runner))
    request.may_have_run.add(request.attempt)
    request.renew_at = now + GRANT_RENEWAL_S
    entry.timers.set(
        request.id, min(now + first_token_timeout_s, request.renew_at)
    )
    stragglers.end_probe_window(entry.world, runner)
    entry.world.explain(
        request.id, f'attempt {request.attempt}: decode on {runner}'
    )
    entry.world.emit(
        messages.StartDecode(
            request.id,
            request.attempt,
            runner,
            request.call.service,
            kv,
            request.call.prompt,
            request.call.max_tokens,
            request.priority,
            len(request.sent_tokens),
        )
    )


def _transfer_s(entry, runner, kv) -> float:
    known = entry.world.runners.get(runner)
    return 0.0 if known is None else kv.bytes / known.facts.link_bytes_s
