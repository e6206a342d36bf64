"""Signals of the platform, with the time at which they may have been sent.

The event loop handles a signal when it comes to it, which may be long after it
was sent. The handler of the process notes the time as soon as the process runs
again, before the event loop does.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import signal
from types import FrameType

import anyio

from primrosereel.gateway import _loop_watch as loop_watch
from primrosereel.gateway import _stop_plan as stop_plan

__all__ = ['HANDLED', 'Notice', 'receive']

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """A signal, and when it can have been sent."""

    number: signal.Signals
    window: stop_plan.SignalWindow


@contextlib.contextmanager
def _noted(note: Callable[[int], None]) -> Iterator[None]:
    """Call ``note`` in the handlers of signals that the event loop handles."""

    def handle(number: int, _: FrameType | None) -> None:
        note(number)

    # The event loop restores the default handlers.
    for number in HANDLED:
        signal.signal(number, handle)
        signal.siginterrupt(number, False)
    yield


async def receive(
    watch: loop_watch.LoopWatch, clock: Callable[[], float]
) -> AsyncIterator[Notice]:
    """Yield each signal that arrives; only in the main thread.

    Example::

        async for notice in signals.receive(watch, clock):
            if notice.number == signal.SIGTERM:
                stop(notice.window)
    """
    noted: dict[int, stop_plan.SignalWindow] = {}

    def note(number: int) -> None:
        now = clock()
        window = stop_plan.SignalWindow(watch.last_ran_at(now), now)
        noted.setdefault(number, window)

    with (
        anyio.open_signal_receiver(*HANDLED) as received,
        _noted(note),
    ):
        async for number in received:
            now = clock()
            unnoted = stop_plan.SignalWindow(now, now)
            yield Notice(number, noted.pop(number, unnoted))
