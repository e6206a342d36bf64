"""Straggler detection among the runners of one service and role.

Load reports show a slow runner late, so the durations of its answers are
compared with those of its peers instead. A suspect runner gets no new work
except a periodic probe request, and recovers when the probe is answered as
fast as by its peers.
"""

import dataclasses
import math
import statistics

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['StragglersSystem', 'end_probe_window', 'prefill_speed']

# A runner whose average exceeds this multiple of the median of its peers is
# slow.
SLOW_FACTOR = 3.0
# Consecutive slow observations that make a runner suspect.
SUSPECT_STRIKES = 10
# Load alone does not explain a prefill this slow, so one such is enough.
EXTREME_FACTOR = 8.0
EXTREME_STRIKES = 10
# Plain calls vary more in duration than prefills do per token.
EXTREME_PLAIN_STRIKES = 5

# Weight of a new observation in the moving average of a runner.
AVERAGE_WEIGHT = 0.3
# At most one in this many peers, and at least one, may be suspect, so that the
# detection itself cannot cause an outage.
MIN_PEERS_PER_SUSPECT = 3

# In shorter prefills the overhead of the call hides the speed.
MIN_COUNTED_TOKENS = 256

FIRST_PROBE_INTERVAL_S = 1.0
MAX_PROBE_INTERVAL_S = 4.0
# A probe window ends after this time if no placement ends it sooner. It is
# doubled when no request came, for services with few requests.
FIRST_PROBE_WINDOW_S = 0.1
MAX_PROBE_WINDOW_S = 0.8


def prefill_speed(done: messages.PrefillDone) -> float:
    """Return a prefill's seconds per uncached prompt token."""
    uncached = done.kv.tokens - done.cached_tokens
    return done.seconds / max(uncached, MIN_COUNTED_TOKENS)


def end_probe_window(world: tables.World, runner: ids.RunnerId) -> None:
    """End the probe window of a runner once a request is placed on it."""
    row = world.runners.get(runner)
    if row is not None and row.probing:
        row.probing = False
        row.suspect = True


@dataclasses.dataclass(slots=True)
class RunnerSpeed:
    """The observed speed of one runner, in seconds per unit of work."""

    average: float
    strikes: int = 0
    suspect: bool = False
    on_probation: bool = False
    probe_at: float = math.inf
    probe_close_at: float = math.inf
    probe_interval_s: float = FIRST_PROBE_INTERVAL_S
    probe_window_s: float = FIRST_PROBE_WINDOW_S


