"""What an attempt leaves behind: places, KV cache, wasted work, an end."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _request_lifecycle as request_lifecycle

__all__ = [
    'conclude',
    'discard_prefill',
    'end',
    'give_up',
    'progress',
    'release',
    'settle_prefill',
]

# Long enough for a retry of the caller to meet another load.
RETRY_AFTER_S = 1.0


def progress(
    entry: entry_state.EntryState,
    row: entry_state.CompletionRequest,
    stage: states.Stage,
    runner: ids.RunnerId | None = None,
    cached_tokens: int = 0,
    speed: float = 0.0,
) -> None:
    """Tell the group's owner how a request gets on.

    A release also goes to the owner that was asked, when another instance has
    become the owner since.
    """
    report = messages.Progress(
        row.id,
        row.attempt,
        row.group,
        stage,
        runner,
        cached_tokens,
        len(row.sent_tokens),
        speed,
    )
    owner = ownership.group_owner(entry.world, row.group)
    if owner is not None:
        entry.world.send(owner, report)
    asked = row.owner
    if stage is states.Stage.RELEASED and asked not in (None, owner):
        entry.world.send(asked, report)


def release(
    entry: entry_state.EntryState, row: entry_state.CompletionRequest
) -> None:
    """Give the attempt's places back to the owner."""
    stream = row.stream
    if stream is not None and stream.gap_measured:
        progress(
            entry,
            row,
            states.Stage.RELEASED,
            stream.runner,
            speed=stream.token_gap_s,
        )
    else:
        progress(entry, row, states.Stage.RELEASED)
    row.stream = None
    row.decode_runner = None


def settle_prefill(
    entry: entry_state.EntryState,
    row: entry_state.CompletionRequest,
    used: bool,
) -> None:
    """Count a prefill's work as wasted unless it was used; once."""
    prefill = row.prefill
    if prefill is None or prefill.settled:
        return
    prefill.settled = True
    if prefill.tokens and not used:
        entry.world.count('prefill.wasted_tokens', prefill.tokens)


def discard_prefill(
    entry: entry_state.EntryState,
    row: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Free a KV cache that no attempt will decode."""
    prefill = row.prefill
    if prefill is None:
        return
    settle_prefill(entry, row, used=False)
    hold = row.hold(prefill.runner, prefill.attempt)
    if hold in row.holds:
        row.holds.discard(hold)
        entry.cancels.start(hold, now)
    row.prefill = None


def give_up(
    entry: entry_state.EntryState,
    row: entry_state.CompletionRequest,
    now: float,
    keep_kv: bool = False,
) -> None:
    """Free all that the current attempt holds; end none of the caller's."""
    kept = None
    if keep_kv and row.prefill is not None:
        kept = row.hold(row.prefill.runner, row.prefill.attempt)
    else:
        discard_prefill(entry, row, now)
    for hold in sorted(row.holds):
        if hold != kept:
            row.holds.discard(hold)
            entry.cancels.start(hold, now)
    release(entry, row)


def end(
    entry: entry_state.EntryState, row: entry_state.CompletionRequest
) -> None:
    """Forget a request whose caller has its end or has left."""
    row.state = states.RequestState.DONE
    row.holds.clear()
    entry.timers.cancel(row.id)
    del entry.rows[row.id]
    request_lifecycle.end(entry.world)


def conclude(
    entry: entry_state.EntryState,
    row: entry_state.CompletionRequest,
    reason: states.RefusalReason,
    now: float,
    detail: str = '',
    retry_after_s: float | None = RETRY_AFTER_S,
) -> None:
    """Give up a request: refuse it, or abort it when a part was sent."""
    if row.sent_tokens:
        request_lifecycle.abort(entry.world, row.id, reason, detail)
    else:
        request_lifecycle.refuse(
            entry.world, row.id, reason, row.ran, retry_after_s, detail
        )
    give_up(entry, row, now)
    end(entry, row)
