"""An upper bound of the requests that can meet both targets.

A request that arrives at ``a`` and has ``n`` tokens meets its targets if its
first token comes by ``a + first_token_s`` and its last one at most
``(n - 1) * token_gap_s`` later. No schedule serves more than each pool could
if it were one machine, had no other work and never waited for the other pool.
"""

from collections.abc import Sequence

from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _workloads as workloads

__all__ = ['goodput_bound']


def goodput_bound(
    workload: workloads.Workload,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
    token_gap_s: float,
) -> int:
    """Return how many of the arrivals can meet both targets at most."""
    if not arrivals:
        return 0
    return min(
        _prefill_bound(workload, arrivals, first_token_s),
        _decode_bound(workload, arrivals, first_token_s, token_gap_s),
    )


def _prefill_bound(
    workload: workloads.Workload,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
) -> int:
    """Count the shortest prompts that fit between first and last deadline.

    Shared prefixes are taken to be cached always.
    """
    tokens_s = workloads.prefill_tokens_s(workload)
    times = [arrival.time for arrival in arrivals]
    token_budget = tokens_s * (max(times) - min(times) + first_token_s)
    count = 0
    for prompt_tokens in sorted(arrival.prompt_tokens for arrival in arrivals):
        token_budget -= max(
            0,
            prompt_tokens - workload.shared_fraction * workload.prefix_tokens,
        )
        if token_budget < 0:
            break
        count += 1
    return count


def _decode_bound(
    workload: workloads.Workload,
    arrivals: Sequence[arrivals_module.Arrival],
    first_token_s: float,
    token_gap_s: float,
) -> int:
    """Serve in order of arrival, leaving out what would end too late.

    All requests have the same number of tokens and deadlines in the order of
    their arrivals, so no other choice serves more.
    """
    tokens_s = workloads.decode_tokens_s(workload)
    count = 0
    free_at = 0.0
    for arrival in sorted(arrivals, key=lambda a: a.time):
        output_tokens = arrival.max_tokens
        deadline = (
            arrival.time + first_token_s + (output_tokens - 1) * token_gap_s
        )
        end = max(free_at, arrival.time) + output_tokens / tokens_s
        if end <= deadline:
            free_at = end
            count += 1
    return count