class StragglersSystem:
    """Marks runners suspect that are much slower than their peers."""

    inputs: tuple[type, ...] = (
        messages.Progress,
        messages.PrefillDone,
        messages.PlainAnswered,
        messages.TextChanged,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._speeds: dict[ids.RunnerId, RunnerSpeed] = {}
        # Only suspect runners have timers; there are few of them.
        self._suspects: set[ids.RunnerId] = set()

    def receive(self, message, now: float) -> None:
        """Record one observation."""
        if isinstance(message, messages.FromPeer):
            self._receive_progress(message, now)
        elif isinstance(message, messages.PrefillDone):
            speed = prefill_speed(message)
            self._observe(message.runner, speed, EXTREME_STRIKES, now)
        elif isinstance(message, messages.PlainAnswered):
            self._observe(
                message.runner, message.seconds, EXTREME_PLAIN_STRIKES, now
            )
        else:
            self._forget_removed_runners()

    def run(self, now: float) -> None:
        """Open and close the probe windows that are due."""
        for runner in sorted(self._suspects):
            row = self._world.runners.get(runner)
            if row is None:
                continue
            speed = self._speeds[runner]
            if now >= speed.probe_close_at:
                self._close_probe(row, speed, now)
            elif now >= speed.probe_at:
                self._open_probe(row, speed, now)
            self._world.wake_at(min(speed.probe_at, speed.probe_close_at))

    def _receive_progress(
        self, message: messages.FromPeer, now: float
    ) -> None:
        progress = message.message
        assert isinstance(progress, messages.Progress)
        if progress.runner is None or progress.speed <= 0:
            return
        sent_by_self = message.sender == self._world.identity.instance
        if sent_by_self and progress.stage is states.Stage.PREFILL_DONE:
            # Already received as PrefillDone.
            return
        self._observe(progress.runner, progress.speed, EXTREME_STRIKES, now)

    def _observe(
        self,
        runner: ids.RunnerId,
        value: float,
        extreme_strikes: int,
        now: float,
    ) -> None:
        row = self._world.runners.get(runner)
        if row is None or value <= 0:
            return
        speed = self._speeds.setdefault(runner, RunnerSpeed(value))
        speed.average += AVERAGE_WEIGHT * (value - speed.average)
        median = self._median_of_others(row)
        if median is None:
            return
        if speed.suspect:
            self._judge_probe_answer(row, speed, value, median, now)
            return
        # After a probe each answer is judged on its own, not by the average.
        judged_value = value if speed.on_probation else speed.average
        if value > EXTREME_FACTOR * median:
            speed.strikes += extreme_strikes
        elif judged_value > SLOW_FACTOR * median:
            speed.strikes += 1
        else:
            speed.strikes = 0
            speed.on_probation = False
        if speed.strikes >= SUSPECT_STRIKES:
            self._mark_suspect(row, speed, now)

    def _peers(self, row: tables.Runner) -> list[tables.Runner]:
        """Return the runners of the same service and role, itself included."""
        text = self._world.text
        service = None if text is None else text.services.get(row.service)
        peers = []
        for name in service.runners if service is not None else ():
            other = self._world.runners.get(name)
            if other is not None and other.facts.role is row.facts.role:
                peers.append(other)
        return peers

    def _median_of_others(self, row: tables.Runner) -> float | None:
        others = [
            self._speeds[other.runner].average
            for other in self._peers(row)
            if other.runner != row.runner and other.runner in self._speeds
        ]
        return statistics.median(others) if others else None

    def _mark_suspect(
        self, row: tables.Runner, speed: RunnerSpeed, now: float
    ) -> None:
        peers = self._peers(row)
        suspects = sum(peer.runner in self._suspects for peer in peers)
        if suspects >= max(1, len(peers) // MIN_PEERS_PER_SUSPECT):
            speed.strikes = SUSPECT_STRIKES - 1
            return
        self._world.count('straggler.suspected')
        self._suspects.add(row.runner)
        row.suspect = True
        row.probing = False
        speed.suspect = True
        speed.on_probation = False
        speed.probe_interval_s = FIRST_PROBE_INTERVAL_S
        speed.probe_window_s = FIRST_PROBE_WINDOW_S
        speed.probe_at = now + speed.probe_interval_s
        speed.probe_close_at = math.inf

    def _judge_probe_answer(
        self,
        row: tables.Runner,
        speed: RunnerSpeed,
        value: float,
        median: float,
        now: float,
    ) -> None:
        """End suspicion on a fast answer; one more strike renews it."""
        if value > SLOW_FACTOR * median:
            speed.probe_window_s = FIRST_PROBE_WINDOW_S
            return
        self._world.count('straggler.recovered')
        self._suspects.discard(row.runner)
        row.suspect = False
        row.probing = False
        speed.suspect = False
        speed.average = value
        speed.strikes = SUSPECT_STRIKES - 1
        speed.on_probation = True
        speed.probe_at = math.inf
        speed.probe_close_at = math.inf

    def _open_probe(
        self, row: tables.Runner, speed: RunnerSpeed, now: float
    ) -> None:
        row.suspect = False
        row.probing = True
        speed.probe_at = math.inf
        speed.probe_close_at = now + speed.probe_window_s

    def _close_probe(
        self, row: tables.Runner, speed: RunnerSpeed, now: float
    ) -> None:
        if row.probing:
            speed.probe_window_s = min(
                2 * speed.probe_window_s, MAX_PROBE_WINDOW_S
            )
        else:
            speed.probe_interval_s = min(
                2 * speed.probe_interval_s, MAX_PROBE_INTERVAL_S
            )
        row.suspect = True
        row.probing = False
        speed.probe_close_at = math.inf
        speed.probe_at = now + speed.probe_interval_s

    def _forget_removed_runners(self) -> None:
        for runner in list(self._speeds):
            row = self._world.runners.get(runner)
            if row is None:
                del self._speeds[runner]
                self._suspects.discard(runner)
            elif self._speeds[runner].suspect:
                # A new text may have replaced the row.
                row.suspect = not row.probing
