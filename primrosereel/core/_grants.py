"""Obtains places for a request: from a group's owner, or directly.

Section 3.7 of the design page has the protocol.
"""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _admission as admission
from primrosereel.core import _attempts as attempts
from primrosereel.core import _calls as calls
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _requests as requests
from primrosereel.core import _retries as retries
from primrosereel.core import _stragglers as stragglers

__all__ = [
    'begin',
    'expired',
    'granted',
    'owner_unreachable',
    'queued',
    'refused',
]

Reason = states.RefusalReason

OWNER_TIMEOUT_S = 0.05
# A round trip between regions takes longer than the timeout within one.
REMOTE_OWNER_TIMEOUT_S = 0.5
REPEAT_S = 1.0
GROUP_CHOICES = 2

# Refusals after which another group of the service may still have a place.
CAPACITY = frozenset(
    (Reason.DEADLINE, Reason.NO_CAPACITY, Reason.NO_RUNNER, Reason.QUEUE_FULL)
)


def begin(entry: requests.Requests, row: requests.Request, now: float) -> None:
    """Ask for places under a new attempt, the preferred group first."""
    row.groups_tried = ()
    if not _ask_next(entry, row, now):
        attempts.conclude(entry, row, Reason.NO_RUNNER, now)


def granted(
    entry: requests.Requests,
    row: requests.Request,
    grant: messages.Grant,
    now: float,
) -> None:
    """Use the places an owner granted."""
    entry.world.explain(
        row.id, f'attempt {row.attempt}: granted {grant.explanation}'
    )
    for runner in (grant.prefill_runner, grant.decode_runner):
        if runner and not admission.is_ready(entry.world, runner):
            entry.world.count('grant.stale')
            _ask_without(entry, row, runner, now)
            return
    _place(entry, row, grant.prefill_runner, grant.decode_runner, now)


def queued(
    entry: requests.Requests, row: requests.Request, now: float
) -> None:
    """Wait for the owner, which keeps the request in its queue."""
    row.answered = True
    entry.world.explain(row.id, f'queued for {row.group} at {row.owner}')
    _set_timer(entry, row, now + REPEAT_S)


def refused(
    entry: requests.Requests,
    row: requests.Request,
    refusal: messages.GrantRefused,
    now: float,
) -> None:
    """Ask the next group when the first has no capacity, else end."""
    entry.world.explain(
        row.id, f'group {row.group} refused: {refusal.reason.value}'
    )
    if refusal.reason in CAPACITY and _ask_next(entry, row, now):
        return
    if refusal.reason is Reason.NO_RUNNER and _ask_failed(entry, row, now):
        return
    attempts.conclude(
        entry,
        row,
        refusal.reason,
        now,
        retry_after_s=refusal.retry_after_s,
    )


def owner_unreachable(
    entry: requests.Requests, row: requests.Request, now: float
) -> None:
    """Place a request without its group's owner."""
    entry.world.count_retry(states.RetryReason.OWNER_SILENT)
    entry.world.explain(row.id, f'owner {row.owner} does not answer')
    attempts.release(entry, row)
    _place_directly(entry, row, now)


def expired(
    entry: requests.Requests, row: requests.Request, now: float
) -> None:
    """Do what is due for a request that waits for its places."""
    if now >= row.deadline:
        attempts.conclude(entry, row, Reason.DEADLINE, now)
    elif row.prefill is not None and not row.prefill.stands(now):
        _ask_for_prefill(entry, row, now)
    elif not row.answered:
        owner_unreachable(entry, row, now)
    else:
        _repeat(entry, row, now)


def _ask_next(
    entry: requests.Requests, row: requests.Request, now: float
) -> bool:
    """Ask the best group that was not asked yet; False when none is left."""
    group = _next_group(entry, row)
    if group is None:
        return False
    row.state = states.RequestState.WAITING_GRANT
    row.group = group
    row.groups_tried += (group,)
    row.attempt += 1
    row.answered = False
    row.owner = ownership.group_owner(entry.world, group)
    if row.owner is None:
        _place_directly(entry, row, now)
    else:
        _send(entry, row, now, _owner_timeout(entry, row))
    return True


def _next_group(entry, row) -> ids.GroupId | None:
    groups = entry.world.service_groups.get(row.call.service, ())
    hashes = row.call.prefix_hashes
    key = f'{hashes[0]:x}' if hashes else row.id
    for group in ownership.rank(key, groups, GROUP_CHOICES):
        if group not in row.groups_tried:
            return group
    return None


