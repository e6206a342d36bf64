"""Measures how late the event loop of this process runs.

A process that gets no processor time, is suspended, or keeps its event loop
busy notices everything late, and may take that for a delay of its peers.
"""

from collections.abc import Callable
import time
from typing import Any

import anyio

from primrosereel.gateway import _metrics as metrics_module

__all__ = ['LoopWatch']

# How often the loop is expected to run.
BEAT_INTERVAL_S = 0.2
# A beat that is later than this is logged and counted.
LOGGED_LATE_S = 0.25
# Timers fire a little late at any time.
USUAL_LATE_S = 0.05
# A process that uses this share of the processor is not kept from it.
BUSY_SHARE = 0.5
# What was measured counts for half as much after this time.
LATE_HALF_LIFE_S = 1.0


class LoopWatch:
    """Notes when the event loop last ran, and how late it was.

    Example::

        watch = LoopWatch(clock, log, metrics)
        tasks.start_soon(watch.run)
        if watch.recent_late_s(now) > 0.5:
            ...  # what seems late may only be noticed late
    """

    def __init__(
        self,
        clock: Callable[[], float],
        log: Any,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._beat_at = clock()
        self._processor_s = time.process_time()
        self._late_s = 0.0
        self._late_at = self._beat_at

    async def run(self) -> None:
        """Note each beat until cancelled."""
        self._beat_at = self._clock()
        while True:
            await anyio.sleep(BEAT_INTERVAL_S)
            self.beat()

    def beat(self) -> None:
        """Note that the loop runs, and how late it does."""
        now = self._clock()
        processor_s = time.process_time()
        late_s = self.overdue_s(now)
        if late_s >= LOGGED_LATE_S:
            self._metrics.count('loop.late')
            self._log.info(
                'event loop late',
                late_s=round(late_s, 3),
                processor_s=round(processor_s - self._processor_s, 3),
            )
        if late_s >= self.recent_late_s(now):
            self._late_s, self._late_at = late_s, now
        self._beat_at, self._processor_s = now, processor_s

    def overdue_s(self, now: float) -> float:
        """Return by how much the next beat is late by now."""
        return max(0.0, now - self._beat_at - BEAT_INTERVAL_S)

    def last_ran_at(self, now: float) -> float:
        """Return the last time at which the loop is known to have run.

        A beat that is not late yet leaves no doubt. Nor does one that is late
        as the process was busy itself: it ran all the while.
        """
        is_late = self.overdue_s(now) > USUAL_LATE_S
        used_s = time.process_time() - self._processor_s
        is_busy = used_s >= BUSY_SHARE * (now - self._beat_at)
        return self._beat_at if is_late and not is_busy else now

    def recent_late_s(self, now: float) -> float:
        """Return how late the loop was lately; it counts less with time."""
        age_s = max(0.0, now - self._late_at)
        measured_s = self._late_s * 0.5 ** (age_s / LATE_HALF_LIFE_S)
        return max(measured_s, self.overdue_s(now))
