"""Pauses streams in favour of other requests and resumes them.

A paused stream keeps its prefill work: its KV cache is moved to the memory of
the decode runner's host, and the stream resumes on the same runner. A stream
yields when it is paused for a request of its own or a higher priority because
its slack allows that.
"""

from collections.abc import Collection
import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _slack as slack
from primrosereel.core import _tables as tables

__all__ = [
    'MAX_PRIORITY_PAUSES',
    'MAX_YIELDS',
    'OVERDUE_PAUSE_S',
    'Preemption',
]

# Pauses of one stream in favour of requests of a higher priority.
MAX_PRIORITY_PAUSES = 2
# Yields of one stream, which are counted separately from the pauses above.
MAX_YIELDS = 2
# A shorter pause would not free the place for long enough to be of use.
MIN_PAUSE_SLACK_S = 1.0
# Time until a pause starts: messages to the entry and the engine, and a wait
# for the link.
PAUSE_DELAY_S = 0.02
# A stream that was paused for longer is resumed first on its runner, even
# before requests of a higher priority are granted.
OVERDUE_PAUSE_S = 10.0
# A pause or resume order that is not confirmed in this time is sent again.
CONFIRM_TIMEOUT_S = 1.0
# Freeing memory for one request must not pause a large part of a batch.
MAX_VICTIMS_PER_REQUEST = 4

Phase = capacity_ledger.Phase


