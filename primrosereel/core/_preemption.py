"""Pausing streams for work of a higher priority, and resuming them.

A paused stream keeps its prefill work: its KV cache waits in the memory of
the decode runner's host and the stream continues on the same runner.
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

__all__ = ['MAX_PAUSES', 'MAX_YIELDS', 'PAUSE_BOUND_S', 'Preemption']

MAX_PAUSES = 2
# Pauses for work of the same priority, which count apart.
MAX_YIELDS = 2
# A pause that can only be short frees a place for nothing.
MIN_SLACK_S = 1.0
# The messages to the entry and the engine, and a wait for the link.
NOTICE_S = 0.02
# A stream that was paused for longer has the first claim on its runner, also
# before work of a higher priority.
PAUSE_BOUND_S = 10.0
# A pause or resumption that is not confirmed is asked for again.
CONFIRM_S = 1.0
# Freeing memory for one request must not stop a large part of a batch.
MAX_VICTIMS = 4

Phase = capacity_ledger.Phase


class Preemption:
    """The streams of a group that are paused or on the way there."""

    def __init__(
        self, world: tables.World, ledger: capacity_ledger.CapacityLedger
    ) -> None:
        self._world = world
        self._ledger = ledger
        self._unconfirmed: dict[ids.RequestId, float] = {}

    @property
    def next_due(self) -> float:
        """When an order is to be repeated or a stream gets first claim."""
        return min(self._unconfirmed.values(), default=math.inf)

    def next_urgent(self, view: placement.View, now: float) -> float:
        """Return when the slack of a paused stream runs out."""
        estimates = slack.SlackEstimator(view.service, view.model)
        dues = [
            estimates.latest_resume(
                row, self._ledger.decode_runners[row.decode_runner], now
            )
            for row in self._ledger.suspended.values()
            if row.yielded and row.decode_runner in self._ledger.decode_runners
        ]
        return min((due for due in dues if due > now), default=math.inf)

    def priorities(self) -> set[int]:
        """Return the priorities of the suspended streams."""
        return {r.priority for r in self._ledger.suspended.values()}

    def make_room(
        self,
        view: placement.View,
        request: messages.GrantRequest,
        held: Collection[ids.RunnerId],
        now: float,
    ) -> bool:
        """Pause what is in the way of a request; tell whether it has room.

        Of the suitable runners the one is taken where the least KV cache has
        to be moved, preferably one that is not suspect.
        """
        plans = []
        for runner, row in self._ledger.decode_runners.items():
            facts = view.usable(runner, request.exclude)
            if facts is None or runner in held:
                continue
            victims = _victims(row, request, now)
            if victims:
                moved = sum(v.tokens for v in victims)
                plans.append((facts.suspect, moved, runner, victims))
        if not plans:
            return False
        for victim in min(plans, key=lambda p: p[:3])[3]:
            self._pause(victim, now)
        return True

    def yield_place(
        self,
        view: placement.View,
        request: messages.GrantRequest,
        ready_s: float,
        held: Collection[ids.RunnerId],
        now: float,
    ) -> bool:
        """Pause the stream with the most slack for work of its priority.

        Its place must be free within ``ready_s``, when the KV cache of the
        request arrives; else the engine refuses it. The stream is paused only
        where the streams that will end on its runner make room for all
        paused ones before their slack runs out.
        """
        estimates = slack.SlackEstimator(view.service, view.model)
        plans = []
        for runner, row in self._ledger.decode_runners.items():
            facts = view.usable(runner, request.exclude)
            if facts is None or facts.suspect or runner in held:
                continue
            if row.excess_places(now) > 0 or row.is_slow(
                view.service.token_gap_s, now
            ):
                continue
            pieces = row.pieces_for(request.prompt_tokens + request.max_tokens)
            pieces -= row.free_pieces(now)
            for stream in row.occupants.values():
                if not _may_yield(stream, request.priority, pieces):
                    continue
                size = stream.tokens + stream.max_tokens
                size *= view.model.kv_bytes_per_token
                move_s = size / row.facts.link_bytes_s
                begin = now + view.model.decode_step_s + NOTICE_S
                moved_at = row.earliest_link_start(begin, move_s) + 2 * move_s
                if moved_at > now + ready_s:
                    continue
                due = estimates.latest_resume(stream, row, now)
                if due >= now + MIN_SLACK_S:
                    plans.append((-due, stream.request_id, stream, row))
        for _, _, stream, row in sorted(plans, key=lambda p: p[:2]):
            paused = [*self._suspended_on(row), stream]
            running = [r for r in row.occupants.values() if r is not stream]
            trial = dataclasses.replace(stream, yielded=True)
            paused[-1] = trial
            if estimates.can_resume_in_time(row, paused, running, now):
                self._ledger.pause_for_same_priority(stream, now)
                self._order(stream, messages.PauseStream, now)
                self._world.count('pool.yielded')
                self._world.explain(
                    stream.request_id, 'paused for work of its priority'
                )
                return True
        return False

    def resume_urgent(
        self,
        view: placement.View,
        priority: int,
        held: set[ids.RunnerId],
        now: float,
    ) -> None:
        """Resume the streams of a priority that cannot wait for a later place.

        A runner without room for them yet is added to ``held``.
        """
        estimates = slack.SlackEstimator(view.service, view.model)
        for runner, row in self._ledger.decode_runners.items():
            while runner not in held:
                paused = self._suspended_on(row)
                mine = [
                    r for r in paused if r.yielded and r.priority == priority
                ]
                if not mine or estimates.can_resume_in_time(
                    row, paused, row.occupants.values(), now
                ):
                    break
                first = min(
                    mine,
                    key=lambda r: estimates.latest_resume(r, row, now),
                )
                self._resume_each([first], held, now)

    def resume_yielded(
        self, priority: float, held: set[ids.RunnerId], now: float
    ) -> None:
        """Resume streams of a priority where there is room for them."""
        rows = [
            r
            for r in self._ledger.suspended.values()
            if r.priority == priority and r.yielded
        ]
        self._resume_each(rows, set(held), now)

    def _suspended_on(
        self, runner: capacity_ledger.DecodeRunner
    ) -> list[capacity_ledger.Reservation]:
        return [
            r
            for r in self._ledger.suspended.values()
            if r.decode_runner == runner.runner
        ]

    def resume(
        self, priority: float, held: set[ids.RunnerId], now: float
    ) -> None:
        """Resume the streams of a priority that fit on their runners.

        The runner of a stream that does not fit yet is added to ``held``, so
        that no later work takes what the stream waits for.
        """
        suspended = [
            r
            for r in self._ledger.suspended.values()
            if r.priority == priority and not r.yielded
        ]
        self._resume_each(suspended, held, now)

    def resume_overdue(self, held: set[ids.RunnerId], now: float) -> None:
        """Resume the streams that were paused for too long."""
        overdue = [
            r
            for r in self._ledger.suspended.values()
            if now >= r.paused_at + PAUSE_BOUND_S
        ]
        self._resume_each(overdue, held, now)

    def confirm(self, request: ids.RequestId) -> None:
        """Note that a stream is where it was ordered to be, or is gone."""
        self._unconfirmed.pop(request, None)

    def repeat(self, now: float) -> None:
        """Send unconfirmed orders again."""
        due = [r for r, when in self._unconfirmed.items() if when <= now]
        for request in due:
            row = self._ledger.reservations.get(request)
            if row is None or row.phase is Phase.DECODE:
                self.confirm(request)
            elif row.phase is Phase.RESUMING:
                self._order(row, messages.ResumeStream, now)
            elif row.phase is Phase.PAUSING:
                self._order(row, messages.PauseStream, now)
            else:
                self.confirm(request)

    def _pause(self, row: capacity_ledger.Reservation, now: float) -> None:
        self._ledger.pause(row, now)
        self._order(row, messages.PauseStream, now)
        self._world.count('pool.paused')
        self._world.explain(row.request_id, 'paused for a higher priority')

    def _resume_each(
        self,
        rows: list[capacity_ledger.Reservation],
        held: set[ids.RunnerId],
        now: float,
    ) -> None:
        for row in sorted(rows, key=lambda r: (-r.priority, r.paused_at)):
            runner = self._ledger.decode_runners.get(row.decode_runner)
            if runner is None:
                continue
            fits = runner.fits(row.pieces, now) or not runner.occupants
            if row.phase is not Phase.PAUSED or not fits:
                held.add(row.decode_runner)
            elif row.decode_runner not in held:
                self._ledger.resume(row, now)
                self._order(row, messages.ResumeStream, now)
                self._world.explain(row.request_id, 'resumed')

    def _order(
        self,
        row: capacity_ledger.Reservation,
        kind: type[messages.PauseStream] | type[messages.ResumeStream],
        now: float,
    ) -> None:
        self._unconfirmed[row.request_id] = now + CONFIRM_S
        self._world.send(row.entry, kind(row.request_id, row.attempt))


def _may_yield(
    stream: capacity_ledger.Reservation, priority: int, pieces: int
) -> bool:
    return (
        stream.phase is Phase.DECODE
        and stream.priority <= priority
        and stream.yields < MAX_YIELDS
        and stream.max_tokens > 0
        and stream.pieces >= pieces
    )


def _victims(
    runner: capacity_ledger.DecodeRunner,
    request: messages.GrantRequest,
    now: float,
) -> list[capacity_ledger.Reservation]:
    """Return the streams to pause for a request, or none if that fails.

    One stream is enough where its pieces are; else the largest are taken, so
    that few streams are stopped.
    """
    pieces = runner.pieces_for(request.prompt_tokens + request.max_tokens)
    pieces -= runner.free_pieces(now)
    places = max(0, runner.excess_places(now) + 1)
    streams = sorted(
        (
            r
            for r in runner.occupants.values()
            if r.phase is Phase.DECODE
            and r.priority < request.priority
            and r.pauses < MAX_PAUSES
        ),
        key=lambda r: (r.tokens, r.request_id),
    )
    for stream in streams:
        if stream.pieces >= pieces and places <= 1:
            return [stream]
    victims = []
    for stream in reversed(streams[-MAX_VICTIMS:]):
        victims.append(stream)
        pieces -= stream.pieces
        places -= 1
        if pieces <= 0 and places <= 0:
            return victims
    return []
