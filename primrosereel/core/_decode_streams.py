"""Decode streams: tokens, silence, broken connections, pause and resume.

Tokens are identified by request, attempt, runner and offset, so that the
caller gets each token once even if connections lose or repeat data.
"""

import math

from primrosereel import _states as states
from primrosereel.core import _attempt_cleanup as attempt_cleanup
from primrosereel.core import _engine_calls as engine_calls
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _failover as failover
from primrosereel.core import _messages as messages
from primrosereel.core import _stream_pauses as stream_pauses

__all__ = ['on_closed', 'on_timer', 'on_tokens']

Error = states.UpstreamError
Pause = entry_state.Pause
Retry = states.RetryReason
Stage = states.Stage

# Consecutive reattaches without a token before the stream is moved to another
# runner.
MAX_REATTACHES = 2
MIN_SILENCE_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_GAPS = 10
PAUSE_CONFIRM_TIMEOUT_S = 3.0

# A speed is averaged over this many tokens.
SPEED_WINDOW_TOKENS = 10
SLOW_FACTOR = 3.0

# After these errors the engine may still run the stream.
REATTACHABLE = frozenset((Error.BROKEN, Error.TIMEOUT))
# After these errors the engine holds no memory for the attempt.
NOT_HELD_ERRORS = frozenset((Error.FULL, Error.KV_GONE))
RETRY_REASONS = {
    Error.FULL: Retry.ENGINE_FULL,
    Error.KV_GONE: Retry.KV_CACHE_GONE,
    Error.CONNECT: Retry.CONNECT_FAILED,
    Error.NOT_FOUND: Retry.STREAM_BROKEN,
    Error.BROKEN: Retry.STREAM_BROKEN,
    Error.TIMEOUT: Retry.STREAM_SILENT,
}


def on_tokens(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    message: messages.TokensReceived,
    now: float,
) -> None:
    """Pass on the tokens the caller does not have yet."""
    stream = request.stream
    assert stream is not None
    sent_count = len(request.sent_tokens)
    if message.offset > sent_count:
        _request_missing_tokens(entry, request, message, now)
        return
    new_tokens = message.tokens[sent_count - message.offset :]
    remaining = request.call.max_tokens - sent_count
    overrun = len(new_tokens) > remaining
    new_tokens = new_tokens[:remaining]
    if new_tokens:
        request.sent_tokens.extend(new_tokens)
        entry.world.emit(messages.SendTokens(request.id, new_tokens))
        _on_progress(entry, request, stream, len(new_tokens), now)
    if overrun:
        _stop_overrun(entry, request, stream, now)
    elif message.finish is not None and (
        message.offset + len(message.tokens) == len(request.sent_tokens)
    ):
        _finish(entry, request, message.finish)


def on_closed(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    message: messages.StreamClosed,
    now: float,
) -> None:
    """Reattach a stream that may still run, else move it."""
    stream = request.stream
    assert stream is not None
    error = message.error
    detail = f'decode on {message.runner}: {error.value}'
    reason = RETRY_REASONS.get(error, Retry.DECODE_FAILED)
    if error in REATTACHABLE:
        if stream.pause in (Pause.PAUSED, Pause.RESUMING):
            stream.detached = True
        else:
            _reattach(entry, request, reason, now, detail)
        return
    never_started = error is Error.CONNECT and not stream.reattaches
    if not stream.has_tokens and (error in NOT_HELD_ERRORS or never_started):
        request.holds.discard(request.hold(message.runner))
    if error is Error.KV_GONE:
        _on_kv_gone(entry, request)
    failed = None if error is Error.KV_GONE else message.runner
    failover.place_again(entry, request, reason, now, detail, failed)


