"""An upper bound on the requests that can meet both latency targets.

A request that arrives at ``a`` and has ``n`` output tokens meets its targets
if its first token comes by ``a + first_token_s`` and its last one at most
``(n - 1) * token_gap_s`` later. The bound treats each pool as one machine that
has no other work and never waits for the other pool. No schedule can serve
more requests than this.
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
    """Return the most arrivals that any schedule can serve on target."""
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
    """Return the most prompts that the prefill pool can compute.

    These are the shortest prompts that fit into the time from the first
    arrival to the last deadline. Shared prefixes count as always cached.
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
    """Return the most streams that the decode pool can finish in time.

    Requests are served in order of arrival, and those that would miss their
    deadline are skipped. This is optimal, because all requests have the same
    number of tokens and their deadlines are in the order of their arrivals.
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
