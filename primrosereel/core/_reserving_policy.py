"""The reserving policy: both places at once, where they are free soonest."""

from collections.abc import Collection
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _prefill as prefill
from primrosereel.core import _tables as tables

__all__ = ['ReservingPolicy', 'first_token_estimate']

# A call to another zone and back; the users measure 0.5 to 1 ms one way.
ZONE_COST_S = 0.002
# Work that may wait at a prefill engine behind the running prefill. It covers
# the way of the next grant; the rest waits in the group's queue, where it can
# still be reordered, refused, or sent to another runner.
LOOKAHEAD_S = 0.02
# A suspect runner is probed each second where the probe still meets the first
# token target, and else rarely enough not to show in a 99th percentile.
PROBE_S = 1.0
RARE_PROBE_S = 30.0
Choice = placement.Choice
Scarce = placement.Scarce
Shortage = placement.Shortage
View = placement.View


class ReservingPolicy:
    """Both places at once, each on the runner that has it soonest."""

    def choose(
        self,
        view: View,
        request: messages.GrantRequest,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> Choice | Shortage:
        """Choose runners that can take the request now."""
        if request.kv is not None:
            return _choose_decode(view, request, None, now, now, withheld)
        first = _choose_prefill(view, request, now)
        if isinstance(first, placement.Shortage):
            return first
        ready_at = now + first.estimate.wait_s + first.estimate.compute_s
        return _choose_decode(view, request, first, ready_at, now, withheld)


class Prefill(NamedTuple):
    """A prefill runner and its estimate for a request."""

    row: prefill.PrefillRunner
    estimate: prefill.Estimate
    cost: float
    suspect: bool


def _prefill_candidates(
    view: View, request: messages.GrantRequest, now: float
) -> list[Prefill]:
    """Return the usable prefill runners with their costs."""
    found = []
    for runner, row in view.ledger.prefill_runners.items():
        facts = view.usable(runner, request.exclude)
        if facts is None:
            continue
        estimate = row.estimate(
            request.prefix_hashes, request.prompt_tokens, request.priority, now
        )
        cost = estimate.wait_s + estimate.compute_s
        if facts.facts.availability_zone != request.availability_zone:
            cost += ZONE_COST_S
        found.append(Prefill(row, estimate, cost, facts.suspect))
    return found


def _choose_prefill(
    view: View, request: messages.GrantRequest, now: float
) -> Prefill | Shortage:
    candidates = _prefill_candidates(view, request, now)
    if not candidates:
        return Shortage(Scarce.RUNNER)
    target = view.service.first_token_s
    for candidate in candidates:
        if _probes_prefill(candidate, request, target, now):
            return candidate
    sound = [c for c in candidates if not c.suspect]
    best = min(sound or candidates, key=_prefill_cost)
    if best.estimate.wait_s > LOOKAHEAD_S:
        # No sound runner is free: a suspect one serves if it is faster.
        best = min(candidates, key=_prefill_cost)
    if best.estimate.wait_s <= LOOKAHEAD_S:
        return best
    # Engines honour priorities: only the running prefill is in the way, and
    # the owner's queue cannot make it end sooner.
    if request.priority > 0 and best.row.has_only_lower_priorities(
        request.priority
    ):
        return best
    soonest = min(c.estimate.wait_s for c in candidates) - LOOKAHEAD_S
    return Shortage(Scarce.PREFILL, max(0.0, soonest), soonest > 0)


def _prefill_cost(candidate: Prefill) -> float:
    return candidate.cost


def _probes_prefill(
    candidate: Prefill,
    request: messages.GrantRequest,
    target: float,
    now: float,
) -> bool:
    """Tell whether a request may test if a suspect runner has recovered."""
    if not candidate.suspect or request.priority > 0 or candidate.row.jobs:
        return False
    harmless = candidate.cost < target / 2
    pause = PROBE_S if harmless else RARE_PROBE_S
    return now >= candidate.row.last_granted_at + pause


class Decode(NamedTuple):
    """A decode runner with room, and when its link is free."""

    row: capacity_ledger.DecodeRunner
    pieces: int
    start: float
    seconds: float
    doubtful: bool
    free_pieces: int


def _choose_decode(
    view: View,
    request: messages.GrantRequest,
    first: Prefill | None,
    ready_at: float,
    now: float,
    withheld: Collection[ids.RunnerId],
) -> Choice | Shortage:
    tokens = request.prompt_tokens + request.max_tokens
    size = request.prompt_tokens * view.model.kv_bytes_per_token
    candidates = []
    lacking = Scarce.RUNNER
    no_place = True
    for runner, row in view.ledger.decode_runners.items():
        facts = view.usable(runner, request.exclude)
        if facts is None:
            continue
        pieces = row.pieces_for(tokens)
        has_place = runner not in withheld and row.free_places(now) > 0
        no_place = no_place and not has_place
        lack = _lack(row, pieces, has_place, now)
        if lack is not None:
            lacking = max(lacking, lack, key=_NEARNESS.__getitem__)
            continue
        seconds = size / row.facts.link_bytes_s
        candidates.append(
            Decode(
                row,
                pieces,
                row.earliest_link_start(ready_at, seconds),
                seconds,
                _doubtful(view, row, facts, now),
                row.free_pieces(now),
            )
        )
    if not candidates:
        return Shortage(lacking, for_all=no_place)
    best = _probed_decode(candidates, request, now) or min(
        candidates, key=lambda c: (c.doubtful, c.start, -c.free_pieces)
    )
    return _choice(request, first, best, ready_at, now)


# Of several runners' lacks the group has the one that is easiest to end.
_NEARNESS = {
    Scarce.RUNNER: 0,
    Scarce.SIZE: 1,
    Scarce.PLACE: 2,
    Scarce.PIECES: 3,
}


def _lack(
    row: capacity_ledger.DecodeRunner, pieces: int, has_place: bool, now: float
) -> Scarce | None:
    if pieces > row.facts.pieces:
        return Scarce.SIZE
    if not has_place:
        return Scarce.PLACE
    if row.free_pieces(now) < pieces:
        return Scarce.PIECES
    return None


def _doubtful(
    view: View,
    row: capacity_ledger.DecodeRunner,
    facts: tables.Runner,
    now: float,
) -> bool:
    return facts.suspect or row.is_slow(view.service.token_gap_s, now)


def _probed_decode(
    candidates: list[Decode], request: messages.GrantRequest, now: float
) -> Decode | None:
    """Return an idle doubtful runner that is due for a probe."""
    if request.priority > 0:
        return None
    for candidate in candidates:
        row = candidate.row
        due = now >= row.last_granted_at + RARE_PROBE_S
        if candidate.doubtful and due and not row.occupants:
            return candidate
    return None


def _choice(
    request: messages.GrantRequest,
    first: Prefill | None,
    best: Decode,
    ready_at: float,
    now: float,
) -> Choice:
    decode = (
        f'decode {best.row.runner}: link wait '
        f'{(best.start - ready_at) * 1e3:.0f} ms, '
        f'{best.row.free_places(now)} places and '
        f'{best.free_pieces} pieces free'
    )
    transfer = (best.start, best.start + best.seconds)
    if first is None:
        return Choice(
            None, best.row.runner, best.pieces, None, transfer, decode
        )
    estimate = first.estimate
    job = prefill.PrefillJob(
        now,
        estimate.compute_s,
        request.prompt_tokens,
        request.priority,
        request.prefix_hashes,
        estimate.match,
    )
    explanation = (
        f'prefill {first.row.runner}: wait {estimate.wait_s * 1e3:.0f} ms, '
        f'compute {estimate.compute_s * 1e3:.0f} ms, '
        f'{estimate.match.tokens} of {request.prompt_tokens} tokens cached; '
        f'{decode}'
    )
    return Choice(
        first.row.runner,
        best.row.runner,
        best.pieces,
        job,
        transfer,
        explanation,
    )


def first_token_estimate(
    view: View, request: messages.GrantRequest, now: float
) -> float:
    """Return the seconds from a grant to the first token on idle runners."""
    rows = view.ledger.decode_runners.values()
    rate = max((r.facts.link_bytes_s for r in rows), default=1e9)
    size = request.prompt_tokens * view.model.kv_bytes_per_token
    seconds = size / rate + view.model.decode_step_s
    if request.kv is not None:
        return seconds
    candidates = _prefill_candidates(view, request, now)
    return seconds + min(
        (c.estimate.compute_s for c in candidates), default=0.0
    )
