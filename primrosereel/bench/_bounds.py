"""An upper bound of the requests that can meet both targets.

A request that arrives at ``a`` and has ``n`` tokens meets its targets if its
first token comes by ``a + first_token_s`` and its last one at most
``(n - 1) * token_gap_s`` later. No schedule serves more than each pool could
if it were one machine, had no other work and never waited for the other pool.
"""

from collections.abc import Sequence

from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _workloads as workloads

__all__ = ['most_good']


def most_good(
    shape: workloads.Shape,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
    token_gap_s: float,
) -> int:
    """Return how many of the arrivals can meet both targets at most."""
    if not arrivals:
        return 0
    return min(
        _prefilled(shape, arrivals, first_token_s),
        _decoded(shape, arrivals, first_token_s, token_gap_s),
    )


def _prefilled(
    shape: workloads.Shape,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
) -> int:
    """Count the shortest prompts that fit between first and last deadline.

    Shared prefixes are taken to be cached always.
    """
    rate = workloads.prefill_tokens_s(shape)
    times = [arrival.time for arrival in arrivals]
    tokens = rate * (max(times) - min(times) + first_token_s)
    count = 0
    for size in sorted(arrival.prompt_tokens for arrival in arrivals):
        tokens -= max(0, size - shape.shared * shape.prefix_tokens)
        if tokens < 0:
            break
        count += 1
    return count


def _decoded(
    shape: workloads.Shape,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
    token_gap_s: float,
) -> int:
    """Serve in order of arrival, leaving out what would end too late.

    All requests have the same number of tokens and deadlines in the order of
    their arrivals, so no other choice serves more.
    """
    rate = workloads.decode_tokens_s(shape)
    count = 0
    free_at = 0.0
    for arrival in sorted(arrivals, key=lambda a: a.time):
        tokens = arrival.max_tokens
        deadline = arrival.time + first_token_s + (tokens - 1) * token_gap_s
        end = max(free_at, arrival.time) + tokens / rate
        if end <= deadline:
            free_at = end
            count += 1
    return count