def _send(entry, row, now: float, answer_within_s: float) -> None:
    done = len(row.text)
    ask = messages.GrantRequest(
        row.id,
        row.attempt,
        row.call.service,
        row.group,
        row.client_account,
        row.priority,
        row.call.prompt_tokens + done,
        max(1, row.call.max_tokens - done),
        row.call.prefix_hashes,
        max(0.0, row.deadline - now),
        entry.world.identity.availability_zone,
        row.kv,
        row.exclude,
        row.call.parent,
    )
    entry.world.explain(
        row.id, f'attempt {row.attempt}: ask {row.owner} for {row.group}'
    )
    _set_timer(entry, row, now + answer_within_s)
    entry.world.send(row.owner, ask)


def _set_timer(entry, row, when: float) -> None:
    due = min(when, row.deadline)
    if row.prefill is not None:
        due = min(due, row.prefill.stands_until)
    entry.timers.set(row.id, due)


def _owner_timeout(entry, row) -> float:
    region = entry.world.group_regions.get(row.group)
    if region == entry.world.identity.region:
        return OWNER_TIMEOUT_S
    return REMOTE_OWNER_TIMEOUT_S


def _repeat(entry, row, now: float) -> None:
    """Ask again under the same attempt; the owner may have changed.

    An owner that queued the request need not answer a repeated ask. When it
    is lost meanwhile, PeerFailed or the change of the owner tells.
    """
    owner = ownership.group_owner(entry.world, row.group)
    if owner is None:
        owner_unreachable(entry, row, now)
        return
    changed = owner != row.owner
    row.owner = owner
    row.answered = not changed
    within_s = _owner_timeout(entry, row) if changed else REPEAT_S
    _send(entry, row, now, within_s)


def _place_directly(entry, row, now: float) -> None:
    choice = entry.direct_choice(
        entry.world, row.call.service, row.group, row.exclude, row.kv
    )
    if choice is not None:
        row.attempt += 1
        for runner in choice:
            if runner is not None:
                # The decode begins after the prefill; till then the window
                # must not let a second request through.
                stragglers.end_probe_window(entry.world, runner)
        entry.world.explain(row.id, f'attempt {row.attempt}: placed directly')
        _place(entry, row, choice[0], choice[1], now)
    elif not (_ask_next(entry, row, now) or _ask_failed(entry, row, now)):
        attempts.conclude(entry, row, Reason.NO_RUNNER, now)


def _ask_failed(entry, row, now: float) -> bool:
    """Ask again with the runners that failed this request before.

    They may be the only ones left, and a garbled stream says little about
    the next. Each further failure takes one of the request's retries.
    """
    if not row.exclude:
        return False
    row.exclude = ()
    entry.world.explain(row.id, 'asked again with the runners that failed')
    begin(entry, row, now)
    return True


def _place(entry, row, prefill_runner, decode_runner, now: float) -> None:
    row.decode_runner = decode_runner
    if prefill_runner is not None:
        attempts.discard_prefill(entry, row, now)
        calls.start_prefill(entry, row, prefill_runner, now)
    elif row.prefill is not None and row.prefill.stands(now):
        calls.start_decode(entry, row, now)
    else:
        _ask_for_prefill(entry, row, now)


def _ask_for_prefill(entry, row, now: float) -> None:
    """Ask again for both places: the KV cache is no longer exported."""
    entry.world.explain(row.id, 'the KV cache was evicted while waiting')
    _ask_again(entry, row, states.RetryReason.KV_CACHE_GONE, now)


def _ask_without(entry, row, runner, now: float) -> None:
    """Ask again for a request whose grant names a runner that leaves."""
    entry.world.explain(row.id, f'granted runner {runner} leaves')
    row.exclude += (runner,)
    _ask_again(entry, row, None, now)


def _ask_again(entry, row, reason, now: float) -> None:
    """Give the attempt up; without a reason it cost the upstreams nothing."""
    if row.retries >= retries.MAX_RETRIES:
        attempts.conclude(entry, row, Reason.NO_CAPACITY, now)
        return
    if reason is not None:
        if not entry.world.retry_budget.take(now):
            attempts.conclude(entry, row, Reason.RETRY_BUDGET, now)
            return
        entry.world.count_retry(reason)
    row.retries += 1
    attempts.give_up(entry, row, now, keep_kv=reason is None)
    begin(entry, row, now)
