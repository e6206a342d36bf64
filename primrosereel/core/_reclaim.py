"""Frees engine memory whose holder is lost or needs it no more.

Only the owner of an engine's group does this. It cancels what belongs to
lost incarnations, and asks live holders about their requests, so that memory
is freed that a holder forgot to free. A holder that is live and has not
answered keeps everything.
"""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _engine_schedule as engine_schedule
from primrosereel.core import _holders as holders
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['ReclaimSystem']

HolderState = holders.HolderState

LIST_INTERVAL_S = 2.0
# At most 4 lists a second; 16 engines then have a turn every 4 s, within the
# 5 s in which memory of a lost instance is to be free.
LIST_SPACING_S = 0.25
FOLLOW_OWNERSHIP_S = 0.5
CANCEL_REPEAT_S = 1.0
# A request is asked about when a second list shows it, then ever less often:
# a holder frees by itself what it knows of, and long streams are the rule.
FIRST_QUERY_S = 1.0
LAST_QUERY_S = 32.0

Cancel = tuple[ids.RunnerId, ids.EngineRequestId]


class ReclaimSystem:
    """Compares what the owned engines hold with who still needs it."""

    inputs: tuple[type, ...] = (
        messages.RequestsListed,
        messages.HolderReply,
        messages.CancelConfirmed,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._holders = holders.Holders(world)
        self._turns = engine_schedule.EngineSchedule(
            LIST_INTERVAL_S, LIST_SPACING_S
        )
        self._follow_at = 0.0
        # When an unconfirmed cancel is repeated.
        self._cancels: dict[Cancel, float] = {}
        # When each request of a live holder is asked about, and the time
        # after which it is asked about again.
        self._queries: dict[
            ids.RunnerId, dict[ids.EngineRequestId, tuple[float, float]]
        ] = {}

    def receive(self, message, now: float) -> None:
        """Take an engine's list, a holder's reply or a confirmation."""
        if isinstance(message, messages.RequestsListed):
            if engine_schedule.owns_engine(self._world, message.runner):
                self._compare(message, now)
        elif isinstance(message, messages.CancelConfirmed):
            self._cancels.pop(
                (message.runner, message.engine_request_id), None
            )
        else:
            self._take_reply(message, now)

    def run(self, now: float) -> None:
        """List the engine whose turn it is and repeat cancels."""
        vanished = self._holders.follow()
        if vanished or now >= self._follow_at:
            self._follow_at = now + FOLLOW_OWNERSHIP_S
            self._follow_ownership(now)
        if vanished:
            self._turns.make_due(now)
        runner = self._turns.take_due(now)
        if runner is not None:
            self._world.emit(messages.ListRequests(runner))
        for cancel, at in list(self._cancels.items()):
            if at <= now:
                self._world.count_retry(states.RetryReason.CANCEL_UNCONFIRMED)
                self._cancel(cancel, now)

    def _follow_ownership(self, now: float) -> None:
        """Leave engines to their new owner."""
        owned = engine_schedule.owned_engines(self._world)
        self._turns.set_engines(owned, now)
        kept = set(owned)
        self._cancels = {
            c: at for c, at in self._cancels.items() if c[0] in kept
        }
        self._queries = {r: q for r, q in self._queries.items() if r in kept}

    def _compare(self, listed: messages.RequestsListed, now: float) -> None:
        self._holders.follow()
        self._drop_absent(listed)
        before = self._queries.get(listed.runner, {})
        queries: dict[ids.EngineRequestId, tuple[float, float]] = {}
        batches: dict[ids.InstanceId, list[ids.EngineRequestId]] = {}
        for engine_id in listed.engine_request_ids:
            holder = ids.holder_of(engine_id)
            if holder is None:
                continue
            state = self._holders.state(holder)
            if state is HolderState.LOST:
                self._cancel_once((listed.runner, engine_id), now)
            elif state is HolderState.LIVE:
                due, wait_s = before.get(
                    engine_id, (now + FIRST_QUERY_S, FIRST_QUERY_S)
                )
                if due <= now:
                    batches.setdefault(holder.instance, []).append(engine_id)
                    wait_s = min(2 * wait_s, LAST_QUERY_S)
                    due = now + wait_s
                queries[engine_id] = (due, wait_s)
        self._queries[listed.runner] = queries
        for instance, asked in batches.items():
            query = messages.HolderQuery(listed.runner, tuple(asked))
            self._world.send(instance, query)

    def _drop_absent(self, listed: messages.RequestsListed) -> None:
        """Forget cancels of what the engine holds no more."""
        present = set(listed.engine_request_ids)
        for cancel in list(self._cancels):
            if cancel[0] == listed.runner and cancel[1] not in present:
                del self._cancels[cancel]

    def _take_reply(self, message: messages.FromPeer, now: float) -> None:
        """Cancel what its own holder does not need."""
        reply = message.message
        assert isinstance(reply, messages.HolderReply)
        sender = ids.Holder(message.sender, message.incarnation)
        known = self._queries.get(reply.runner, {})
        for engine_id in reply.unneeded:
            if engine_id in known and ids.holder_of(engine_id) == sender:
                self._cancel_once((reply.runner, engine_id), now)

    def _cancel_once(self, cancel: Cancel, now: float) -> None:
        if cancel not in self._cancels:
            self._world.count('reclaimed')
            self._cancel(cancel, now)

    def _cancel(self, cancel: Cancel, now: float) -> None:
        """Cancel now, and again until the engine confirms."""
        self._cancels[cancel] = now + CANCEL_REPEAT_S
        self._world.emit(messages.CancelUpstream(*cancel))
