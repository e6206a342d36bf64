"""Pauses and resumes streams at the group owner's request (preemption).

The engine's answers may be lost, duplicated or reordered. So each order is
repeated until the engine confirms it, and is sent again after an answer that
does not match the desired state.
"""

import math

from primrosereel import _states as states
from primrosereel.core import _attempt_cleanup as attempt_cleanup
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages

__all__ = [
    'UNCONFIRMED_STATES',
    'on_paused',
    'on_resumed',
    'pause',
    'repeat_due_at',
    'repeat_if_due',
    'resume',
]

Pause = entry_state.Pause
Stage = states.Stage

REPEAT_ORDER_S = 1.0
UNCONFIRMED_STATES = frozenset((Pause.PAUSING, Pause.RESUMING))


def pause(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Pause a stream, or wait for its first token and pause it then."""
    stream = request.stream
    if stream is None or stream.pause is Pause.PAUSING:
        return
    if stream.pause is Pause.PAUSED:
        _report(entry, request, Stage.PAUSED)
    elif not stream.has_tokens:
        stream.pause = Pause.WANTED
    else:
        _start_order(entry, request, Pause.PAUSING, now)


def resume(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Let a paused stream continue."""
    stream = request.stream
    if stream is None or stream.pause is Pause.RESUMING:
        return
    if stream.pause in (Pause.RUNNING, Pause.WANTED):
        stream.pause = Pause.RUNNING
        _report(entry, request, Stage.RESUMED)
    else:
        _start_order(entry, request, Pause.RESUMING, now)


def on_paused(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Tell the owner that the engine freed the place."""
    stream = request.stream
    if stream is None or stream.pause is Pause.PAUSED:
        return
    if stream.pause is Pause.PAUSING:
        stream.pause = Pause.PAUSED
        entry.world.explain(request.id, f'paused on {stream.runner}')
        _report(entry, request, Stage.PAUSED)
    else:
        # The engine answered an order that has been withdrawn.
        _start_order(entry, request, Pause.RESUMING, now)


def on_resumed(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Tell the owner that the stream occupies its place again."""
    stream = request.stream
    if stream is None or stream.pause is not Pause.RESUMING:
        return
    stream.pause = Pause.RUNNING
    stream.progress_at = now
    stream.window_start = now
    stream.window_tokens = 0
    entry.world.explain(request.id, f'resumed on {stream.runner}')
    _report(entry, request, Stage.RESUMED)
    if stream.detached:
        stream.detached = False
        entry.world.emit(
            messages.ReattachStream(
                request.id,
                request.attempt,
                stream.runner,
                len(request.sent_tokens),
            )
        )
    entry.timers.set(request.id, now)


def repeat_due_at(stream: entry_state.Stream) -> float:
    """Return when an unconfirmed order is repeated."""
    if stream.pause in UNCONFIRMED_STATES:
        return stream.pause_sent_at + REPEAT_ORDER_S
    return math.inf


def repeat_if_due(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Repeat an order that the engine has not confirmed in time."""
    if request.stream is not None and now >= repeat_due_at(request.stream):
        _send_order(entry, request, now)


def _start_order(entry, request, desired: Pause, now: float) -> None:
    request.stream.pause = desired
    request.stream.pause_ordered_at = now
    _send_order(entry, request, now)


def _send_order(entry, request, now: float) -> None:
    stream = request.stream
    stream.pause_sent_at = now
    kind = (
        messages.PauseUpstream
        if stream.pause is Pause.PAUSING
        else messages.ResumeUpstream
    )
    entry.timers.set(request.id, min(request.renew_at, now + REPEAT_ORDER_S))
    entry.world.emit(kind(request.id, request.attempt, stream.runner))


def _report(entry, request, stage) -> None:
    attempt_cleanup.report_progress(
        entry, request, stage, request.stream.runner
    )
