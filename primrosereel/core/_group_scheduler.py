"""Decides which waiting requests of a group are granted, and when.

Within a priority, requests that can still meet their first token target go
before late ones, which cannot: under overload, serving strictly by age would
make every answer late. A small share of the grants still goes to late
requests, so that latency-tolerant callers are served as well.
"""

import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _preemption as preemption
from primrosereel.core import _queue as queue
from primrosereel.core import _reserving_policy as reserving_policy
from primrosereel.core import _stragglers as stragglers
from primrosereel.core import _tables as tables

__all__ = ['GroupScheduler']

# One grant in this many goes to a late request while others are on time.
GRANTS_PER_LATE_GRANT = 50
# While on-time requests arrive, late ones leave this share of the places free;
# otherwise they would take each place as it is freed and every request would
# have to wait for one. In a simulated group of 160 places at 110% load,
# goodput was 0.73 of the requests without this reserve, 0.84 with it, and no
# better with twice the share.
ON_TIME_PLACE_SHARE = 0.05
# The reserve is kept for this long after the last on-time grant.
ON_TIME_RESERVE_S = 2.0
# Covers what the first token estimate leaves out: messages between daemons and
# the wait behind a running prefill. Without it the last requests judged on
# time were just late; in the burst experiment (Guadalajara, seeds 1 to 3)
# goodput relative to its bound was 0.84 to 0.87 without it, 0.99 to 1.03 with
# 20 ms and 1.04 to 1.06 with 50 ms; at 90% load it fell by up to 0.003 with
# 50 ms.
FIRST_TOKEN_MARGIN_S = 0.03
DEFAULT_RETRY_AFTER_S = 1.0
# Estimates are no more precise than this.
MIN_RETRY_DELAY_S = 0.005

Phase = capacity_ledger.Phase
Reason = states.RefusalReason
Scarce = placement.Scarce


