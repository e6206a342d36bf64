"""Sends plain calls to runners: queues, hedges and time limits."""

import bisect
import heapq
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _plain_balancing as plain_balancing
from primrosereel.core import _plain_call as plain_call
from primrosereel.core import _plain_call_table as plain_call_table
from primrosereel.core import _tables as tables

__all__ = ['Dispatcher']

Reason = states.RefusalReason

# Covers an adapter that does not end a call after its timeout.
ADAPTER_TIMEOUT_MARGIN_S = 5.0


class Dispatcher:
    """Queues calls by service and sends them when a runner has a place."""

    def __init__(
        self, world: tables.World, table: plain_call_table.PlainCallTable
    ) -> None:
        self._world = world
        self._table = table
        self._timers: list[tuple[float, ids.RequestId]] = []
        self._outstanding = plain_balancing.OutstandingCalls()
        self._latencies = plain_balancing.Latencies()

    def overdue(self, now: float) -> list[messages.PlainFailed]:
        """Return the failures of calls whose adapter reported no result."""
        return [
            plain_call.timeout_failure(late)
            for late in self._outstanding.overdue(now)
        ]

    def run(self, now: float) -> None:
        """Advance hedges, time limits and queues."""
        while self._timers and self._timers[0][0] <= now:
            _, request_id = heapq.heappop(self._timers)
            if request_id in self._table.calls:
                self._check_times(self._table.calls[request_id], now)
        for service in list(self._table.queues):
            self._dispatch(service, now)

    def schedule_wake(self) -> None:
        """Ask for a tick when the next time limit is due."""
        self._world.wake_at(self._outstanding.next_at)
        if self._timers:
            self._world.wake_at(self._timers[0][0])

    def free_place(
        self, request: ids.RequestId, attempt: int
    ) -> plain_balancing.OutstandingCall | None:
        """Free the place of an attempt; None if it has none."""
        return self._outstanding.remove(request, attempt)

    def observe_latency(self, service: ids.ServiceId, seconds: float) -> None:
        """Record the duration of an answered call."""
        self._latencies.observe(service, seconds)

    def enqueue(self, call: plain_call.PlainCall, now: float) -> None:
        """Queue a call and send it at once if a runner has a place."""
        call.stage = plain_call.Stage.QUEUED
        service = call.message.service
        queue = self._table.queues.setdefault(service, [])
        bisect.insort(queue, call, key=lambda c: c.queue_order)
        self._dispatch(service, now)

    def _dispatch(self, service: ids.ServiceId, now: float) -> None:
        """Send the calls for which a runner has a place."""
        text = self._world.text
        if text is None or service not in text.services:
            for call in self._table.queues.pop(service):
                self._table.refuse(call, Reason.UNKNOWN_SERVICE)
            return
        waiting = []
        for call in self._table.queues.pop(service):
            if now >= call.deadline:
                self._table.refuse(call, Reason.DEADLINE)
            elif not self._try_runner(call, now):
                waiting.append(call)
        limit = text.services[service].queue_limit
        for call in waiting[limit:]:
            self._table.refuse(call, Reason.QUEUE_FULL)
        if waiting[:limit]:
            self._table.queues[service] = waiting[:limit]

    def _try_runner(self, call: plain_call.PlainCall, now: float) -> bool:
        if now < call.not_before:
            return False
        runner = plain_balancing.choose_runner(
            self._world,
            call.message.service,
            self._outstanding,
            call.excluded,
        )
        if runner is None:
            return False
        call.stage = plain_call.Stage.CALLING
        self._send(call, runner, now)
        if call.is_idempotent and call.message.method == 'GET':
            wait_s = self._latencies.hedge_delay_s(call.message.service)
            call.hedge_at = now + wait_s
            self.set_timer(call, call.hedge_at)
        return True

    def _send(
        self, call: plain_call.PlainCall, runner: ids.RunnerId, now: float
    ) -> None:
        call.attempt += 1
        call.in_flight[call.attempt] = runner
        self._world.explain(
            call.request_id,
            f'attempt {call.attempt} at {runner} with '
            f'{self._outstanding.count_at(runner)} calls',
        )
        self._outstanding.add(
            plain_balancing.OutstandingCall(
                call.request_id, call.attempt, runner
            ),
            now + call.rule.timeout_s + ADAPTER_TIMEOUT_MARGIN_S,
        )
        message = call.message
        self._world.emit(
            messages.CallPlain(
                call.request_id,
                call.attempt,
                runner,
                message.method,
                message.path,
                plain_call.headers_with_key(message),
                message.body,
                call.rule.timeout_s,
            )
        )

    def _check_times(self, call: plain_call.PlainCall, now: float) -> None:
        """Send a hedge if it is due; ``_dispatch`` checks deadlines."""
        if now < call.hedge_at or len(call.in_flight) != 1:
            return
        call.hedge_at = math.inf
        runner = plain_balancing.choose_runner(
            self._world,
            call.message.service,
            self._outstanding,
            call.excluded | set(call.in_flight.values()),
        )
        if runner is None or runner in call.in_flight.values():
            return
        if self._world.retry_budget.take(now):
            self._world.count('hedge')
            self._send(call, runner, now)

    def set_timer(self, call: plain_call.PlainCall, when: float) -> None:
        """Schedule a check of a call."""
        if when < math.inf:
            heapq.heappush(self._timers, (when, call.request_id))
