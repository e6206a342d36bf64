"""Timeouts of attempts, streams and queued requests.

Only repeatable requests are sent to another runner after a timeout; for all
others the gateway waits for the runner until the request's time limit.
"""

from primrosereel.routing import _model as model

__all__ = [
    'SOUND_SILENCE_S',
    'caller_gap_s',
    'first_event_s',
    'plain_attempt_s',
    'prefill_timeout_s',
    'stream_gap_s',
    'on_time_wait_s',
    'outage_retry_after_s',
    'time_limit_s',
    'place_wait_s',
]

# Callers abandon a stream after the longest of: this minimum, a multiple of
# the latency target, and a multiple of the target for gaps between events.
MIN_CALLER_GAP_S = 2.0
CALLER_LATENCY_TARGET_FACTOR = 4.0
CALLER_GAP_TARGET_FACTOR = 8.0
# Share of the caller's gap after which a stream continues at another runner.
CALLER_GAP_SHARE = 0.55

# A sound runner may send nothing for about a second and then go on. A shorter
# silence is no failure.
SOUND_SILENCE_S = 1.4

# A resumable stream's next event is late after this multiple of the gap
# target, but not before a sound runner would have gone on.
STREAM_GAP_TARGET_FACTOR = 4.0

# Share of the remaining time that the first of two attempts may take.
FIRST_ATTEMPT_SHARE = 0.45

# A prefill times out after this multiple of its expected time, but not before
# the minimum.
PREFILL_TIMEOUT_FACTOR = 3.0
MIN_PREFILL_TIMEOUT_S = 0.6
# Part of the latency target that is kept for the prefill after a wait: at
# least a share of the target, and the expected time with a margin.
MIN_PREFILL_SHARE = 0.35
PREFILL_MARGIN = 1.3
# Time from the end of the prefill to the first event.
DECODE_START_S = 0.06
# Share of the caller's gap that a request may wait for a place.
PLACE_WAIT_SHARE = 0.7
# Bounds of the Retry-After value during an outage.
MIN_OUTAGE_RETRY_S = 0.5
MAX_OUTAGE_RETRY_S = 3.0


def time_limit_s(route: model.Route, facts: model.RequestFacts) -> float:
    """Return a request's time limit: the shorter of caller's and route's."""
    if facts.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, facts.deadline_s)


def caller_gap_s(route: model.Route) -> float:
    """Return the gap after which the caller of a stream abandons it."""
    return max(
        MIN_CALLER_GAP_S,
        CALLER_LATENCY_TARGET_FACTOR * route.target_s,
        CALLER_GAP_TARGET_FACTOR * (route.gap_target_s or 0.0),
    )


def first_event_s(route: model.Route) -> float:
    """Return the timeout of a resumable stream's first event."""
    return max(SOUND_SILENCE_S, CALLER_GAP_SHARE * caller_gap_s(route))


def stream_gap_s(route: model.Route) -> float:
    """Return the timeout of the next event of a resumable stream."""
    target_gap_s = STREAM_GAP_TARGET_FACTOR * (route.gap_target_s or 0.0)
    return max(SOUND_SILENCE_S, target_gap_s)


def plain_attempt_s(remaining_s: float, attempts_left: int) -> float:
    """Return the timeout of one attempt of an idempotent call."""
    if attempts_left < 1:
        return remaining_s
    return FIRST_ATTEMPT_SHARE * remaining_s


def prefill_timeout_s(route: model.Route, expected_s: float) -> float:
    """Return the timeout of a prefill.

    It is shorter than the silence of a sound runner: the decode runner then
    prefills the prompt, and the prefill runner has not failed yet.
    """
    timeout_s = max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * expected_s)
    return min(timeout_s, CALLER_GAP_SHARE * caller_gap_s(route))


def on_time_wait_s(route: model.Route, expected_prefill_s: float) -> float:
    """Return the longest wait that still meets the latency target.

    ``expected_prefill_s`` is the expected time until the prefill has ended.
    """
    needed_s = max(
        MIN_PREFILL_SHARE * route.target_s, PREFILL_MARGIN * expected_prefill_s
    )
    return route.target_s - needed_s - DECODE_START_S


def outage_retry_after_s(lasted_s: float) -> float:
    """Return the Retry-After value during an outage of unknown length.

    The outage is expected to last as long again as it has lasted so far.
    """
    return min(max(lasted_s, MIN_OUTAGE_RETRY_S), MAX_OUTAGE_RETRY_S)


def place_wait_s(route: model.Route) -> float:
    """Return how long the request of a stream may wait for a place."""
    return PLACE_WAIT_SHARE * caller_gap_s(route)
