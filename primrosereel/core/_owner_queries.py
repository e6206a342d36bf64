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
        _live_grant(request)
        for request in entry.requests.values()
        if request.group == query.group
        and request.state is not states.RequestState.WAITING_GRANT
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
    request_id, _, _ = hold.engine_request_id.rpartition('.')
    request = entry.requests.get(ids.RequestId(request_id))
    return request is None or hold not in request.holds


def _live_grant(request: entry_state.CompletionRequest) -> messages.LiveGrant:
    assert request.decode_runner is not None
    prefilling = request.state is states.RequestState.PREFILL
    return messages.LiveGrant(
        request.id,
        request.attempt,
        request.prefill.runner if prefilling and request.prefill else None,
        request.decode_runner,
        request.call.prompt_tokens + request.call.max_tokens,
        request.priority,
        request.stream is not None and request.stream.has_tokens,
        request.client_account,
        request.stream is not None
        and request.stream.pause is entry_state.Pause.PAUSED,
    )
