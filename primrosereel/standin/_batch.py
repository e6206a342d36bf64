"""Continuous batching, computed per change of the batch's members.

Between two changes all steps take the same time, so the number of tokens of
each stream follows from the number of steps, without work per token. Changes
take effect at the end of the current step.
"""

import heapq
import math
from typing import NamedTuple

__all__ = ['Batch', 'BatchEvent', 'step_seconds']

# Step duration of a batch of one stream, as a share of a full batch's.
SINGLE_STEP_SHARE = 0.6


class BatchEvent(NamedTuple):
    """A stream produced its first token or, with ``last``, its last one."""

    time: float
    key: str
    last: bool


def step_seconds(full_step_s: float, places: int, members: int) -> float:
    """Return the duration of one step of a batch, in seconds.

    It grows linearly with the number of members.
    """
    if places <= 1:
        return full_step_s
    share = (members - 1) / (places - 1)
    return full_step_s * (SINGLE_STEP_SHARE + (1 - SINGLE_STEP_SHARE) * share)


class _Member(NamedTuple):
    joined_step: int
    join_id: int


class Batch:
    """The running streams of one engine."""

    def __init__(self, full_step_s: float, places: int) -> None:
        self._full_step_s = full_step_s
        self._places = places
        self._slow_factor = 1.0
        self._members: dict[str, _Member] = {}
        self._joining: dict[str, int] = {}
        self._scheduled: list[tuple[int, int, str, bool]] = []
        self._last_join_id = 0
        self._base_time = 0.0
        self._base_step = 0
        self._step_s = full_step_s
        self._change_step: int | None = None

    @property
    def size(self) -> int:
        """Number of streams, including those that join at the next step."""
        return len(self._members) + len(self._joining)

    def set_slow(self, factor: float, now: float) -> None:
        """Multiply step durations by ``factor`` from the next step on."""
        self._slow_factor = factor
        if self._members:
            self._change_at_boundary(now)

    def join(self, key: str, tokens: int, now: float) -> None:
        """Add a stream that produces ``tokens`` (at least 1) tokens."""
        self._joining[key] = tokens
        if not self._members:
            self._rebase(now, self._base_step)
        else:
            self._change_at_boundary(now)

    def leave(self, key: str, now: float) -> int:
        """Remove a stream; return how many tokens it produced."""
        if self._joining.pop(key, None) is not None:
            return 0
        tokens_produced = self.tokens_produced(key, now)
        del self._members[key]
        if self._members:
            self._change_at_boundary(now)
        else:
            # The step of an empty batch is abandoned, so streams that wait to
            # join start at once.
            self._rebase(now, self._steps_ended(now))
        return tokens_produced

    def tokens_produced(self, key: str, now: float) -> int:
        """Return how many tokens a stream has produced since it joined."""
        member = self._members.get(key)
        if member is None:
            return 0
        return self._steps_ended(now) - member.joined_step

    def next_time(self) -> float:
        """Return the time of the next event or change, or infinity."""
        if not self._members:
            return math.inf
        step = self._next_scheduled_step()
        if self._change_step is not None and self._change_step < step:
            step = self._change_step
        return self._step_end_time(step)

    def next_step(self, now: float) -> float:
        """Return when the current step ends, or infinity."""
        if not self._members:
            return math.inf
        return self._step_end_time(self._steps_ended(now) + 1)

    def advance(self, now: float) -> list[BatchEvent]:
        """Process the events at ``now``, which is at most next_time()."""
        events: list[BatchEvent] = []
        if self.next_time() > now:
            return events
        step = self._steps_ended(now)
        while self._scheduled and self._scheduled[0][0] <= step:
            _, join_id, key, last = heapq.heappop(self._scheduled)
            member = self._members.get(key)
            if member is None or member.join_id != join_id:
                continue
            events.append(BatchEvent(now, key, last))
            if last:
                del self._members[key]
                self._change_step = step
        if self._change_step is not None and self._change_step <= step:
            self._rebase(self._step_end_time(step), step)
        return events

    def clear(self) -> None:
        """Remove every stream."""
        self._members.clear()
        self._joining.clear()
        self._scheduled.clear()
        self._change_step = None

    def _next_scheduled_step(self) -> int:
        while True:
            step, join_id, key, _ = self._scheduled[0]
            member = self._members.get(key)
            if member is not None and member.join_id == join_id:
                return step
            heapq.heappop(self._scheduled)

    def _step_end_time(self, step: int) -> float:
        return self._base_time + (step - self._base_step) * self._step_s

    def _steps_ended(self, now: float) -> int:
        """Return how many steps have ended.

        The two loops correct rounding, so that the result agrees with
        ``_step_end_time``.
        """
        if not self._members:
            return self._base_step
        step = self._base_step + int((now - self._base_time) / self._step_s)
        while self._step_end_time(step + 1) <= now:
            step += 1
        while step > self._base_step and self._step_end_time(step) > now:
            step -= 1
        return step

    def _change_at_boundary(self, now: float) -> None:
        step = self._steps_ended(now)
        if self._step_end_time(step) == now:
            self._rebase(now, step)
        elif self._change_step is None or self._change_step > step + 1:
            self._change_step = step + 1

    def _rebase(self, now: float, step: int) -> None:
        """Start a step at ``now`` and admit the streams that wait to join.

        ``step`` is the number of steps that have ended.
        """
        for key, tokens in self._joining.items():
            self._last_join_id += 1
            self._members[key] = _Member(step, self._last_join_id)
            if tokens > 1:
                entry = (step + 1, self._last_join_id, key, False)
                heapq.heappush(self._scheduled, entry)
            entry = (step + tokens, self._last_join_id, key, True)
            heapq.heappush(self._scheduled, entry)
        self._joining.clear()
        self._change_step = None
        self._base_time = now
        self._base_step = step
        size = max(1, len(self._members))
        step_s = step_seconds(self._full_step_s, self._places, size)
        self._step_s = step_s * self._slow_factor
