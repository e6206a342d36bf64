"""Ends attempts and requests: frees places and KV caches, counts waste."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _request_lifecycle as request_lifecycle

__all__ = [
    'abandon_attempt',
    'discard_prefill',
    'fail_request',
    'release_places',
    'remove_request',
    'report_progress',
    'settle_prefill',
]

# Long enough for the load to have changed when the caller retries.
RETRY_AFTER_S = 1.0


def report_progress(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    stage: states.Stage,
    runner: ids.RunnerId | None = None,
    cached_tokens: int = 0,
    speed: float = 0.0,
) -> None:
    """Report the progress of a request to the group's owner.

    A release also goes to the owner that was asked, if another instance has
    become the owner since then.
    """
    report = messages.Progress(
        request.id,
        request.attempt,
        request.group,
        stage,
        runner,
        cached_tokens,
        len(request.sent_tokens),
        speed,
    )
    owner = ownership.group_owner(entry.world, request.group)
    if owner is not None:
        entry.world.send(owner, report)
    asked_owner = request.owner
    if stage is states.Stage.RELEASED and asked_owner not in (None, owner):
        entry.world.send(asked_owner, report)


def release_places(
    entry: entry_state.EntryState, request: entry_state.CompletionRequest
) -> None:
    """Release the attempt's places at the owner."""
    stream = request.stream
    if stream is not None and stream.gap_measured:
        report_progress(
            entry,
            request,
            states.Stage.RELEASED,
            stream.runner,
            speed=stream.token_gap_s,
        )
    else:
        report_progress(entry, request, states.Stage.RELEASED)
    request.stream = None
    request.decode_runner = None


def settle_prefill(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    used: bool,
) -> None:
    """Count a prefill's work as wasted unless it was used; only once."""
    prefill = request.prefill
    if prefill is None or prefill.settled:
        return
    prefill.settled = True
    if prefill.tokens and not used:
        entry.world.count('prefill.wasted_tokens', prefill.tokens)


def discard_prefill(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Free a KV cache that no attempt will decode."""
    prefill = request.prefill
    if prefill is None:
        return
    settle_prefill(entry, request, used=False)
    hold = request.hold(prefill.runner, prefill.attempt)
    if hold in request.holds:
        request.holds.discard(hold)
        entry.cancels.start(hold, now)
    request.prefill = None


def abandon_attempt(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
    keep_kv: bool = False,
) -> None:
    """Free the resources of the current attempt; the request continues."""
    kept_hold = None
    if keep_kv and request.prefill is not None:
        kept_hold = request.hold(
            request.prefill.runner, request.prefill.attempt
        )
    else:
        discard_prefill(entry, request, now)
    for hold in sorted(request.holds):
        if hold != kept_hold:
            request.holds.discard(hold)
            entry.cancels.start(hold, now)
    release_places(entry, request)


def remove_request(
    entry: entry_state.EntryState, request: entry_state.CompletionRequest
) -> None:
    """Remove a request that has ended or whose caller disconnected."""
    request.state = states.RequestState.DONE
    request.holds.clear()
    entry.timers.cancel(request.id)
    del entry.requests[request.id]
    request_lifecycle.count_ended(entry.world)


def fail_request(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    reason: states.RefusalReason,
    now: float,
    detail: str = '',
    retry_after_s: float | None = RETRY_AFTER_S,
) -> None:
    """End a request: refuse it, or abort it if tokens were sent."""
    if request.sent_tokens:
        request_lifecycle.abort(entry.world, request.id, reason, detail)
    else:
        request_lifecycle.refuse(
            entry.world, request.id, reason, request.ran, retry_after_s, detail
        )
    abandon_attempt(entry, request, now)
    remove_request(entry, request)
