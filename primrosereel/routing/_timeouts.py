"""How long to wait for a runner before its request is sent elsewhere.

Only requests that may be repeated are sent again; for all others a silent
runner is waited for until the request's own time is over.
"""

from primrosereel.routing import _model as model

__all__ = [
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

# Callers leave a stream after the longest of these gaps.
MIN_CALLER_GAP_S = 2.0
CALLER_LATENCY_TARGET_FACTOR = 4.0
CALLER_GAP_TARGET_FACTOR = 8.0
# The share of a caller's patience after which a stream goes on elsewhere.
CALLER_GAP_SHARE = 0.55

STREAM_GAP_TARGET_FACTOR = 4.0
MIN_STREAM_GAP_S = 0.8

# The share of the time left that the first of two runners may take.
FIRST_ATTEMPT_SHARE = 0.45

# A prefill that takes longer than this is taken to be lost.
PREFILL_TIMEOUT_FACTOR = 3.0
MIN_PREFILL_TIMEOUT_S = 0.6
# Left of the target for reading the prompt after a wait: a share of it at
# least, and the expected time with a margin.
MIN_PREFILL_SHARE = 0.35
PREFILL_MARGIN = 1.3
DECODE_START_S = 0.06
# The share of a caller's patience that a request may wait for a place.
PLACE_WAIT_SHARE = 0.7
MIN_OUTAGE_RETRY_S = 0.5
MAX_OUTAGE_RETRY_S = 3.0


def time_limit_s(route: model.Route, facts: model.RequestFacts) -> float:
    """Return how long a request may take: the caller's and the route's."""
    if facts.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, facts.deadline_s)


def caller_gap_s(route: model.Route) -> float:
    """Return after which gap the caller of a stream leaves."""
    return max(
        MIN_CALLER_GAP_S,
        CALLER_LATENCY_TARGET_FACTOR * route.target_s,
        CALLER_GAP_TARGET_FACTOR * (route.gap_target_s or 0.0),
    )


def first_event_s(route: model.Route) -> float:
    """Return how long a resumable stream's first event is waited for."""
    return CALLER_GAP_SHARE * caller_gap_s(route)


def stream_gap_s(route: model.Route) -> float:
    """Return how long the next event of a resumable stream is waited for."""
    target_gap_s = STREAM_GAP_TARGET_FACTOR * (route.gap_target_s or 0.0)
    return max(MIN_STREAM_GAP_S, target_gap_s)


def plain_attempt_s(left_s: float, attempts_left: int) -> float:
    """Return how long one runner may take for an idempotent call."""
    if attempts_left < 1:
        return left_s
    return FIRST_ATTEMPT_SHARE * left_s


def prefill_timeout_s(route: model.Route, expected_s: float) -> float:
    """Return how long a prefill is waited for."""
    usual = max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * expected_s)
    return min(usual, CALLER_GAP_SHARE * caller_gap_s(route))


def on_time_wait_s(route: model.Route, expected_prefill_s: float) -> float:
    """Return the wait after which the first event will be late.

    ``expected_prefill_s`` is the expected time until the prompt has been read.
    """
    needed_s = max(
        MIN_PREFILL_SHARE * route.target_s, PREFILL_MARGIN * expected_prefill_s
    )
    return route.target_s - needed_s - DECODE_START_S


def outage_retry_after_s(lasted_s: float) -> float:
    """Return when to come back during an outage of unknown length.

    An outage is taken to last about as long again as it has lasted.
    """
    return min(max(lasted_s, MIN_OUTAGE_RETRY_S), MAX_OUTAGE_RETRY_S)


def place_wait_s(route: model.Route) -> float:
    """Return how long a stream's request may wait for a place."""
    return PLACE_WAIT_SHARE * caller_gap_s(route)
