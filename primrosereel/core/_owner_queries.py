"""Replies of the entry instance to group owners about runner resources."""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _cancels as cancels
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _messages as messages

__all__ = ['report_live_grants', 'report_unneeded_requests', 'return_grant']


def report_live_grants(
    entry: entry_state.EntryState,
    sender: ids.InstanceId,
    query: messages.LiveGrantsQuery,
) -> None:
    """Send a new owner the grants of its group that are in use."""
    live = tuple(
        _live_grant(row)
        for row in entry.requests.values()
        if row.group == query.group
        and row.state is not states.RequestState.WAITING_GRANT
    )
    entry.world.send(sender, messages.LiveGrants(query.group, live))


def report_unneeded_requests(
    entry: entry_state.EntryState,
    sender: ids.InstanceId,
    query: messages.HolderQuery,
) -> None:
    """Send an owner those engine request ids that no request needs."""
    unneeded = tuple(
        engine_id
        for engine_id in query.engine_request_ids
        if _is_unneeded(entry, cancels.Hold(query.runner, engine_id))
    )
    entry.world.send(sender, messages.HolderReply(query.runner, unneeded))


def return_grant(
    entry: entry_state.EntryState,
    sender: ids.InstanceId,
    grant: messages.Grant,
) -> None:
    """Release the places of a grant whose attempt has ended."""
    runner = entry.world.runners.get(grant.decode_runner)
    group = ids.GroupId('') if runner is None else runner.group
    entry.world.send(
        sender,
        messages.Progress(
            grant.request_id, grant.attempt, group, states.Stage.RELEASED
        ),
    )


def _is_unneeded(entry, hold: cancels.Hold) -> bool:
    own = entry.world.identity
    holder = ids.holder_of(hold.engine_request_id)
    if holder != ids.Holder(own.instance, own.incarnation):
        return False
    request, _, _ = hold.engine_request_id.rpartition('.')
    row = entry.requests.get(ids.RequestId(request))
    return row is None or hold not in row.holds


def _live_grant(row: entry_state.CompletionRequest) -> messages.LiveGrant:
    assert row.decode_runner is not None
    prefilling = row.state is states.RequestState.PREFILL
    return messages.LiveGrant(
        row.id,
        row.attempt,
        row.prefill.runner if prefilling and row.prefill else None,
        row.decode_runner,
        row.call.prompt_tokens + row.call.max_tokens,
        row.priority,
        row.stream is not None and row.stream.has_tokens,
        row.client_account,
        row.stream is not None
        and row.stream.pause is entry_state.Pause.PAUSED,
    )
