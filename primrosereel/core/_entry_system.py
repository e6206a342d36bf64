"""State machine of completion requests at their entry instance.

::

    WAITING_GRANT --Grant--> PREFILL --PrefillDone--> DECODE --finish--> DONE
          ^                     |                        |
          +---- other places ---+------------------------+

The entry instance is the daemon that received the request from its caller.
This module receives the messages and looks up the requests they concern. The
steps are in ``_grants``, ``_engine_calls``, ``_decode_streams``,
``_stream_pauses``, ``_failover``, ``_attempt_cleanup`` and ``_owner_queries``.
"""

from collections.abc import Callable

from returns import result

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _admission as admission
from primrosereel.core import _attempt_cleanup as attempt_cleanup
from primrosereel.core import _cancels as cancels
from primrosereel.core import _decode_streams as decode_streams
from primrosereel.core import _engine_calls as engine_calls
from primrosereel.core import _entry_state as entry_state
from primrosereel.core import _failover as failover
from primrosereel.core import _grants as grants
from primrosereel.core import _messages as messages
from primrosereel.core import _owner_queries as owner_queries
from primrosereel.core import _placement as placement
from primrosereel.core import _request_lifecycle as request_lifecycle
from primrosereel.core import _stragglers as stragglers
from primrosereel.core import _stream_pauses as stream_pauses
from primrosereel.core import _tables as tables

__all__ = ['EntrySystem']

State = states.RequestState