class Preemption:
    """Pauses and resumes the streams of a group."""

    def __init__(
        self, world: tables.World, ledger: capacity_ledger.CapacityLedger
    ) -> None:
        self._world = world
        self._ledger = ledger
        self._unconfirmed: dict[ids.RequestId, float] = {}

    @property
    def next_due(self) -> float:
        """When an unconfirmed order is to be sent again."""
        return min(self._unconfirmed.values(), default=math.inf)

    def next_slack_end(self, view: placement.GroupView, now: float) -> float:
        """Return when the slack of the next yielded stream runs out."""
        estimates = slack.SlackEstimator(view.service, view.model)
        slack_ends = [
            estimates.latest_resume(
                stream, self._ledger.decode_runners[stream.decode_runner], now
            )
            for stream in self._ledger.suspended.values()
            if stream.yielded
            and stream.decode_runner in self._ledger.decode_runners
        ]
        return min((end for end in slack_ends if end > now), default=math.inf)

    def priorities(self) -> set[int]:
        """Return the priorities of the suspended streams."""
        return {stream.priority for stream in self._ledger.suspended.values()}

    def make_room(
        self,
        view: placement.GroupView,
        request: messages.GrantRequest,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> bool:
        """Pause lower streams to fit a request; tell whether that succeeds.

        Runners that are not suspect are preferred, then the one on which the
        least KV cache has to be moved.
        """
        plans = []
        for runner_id, runner in self._ledger.decode_runners.items():
            runner_row = view.usable(runner_id, request.exclude)
            if runner_row is None or runner_id in withheld:
                continue
            victims = _choose_victims(runner, request, now)
            if victims:
                moved = sum(victim.tokens for victim in victims)
                plans.append((runner_row.suspect, moved, runner_id, victims))
        if not plans:
            return False
        for victim in min(plans, key=lambda plan: plan[:3])[3]:
            self._pause(victim, now)
        return True

    def yield_place(
        self,
        view: placement.GroupView,
        request: messages.GrantRequest,
        ready_s: float,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> bool:
        """Pause the stream with the most slack; tell whether one was paused.

        Its place must be free within ``ready_s``, when the KV cache of the
        request arrives; otherwise the engine would refuse the request. A
        stream is paused only if the streams that will end on its runner free
        enough for all paused ones before their slack runs out.
        """
        estimates = slack.SlackEstimator(view.service, view.model)
        plans = []
        for runner_id, runner in self._ledger.decode_runners.items():
            runner_row = view.usable(runner_id, request.exclude)
            if (
                runner_row is None
                or runner_row.suspect
                or runner_id in withheld
            ):
                continue
            if runner.excess_places(now) > 0 or runner.is_slow(
                view.service.token_gap_s, now
            ):
                continue
            missing_pieces = runner.pieces_for(
                request.prompt_tokens + request.max_tokens
            )
            missing_pieces -= runner.free_pieces(now)
            for stream in runner.occupants.values():
                if not _may_yield(stream, request.priority, missing_pieces):
                    continue
                size = stream.tokens + stream.max_tokens
                size *= view.model.kv_bytes_per_token
                move_s = size / runner.facts.link_bytes_s
                pause_start = now + view.model.decode_step_s + PAUSE_DELAY_S
                moved_at = (
                    runner.earliest_link_start(pause_start, move_s)
                    + 2 * move_s
                )
                if moved_at > now + ready_s:
                    continue
                due = estimates.latest_resume(stream, runner, now)
                if due >= now + MIN_PAUSE_SLACK_S:
                    plans.append((-due, stream.request_id, stream, runner))
        for _, _, stream, runner in sorted(plans, key=lambda plan: plan[:2]):
            paused = [*self._suspended_on(runner), stream]
            running = [
                other
                for other in runner.occupants.values()
                if other is not stream
            ]
            yielded_stream = dataclasses.replace(stream, yielded=True)
            paused[-1] = yielded_stream
            if estimates.can_resume_in_time(runner, paused, running, now):
                self._ledger.pause_by_yield(stream, now)
                self._send_order(stream, messages.PauseStream, now)
                self._world.count('pool.yielded')
                self._world.explain(
                    stream.request_id, 'paused within its slack for other work'
                )
                return True
        return False

    def resume_out_of_slack(
        self,
        view: placement.GroupView,
        priority: int,
        withheld: set[ids.RunnerId],
        now: float,
    ) -> None:
        """Resume yielded streams that no later place would resume in time.

        A runner that cannot fit them yet is added to ``withheld``.
        """
        estimates = slack.SlackEstimator(view.service, view.model)
        for runner_id, runner in self._ledger.decode_runners.items():
            while runner_id not in withheld:
                paused = self._suspended_on(runner)
                yielded_streams = [
                    stream
                    for stream in paused
                    if stream.yielded and stream.priority == priority
                ]
                if not yielded_streams or estimates.can_resume_in_time(
                    runner, paused, runner.occupants.values(), now
                ):
                    break
                first = min(
                    yielded_streams,
                    key=lambda stream: estimates.latest_resume(
                        stream, runner, now
                    ),
                )
                self._resume_each([first], withheld, now)

    def resume_yielded(
        self, priority: float, withheld: set[ids.RunnerId], now: float
    ) -> None:
        """Resume the yielded streams of a priority that fit again."""
        streams = [
            stream
            for stream in self._ledger.suspended.values()
            if stream.priority == priority and stream.yielded
        ]
        self._resume_each(streams, set(withheld), now)

    def _suspended_on(
        self, runner: capacity_ledger.DecodeRunner
    ) -> list[capacity_ledger.Reservation]:
        return [
            stream
            for stream in self._ledger.suspended.values()
            if stream.decode_runner == runner.runner_id
        ]

    def resume(
        self, priority: float, withheld: set[ids.RunnerId], now: float
    ) -> None:
        """Resume the preempted streams of a priority that fit again.

        The runner of a stream that does not fit yet is added to ``withheld``,
        so that no later work takes the capacity the stream waits for.
        """
        suspended = [
            stream
            for stream in self._ledger.suspended.values()
            if stream.priority == priority and not stream.yielded
        ]
        self._resume_each(suspended, withheld, now)

    def resume_overdue(self, withheld: set[ids.RunnerId], now: float) -> None:
        """Resume the streams that were paused for too long."""
        overdue = [
            stream
            for stream in self._ledger.suspended.values()
            if now >= stream.paused_at + OVERDUE_PAUSE_S
        ]
        self._resume_each(overdue, withheld, now)

    def confirm_order(self, request: ids.RequestId) -> None:
        """Stop repeating the order of a stream that has obeyed it or ended."""
        self._unconfirmed.pop(request, None)

    def resend_unconfirmed(self, now: float) -> None:
        """Send the overdue unconfirmed orders again."""
        due = [
            request_id
            for request_id, when in self._unconfirmed.items()
            if when <= now
        ]
        for request_id in due:
            stream = self._ledger.reservations.get(request_id)
            if stream is None or stream.phase is Phase.DECODE:
                self.confirm_order(request_id)
            elif stream.phase is Phase.RESUMING:
                self._send_order(stream, messages.ResumeStream, now)
            elif stream.phase is Phase.PAUSING:
                self._send_order(stream, messages.PauseStream, now)
            else:
                self.confirm_order(request_id)

    def _pause(self, stream: capacity_ledger.Reservation, now: float) -> None:
        self._ledger.pause(stream, now)
        self._send_order(stream, messages.PauseStream, now)
        self._world.count('pool.paused')
        self._world.explain(
            stream.request_id, 'paused for a request of higher priority'
        )

    def _resume_each(
        self,
        streams: list[capacity_ledger.Reservation],
        withheld: set[ids.RunnerId],
        now: float,
    ) -> None:
        for stream in sorted(
            streams, key=lambda stream: (-stream.priority, stream.paused_at)
        ):
            runner = self._ledger.decode_runners.get(stream.decode_runner)
            if runner is None:
                continue
            fits = runner.fits(stream.pieces, now) or not runner.occupants
            if stream.phase is not Phase.PAUSED or not fits:
                withheld.add(stream.decode_runner)
            elif stream.decode_runner not in withheld:
                self._ledger.resume(stream, now)
                self._send_order(stream, messages.ResumeStream, now)
                self._world.explain(stream.request_id, 'resumed')

    def _send_order(
        self,
        stream: capacity_ledger.Reservation,
        kind: type[messages.PauseStream] | type[messages.ResumeStream],
        now: float,
    ) -> None:
        self._unconfirmed[stream.request_id] = now + CONFIRM_TIMEOUT_S
        self._world.send(stream.entry, kind(stream.request_id, stream.attempt))


def _may_yield(
    stream: capacity_ledger.Reservation, priority: int, missing_pieces: int
) -> bool:
    return (
        stream.phase is Phase.DECODE
        and stream.priority <= priority
        and stream.yields < MAX_YIELDS
        and stream.max_tokens > 0
        and stream.pieces >= missing_pieces
    )


def _choose_victims(
    runner: capacity_ledger.DecodeRunner,
    request: messages.GrantRequest,
    now: float,
) -> list[capacity_ledger.Reservation]:
    """Return the streams to pause for a request, or none if that fails.

    The smallest stream that frees enough on its own is chosen; if there is
    none, the largest ones are, so that few streams are paused.
    """
    missing_pieces = runner.pieces_for(
        request.prompt_tokens + request.max_tokens
    )
    missing_pieces -= runner.free_pieces(now)
    missing_places = max(0, runner.excess_places(now) + 1)
    streams = sorted(
        (
            stream
            for stream in runner.occupants.values()
            if stream.phase is Phase.DECODE
            and stream.priority < request.priority
            and stream.pauses < MAX_PRIORITY_PAUSES
        ),
        key=lambda stream: (stream.tokens, stream.request_id),
    )
    for stream in streams:
        if stream.pieces >= missing_pieces and missing_places <= 1:
            return [stream]
    victims = []
    for stream in reversed(streams[-MAX_VICTIMS_PER_REQUEST:]):
        victims.append(stream)
        missing_pieces -= stream.pieces
        missing_places -= 1
        if missing_pieces <= 0 and missing_places <= 0:
            return victims
    return []