class GroupScheduler:
    """Grants or refuses the requests of a group and pauses its streams."""

    def __init__(
        self,
        world: tables.World,
        policy: placement.PlacementPolicy,
        view: placement.GroupView,
        waiting: queue.WaitingQueue,
        streams: preemption.Preemption,
    ) -> None:
        self.view = view
        self.release_rate = queue.ReleaseRate()
        self.retry_at = math.inf
        self._world = world
        self._policy = policy
        self._queue = waiting
        self._preemption = streams
        self._grants_since_late = 0
        self._last_on_time_at = -math.inf
        self._runner_withheld = False

    def run(self, now: float) -> None:
        """Resume and grant what fits; refuse what must not wait longer."""
        self.retry_at = math.inf
        self._runner_withheld = False
        if self._queue or self.view.ledger.suspended:
            self._grant_all(now)
            self._bound_queue(now)

    def send_grant(self, reservation: capacity_ledger.Reservation) -> None:
        """Send a grant to its entry; safe to repeat."""
        self._world.send(
            reservation.entry,
            messages.Grant(
                reservation.request_id,
                reservation.attempt,
                reservation.prefill_runner,
                reservation.decode_runner,
                capacity_ledger.LEASE_S,
                reservation.explanation,
            ),
        )

    def refuse(
        self,
        waiting: queue.WaitingRequest,
        reason: states.RefusalReason,
        now: float,
    ) -> None:
        """Refuse a waiting request."""
        request = waiting.request
        self._queue.remove(request.request_id)
        wait_s = (
            self.release_rate.estimated_wait_s(len(self._queue), now)
            or DEFAULT_RETRY_AFTER_S
        )
        self._world.count(f'pool.refused.{reason.value}')
        self._world.send(
            waiting.entry,
            messages.GrantRefused(
                request.request_id, request.attempt, reason, wait_s
            ),
        )

    def _grant_all(self, now: float) -> None:
        """Serve the priorities in turn, paused streams before new work."""
        withheld: set[ids.RunnerId] = set()
        self._preemption.resume_overdue(withheld, now)
        levels = self._queue.priorities() | self._preemption.priorities()
        for priority in sorted(levels, reverse=True):
            self._preemption.resume(priority, withheld, now)
            self._preemption.resume_out_of_slack(
                self.view, priority, withheld, now
            )
            while self._grant_one(priority, withheld, now):
                pass
        slack_end = self._preemption.next_slack_end(self.view, now)
        self.retry_at = min(self.retry_at, slack_end)

    def _grant_one(
        self, priority: int, withheld: set[ids.RunnerId], now: float
    ) -> bool:
        """Grant the first request of a priority that fits, if any does."""
        late_first = self._grants_since_late >= GRANTS_PER_LATE_GRANT
        for waiting in self._queue.grant_order(priority, late_first, now):
            request = waiting.request
            if waiting.is_late(now) and not late_first:
                self._preemption.resume_yielded(priority, withheld, now)
                if self._reserves_places(now):
                    break
            outcome = self._choose(request, withheld, now)
            if not isinstance(outcome, placement.Choice) and (
                not waiting.is_late(now)
            ):
                outcome = self._place_by_yield(request, outcome, withheld, now)
            if isinstance(outcome, placement.Choice):
                self._grant(waiting, outcome, now)
                return True
            if self._refuse_or_retry(waiting, outcome, now):
                continue
            if outcome.scarce is Scarce.PIECES and waiting.is_late(now):
                self._withhold_runner(request, withheld, now)
            if outcome.for_all and not request.exclude:
                break
        self._preemption.resume_yielded(priority, withheld, now)
        return False

    def _place_by_yield(
        self,
        request: messages.GrantRequest,
        shortage: placement.Shortage,
        withheld: set[ids.RunnerId],
        now: float,
    ) -> placement.Choice | placement.Shortage:
        """Place an on-time request by pausing a stream that has slack."""
        if shortage.scarce not in (Scarce.PLACE, Scarce.PIECES):
            return shortage
        if request.kv is not None:
            # The KV cache is ready and would arrive before the paused stream
            # has left.
            return shortage
        seconds = reserving_policy.first_token_estimate(
            self.view, request, now
        )
        if not self._preemption.yield_place(
            self.view, request, seconds, withheld, now
        ):
            return shortage
        return self._policy.choose(self.view, request, withheld, now)

    def _reserves_places(self, now: float) -> bool:
        """Return whether the free places are reserved for on-time requests."""
        if now > self._last_on_time_at + ON_TIME_RESERVE_S:
            return False
        runners = self.view.ledger.decode_runners.values()
        free = sum(runner.free_places(now) for runner in runners)
        places = sum(runner.facts.places for runner in runners)
        return free <= places * ON_TIME_PLACE_SHARE

    def _choose(
        self,
        request: messages.GrantRequest,
        withheld: set[ids.RunnerId],
        now: float,
    ) -> placement.Choice | placement.Shortage:
        """Choose runners, pausing streams of lower priority if necessary."""
        outcome = self._policy.choose(self.view, request, withheld, now)
        if (
            isinstance(outcome, placement.Choice)
            or request.priority <= 0
            or outcome.scarce not in (Scarce.PLACE, Scarce.PIECES)
            or not self._preemption.make_room(
                self.view, request, withheld, now
            )
        ):
            return outcome
        return self._policy.choose(self.view, request, withheld, now)

    def _refuse_or_retry(
        self,
        waiting: queue.WaitingRequest,
        outcome: placement.Shortage,
        now: float,
    ) -> bool:
        """Refuse a request that can never fit, or else schedule a retry.

        Returns whether the request was refused.
        """
        if outcome.scarce is Scarce.RUNNER:
            self.refuse(waiting, Reason.NO_RUNNER, now)
            return True
        if outcome.scarce is Scarce.SIZE:
            self.refuse(waiting, Reason.NO_CAPACITY, now)
            return True
        if outcome.retry_in_s:
            retry_in_s = max(outcome.retry_in_s, MIN_RETRY_DELAY_S)
            self.retry_at = min(self.retry_at, now + retry_in_s)
        return False

    def _withhold_runner(
        self,
        request: messages.GrantRequest,
        withheld: set[ids.RunnerId],
        now: float,
    ) -> None:
        """Withhold the runner that is closest to fitting a large request.

        Otherwise small requests could starve the large one. Only one runner
        is withheld at a time, since it gets no new work meanwhile.
        """
        if self._runner_withheld:
            return
        self._runner_withheld = True
        candidates = [
            runner
            for runner_id, runner in self.view.ledger.decode_runners.items()
            if runner_id not in withheld
            and self.view.usable(runner_id, request.exclude) is not None
        ]
        if candidates:
            best = max(
                candidates,
                key=lambda runner: (runner.free_pieces(now), runner.runner_id),
            )
            withheld.add(best.runner_id)

    def _grant(
        self,
        waiting: queue.WaitingRequest,
        choice: placement.Choice,
        now: float,
    ) -> None:
        request = waiting.request
        reservation = capacity_ledger.Reservation(
            request.request_id,
            request.attempt,
            waiting.entry,
            waiting.incarnation,
            request.client_account,
            request.priority,
            choice.prefill,
            choice.decode,
            choice.pieces,
            request.prompt_tokens,
            Phase.PREFILL if choice.prefill else Phase.TRANSFER,
            prompt_tokens=request.prompt_tokens,
            explanation=choice.explanation,
            max_tokens=request.max_tokens,
        )
        self.view.ledger.reserve(reservation, now, choice.job, choice.transfer)
        for runner_id in (choice.prefill, choice.decode):
            if runner_id is not None:
                # The entry may be another daemon, which ends the probe window
                # in its own tables.
                stragglers.end_probe_window(self._world, runner_id)
        self._queue.remove(request.request_id)
        self._queue.charge(
            request.client_account, request.prompt_tokens + request.max_tokens
        )
        late = waiting.is_late(now)
        self._grants_since_late = 0 if late else self._grants_since_late + 1
        if not late:
            self._last_on_time_at = now
        self._world.explain(request.request_id, choice.explanation)
        self.send_grant(reservation)

    def _bound_queue(self, now: float) -> None:
        """Refuse requests that would be too late or exceed the queue limit."""
        for waiting in self._queue.in_order():
            if not waiting.assessed:
                self._assess(waiting, now)
        limit = self.view.service.queue_limit
        while len(self._queue) > limit:
            self.refuse(self._queue.next_to_shed(now), Reason.QUEUE_FULL, now)

    def _assess(self, waiting: queue.WaitingRequest, now: float) -> None:
        """Set the latest start of a new waiting request, or refuse it."""
        request = waiting.request
        waiting.assessed = True
        if request.kv is None:
            target = self.view.service.first_token_s
            estimate = reserving_policy.first_token_estimate(
                self.view, request, now
            )
            spare_s = target - estimate - FIRST_TOKEN_MARGIN_S
            waiting.latest_start = waiting.arrived + spare_s
        wait_s = self.release_rate.estimated_wait_s(
            self._position(waiting, now), now
        )
        if wait_s is not None and now + wait_s > waiting.deadline:
            self.refuse(waiting, Reason.DEADLINE, now)

    def _position(self, waiting: queue.WaitingRequest, now: float) -> int:
        """Return how many requests are to be granted before this one."""
        priority = waiting.request.priority
        candidates = self._queue.grant_order(priority, False, now)
        higher_priority = sum(
            waiting_request.request.priority > priority
            for waiting_request in self._queue.in_order()
        )
        return higher_priority + candidates.index(waiting)
