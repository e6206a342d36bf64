"""Obtains places for a request: from a group's owner, or directly.

Section 3.7 of the design page has the protocol.
"""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _admission as admission
from primrosereel.core import _attempt_cleanup as attempt_cleanup
from primrosereel.core import _engine_calls as engine_calls
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _retry_budget as retry_budget
from primrosereel.core import _stragglers as stragglers

__all__ = [
    'on_granted',
    'on_owner_unreachable',
    'on_queued',
    'on_refused',
    'on_timer',
    'request_places',
]

Reason = states.RefusalReason

OWNER_TIMEOUT_S = 0.05
# A round trip between regions takes longer than the timeout within one.
REMOTE_OWNER_TIMEOUT_S = 0.5
REPEAT_REQUEST_S = 1.0
MAX_GROUPS_TRIED = 2

# Refusals after which another group of the service may still have a place.
CAPACITY_REASONS = frozenset(
    (Reason.DEADLINE, Reason.NO_CAPACITY, Reason.NO_RUNNER, Reason.QUEUE_FULL)
)


def request_places(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Ask for places under a new attempt, the preferred group first."""
    request.groups_tried = ()
    if not _request_from_next_group(entry, request, now):
        attempt_cleanup.fail_request(entry, request, Reason.NO_RUNNER, now)


def on_granted(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    grant: messages.Grant,
    now: float,
) -> None:
    """Use the places an owner granted."""
    entry.world.explain(
        request.id, f'attempt {request.attempt}: granted {grant.explanation}'
    )
    for runner in (grant.prefill_runner, grant.decode_runner):
        if runner and not admission.is_ready(entry.world, runner):
            entry.world.count('grant.stale')
            _request_without_runner(entry, request, runner, now)
            return
    _start_attempt(
        entry, request, grant.prefill_runner, grant.decode_runner, now
    )


def on_queued(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Wait for the owner, which keeps the request in its queue."""
    request.owner_answered = True
    entry.world.explain(
        request.id, f'queued for {request.group} at {request.owner}'
    )
    _set_timer(entry, request, now + REPEAT_REQUEST_S)


def on_refused(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    refusal: messages.GrantRefused,
    now: float,
) -> None:
    """Ask the next group if this one has no capacity, else refuse."""
    entry.world.explain(
        request.id, f'group {request.group} refused: {refusal.reason.value}'
    )
    if refusal.reason in CAPACITY_REASONS and _request_from_next_group(
        entry, request, now
    ):
        return
    if refusal.reason is Reason.NO_RUNNER and _retry_excluded_runners(
        entry, request, now
    ):
        return
    attempt_cleanup.fail_request(
        entry,
        request,
        refusal.reason,
        now,
        retry_after_s=refusal.retry_after_s,
    )


def on_owner_unreachable(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Place a request without its group's owner."""
    entry.world.count_retry(states.RetryReason.OWNER_SILENT)
    entry.world.explain(request.id, f'owner {request.owner} does not answer')
    attempt_cleanup.release_places(entry, request)
    _place_directly(entry, request, now)


def on_timer(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> None:
    """Handle the timer of a request that waits for its places."""
    if now >= request.deadline:
        attempt_cleanup.fail_request(entry, request, Reason.DEADLINE, now)
    elif request.prefill is not None and not request.prefill.is_exported(now):
        _replace_evicted_kv(entry, request, now)
    elif not request.owner_answered:
        on_owner_unreachable(entry, request, now)
    else:
        _repeat_request(entry, request, now)


def _request_from_next_group(
    entry: entry_state.EntryState,
    request: entry_state.CompletionRequest,
    now: float,
) -> bool:
    """Ask the best group that was not asked yet; False when none is left."""
    group = _next_group(entry, request)
    if group is None:
        return False
    request.state = states.RequestState.WAITING_GRANT
    request.group = group
    request.groups_tried += (group,)
    request.attempt += 1
    request.owner_answered = False
    request.owner = ownership.group_owner(entry.world, group)
    if request.owner is None:
        _place_directly(entry, request, now)
    else:
        _send_request(entry, request, now, _owner_timeout(entry, request))
    return True


def _next_group(entry, request) -> ids.GroupId | None:
    groups = entry.world.service_groups.get(request.call.service, ())
    hashes = request.call.prefix_hashes
    key = f'{hashes[0]:x}' if hashes else request.id
    for group in ownership.rank(key, groups, MAX_GROUPS_TRIED):
        if group not in request.groups_tried:
            return group
    return None


def _send_request(entry, request, now: float, answer_timeout_s: float) -> None:
    sent_count = len(request.sent_tokens)
    grant_request = messages.GrantRequest(
        request.id,
        request.attempt,
        request.call.service,
        request.group,
        request.client_account,
        request.priority,
        request.call.prompt_tokens + sent_count,
        max(1, request.call.max_tokens - sent_count),
        request.call.prefix_hashes,
        max(0.0, request.deadline - now),
        entry.world.identity.availability_zone,
        request.kv,
        request.exclude,
        request.call.parent,
    )
    entry.world.explain(
        request.id,
        f'attempt {request.attempt}: ask {request.owner} for {request.group}',
    )
    _set_timer(entry, request, now + answer_timeout_s)
    entry.world.send(request.owner, grant_request)


def _set_timer(entry, request, when: float) -> None:
    due = min(when, request.deadline)
    if request.prefill is not None:
        due = min(due, request.prefill.exported_until)
    entry.timers.set(request.id, due)


def _owner_timeout(entry, request) -> float:
    region = entry.world.group_regions.get(request.group)
    if region == entry.world.identity.region:
        return OWNER_TIMEOUT_S
    return REMOTE_OWNER_TIMEOUT_S


def _repeat_request(entry, request, now: float) -> None:
    """Ask again under the same attempt; the owner may have changed.

    An owner that has queued the request may leave the repetition unanswered.
    Its loss shows as PeerFailed or as a change of the owner.
    """
    owner = ownership.group_owner(entry.world, request.group)
    if owner is None:
        on_owner_unreachable(entry, request, now)
        return
    changed = owner != request.owner
    request.owner = owner
    request.owner_answered = not changed
    timeout_s = _owner_timeout(entry, request) if changed else REPEAT_REQUEST_S
    _send_request(entry, request, now, timeout_s)


def _place_directly(entry, request, now: float) -> None:
    choice = entry.direct_choice(
        entry.world,
        request.call.service,
        request.group,
        request.exclude,
        request.kv,
    )
    if choice is not None:
        request.attempt += 1
        for runner in choice:
            if runner is not None:
                # The decode starts only after the prefill; until then the
                # probe window must not admit a second request.
                stragglers.end_probe_window(entry.world, runner)
        entry.world.explain(
            request.id, f'attempt {request.attempt}: placed directly'
        )
        _start_attempt(entry, request, choice[0], choice[1], now)
    elif not (
        _request_from_next_group(entry, request, now)
        or _retry_excluded_runners(entry, request, now)
    ):
        attempt_cleanup.fail_request(entry, request, Reason.NO_RUNNER, now)


def _retry_excluded_runners(entry, request, now: float) -> bool:
    """Ask again, now including runners that failed this request before.

    They may be the only ones left, and one corrupted stream does not predict
    the next. Each further failure uses one of the request's retries.
    """
    if not request.exclude:
        return False
    request.exclude = ()
    entry.world.explain(
        request.id, 'asking again, including runners that failed before'
    )
    request_places(entry, request, now)
    return True


def _start_attempt(
    entry, request, prefill_runner, decode_runner, now: float
) -> None:
    request.decode_runner = decode_runner
    if prefill_runner is not None:
        attempt_cleanup.discard_prefill(entry, request, now)
        engine_calls.start_prefill(entry, request, prefill_runner, now)
    elif request.prefill is not None and request.prefill.is_exported(now):
        engine_calls.start_decode(entry, request, now)
    else:
        _replace_evicted_kv(entry, request, now)


def _replace_evicted_kv(entry, request, now: float) -> None:
    """Ask again for both places: the KV cache is no longer exported."""
    entry.world.explain(request.id, 'the KV cache was evicted while waiting')
    _request_again(entry, request, states.RetryReason.KV_CACHE_GONE, now)


def _request_without_runner(entry, request, runner, now: float) -> None:
    """Ask again for a request whose grant names a leaving runner."""
    entry.world.explain(request.id, f'granted runner {runner} is leaving')
    request.exclude += (runner,)
    _request_again(entry, request, None, now)


def _request_again(entry, request, reason, now: float) -> None:
    """Abandon the attempt and ask again under a new one.

    Without a reason the attempt cost the upstreams nothing, so it takes no
    retry from the budget.
    """
    if request.retries >= retry_budget.MAX_RETRIES_PER_REQUEST:
        attempt_cleanup.fail_request(entry, request, Reason.NO_CAPACITY, now)
        return
    if reason is not None:
        if not entry.world.retry_budget.take(now):
            attempt_cleanup.fail_request(
                entry, request, Reason.RETRY_BUDGET, now
            )
            return
        entry.world.count_retry(reason)
    request.retries += 1
    attempt_cleanup.abandon_attempt(
        entry, request, now, keep_kv=reason is None
    )
    request_places(entry, request, now)
