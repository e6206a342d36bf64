"""Cancels at upstreams, repeated until they are confirmed.

An engine that keeps memory for an abandoned request loses a place for good.
So a cancel is repeated until the engine confirms it, the text no longer lists
the runner, or GIVE_UP_AFTER_S has passed; by then the group owner's check of
the engine's request list (section 5.9 of the design page) has freed the
memory.
"""

import dataclasses
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from primrosereel.core import _timers as timers

__all__ = ['Cancels', 'Hold']

FIRST_REPEAT_DELAY_S = 0.2
MAX_REPEAT_DELAY_S = 2.0
GIVE_UP_AFTER_S = 60.0


class Hold(NamedTuple):
    """The memory that a runner may hold for one attempt of a request."""

    runner: ids.RunnerId
    engine_request_id: ids.EngineRequestId


@dataclasses.dataclass(slots=True)
class PendingCancel:
    """A cancel that is not confirmed yet."""

    give_up_at: float
    repeat_delay_s: float = FIRST_REPEAT_DELAY_S


class Cancels:
    """The cancels of one daemon that are not confirmed yet."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._pending: dict[Hold, PendingCancel] = {}
        self._timers: timers.Timers[Hold] = timers.Timers()

    def __len__(self) -> int:
        """Return how many cancels are not confirmed."""
        return len(self._pending)

    def start(self, hold: Hold, now: float) -> None:
        """Send a cancel and repeat it until it is confirmed."""
        if hold in self._pending or hold.runner not in self._world.runners:
            return
        cancel = PendingCancel(now + GIVE_UP_AFTER_S)
        self._pending[hold] = cancel
        self._send(hold, cancel, now)

    def remove(self, hold: Hold) -> None:
        """Stop repeating a cancel."""
        if self._pending.pop(hold, None) is not None:
            self._timers.cancel(hold)

    def forget_unlisted_runners(self) -> None:
        """Stop the cancels at runners that the text no longer lists."""
        unlisted = [
            h for h in self._pending if h.runner not in self._world.runners
        ]
        for hold in unlisted:
            self.remove(hold)

    def run(self, now: float) -> None:
        """Repeat the cancels that are due."""
        for hold in self._timers.expired(now):
            cancel = self._pending[hold]
            if now >= cancel.give_up_at:
                self._world.count('cancel.given_up')
                del self._pending[hold]
                continue
            self._world.count_retry(states.RetryReason.CANCEL_UNCONFIRMED)
            cancel.repeat_delay_s = min(
                2 * cancel.repeat_delay_s, MAX_REPEAT_DELAY_S
            )
            self._send(hold, cancel, now)
        self._world.wake_at(self._timers.next())

    def _send(self, hold: Hold, cancel: PendingCancel, now: float) -> None:
        self._world.emit(
            messages.CancelUpstream(hold.runner, hold.engine_request_id)
        )
        self._timers.set(hold, now + cancel.repeat_delay_s)
