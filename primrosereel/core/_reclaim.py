"""Frees engine memory whose holder is lost or no longer needs it.

Only the owner of an engine's group does this. It cancels the engine requests
of lost incarnations. It also queries live holders about their requests, to
free memory that a holder failed to release. The requests of a live holder
that does not answer are kept.
"""

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _engine_schedule as engine_schedule
from primrosereel.core import _holder_liveness as holder_liveness
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['ReclaimSystem']

HolderState = holder_liveness.HolderState

ENGINE_LIST_INTERVAL_S = 2.0
# At most 4 lists per second. 16 engines are then listed every 4 s, within the
# 5 s in which the memory of a lost instance must be free.
MIN_ENGINE_LIST_SPACING_S = 0.25
OWNERSHIP_CHECK_INTERVAL_S = 0.5
CANCEL_REPEAT_DELAY_S = 1.0
# A request is queried once a second list contains it, then at growing
# intervals: holders release known requests themselves, and long streams are
# common.
FIRST_QUERY_DELAY_S = 1.0
MAX_QUERY_DELAY_S = 32.0

Cancel = tuple[ids.RunnerId, ids.EngineRequestId]


class ReclaimSystem:
    """Cancels requests on the owned engines that no holder needs."""

    inputs: tuple[type, ...] = (
        messages.RequestsListed,
        messages.HolderReply,
        messages.CancelConfirmed,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._holder_liveness = holder_liveness.HolderLiveness(world)
        self._schedule = engine_schedule.EngineSchedule(
            ENGINE_LIST_INTERVAL_S, MIN_ENGINE_LIST_SPACING_S
        )
        self._next_ownership_check_at = 0.0
        # The time at which each unconfirmed cancel is repeated.
        self._pending_cancels: dict[Cancel, float] = {}
        # For each request of a live holder, the time of the next query and
        # the interval before it.
        self._query_schedules: dict[
            ids.RunnerId, dict[ids.EngineRequestId, tuple[float, float]]
        ] = {}

    def receive(self, message, now: float) -> None:
        """Process an engine's list, a holder's reply or a confirmation."""
        if isinstance(message, messages.RequestsListed):
            if engine_schedule.owns_engine(self._world, message.runner):
                self._process_engine_list(message, now)
        elif isinstance(message, messages.CancelConfirmed):
            self._pending_cancels.pop(
                (message.runner, message.engine_request_id), None
            )
        else:
            self._process_holder_reply(message, now)

    def run(self, now: float) -> None:
        """Request the list of the next engine and repeat cancels."""
        holder_left = self._holder_liveness.update()
        if holder_left or now >= self._next_ownership_check_at:
            self._next_ownership_check_at = now + OWNERSHIP_CHECK_INTERVAL_S
            self._update_owned_engines(now)
        if holder_left:
            self._schedule.make_due(now)
        runner = self._schedule.take_due(now)
        if runner is not None:
            self._world.emit(messages.ListRequests(runner))
        for cancel, at in list(self._pending_cancels.items()):
            if at <= now:
                self._world.count_retry(states.RetryReason.CANCEL_UNCONFIRMED)
                self._send_cancel(cancel, now)

    def _update_owned_engines(self, now: float) -> None:
        """Schedule the owned engines; drop the state of all others."""
        owned = engine_schedule.owned_engines(self._world)
        self._schedule.set_engines(owned, now)
        owned_runners = set(owned)
        self._pending_cancels = {
            c: at
            for c, at in self._pending_cancels.items()
            if c[0] in owned_runners
        }
        self._query_schedules = {
            r: q
            for r, q in self._query_schedules.items()
            if r in owned_runners
        }

    def _process_engine_list(
        self, listed: messages.RequestsListed, now: float
    ) -> None:
        self._holder_liveness.update()
        self._drop_completed_cancels(listed)
        previous = self._query_schedules.get(listed.runner, {})
        query_schedule: dict[ids.EngineRequestId, tuple[float, float]] = {}
        batches: dict[ids.InstanceId, list[ids.EngineRequestId]] = {}
        for engine_id in listed.engine_request_ids:
            holder = ids.holder_of(engine_id)
            if holder is None:
                continue
            state = self._holder_liveness.state(holder)
            if state is HolderState.LOST:
                self._start_cancel((listed.runner, engine_id), now)
            elif state is HolderState.LIVE:
                due, wait_s = previous.get(
                    engine_id, (now + FIRST_QUERY_DELAY_S, FIRST_QUERY_DELAY_S)
                )
                if due <= now:
                    batches.setdefault(holder.instance, []).append(engine_id)
                    wait_s = min(2 * wait_s, MAX_QUERY_DELAY_S)
                    due = now + wait_s
                query_schedule[engine_id] = (due, wait_s)
        self._query_schedules[listed.runner] = query_schedule
        for instance, engine_ids in batches.items():
            query = messages.HolderQuery(listed.runner, tuple(engine_ids))
            self._world.send(instance, query)

    def _drop_completed_cancels(self, listed: messages.RequestsListed) -> None:
        """Drop cancels of requests that the engine no longer holds."""
        present = set(listed.engine_request_ids)
        for cancel in list(self._pending_cancels):
            if cancel[0] == listed.runner and cancel[1] not in present:
                del self._pending_cancels[cancel]

    def _process_holder_reply(
        self, message: messages.FromPeer, now: float
    ) -> None:
        """Cancel the unneeded requests that the sender holds."""
        reply = message.message
        assert isinstance(reply, messages.HolderReply)
        sender = ids.Holder(message.sender, message.incarnation)
        known = self._query_schedules.get(reply.runner, {})
        for engine_id in reply.unneeded:
            if engine_id in known and ids.holder_of(engine_id) == sender:
                self._start_cancel((reply.runner, engine_id), now)

    def _start_cancel(self, cancel: Cancel, now: float) -> None:
        if cancel not in self._pending_cancels:
            self._world.count('reclaimed')
            self._send_cancel(cancel, now)

    def _send_cancel(self, cancel: Cancel, now: float) -> None:
        """Send a cancel; it is repeated until the engine confirms it."""
        self._pending_cancels[cancel] = now + CANCEL_REPEAT_DELAY_S
        self._world.emit(messages.CancelUpstream(*cancel))
