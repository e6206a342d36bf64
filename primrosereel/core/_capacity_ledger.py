"""The ledger of a group: reserved places, engine memory and link time.

A reservation holds a decode place, pieces of engine memory and a transfer slot
on the decode runner's link and, until its prefill ends, a job on a prefill
runner. Capacity may be overbooked, since two owners may grant for a short time
and a capacity may be lowered; the reserved counts are exact and never
negative.
"""

import dataclasses
import enum
import heapq
import math

from primrosereel import _ids as ids
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _prefill as prefill

__all__ = ['LEASE_S', 'DecodeRunner', 'CapacityLedger', 'Phase', 'Reservation']

LEASE_S = 30.0
# Load that only a report shows, not the ledger, counts for this long.
FOREIGN_LOAD_TTL_S = 5.0
# An observed token gap of a runner counts for this long.
TOKEN_GAP_TTL_S = 10.0


class Phase(enum.Enum):
    """The state of a granted request as known to the owner."""

    PREFILL = 'prefill'
    TRANSFER = 'transfer'
    DECODE = 'decode'
    PAUSING = 'pausing'
    PAUSED = 'paused'
    RESUMING = 'resuming'


PHASES_WITHOUT_PLACE = (Phase.PAUSING, Phase.PAUSED)


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The capacity reserved for one granted request.

    ``tokens`` is the size of its KV cache so far and ``entry`` the instance
    that received the request from its caller. ``max_tokens`` and
    ``first_token_at`` are unknown (0 and None) where a former owner granted
    it. ``yielded`` is True while it is paused by a yield (see
    ``_preemption``), and ``yields`` is the number of its yields.
    """

    request_id: ids.RequestId
    attempt: int
    entry: ids.InstanceId
    incarnation: ids.Incarnation
    client_account: ids.ClientAccountId
    priority: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    pieces: int
    tokens: int
    phase: Phase = Phase.PREFILL
    lease_until: float = math.inf
    lease_check_at: float = math.inf
    pauses: int = 0
    paused_at: float = math.inf
    prompt_tokens: int = 0
    explanation: str = ''
    max_tokens: int = 0
    first_token_at: float | None = None
    decoded_s: float = 0.0
    decoding_since: float = math.inf
    yields: int = 0
    yielded: bool = False

    def total_decode_s(self, now: float) -> float:
        """Return for how long it has decoded, without pauses."""
        return self.decoded_s + max(0.0, now - self.decoding_since)

    @property
    def has_place(self) -> bool:
        """Whether it occupies a place and memory on its decode runner."""
        return self.phase not in PHASES_WITHOUT_PLACE


class DecodeRunner:
    """Places, pieces and link of one decode runner."""

    def __init__(self, runner_id: ids.RunnerId, facts: text_module.Runner):
        self.runner_id = runner_id
        self.facts = facts
        self.occupants: dict[ids.RequestId, Reservation] = {}
        self.used_pieces = 0
        self.last_granted_at = -math.inf
        self.transfers: dict[ids.RequestId, tuple[float, float]] = {}
        self._changed_at = -math.inf
        self._foreign_until = -math.inf
        self._foreign_places = 0
        self._foreign_pieces = 0
        self._gap_s = 0.0
        self._gap_at = -math.inf

    def free_places(self, now: float) -> int:
        """Return the number of free places, at least 0."""
        return max(0, -self.excess_places(now))

    def excess_places(self, now: float) -> int:
        """Return occupied minus existing places; negative if some are free."""
        occupied = len(self.occupants)
        if now < self._foreign_until:
            occupied = max(0, occupied + self._foreign_places)
        return occupied - self.facts.places

    def free_pieces(self, now: float) -> int:
        """Return the number of free pieces, at least 0."""
        used = self.used_pieces
        if now < self._foreign_until:
            used += self._foreign_pieces
        return max(0, self.facts.pieces - used)

    def pieces_for(self, tokens: int) -> int:
        """Return the pieces that hold a number of tokens."""
        return max(1, math.ceil(tokens / self.facts.piece_tokens))

    def fits(self, pieces: int, now: float) -> bool:
        """Return whether a place and the given number of pieces are free."""
        return self.free_places(now) > 0 and self.free_pieces(now) >= pieces

    def earliest_link_start(self, ready_at: float, seconds: float) -> float:
        """Return the earliest free start of a transfer of a given length."""
        start = ready_at
        for planned_start, planned_end in sorted(self.transfers.values()):
            if start + seconds <= planned_start:
                break
            start = max(start, planned_end)
        return start

    def is_slow(self, gap_s: float, now: float) -> bool:
        """Return whether a recent token gap here exceeded a target."""
        return self._gap_s > gap_s and now < self._gap_at + TOKEN_GAP_TTL_S

    def gap_s(self, now: float) -> float:
        """Return the last token gap observed here, 0 if it is too old."""
        return self._gap_s if now < self._gap_at + TOKEN_GAP_TTL_S else 0.0

    def observe_gap(self, gap_s: float, now: float) -> None:
        """Record the token gap that an entry measured on a stream."""
        self._gap_s = gap_s
        self._gap_at = now

    def add(self, reservation: Reservation, now: float) -> None:
        """Add a reservation to the counts."""
        self.occupants[reservation.request_id] = reservation
        self.used_pieces += reservation.pieces
        self._changed_at = now

    def remove(self, reservation: Reservation, now: float) -> None:
        """Remove a reservation from the counts; idempotent."""
        self.transfers.pop(reservation.request_id, None)
        if self.occupants.pop(reservation.request_id, None) is None:
            return
        self.used_pieces -= reservation.pieces
        # If the last report showed fewer requests than the ledger held, the
        # difference is now smaller by this one.
        self._foreign_places += self._foreign_places < 0
        self._changed_at = now

    def mark_changed(self, now: float) -> None:
        """Note a change at the engine; older reports are ignored."""
        self._changed_at = now

    def apply_report(self, report: messages.LoadReport, now: float) -> None:
        """Apply a load report that is newer than the last change.

        The engine may or may not count reservations that do not decode yet,
        so only a difference outside of that range is taken into account.
        """
        if now - report.age_s <= self._changed_at:
            return
        busy = report.busy + report.queued
        max_expected = len(self.occupants)
        min_expected = sum(
            r.phase is Phase.DECODE for r in self.occupants.values()
        )
        self._foreign_places = max(0, busy - max_expected) + min(
            0, busy - min_expected
        )
        reported_pieces = self.facts.pieces - report.free_pieces
        self._foreign_pieces = max(0, reported_pieces - self.used_pieces)
        self._foreign_until = now + FOREIGN_LOAD_TTL_S


class CapacityLedger:
    """All reservations of a group and the state of its runners."""

    def __init__(self) -> None:
        self.prefill_runners: dict[ids.RunnerId, prefill.PrefillRunner] = {}
        self.decode_runners: dict[ids.RunnerId, DecodeRunner] = {}
        self.reservations: dict[ids.RequestId, Reservation] = {}
        self.suspended: dict[ids.RequestId, Reservation] = {}
        self.requests_by_entry: dict[ids.InstanceId, set[ids.RequestId]] = {}
        self._leases: list[tuple[float, ids.RequestId]] = []

    @property
    def next_expiry(self) -> float:
        """The time of the next lease check; no lease ends before it."""
        return self._leases[0][0] if self._leases else math.inf

    def add_decode_runner(
        self, runner: ids.RunnerId, facts: text_module.Runner, now: float
    ) -> None:
        """Add a decode runner, or update its configuration.

        A runner that is listed again still has the streams granted on it.
        """
        decode_runner = self.decode_runners.get(runner)
        if decode_runner is not None:
            decode_runner.facts = facts
            return
        decode_runner = self.decode_runners[runner] = DecodeRunner(
            runner, facts
        )
        for reservation in self.reservations.values():
            if reservation.decode_runner == runner and reservation.has_place:
                decode_runner.add(reservation, now)

    def reserve(
        self,
        reservation: Reservation,
        now: float,
        job: prefill.PrefillJob | None = None,
        transfer: tuple[float, float] | None = None,
    ) -> None:
        """Record a grant without checking that it fits."""
        key = reservation.request_id
        self.release(key, now)
        self.reservations[key] = reservation
        self.requests_by_entry.setdefault(reservation.entry, set()).add(key)
        self.renew_lease(reservation, now)
        self._schedule_lease_check(reservation, reservation.lease_until)
        if reservation.has_place:
            self._occupy(reservation, now)
        else:
            self.suspended[key] = reservation
        runner = self.decode_runners.get(reservation.decode_runner)
        if runner is not None:
            runner.last_granted_at = now
            if transfer is not None:
                runner.transfers[key] = transfer
        if (
            job is not None
            and reservation.prefill_runner in self.prefill_runners
        ):
            self.prefill_runners[reservation.prefill_runner].start(
                key, job, now
            )

    def release(
        self, request: ids.RequestId, now: float
    ) -> Reservation | None:
        """Free all capacity reserved for a request; idempotent."""
        reservation = self.reservations.pop(request, None)
        if reservation is None:
            return None
        self.suspended.pop(request, None)
        self._vacate(reservation, now)
        self._end_prefill(reservation, now)
        requests = self.requests_by_entry[reservation.entry]
        requests.discard(request)
        if not requests:
            del self.requests_by_entry[reservation.entry]
        return reservation

    def renew_lease(self, reservation: Reservation, now: float) -> None:
        """Extend a lease."""
        reservation.lease_until = now + LEASE_S

    def release_expired(self, now: float) -> list[Reservation]:
        """Release and return the reservations whose lease has ended."""
        expired = []
        while self._leases and self._leases[0][0] <= now:
            check_at, key = heapq.heappop(self._leases)
            reservation = self.reservations.get(key)
            if reservation is None or reservation.lease_check_at != check_at:
                continue
            if reservation.lease_until > now:
                self._schedule_lease_check(
                    reservation, reservation.lease_until
                )
                continue
            self.release(key, now)
            expired.append(reservation)
        return expired

    def shorten_lease(
        self, reservation: Reservation, seconds: float, now: float
    ) -> None:
        """End a lease earlier unless it is renewed."""
        until = now + seconds
        if until < reservation.lease_until:
            reservation.lease_until = until
            self._schedule_lease_check(reservation, until)

    def finish_prefill(
        self,
        reservation: Reservation,
        cached_tokens: int,
        speed: float,
        now: float,
    ) -> None:
        """End the prefill job and plan the transfer from now on."""
        if reservation.phase is not Phase.PREFILL:
            return
        key = reservation.request_id
        runner = self._prefill_runner_of(reservation)
        if runner is not None:
            runner.finish(key, cached_tokens, speed, now)
        reservation.phase = Phase.TRANSFER
        decode_runner = self.decode_runners.get(reservation.decode_runner)
        if decode_runner is not None and key in decode_runner.transfers:
            planned_start, planned_end = decode_runner.transfers.pop(key)
            start = decode_runner.earliest_link_start(
                now, planned_end - planned_start
            )
            decode_runner.transfers[key] = (
                start,
                start + planned_end - planned_start,
            )

    def start_decoding(self, reservation: Reservation, now: float) -> None:
        """Record the first token, which ends prefill and transfer."""
        if reservation.phase not in (Phase.PREFILL, Phase.TRANSFER):
            return
        self._end_prefill(reservation, now, completed=True)
        reservation.phase = Phase.DECODE
        reservation.first_token_at = now
        reservation.decoding_since = now
        decode_runner = self.decode_runners.get(reservation.decode_runner)
        if decode_runner is not None:
            decode_runner.transfers.pop(reservation.request_id, None)
            decode_runner.mark_changed(now)

    def pause(self, reservation: Reservation, now: float) -> None:
        """Free the place of a stream, whose pause is yet to be confirmed."""
        self._suspend(reservation, Phase.PAUSING, now)
        reservation.pauses += 1

    def pause_by_yield(self, reservation: Reservation, now: float) -> None:
        """Free the place of a stream that yields to other work."""
        self._suspend(reservation, Phase.PAUSING, now)
        reservation.yields += 1
        reservation.yielded = True

    def confirm_paused(self, reservation: Reservation, now: float) -> None:
        """Record that the engine has moved a stream out of its memory."""
        if reservation.phase is Phase.PAUSING:
            reservation.phase = Phase.PAUSED
        elif reservation.phase in (Phase.TRANSFER, Phase.DECODE):
            self._suspend(reservation, Phase.PAUSED, now)
            reservation.pauses += 1

    def resume(self, reservation: Reservation, now: float) -> None:
        """Reserve the place of a paused stream again."""
        self._unsuspend(reservation, Phase.RESUMING, now)

    def confirm_resumed(self, reservation: Reservation, now: float) -> None:
        """Record that a stream runs again, whoever resumed it."""
        self._unsuspend(reservation, Phase.DECODE, now)
        if reservation.phase is Phase.RESUMING:
            reservation.phase = Phase.DECODE
        if reservation.decoding_since == math.inf:
            reservation.decoding_since = now

    def _schedule_lease_check(
        self, reservation: Reservation, when: float
    ) -> None:
        """Schedule a check by ``release_expired``; replaces an earlier one."""
        reservation.lease_check_at = when
        heapq.heappush(self._leases, (when, reservation.request_id))

    def _suspend(
        self, reservation: Reservation, phase: Phase, now: float
    ) -> None:
        self._vacate(reservation, now)
        reservation.phase = phase
        reservation.paused_at = now
        reservation.decoded_s = reservation.total_decode_s(now)
        reservation.decoding_since = math.inf
        self.suspended[reservation.request_id] = reservation

    def _unsuspend(
        self, reservation: Reservation, phase: Phase, now: float
    ) -> None:
        if reservation.has_place:
            return
        del self.suspended[reservation.request_id]
        reservation.phase = phase
        reservation.paused_at = math.inf
        reservation.yielded = False
        self._occupy(reservation, now)

    def _occupy(self, reservation: Reservation, now: float) -> None:
        decode_runner = self.decode_runners.get(reservation.decode_runner)
        if decode_runner is not None:
            decode_runner.add(reservation, now)

    def _vacate(self, reservation: Reservation, now: float) -> None:
        decode_runner = self.decode_runners.get(reservation.decode_runner)
        if decode_runner is not None:
            decode_runner.remove(reservation, now)

    def _end_prefill(
        self, reservation: Reservation, now: float, completed: bool = False
    ) -> None:
        runner = self._prefill_runner_of(reservation)
        if runner is not None:
            runner.abandon(reservation.request_id, now, completed)

    def _prefill_runner_of(
        self, reservation: Reservation
    ) -> prefill.PrefillRunner | None:
        if reservation.prefill_runner is None:
            return None
        return self.prefill_runners.get(reservation.prefill_runner)
