"""How fast decode runners send the events of streams.

A decode step grows with the number of requests in the batch, so a runner is
compared with the usual time of a step at its number of requests.
"""

from primrosereel import _ids as ids
from primrosereel.routing import _linear_fit as linear_fit
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners

__all__ = ['DecodeSpeed', 'EventPace']

# Events of a stream from which a time for each is taken.
MIN_EVENTS = 8
# Weight of the streams, without what was forgotten, from which on a runner is
# compared with what is usual.
MIN_STREAMS = 6.0


class EventPace:
    """The time between the events of one runner's part of a stream.

    The longest pause is left out: a sound runner may send nothing for about a
    second. A caller that reads slowly makes a runner wait, so nothing is
    learned from a stream whose events had to wait for the caller.
    """

    # Share of a stream's time that may pass while its events are sent on.
    MAX_SENDING_SHARE = 0.2

    def __init__(self) -> None:
        self._events = 0
        self._seconds = 0.0
        self._sending_s = 0.0
        self._longest_s = 0.0
        self._events_after_longest = 0
        self._read_at: float | None = None

    def observe(self, events: int, read_at: float, sent_at: float) -> None:
        """Count events that were read together and then sent on."""
        if self._read_at is not None:
            pause_s = read_at - self._read_at
            self._events += events
            self._seconds += pause_s
            if pause_s > self._longest_s:
                self._longest_s = pause_s
                self._events_after_longest = events
        self._read_at = read_at
        self._sending_s += sent_at - read_at

    def event_s(self) -> float | None:
        """Return the time for each event; None if it is not known."""
        events = self._events - self._events_after_longest
        if events < MIN_EVENTS or (
            self._sending_s > self.MAX_SENDING_SHARE * self._seconds
        ):
            return None
        return (self._seconds - self._longest_s) / events


class DecodeSpeed:
    """The usual time for each event of a stream, by requests at the runner.

    Example::

        decode_speed.observe(runner, requests, event_s, now)
        runner.decode_slowness
    """

    def __init__(self, speeds: runner_speeds.RunnerSpeeds) -> None:
        self._speeds = speeds
        self._usual: dict[ids.ServiceId, linear_fit.LinearFit] = {}

    def usual_s(self, service: ids.ServiceId, requests: float) -> float | None:
        """Return the usual time for an event; None if it is not known."""
        usual = self._usual.get(service)
        if usual is None or usual.weight < MIN_STREAMS:
            return None
        # More requests never make a step shorter.
        slope = max(0.0, usual.slope() or 0.0)
        return usual.fixed(slope) + slope * requests

    def observe(
        self,
        runner: runners.Runner,
        requests: float,
        event_s: float,
        now: float,
    ) -> None:
        """Update a runner's speed from a stream, and what is usual."""
        service = runner.listing.service
        usual_s = self.usual_s(service, requests)
        if usual_s is not None:
            self._speeds.observe(
                runner.runner_id,
                runner_speeds.Phase.DECODE,
                usual_s,
                event_s,
                now,
            )
        self._usual.setdefault(service, linear_fit.LinearFit()).observe(
            max(1.0, requests), event_s
        )