def on_timer(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Renew the grant and check the stream for silence."""
    stream = request.stream
    assert stream is not None
    if now >= request.renew_at:
        request.renew_at = now + engine_calls.GRANT_RENEWAL_S
        _renew(entry, request, stream)
    stream_pauses.repeat_if_due(entry, request, now)
    if now >= _silence_deadline(stream):
        detail = f'decode on {stream.runner}: no progress'
        _reattach(entry, request, Retry.STREAM_SILENT, now, detail)
    if (
        request.state is states.RequestState.DECODE
        and request.stream is stream
    ):
        _set_timer(entry, request, stream)


def _request_missing_tokens(entry, request, message, now: float) -> None:
    """Ask for the missing tokens again, once."""
    if not request.stream.reattaches:
        detail = f'decode on {message.runner}: tokens are missing'
        _reattach(entry, request, Retry.STREAM_BROKEN, now, detail)


def _on_progress(entry, request, stream, count: int, now: float) -> None:
    stream.progress_at = now
    stream.reattaches = 0
    if not stream.has_tokens:
        _on_first_token(entry, request, stream, now)
        return
    stream.window_tokens += count
    if stream.window_tokens >= SPEED_WINDOW_TOKENS:
        stream.token_gap_s = (now - stream.window_start) / stream.window_tokens
        stream.gap_measured = True
        stream.window_start = now
        stream.window_tokens = 0
        _report_slow(entry, request, stream)
    if stream.pause is Pause.RESUMING:
        stream_pauses.on_resumed(entry, request, now)


def _on_first_token(entry, request, stream, now: float) -> None:
    """Record the first token, which shows that the KV cache was imported."""
    stream.has_tokens = True
    stream.window_start = now
    request.exclude = ()
    if request.prefill is not None:
        attempt_cleanup.settle_prefill(entry, request, used=True)
        request.prefill.kv = None
    attempt_cleanup.report_progress(
        entry, request, Stage.DECODING, stream.runner
    )
    _set_timer(entry, request, stream)
    if stream.pause is Pause.WANTED:
        stream_pauses.pause(entry, request, now)


def _report_slow(entry, request, stream) -> None:
    slow = stream.token_gap_s > SLOW_FACTOR * request.model.decode_step_s
    if slow and not stream.slow_reported:
        stream.slow_reported = True
        _renew(entry, request, stream)


def _renew(entry, request, stream) -> None:
    speed = stream.token_gap_s if stream.gap_measured else 0.0
    attempt_cleanup.report_progress(
        entry, request, Stage.RENEWED, stream.runner, speed=speed
    )


def _stop_overrun(entry, request, stream, now: float) -> None:
    """End a stream whose engine exceeds the token limit.

    The limit also bounds the memory used for a caller that reads slowly.
    """
    entry.world.count('stream.overrun')
    hold = request.hold(stream.runner)
    request.holds.discard(hold)
    entry.cancels.start(hold, now)
    _finish(entry, request, 'length')


def _finish(entry, request, finish: str) -> None:
    """End the caller's answer; the decode consumed its KV cache."""
    world = entry.world
    world.count('answered')
    world.explain(
        request.id, f'answered: {finish}, {len(request.sent_tokens)} tokens'
    )
    world.emit(
        messages.FinishCaller(
            request.id,
            finish,
            request.call.prompt_tokens,
            len(request.sent_tokens),
        )
    )
    attempt_cleanup.settle_prefill(entry, request, used=True)
    attempt_cleanup.release_places(entry, request)
    attempt_cleanup.remove_request(entry, request)


def _reattach(entry, request, reason, now: float, detail: str) -> None:
    stream = request.stream
    if stream.reattaches >= MAX_REATTACHES:
        failover.place_again(
            entry, request, reason, now, detail, stream.runner
        )
        return
    if not failover.take_retry(entry, request, reason, now, detail):
        return
    stream.reattaches += 1
    stream.progress_at = now
    stream.detached = False
    _set_timer(entry, request, stream)
    entry.world.emit(
        messages.ReattachStream(
            request.id,
            request.attempt,
            stream.runner,
            len(request.sent_tokens),
        )
    )


def _on_kv_gone(entry, request) -> None:
    """Note that the prefill runner no longer has the KV cache."""
    prefill = request.prefill
    if prefill is None:
        return
    request.holds.discard(request.hold(prefill.runner, prefill.attempt))
    prefill.kv = None


def _silence_deadline(stream) -> float:
    if stream.pause is Pause.PAUSED:
        return math.inf
    if stream.pause in stream_pauses.UNCONFIRMED_STATES:
        # An engine sends no tokens while it moves the KV cache.
        return (
            max(stream.progress_at, stream.pause_ordered_at)
            + PAUSE_CONFIRM_TIMEOUT_S
        )
    if not stream.has_tokens and not stream.reattaches:
        return stream.progress_at + stream.first_token_timeout_s
    return stream.progress_at + max(
        MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_GAPS * stream.token_gap_s
    )


def _set_timer(entry, request, stream) -> None:
    due = min(
        request.renew_at,
        _silence_deadline(stream),
        stream_pauses.repeat_due_at(stream),
    )
    entry.timers.set(request.id, due)
