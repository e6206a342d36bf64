"""How fast each runner works, from the observations of all instances.

Pattern: shrinkage estimator. An observation is how long a runner took for some
work, relative to what is usual. The estimate for a runner is the geometric
mean of its observations, drawn towards 1.0 the fewer and the older they are.

An instance tells its peers what it has observed itself, never what it was
told, so that no observation counts twice.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _runners as runners

__all__ = ['Phase', 'RunnerSpeeds', 'SpeedReport']

MIN_SLOWNESS = 0.3
MAX_SLOWNESS = 8.0
# Least weight of a new observation in an instance's mean for a runner, so that
# a change of the runner's speed is followed.
SAMPLE_WEIGHT = 0.2
# The weight of the usual speed, in observations.
PRIOR_SAMPLES = 2.0
# An instance's observations of a runner count as at most this many.
MAX_SAMPLES = 50.0
# The weight of observations halves in this time.
HALF_LIFE_S = 30.0
# Observations older than this, or fewer than this many, are neither used nor
# told.
MAX_AGE_S = 120.0
MIN_SAMPLES = 0.25
# An observation is told with each heartbeat for this time.
REPEAT_S = 3.0
# Runners that one datagram tells of, those with the most observations.
MAX_REPORTS = 24
# Runners that are kept in mind, also before they are listed.
MAX_KEYS = 4000
REFRESH_INTERVAL_S = 1.0


class Phase(enum.Enum):
    """The work whose speed was observed."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class SpeedReport(NamedTuple):
    """What one instance has observed of a runner's speed.

    ``samples`` is the number of observations, of which older ones count less.
    """

    runner_id: ids.RunnerId
    born_ms: int
    phase: Phase
    slowness: float
    samples: float
    age_s: float


@dataclasses.dataclass(slots=True)
class _Observed:
    """One instance's observations of a run of a runner."""

    born_ms: int
    mean_log: float = 0.0
    samples: float = 0.0
    at: float = 0.0

    def samples_at(self, now: float) -> float:
        """Return the number of observations, less those that have decayed."""
        age_s = max(0.0, now - self.at)
        if age_s > MAX_AGE_S:
            return 0.0
        return self.samples * 0.5 ** (age_s / HALF_LIFE_S)


_Key = tuple[ids.RunnerId, Phase]


class RunnerSpeeds:
    """The speeds of the runners in a table.

    The estimates are kept in the runners, where decisions read them.

    Example::

        speeds = RunnerSpeeds(table)
        speeds.observe(runner_id, Phase.PREFILL, 0.1, 0.16, now)
        speeds.learn(peer, reports, now)
        speeds.slowness(runner_id, Phase.PREFILL, now)
    """

    def __init__(self, table: runners.RunnerTable) -> None:
        self._table = table
        self._own: dict[_Key, _Observed] = {}
        self._told: dict[_Key, dict[ids.InstanceId, _Observed]] = {}
        self._next_refresh_at = -math.inf

    def observe(
        self,
        runner_id: ids.RunnerId,
        phase: Phase,
        work_s_expected: float,
        seconds: float,
        now: float,
    ) -> None:
        """Add an observation of work that usually takes ``work_s_expected``.

        Nothing is learned from work of no duration.
        """
        runner = self._table.get(runner_id)
        if runner is None or work_s_expected <= 0:
            return
        key = runner_id, phase
        born_ms = runner.listing.born_ms
        own = self._own.get(key)
        if own is None or own.born_ms != born_ms:
            own = self._own[key] = _Observed(born_ms)
        own.samples = min(own.samples_at(now) + 1.0, MAX_SAMPLES)
        weight = max(SAMPLE_WEIGHT, 1.0 / own.samples)
        observed_log = math.log(_clamped(seconds / work_s_expected))
        own.mean_log += weight * (observed_log - own.mean_log)
        own.at = now
        self._update(key, now)

    def slowness(
        self, runner_id: ids.RunnerId, phase: Phase, now: float
    ) -> float:
        """Return a runner's time for a unit of work; 1.0 is usual."""
        runner = self._table.get(runner_id)
        if runner is None:
            return 1.0
        key = runner_id, phase
        own = self._own.get(key)
        observed = [*self._told.get(key, {}).values()]
        if own is not None:
            observed.append(own)
        total = weighted_log = 0.0
        for one in observed:
            if one.born_ms == runner.listing.born_ms:
                samples = one.samples_at(now)
                total += samples
                weighted_log += samples * one.mean_log
        return math.exp(weighted_log / (total + PRIOR_SAMPLES))

    def told(self, now: float, with_all: bool = True) -> list[SpeedReport]:
        """Return what to tell peers, runners with the most samples first.

        Without ``with_all`` these are only the latest ones.
        """
        longest_s = MAX_AGE_S if with_all else REPEAT_S
        reports = [
            SpeedReport(
                runner_id,
                own.born_ms,
                phase,
                math.exp(own.mean_log),
                own.samples,
                max(0.0, now - own.at),
            )
            for (runner_id, phase), own in self._own.items()
            if now - own.at <= longest_s and own.samples_at(now) >= MIN_SAMPLES
        ]
        reports.sort(key=lambda report: -report.samples)
        return reports[:MAX_REPORTS]

    def learn(
        self,
        instance: ids.InstanceId,
        reports: Iterable[SpeedReport],
        now: float,
    ) -> None:
        """Store what a peer has observed."""
        for report in reports:
            key = report.runner_id, report.phase
            by_instance = self._told.get(key)
            is_first = by_instance is None
            if by_instance is None:
                if len(self._told) >= MAX_KEYS:
                    continue
                by_instance = self._told[key] = {}
            by_instance[instance] = _Observed(
                report.born_ms,
                math.log(_clamped(report.slowness)),
                min(max(report.samples, 0.0), MAX_SAMPLES),
                now - max(report.age_s, 0.0),
            )
            if is_first:
                self._update(key, now)

    def refresh(self, now: float) -> None:
        """Update the runners, and drop what is too old or of an ended run."""
        if now < self._next_refresh_at:
            return
        self._next_refresh_at = now + REFRESH_INTERVAL_S
        keys = {**self._told, **self._own}
        for key in keys:
            self._drop_outdated(key, now)
            self._update(key, now)

    def _drop_outdated(self, key: _Key, now: float) -> None:
        runner = self._table.get(key[0])
        by_instance = self._told.get(key, {})
        for instance, told in list(by_instance.items()):
            if _is_outdated(told, runner, now):
                del by_instance[instance]
        if not by_instance:
            self._told.pop(key, None)
        own = self._own.get(key)
        if own is not None and _is_outdated(own, runner, now):
            del self._own[key]

    def _update(self, key: _Key, now: float) -> None:
        runner_id, phase = key
        runner = self._table.get(runner_id)
        if runner is None:
            return
        slowness = self.slowness(runner_id, phase, now)
        if phase is Phase.DECODE:
            runner.decode_slowness = slowness
        else:
            runner.slowness = slowness


def _clamped(slowness: float) -> float:
    return min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)


def _is_outdated(
    observed: _Observed, runner: runners.Runner | None, now: float
) -> bool:
    """Tell whether observations are too old or of a run that has ended.

    A runner that a peer tells of may not be listed here yet.
    """
    if now - observed.at > MAX_AGE_S:
        return True
    return runner is not None and observed.born_ms < runner.listing.born_ms
