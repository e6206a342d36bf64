"""State machine of completion requests at their entry instance.

::

    WAITING_GRANT --Grant--> PREFILL --PrefillDone--> DECODE --finish--> DONE
          ^                     |                        |
          +---- other places ---+------------------------+

This module takes the messages and finds the rows they concern; the steps are
in ``_grants``, ``_calls``, ``_streams``, ``_pauses``, ``_failures``,
``_attempts`` and ``_owner_queries``.
"""

from collections.abc import Callable

from returns import result

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _admission as admission
from primrosereel.core import _attempts as attempts
from primrosereel.core import _calls as calls
from primrosereel.core import _cancels as cancels
from primrosereel.core import _failures as failures
from primrosereel.core import _grants as grants
from primrosereel.core import _messages as messages
from primrosereel.core import _outcomes as outcomes
from primrosereel.core import _owner_queries as owner_queries
from primrosereel.core import _pauses as pauses
from primrosereel.core import _placement as placement
from primrosereel.core import _requests as requests
from primrosereel.core import _stragglers as stragglers
from primrosereel.core import _streams as streams
from primrosereel.core import _tables as tables

__all__ = ['EntrySystem']

State = states.RequestState


class EntrySystem:
    """Runs the completion requests that callers sent to this instance."""

    def __init__(
        self,
        world: tables.World,
        direct_choice: requests.DirectChoice = placement.direct_choice,
    ) -> None:
        self._world = world
        self._entry = requests.Requests(world, direct_choice)
        self._handlers: dict[type, Callable] = {
            messages.CompletionReceived: self._completion,
            messages.CallerLeft: self._caller_left,
            messages.PrefillDone: self._prefill_done,
            messages.PrefillFailed: self._prefill_failed,
            messages.TokensReceived: self._tokens,
            messages.StreamClosed: self._stream_closed,
            messages.StreamPaused: self._stream_paused,
            messages.StreamResumed: self._stream_resumed,
            messages.CancelConfirmed: self._cancel_confirmed,
            messages.CancelFailed: self._nothing,
            messages.TextChanged: self._text_changed,
            messages.DrainRequested: self._nothing,
            messages.PeerFailed: self._peer_failed,
            messages.Grant: self._grant,
            messages.GrantQueued: self._grant_queued,
            messages.GrantRefused: self._grant_refused,
            messages.PauseStream: self._pause_stream,
            messages.ResumeStream: self._resume_stream,
            messages.LiveGrantsQuery: self._live_grants_query,
            messages.HolderQuery: self._holder_query,
        }

    @property
    def inputs(self) -> tuple[type, ...]:
        """The types of the messages this system takes."""
        return tuple(self._handlers)

    def receive(self, message, now: float) -> None:
        """Take one message."""
        if isinstance(message, messages.FromPeer):
            inner = message.message
            self._handlers[type(inner)](message.sender, inner, now)
        else:
            self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Do what is due."""
        entry = self._entry
        for request in entry.timers.expired(now):
            self._expired(entry.rows[request], now)
        entry.cancels.run(now)
        entry.releases.run(now)
        self._world.wake_at(entry.timers.next())
        outcomes.finish_drain(self._world)

    # From callers.

    def _completion(
        self, message: messages.CompletionReceived, now: float
    ) -> None:
        admitted = admission.admit(
            self._world, message, states.ServiceKind.LLM, now
        )
        if isinstance(admitted, result.Failure):
            refusal = admitted.failure()
            outcomes.refuse(
                self._world,
                message.request_id,
                refusal.reason,
                states.Ran.NOT_RUN,
                refusal.retry_after_s,
                refusal.detail,
            )
            return
        self._accept(message, admitted.unwrap(), now)

    def _accept(
        self,
        message: messages.CompletionReceived,
        admitted: admission.Admitted,
        now: float,
    ) -> None:
        assert self._world.text is not None
        service = admitted.service
        assert service.model is not None
        row = requests.Request(
            message,
            admitted.client_account,
            admitted.priority,
            service,
            self._world.text.models[service.model],
            now + service.max_wait_s,
        )
        self._entry.rows[row.id] = row
        outcomes.begin(self._world, now)
        grants.begin(self._entry, row, now)

    def _caller_left(self, message: messages.CallerLeft, now: float) -> None:
        row = self._entry.rows.get(message.request_id)
        if row is not None:
            self._world.count('caller_left')
            self._world.explain(row.id, 'caller left')
            attempts.give_up(self._entry, row, now)
            attempts.end(self._entry, row)

    # From engines.

    def _prefill_done(self, message: messages.PrefillDone, now: float) -> None:
        row = self._current(message, State.PREFILL)
        if row is None or row.prefill is None:
            self._late(message, now)
            return
        uncached = max(0, message.kv.tokens - message.cached_tokens)
        self._world.count('prefill.tokens', uncached)
        row.prefill.kv = message.kv
        row.prefill.exported_at = now
        row.prefill.tokens = uncached
        if row.prefill.repeats_work:
            attempts.settle_prefill(self._entry, row, used=False)
        attempts.progress(
            self._entry,
            row,
            states.Stage.PREFILL_DONE,
            message.runner,
            message.cached_tokens,
            stragglers.prefill_speed(message),
        )
        self._decode(row, now)

    def _decode(self, row: requests.Request, now: float) -> None:
        """Start the decode, unless its runner began to leave meanwhile."""
        runner = row.decode_runner
        assert runner is not None
        if admission.is_ready(self._world, runner):
            calls.start_decode(self._entry, row, now)
            return
        failures.replace(
            self._entry,
            row,
            states.RetryReason.DECODE_FAILED,
            now,
            f'decode runner {runner} leaves',
            runner,
        )

    def _prefill_failed(
        self, message: messages.PrefillFailed, now: float
    ) -> None:
        row = self._current(message, State.PREFILL)
        if row is not None:
            failures.prefill_failed(self._entry, row, message, now)

    def _tokens(self, message: messages.TokensReceived, now: float) -> None:
        row = self._current(message, State.DECODE)
        if row is not None:
            streams.tokens(self._entry, row, message, now)
        elif message.finish is None:
            self._late(message, now)

    def _stream_closed(
        self, message: messages.StreamClosed, now: float
    ) -> None:
        row = self._current(message, State.DECODE)
        if row is not None:
            streams.closed(self._entry, row, message, now)

    def _stream_paused(
        self, message: messages.StreamPaused, now: float
    ) -> None:
        row = self._current(message, State.DECODE)
        if row is not None:
            pauses.paused(self._entry, row, now)

    def _stream_resumed(
        self, message: messages.StreamResumed, now: float
    ) -> None:
        row = self._current(message, State.DECODE)
        if row is not None:
            pauses.resumed(self._entry, row, now)

    def _cancel_confirmed(
        self, message: messages.CancelConfirmed, now: float
    ) -> None:
        self._entry.cancels.confirmed(
            cancels.Hold(message.runner, message.engine_request_id)
        )

    def _current(self, message, state: State) -> requests.Request | None:
        """Return the row if the message is of its current attempt."""
        row = self._entry.rows.get(message.request_id)
        if (
            row is None
            or row.state is not state
            or row.attempt != message.attempt
        ):
            return None
        if state is State.PREFILL:
            runner = row.prefill.runner if row.prefill else None
        else:
            runner = row.decode_runner
        return row if runner == message.runner else None

    def _late(self, message, now: float) -> None:
        """Cancel what an engine did for an attempt that was given up.

        The engine may have received the cancel before the call it cancels.
        """
        hold = cancels.Hold(
            message.runner,
            ids.engine_request_id(message.request_id, message.attempt),
        )
        row = self._entry.rows.get(message.request_id)
        if row is None or hold not in row.holds:
            self._entry.cancels.start(hold, now)

    # From peers and the process itself.

    def _grant(
        self, sender: ids.InstanceId, message: messages.Grant, now: float
    ) -> None:
        row = self._asked(message)
        if row is not None:
            grants.granted(self._entry, row, message, now)
            return
        known = self._entry.rows.get(message.request_id)
        if known is None or known.attempt != message.attempt:
            owner_queries.return_grant(self._entry, sender, message)

    def _grant_queued(
        self, sender: ids.InstanceId, message: messages.GrantQueued, now: float
    ) -> None:
        row = self._asked(message)
        if row is not None:
            grants.queued(self._entry, row, now)

    def _grant_refused(
        self,
        sender: ids.InstanceId,
        message: messages.GrantRefused,
        now: float,
    ) -> None:
        row = self._asked(message)
        if row is not None:
            grants.refused(self._entry, row, message, now)

    def _pause_stream(
        self, sender: ids.InstanceId, message: messages.PauseStream, now: float
    ) -> None:
        row = self._entry.rows.get(message.request_id)
        if row is not None and row.attempt == message.attempt:
            pauses.pause(self._entry, row, now)

    def _resume_stream(
        self,
        sender: ids.InstanceId,
        message: messages.ResumeStream,
        now: float,
    ) -> None:
        row = self._entry.rows.get(message.request_id)
        if row is not None and row.attempt == message.attempt:
            pauses.resume(self._entry, row, now)

    def _asked(self, message) -> requests.Request | None:
        """Return the row that waits for an answer of this attempt."""
        row = self._entry.rows.get(message.request_id)
        if (
            row is None
            or row.state is not State.WAITING_GRANT
            or row.attempt != message.attempt
        ):
            return None
        return row

    def _live_grants_query(
        self,
        sender: ids.InstanceId,
        message: messages.LiveGrantsQuery,
        now: float,
    ) -> None:
        owner_queries.report_live_grants(self._entry, sender, message)

    def _holder_query(
        self, sender: ids.InstanceId, message: messages.HolderQuery, now: float
    ) -> None:
        owner_queries.report_unneeded_requests(self._entry, sender, message)

    def _peer_failed(self, message: messages.PeerFailed, now: float) -> None:
        for failed in message.messages:
            if isinstance(failed, messages.GrantRequest):
                row = self._asked(failed)
                if row is not None and row.owner == message.peer:
                    grants.owner_unreachable(self._entry, row, now)
            elif (
                isinstance(failed, messages.Progress)
                and failed.stage is states.Stage.RELEASED
            ):
                self._entry.releases.retry_later(failed, now)

    def _text_changed(self, message: messages.TextChanged, now: float) -> None:
        self._entry.cancels.forget_gone_runners()

    def _nothing(self, message, now: float) -> None:
        """Take a message after which only ``run`` has something to do."""

    def _expired(self, row: requests.Request, now: float) -> None:
        if row.state is State.WAITING_GRANT:
            grants.expired(self._entry, row, now)
        elif row.state is State.DECODE:
            streams.expired(self._entry, row, now)
        elif now >= row.prefill_until:
            failures.prefill_late(self._entry, row, now)
        else:
            row.renew_at = now + calls.RENEW_S
            attempts.progress(self._entry, row, states.Stage.RENEWED)
            self._entry.timers.set(
                row.id, min(row.prefill_until, row.renew_at)
            )