class EntrySystem:
    """Runs the completion requests that callers sent to this instance."""

    def __init__(
        self,
        world: tables.World,
        direct_choice: entry_state.DirectChoice = placement.direct_choice,
    ) -> None:
        self._world = world
        self._entry = entry_state.EntryState(world, direct_choice)
        self._handlers: dict[type, Callable] = {
            messages.CompletionReceived: self._on_completion,
            messages.CallerLeft: self._on_caller_left,
            messages.PrefillDone: self._on_prefill_done,
            messages.PrefillFailed: self._on_prefill_failed,
            messages.TokensReceived: self._on_tokens,
            messages.StreamClosed: self._on_stream_closed,
            messages.StreamPaused: self._on_stream_paused,
            messages.StreamResumed: self._on_stream_resumed,
            messages.CancelConfirmed: self._on_cancel_confirmed,
            messages.CancelFailed: self._ignore,
            messages.TextChanged: self._on_text_changed,
            messages.DrainRequested: self._ignore,
            messages.PeerFailed: self._on_peer_failed,
            messages.Grant: self._on_grant,
            messages.GrantQueued: self._on_grant_queued,
            messages.GrantRefused: self._on_grant_refused,
            messages.PauseStream: self._on_pause_stream,
            messages.ResumeStream: self._on_resume_stream,
            messages.LiveGrantsQuery: self._on_live_grants_query,
            messages.HolderQuery: self._on_holder_query,
        }

    @property
    def inputs(self) -> tuple[type, ...]:
        """The types of the messages this system receives."""
        return tuple(self._handlers)

    def receive(self, message, now: float) -> None:
        """Pass one message to its handler."""
        if isinstance(message, messages.FromPeer):
            inner = message.message
            self._handlers[type(inner)](message.sender, inner, now)
        else:
            self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Handle expired timers and repeat unconfirmed messages."""
        entry = self._entry
        for request_id in entry.timers.expired(now):
            self._on_timer(entry.requests[request_id], now)
        entry.cancels.run(now)
        entry.release_retries.run(now)
        self._world.wake_at(entry.timers.next())
        request_lifecycle.finish_drain(self._world)

    # From callers.

    def _on_completion(
        self, message: messages.CompletionReceived, now: float
    ) -> None:
        admitted = admission.admit(
            self._world, message, states.ServiceKind.LLM, now
        )
        if isinstance(admitted, result.Failure):
            refusal = admitted.failure()
            request_lifecycle.refuse(
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
        request = entry_state.CompletionRequest(
            message,
            admitted.client_account,
            admitted.priority,
            service,
            self._world.text.models[service.model],
            now + service.max_wait_s,
        )
        self._entry.requests[request.id] = request
        request_lifecycle.count_accepted(self._world, now)
        grants.request_places(self._entry, request, now)

    def _on_caller_left(
        self, message: messages.CallerLeft, now: float
    ) -> None:
        request = self._entry.requests.get(message.request_id)
        if request is not None:
            self._world.count('caller_left')
            self._world.explain(request.id, 'caller disconnected')
            attempt_cleanup.abandon_attempt(self._entry, request, now)
            attempt_cleanup.remove_request(self._entry, request)

    # From engines.

    def _on_prefill_done(
        self, message: messages.PrefillDone, now: float
    ) -> None:
        request = self._current_request(message, State.PREFILL)
        if request is None or request.prefill is None:
            self._cancel_late_work(message, now)
            return
        uncached = max(0, message.kv.tokens - message.cached_tokens)
        self._world.count('prefill.tokens', uncached)
        request.prefill.kv = message.kv
        request.prefill.exported_at = now
        request.prefill.tokens = uncached
        if request.prefill.repeats_work:
            attempt_cleanup.settle_prefill(self._entry, request, used=False)
        attempt_cleanup.report_progress(
            self._entry,
            request,
            states.Stage.PREFILL_DONE,
            message.runner,
            message.cached_tokens,
            stragglers.prefill_speed(message),
        )
        self._start_decode(request, now)

    def _start_decode(
        self, request: entry_state.CompletionRequest, now: float
    ) -> None:
        """Start the decode, unless its runner is no longer ready."""
        runner = request.decode_runner
        assert runner is not None
        if admission.is_ready(self._world, runner):
            engine_calls.start_decode(self._entry, request, now)
            return
        failover.place_again(
            self._entry,
            request,
            states.RetryReason.DECODE_FAILED,
            now,
            f'decode runner {runner} leaves',
            runner,
        )

    def _on_prefill_failed(
        self, message: messages.PrefillFailed, now: float
    ) -> None:
        request = self._current_request(message, State.PREFILL)
        if request is not None:
            failover.on_prefill_failed(self._entry, request, message, now)

    def _on_tokens(self, message: messages.TokensReceived, now: float) -> None:
        request = self._current_request(message, State.DECODE)
        if request is not None:
            decode_streams.on_tokens(self._entry, request, message, now)
        elif message.finish is None:
            self._cancel_late_work(message, now)

    def _on_stream_closed(
        self, message: messages.StreamClosed, now: float
    ) -> None:
        request = self._current_request(message, State.DECODE)
        if request is not None:
            decode_streams.on_closed(self._entry, request, message, now)

    def _on_stream_paused(
        self, message: messages.StreamPaused, now: float
    ) -> None:
        request = self._current_request(message, State.DECODE)
        if request is not None:
            stream_pauses.on_paused(self._entry, request, now)

    def _on_stream_resumed(
        self, message: messages.StreamResumed, now: float
    ) -> None:
        request = self._current_request(message, State.DECODE)
        if request is not None:
            stream_pauses.on_resumed(self._entry, request, now)

    def _on_cancel_confirmed(
        self, message: messages.CancelConfirmed, now: float
    ) -> None:
        self._entry.cancels.remove(
            cancels.Hold(message.runner, message.engine_request_id)
        )

    def _current_request(
        self, message, state: State
    ) -> entry_state.CompletionRequest | None:
        """Return the request if the message is of its current attempt."""
        request = self._entry.requests.get(message.request_id)
        if (
            request is None
            or request.state is not state
            or request.attempt != message.attempt
        ):
            return None
        if state is State.PREFILL:
            runner = request.prefill.runner if request.prefill else None
        else:
            runner = request.decode_runner
        return request if runner == message.runner else None

    def _cancel_late_work(self, message, now: float) -> None:
        """Cancel work that an engine did for an abandoned attempt.

        A cancel can reach the engine before the call that it cancels.
        """
        hold = cancels.Hold(
            message.runner,
            ids.engine_request_id(message.request_id, message.attempt),
        )
        request = self._entry.requests.get(message.request_id)
        if request is None or hold not in request.holds:
            self._entry.cancels.start(hold, now)

    # From peers and the process itself.

    def _on_grant(
        self, sender: ids.InstanceId, message: messages.Grant, now: float
    ) -> None:
        request = self._waiting_request(message)
        if request is not None:
            grants.on_granted(self._entry, request, message, now)
            return
        known = self._entry.requests.get(message.request_id)
        if known is None or known.attempt != message.attempt:
            owner_queries.return_grant(self._entry, sender, message)

    def _on_grant_queued(
        self, sender: ids.InstanceId, message: messages.GrantQueued, now: float
    ) -> None:
        request = self._waiting_request(message)
        if request is not None:
            grants.on_queued(self._entry, request, now)

    def _on_grant_refused(
        self,
        sender: ids.InstanceId,
        message: messages.GrantRefused,
        now: float,
    ) -> None:
        request = self._waiting_request(message)
        if request is not None:
            grants.on_refused(self._entry, request, message, now)

    def _on_pause_stream(
        self, sender: ids.InstanceId, message: messages.PauseStream, now: float
    ) -> None:
        request = self._entry.requests.get(message.request_id)
        if request is not None and request.attempt == message.attempt:
            stream_pauses.pause(self._entry, request, now)

    def _on_resume_stream(
        self,
        sender: ids.InstanceId,
        message: messages.ResumeStream,
        now: float,
    ) -> None:
        request = self._entry.requests.get(message.request_id)
        if request is not None and request.attempt == message.attempt:
            stream_pauses.resume(self._entry, request, now)

    def _waiting_request(
        self, message
    ) -> entry_state.CompletionRequest | None:
        """Return the request that waits for an answer of this attempt."""
        request = self._entry.requests.get(message.request_id)
        if (
            request is None
            or request.state is not State.WAITING_GRANT
            or request.attempt != message.attempt
        ):
            return None
        return request

    def _on_live_grants_query(
        self,
        sender: ids.InstanceId,
        message: messages.LiveGrantsQuery,
        now: float,
    ) -> None:
        owner_queries.report_live_grants(self._entry, sender, message)

    def _on_holder_query(
        self, sender: ids.InstanceId, message: messages.HolderQuery, now: float
    ) -> None:
        owner_queries.report_unneeded_requests(self._entry, sender, message)

    def _on_peer_failed(
        self, message: messages.PeerFailed, now: float
    ) -> None:
        for failed in message.messages:
            if isinstance(failed, messages.GrantRequest):
                request = self._waiting_request(failed)
                if request is not None and request.owner == message.peer:
                    grants.on_owner_unreachable(self._entry, request, now)
            elif (
                isinstance(failed, messages.Progress)
                and failed.stage is states.Stage.RELEASED
            ):
                self._entry.release_retries.retry_later(failed, now)

    def _on_text_changed(
        self, message: messages.TextChanged, now: float
    ) -> None:
        self._entry.cancels.forget_unlisted_runners()

    def _ignore(self, message, now: float) -> None:
        """Do nothing; the message only causes a call of ``run``."""

    def _on_timer(
        self, request: entry_state.CompletionRequest, now: float
    ) -> None:
        if request.state is State.WAITING_GRANT:
            grants.on_timer(self._entry, request, now)
        elif request.state is State.DECODE:
            decode_streams.on_timer(self._entry, request, now)
        elif now >= request.prefill_deadline:
            failover.on_prefill_timeout(self._entry, request, now)
        else:
            request.renew_at = now + engine_calls.GRANT_RENEWAL_S
            attempt_cleanup.report_progress(
                self._entry, request, states.Stage.RENEWED
            )
            self._entry.timers.set(
                request.id, min(request.prefill_deadline, request.renew_at)
            )
