"""Requests for a place at a decode runner, and the order among them."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _runners as runners

__all__ = ['Ticket', 'queue_head', 'tokens_needed']

# Priority of a request whose prompt was prefilled and would be wasted; the
# operators' priorities start at 0.
PREFILLED_PRIORITY = priorities.route_only(-1)
# Share of the output tokens that is reserved: a stream holds less than its
# final length for most of its time.
RESERVED_OUTPUT_SHARE = 0.6


def tokens_needed(facts: model.RequestFacts) -> int:
    """Return the expected KV cache memory of a request, in tokens."""
    output = facts.output_tokens
    if facts.length_hint is not None:
        output = min(output, facts.length_hint)
    return facts.prompt_tokens + int(RESERVED_OUTPUT_SHARE * output)


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request for a place; ``runner`` is set once it has one."""

    service: ids.ServiceId
    tokens: int
    priority: priorities.RequestPriority
    arrived_at: float
    # Returns the latest start time that still meets the latency target. It
    # changes with the prompts that are waiting for prefill.
    latest_start: Callable[[float], float]
    excluded: Collection[ids.RunnerId] = ()
    runner: runners.Runner | None = None
    # The prompt was prefilled for a runner that then rejected the request.
    # Its KV cache lasts for less than a second.
    prefilled: bool = False
    # The request lost its place before it was sent, as its runner takes no
    # more requests. It goes before the others of its priority.
    displaced: bool = False
    # For how long newer requests of other accounts go before this one, as its
    # account has used more than the rate of its quota.
    deferral_s: float = 0.0
    # The expected output relative to that of the usual request.
    output_factor: float = 1.0
    on_admitted: Callable[[], None] = lambda: None

    def rank(
        self, now: float, by_arrival: bool = False
    ) -> tuple[bool, priorities.RequestPriority, float]:
        """Return the sort key by which tickets get places, lowest first.

        With ``by_arrival``, accounts that used more than others don't wait
        longer.
        """
        if self.prefilled:
            return False, PREFILLED_PRIORITY, self.arrived_at
        if self.displaced:
            return False, self.priority, -math.inf
        deferral_s = 0.0 if by_arrival else self.deferral_s
        queued_at = self.arrived_at + deferral_s
        return self.is_late(now), self.priority, queued_at

    def is_late(self, now: float) -> bool:
        """Tell whether the request misses its target even if it starts now."""
        return not self.displaced and now > self.latest_start(now)


def queue_head(
    ticket: Ticket, now: float, by_arrival: bool = False
) -> ledger_module.QueueHead:
    """Return what peers are told of a waiting ticket."""
    late, priority, _ = ticket.rank(now)
    deferral_s = 0.0 if by_arrival else ticket.deferral_s
    return ledger_module.QueueHead(
        ticket.service,
        late,
        priority.position,
        now - ticket.arrived_at - deferral_s,
    )
