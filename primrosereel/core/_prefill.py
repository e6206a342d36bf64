"""Estimates when a prefill runner will finish its granted work.

A runner is assumed to run one prefill at a time, by priority and then in the
order of the grants. Its speed is the nominal rate of the model divided by a
slowdown that is learned from its prefills. An overdue prefill raises the
estimate at once, before a report or an answer shows that the runner is slow.
"""

import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages
from primrosereel.core import _prefix_cache as prefix_cache

__all__ = ['Estimate', 'PrefillJob', 'PrefillRunner']

# Fixed cost of a prefill call at the engine and in the network.
CALL_OVERHEAD_S = 0.004
# The report of a finished prefill takes two hops and waits for other messages
# to the same daemon.
MAX_REPORT_DELAY_S = 0.1
# The duration of a prefill varies by this share.
PREFILL_VARIATION = 0.25
# With this weight a change of speed is learned from two or three prefills.
LEARNING_RATE = 0.4
MAX_SLOWDOWN = 50.0
MIN_SLOWDOWN = 0.1
# Shorter prefills measure the overhead rather than the speed.
MIN_OBSERVED_TOKENS = 64
# Slow periods are short: a slow runner that gets no work is estimated faster
# again with this half-life, so that it is retried.
RECOVERY_HALF_LIFE_S = 10.0


class Estimate(NamedTuple):
    """When a runner could run a prefill, and for how long."""

    wait_s: float
    compute_s: float
    match: prefix_cache.Match


@dataclasses.dataclass(slots=True)
class PrefillJob:
    """A granted prefill that is not known to have ended."""

    granted_at: float
    seconds: float
    prompt_tokens: int
    priority: int = 0
    hashes: tuple[int, ...] = ()
    match: prefix_cache.Match = prefix_cache.Match(0, 0, -math.inf)
    added: tuple[int, ...] = ()


