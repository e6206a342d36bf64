"""The reserving policy: reserves prefill and decode capacity together.

A request gets the runner of each role that is free for it first.
"""

from collections.abc import Collection
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from primrosereel.core import _placement as placement
from primrosereel.core import _prefill as prefill
from primrosereel.core import _tables as tables

__all__ = ['ReservingPolicy', 'first_token_estimate']

# Round trip to another availability zone; 0.5 to 1 ms one way were measured.
CROSS_ZONE_COST_S = 0.002
# Work may wait this long at a prefill engine behind the running prefill. That
# covers the delay of the next grant; other work waits in the group's queue,
# where it can still be reordered, refused or sent to another runner.
MAX_PREFILL_WAIT_S = 0.02
# A suspect runner is probed each second if the probe is expected to meet the
# first token target, and otherwise too rarely to affect a 99th percentile.
PROBE_INTERVAL_S = 1.0
RARE_PROBE_INTERVAL_S = 30.0
Choice = placement.Choice
Scarce = placement.Scarce
Shortage = placement.Shortage
GroupView = placement.GroupView


class ReservingPolicy:
    """Chooses the prefill and the decode runner that are free first."""

    def choose(
        self,
        view: GroupView,
        request: messages.GrantRequest,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> Choice | Shortage:
        """Choose runners that can take the request now."""
        if request.kv is not None:
            return _choose_decode(view, request, None, now, now, withheld)
        prefill_candidate = _choose_prefill(view, request, now)
        if isinstance(prefill_candidate, placement.Shortage):
            return prefill_candidate
        ready_at = (
            now
            + prefill_candidate.estimate.wait_s
            + prefill_candidate.estimate.compute_s
        )
        return _choose_decode(
            view, request, prefill_candidate, ready_at, now, withheld
        )


class PrefillCandidate(NamedTuple):
    """A prefill runner and its estimate for a request."""

    runner: prefill.PrefillRunner
    estimate: prefill.Estimate
    cost: float
    suspect: bool


def _prefill_candidates(
    view: GroupView, request: messages.GrantRequest, now: float
) -> list[PrefillCandidate]:
    """Return the usable prefill runners with their costs."""
    candidates = []
    for runner_id, runner in view.ledger.prefill_runners.items():
        runner_row = view.usable(runner_id, request.exclude)
        if runner_row is None:
            continue
        estimate = runner.estimate(
            request.prefix_hashes, request.prompt_tokens, request.priority, now
        )
        cost = estimate.wait_s + estimate.compute_s
        if runner_row.facts.availability_zone != request.availability_zone:
            cost += CROSS_ZONE_COST_S
        candidates.append(
            PrefillCandidate(runner, estimate, cost, runner_row.suspect)
        )
    return candidates


def _choose_prefill(
    view: GroupView, request: messages.GrantRequest, now: float
) -> PrefillCandidate | Shortage:
    candidates = _prefill_candidates(view, request, now)
    if not candidates:
        return Shortage(Scarce.RUNNER)
    target = view.service.first_token_s
    for candidate in candidates:
        if _may_probe_prefill(candidate, request, target, now):
            return candidate
    trusted = [c for c in candidates if not c.suspect]
    best = min(trusted or candidates, key=_prefill_cost)
    if best.estimate.wait_s > MAX_PREFILL_WAIT_S:
        # No trusted runner is free: a suspect one is used if it is faster.
        best = min(candidates, key=_prefill_cost)
    if best.estimate.wait_s <= MAX_PREFILL_WAIT_S:
        return best
    # Engines honour priorities: such a request waits only for the running
    # prefill, which would not end sooner if it waited in the queue.
    if request.priority > 0 and best.runner.has_only_lower_priorities(
        request.priority
    ):
        return best
    retry_in_s = (
        min(c.estimate.wait_s for c in candidates) - MAX_PREFILL_WAIT_S
    )
    return Shortage(Scarce.PREFILL, max(0.0, retry_in_s), retry_in_s > 0)


def _prefill_cost(candidate: PrefillCandidate) -> float:
    return candidate.cost


def _may_probe_prefill(
    candidate: PrefillCandidate,
    request: messages.GrantRequest,
    target: float,
    now: float,
) -> bool:
    """Return whether a request may probe a suspect runner for recovery."""
    if not candidate.suspect or request.priority > 0 or candidate.runner.jobs:
        return False
    meets_target = candidate.cost < target / 2
    interval_s = PROBE_INTERVAL_S if meets_target else RARE_PROBE_INTERVAL_S
    return now >= candidate.runner.last_granted_at + interval_s


class DecodeCandidate(NamedTuple):
    """A decode runner that fits a request, and its planned transfer."""

    runner: capacity_ledger.DecodeRunner
    pieces: int
    link_start: float
    transfer_s: float
    unreliable: bool
    free_pieces: int


def _choose_decode(
    view: GroupView,
    request: messages.GrantRequest,
    prefill_candidate: PrefillCandidate | None,
    ready_at: float,
    now: float,
    withheld: Collection[ids.RunnerId],
) -> Choice | Shortage:
    tokens = request.prompt_tokens + request.max_tokens
    kv_bytes = request.prompt_tokens * view.model.kv_bytes_per_token
    candidates = []
    shortage = Scarce.RUNNER
    no_place = True
    for runner_id, runner in view.ledger.decode_runners.items():
        runner_row = view.usable(runner_id, request.exclude)
        if runner_row is None:
            continue
        pieces = runner.pieces_for(tokens)
        has_place = runner_id not in withheld and runner.free_places(now) > 0
        no_place = no_place and not has_place
        missing = _missing_resource(runner, pieces, has_place, now)
        if missing is not None:
            shortage = max(shortage, missing, key=_SHORTAGE_ORDER.__getitem__)
            continue
        transfer_s = kv_bytes / runner.facts.link_bytes_s
        candidates.append(
            DecodeCandidate(
                runner,
                pieces,
                runner.earliest_link_start(ready_at, transfer_s),
                transfer_s,
                _is_unreliable(view, runner, runner_row, now),
                runner.free_pieces(now),
            )
        )
    if not candidates:
        return Shortage(shortage, for_all=no_place)
    best = _decode_probe(candidates, request, now) or min(
        candidates,
        key=lambda candidate: (
            candidate.unreliable,
            candidate.link_start,
            -candidate.free_pieces,
        ),
    )
    return _make_choice(request, prefill_candidate, best, ready_at, now)


# Of the shortages of several runners, the last in this order is reported: it
# is the one most easily ended.
_SHORTAGE_ORDER = {
    Scarce.RUNNER: 0,
    Scarce.SIZE: 1,
    Scarce.PLACE: 2,
    Scarce.PIECES: 3,
}


def _missing_resource(
    runner: capacity_ledger.DecodeRunner,
    pieces: int,
    has_place: bool,
    now: float,
) -> Scarce | None:
    if pieces > runner.facts.pieces:
        return Scarce.SIZE
    if not has_place:
        return Scarce.PLACE
    if runner.free_pieces(now) < pieces:
        return Scarce.PIECES
    return None


def _is_unreliable(
    view: GroupView,
    runner: capacity_ledger.DecodeRunner,
    runner_row: tables.Runner,
    now: float,
) -> bool:
    return runner_row.suspect or runner.is_slow(view.service.token_gap_s, now)


def _decode_probe(
    candidates: list[DecodeCandidate],
    request: messages.GrantRequest,
    now: float,
) -> DecodeCandidate | None:
    """Return an idle unreliable runner that is due for a probe."""
    if request.priority > 0:
        return None
    for candidate in candidates:
        runner = candidate.runner
        due = now >= runner.last_granted_at + RARE_PROBE_INTERVAL_S
        if candidate.unreliable and due and not runner.occupants:
            return candidate
    return None


def _make_choice(
    request: messages.GrantRequest,
    source: PrefillCandidate | None,
    target: DecodeCandidate,
    ready_at: float,
    now: float,
) -> Choice:
    decode_explanation = (
        f'decode {target.runner.runner_id}: link wait '
        f'{(target.link_start - ready_at) * 1e3:.0f} ms, '
        f'{target.runner.free_places(now)} places and '
        f'{target.free_pieces} pieces free'
    )
    transfer = (target.link_start, target.link_start + target.transfer_s)
    if source is None:
        return Choice(
            None,
            target.runner.runner_id,
            target.pieces,
            None,
            transfer,
            decode_explanation,
        )
    estimate = source.estimate
    job = prefill.PrefillJob(
        now,
        estimate.compute_s,
        request.prompt_tokens,
        request.priority,
        request.prefix_hashes,
        estimate.match,
    )
    explanation = (
        f'prefill {source.runner.runner_id}: '
        f'wait {estimate.wait_s * 1e3:.0f} ms, '
        f'compute {estimate.compute_s * 1e3:.0f} ms, '
        f'{estimate.match.tokens} of {request.prompt_tokens} tokens cached; '
        f'{decode_explanation}'
    )
    return Choice(
        source.runner.runner_id,
        target.runner.runner_id,
        target.pieces,
        job,
        transfer,
        explanation,
    )


def first_token_estimate(
    view: GroupView, request: messages.GrantRequest, now: float
) -> float:
    """Return the seconds from a grant to the first token on idle runners."""
    runners = view.ledger.decode_runners.values()
    rate = max((runner.facts.link_bytes_s for runner in runners), default=1e9)
    kv_bytes = request.prompt_tokens * view.model.kv_bytes_per_token
    seconds = kv_bytes / rate + view.model.decode_step_s
    if request.kv is not None:
        return seconds
    candidates = _prefill_candidates(view, request, now)
    return seconds + min(
        (c.estimate.compute_s for c in candidates), default=0.0
    )
