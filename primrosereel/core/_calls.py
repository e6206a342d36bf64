"""Starts prefills and decodes at engines."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _requests as requests
from primrosereel.core import _stragglers as stragglers

__all__ = ['RENEW_S', 'start_decode', 'start_prefill']

# The lease of a grant is 30 s; two renewals may be lost.
RENEW_S = 10.0

# An engine batches other prefills before this one, and a straggler is worth
# waiting for up to a point: a prefill elsewhere costs the whole work again.
PREFILL_SLACK = 8.0
SHORTEST_PREFILL_TIMEOUT_S = 2.0
# The adapter reports its own timeout first.
PREFILL_GRACE_S = 0.5

# Twice the time after which engines evict an exported KV cache.
KV_LEASE_S = 2 * requests.KV_STANDS_S

FIRST_TOKEN_BOUND_S = 2.0
TRANSFER_SLACK = 4.0


def start_prefill(
    entry: requests.Requests,
    row: requests.Request,
    runner: ids.RunnerId,
    now: float,
) -> None:
    """Start a prefill of the prompt and the text generated so far."""
    tokens = row.call.prompt_tokens + len(row.text)
    seconds = PREFILL_SLACK * tokens / row.model.prefill_tokens_s
    timeout_s = max(SHORTEST_PREFILL_TIMEOUT_S, seconds)
    row.state = states.RequestState.PREFILL
    row.prefill = requests.Prefill(runner, row.attempt, tokens, bool(row.text))
    row.holds.add(row.hold(runner))
    row.may_have_run.add(row.attempt)
    row.prefill_until = now + timeout_s + PREFILL_GRACE_S
    row.renew_at = now + RENEW_S
    entry.timers.set(row.id, min(row.prefill_until, row.renew_at))
    stragglers.end_probe_window(entry.world, runner)
    entry.world.explain(row.id, f'attempt {row.attempt}: prefill on {runner}')
    entry.world.emit(
        messages.StartPrefill(
            row.id,
            row.attempt,
            runner,
            row.call.service,
            row.call.prompt,
            ''.join(row.text),
            row.priority,
            KV_LEASE_S,
            timeout_s,
        )
    )


def start_decode(
    entry: requests.Requests, row: requests.Request, now: float
) -> None:
    """Start the decode on the granted runner; the KV cache is exported."""
    runner = row.decode_runner
    kv = row.kv
    assert runner is not None and kv is not None
    bound_s = FIRST_TOKEN_BOUND_S + TRANSFER_SLACK * _transfer_s(
        entry, runner, kv
    )
    row.state = states.RequestState.DECODE
    row.stream = requests.Stream(runner, now, row.model.decode_step_s, bound_s)
    row.holds.add(row.hold(runner))
    row.may_have_run.add(row.attempt)
    row.renew_at = now + RENEW_S
    entry.timers.set(row.id, min(now + bound_s, row.renew_at))
    stragglers.end_probe_window(entry.world, runner)
    entry.world.explain(row.id, f'attempt {row.attempt}: decode on {runner}')
    entry.world.emit(
        messages.StartDecode(
            row.id,
            row.attempt,
            runner,
            row.call.service,
            kv,
            row.call.prompt,
            row.call.max_tokens,
            row.priority,
            len(row.text),
        )
    )


def _transfer_s(entry, runner, kv) -> float:
    known = entry.world.runners.get(runner)
    return 0.0 if known is None else kv.bytes / known.facts.link_bytes_s