class PrefillRunner:
    """The work, the speed and the prefix cache of one prefill runner."""

    def __init__(self, runner_id: ids.RunnerId, tokens_per_s: float) -> None:
        self.runner_id = runner_id
        self.tokens_per_s = tokens_per_s
        self.cache = prefix_cache.PrefixCache()
        self.jobs: dict[ids.RequestId, PrefillJob] = {}
        self.last_granted_at = -math.inf
        self._incarnation = 0
        self._changed_at = -math.inf
        self._foreign_until = -math.inf
        self._freed_at = -math.inf
        self._slowdown = 1.0
        self._observed_at = -math.inf

    def slowdown(self, now: float) -> float:
        """Return how many times slower than nominal the runner is now."""
        if self._slowdown <= 1:
            return self._slowdown
        age = max(0.0, now - self._observed_at)
        return 1 + (self._slowdown - 1) * 0.5 ** (age / RECOVERY_HALF_LIFE_S)

    def estimate(
        self,
        hashes: tuple[int, ...],
        prompt_tokens: int,
        priority: int,
        now: float,
    ) -> Estimate:
        """Estimate the wait for the runner and the compute time on it."""
        match = self.cache.match(hashes, prompt_tokens)
        seconds = self.prefill_seconds(prompt_tokens - match.tokens, now)
        return Estimate(self.wait(priority, now), seconds, match)

    def prefill_seconds(self, uncached_tokens: int, now: float) -> float:
        """Return the estimated seconds to prefill a number of tokens."""
        return self._nominal_seconds(uncached_tokens) * self.slowdown(now)

    def wait(self, priority: int, now: float) -> float:
        """Return the seconds until new work of a priority could start."""
        free_at = max(self._freed_at, self._foreign_until)
        slowdown_ahead = 1.0
        for job in self.jobs.values():
            start = max(free_at, job.granted_at)
            if job.priority < priority and start > now:
                continue
            end = start + job.seconds * slowdown_ahead
            if (
                now
                > end
                + MAX_REPORT_DELAY_S
                + PREFILL_VARIATION * job.seconds * slowdown_ahead
            ):
                # An overdue prefill is expected to take as long again, and
                # those behind it to be slowed down in the same way.
                slowdown_ahead = (now - start) / job.seconds
                end = now + (now - start)
            free_at = end
        return max(0.0, free_at - now)

    def has_only_lower_priorities(self, priority: int) -> bool:
        """Return whether every job here has a lower priority."""
        return all(job.priority < priority for job in self.jobs.values())

    def start(
        self, request: ids.RequestId, job: PrefillJob, now: float
    ) -> None:
        """Add a granted prefill."""
        job.added = self.cache.add(job.hashes, now)
        self.jobs[request] = job
        self.last_granted_at = now
        self._changed_at = now

    def finish(
        self,
        request: ids.RequestId,
        cached_tokens: int,
        speed: float,
        now: float,
    ) -> None:
        """Record the reported end of a prefill; idempotent."""
        start = self._estimated_start(request)
        job = self._remove(request, now)
        if job is None:
            return
        self._drop_lost_jobs(job, now)
        self._correct_cache(job, cached_tokens, now)
        self._learn_slowdown(job, now - start, cached_tokens, speed, now)

    def abandon(
        self, request: ids.RequestId, now: float, completed: bool = False
    ) -> None:
        """Remove a prefill whose end was not reported.

        If it did not complete, its blocks are not expected in the cache.
        """
        job = self._remove(request, now)
        if job is not None and not completed:
            self.cache.discard(job.added)

    def apply_report(self, report: messages.LoadReport, now: float) -> None:
        """Apply a load report, whose backlog may include foreign work."""
        if report.incarnation != self._incarnation:
            if self._incarnation:
                self.cache.clear()
            self._incarnation = report.incarnation
        if now - report.age_s <= self._changed_at:
            return
        # Engines count the cached tokens of queued prompts as well.
        own_tokens = sum(job.prompt_tokens for job in self.jobs.values())
        foreign_tokens = max(0, report.backlog_tokens - own_tokens)
        seconds = foreign_tokens / self.tokens_per_s * self.slowdown(now)
        self._foreign_until = now + max(0.0, seconds - report.age_s)

    def _nominal_seconds(self, uncached_tokens: int) -> float:
        return CALL_OVERHEAD_S + max(0, uncached_tokens) / self.tokens_per_s

    def _estimated_start(self, request: ids.RequestId) -> float:
        """Return when a prefill is estimated to have begun."""
        free_at = self._freed_at
        for request_id, job in self.jobs.items():
            start = max(free_at, job.granted_at)
            if request_id == request:
                return start
            free_at = start + job.seconds
        return free_at

    def _remove(self, request: ids.RequestId, now: float) -> PrefillJob | None:
        start = self._estimated_start(request)
        job = self.jobs.pop(request, None)
        if job is None:
            return None
        end = start + job.seconds
        # If a report comes slightly after the estimated end, the report is
        # assumed to be late and not the prefill; otherwise the delay of each
        # report would add to all later estimates.
        report_is_late = end <= now <= end + MAX_REPORT_DELAY_S
        self._freed_at = end if report_is_late else now
        self._changed_at = now
        return job

    def _drop_lost_jobs(self, ended: PrefillJob, now: float) -> None:
        """Drop the prefills that must have ended before ``ended`` began.

        Their entries were lost or gave up. Otherwise the prefills would count
        as overdue, and the runner as slow, until their leases end.
        """
        for request, job in list(self.jobs.items()):
            if job.granted_at > ended.granted_at:
                return
            due = job.granted_at + job.seconds * (1 + PREFILL_VARIATION)
            if (
                job.priority >= ended.priority
                and now > due + MAX_REPORT_DELAY_S
            ):
                del self.jobs[request]

    def _correct_cache(
        self, job: PrefillJob, cached_tokens: int, now: float
    ) -> None:
        actual = prefix_cache.cached_blocks(cached_tokens)
        if actual < job.match.blocks:
            self.cache.forget_until(job.match.used_at)
        # The prefill has stored or used all blocks of its prompt just now.
        self.cache.add(job.hashes, now)

    def _learn_slowdown(
        self,
        job: PrefillJob,
        elapsed: float,
        cached_tokens: int,
        speed: float,
        now: float,
    ) -> None:
        """Learn the slowdown from a finished prefill.

        The time measured by the entry may include a wait at the engine, and
        the time measured here the delay of the report; the smaller one is
        closer to the truth.
        """
        uncached = job.prompt_tokens - cached_tokens
        if uncached < MIN_OBSERVED_TOKENS:
            return
        observed = elapsed / self._nominal_seconds(uncached)
        if speed > 0:
            observed = min(observed, speed * self.tokens_per_s)
        elif (
            elapsed
            <= job.seconds * (1 + PREFILL_VARIATION) + MAX_REPORT_DELAY_S
        ):
            return
        slowdown = self.slowdown(now)
        slowdown += LEARNING_RATE * (observed - slowdown)
        self._slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        self._observed_at = now
