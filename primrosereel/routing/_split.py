"""Decides whether a prefill runner reads a prompt or the decode runner does.

Pattern: shortest expected completion over two ways. A prefill runner reads at
full speed one prompt after the other; a decode runner reads at half the speed
between the tokens of the streams it runs, which it slows down.
"""

from primrosereel.routing import _runners as runners

__all__ = ['expected_prefill_s', 'reads_apart']

# Used until a prefill was seen.
DEFAULT_PREFILL_S = 0.15
# The share of the first event's target that queueing and reading may take.
TARGET_SHARE = 0.5


def expected_prefill_s(row: runners.Runner, now: float) -> float:
    """Return the time until a prefill runner has read one more prompt."""
    usual = row.latency_s or DEFAULT_PREFILL_S
    return usual * (1 + row.busy(now))


def reads_apart(
    row: runners.Runner | None, target_s: float, now: float
) -> bool:
    """Tell whether a prefill runner is to read the prompt."""
    if row is None or row.suspect(now):
        return False
    return expected_prefill_s(row, now) <= TARGET_SHARE * target_s
