"""Experiments under virtual time: the measures and their targets.

Each experiment runs the policy and, where it means something, the baseline
on the same arrivals, for every seed, and returns rows with the median and
the spread over the seeds.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import statistics
import time
from typing import Any

from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _bounds as bounds
from primrosereel.bench import _decisions as decisions
from primrosereel.bench import _load as load
from primrosereel.bench import _naive as naive
from primrosereel.bench import _rates as rates
from primrosereel.bench import _simulation as simulation
from primrosereel.bench import _workloads as workloads

__all__ = ['EXPERIMENTS', 'POLICIES', 'Row', 'run']

FIRST_TOKEN_S = 0.36
TOKEN_GAP_S = 0.069
DAEMONS = 6
WARM_UP_S = 10.0
SECONDS = 40.0
DECISION_RUNNERS = (14, 1400)
RATE_DAEMONS = (6, 40)
# In requests a second, and how many times of it is offered.
RATE_LIMIT = 50.0
RATE_LOAD = 2.0
# After the last arrival, so that everything can end.
TAIL_S = 60.0

POLICIES: dict[str, Callable[..., simulation.Router]] = {
    'primrosereel': simulation.core_router,
    'naive': naive.naive_router,
}

Row = dict[str, Any]


def _simulate(
    workload: workloads.Workload,
    policy: str,
    arrivals: list[arrivals_module.Arrival],
    seed: int,
    prepare: Callable[[simulation.Simulation], None] | None = None,
) -> simulation.Simulation:
    sim = simulation.Simulation(
        workload.text,
        DAEMONS,
        seed,
        POLICIES[policy],
        workload.region,
    )
    if prepare is not None:
        prepare(sim)
    last = arrivals[-1].time if arrivals else 0.0
    sim.run(arrivals, last + TAIL_S)
    return sim


def _is_good(outcome: arrivals_module.RequestOutcome) -> bool:
    return (
        outcome.complete
        and outcome.first_token_s <= FIRST_TOKEN_S
        and outcome.mean_gap_s <= TOKEN_GAP_S
    )


def _within(
    outcomes: Sequence[arrivals_module.RequestOutcome],
    start: float,
    end: float,
) -> list[arrivals_module.RequestOutcome]:
    return [o for o in outcomes if start <= o.arrival.time < end]


def _goodput(outcomes: Sequence[arrivals_module.RequestOutcome]) -> float:
    """Return the share of requests that met both targets."""
    if not outcomes:
        return 0.0
    return sum(map(_is_good, outcomes)) / len(outcomes)


def _first_tokens(
    outcomes: Sequence[arrivals_module.RequestOutcome],
) -> list[float]:
    return [o.first_token_s for o in outcomes if o.output_tokens]


def _median(values: Sequence[float]) -> float:
    return statistics.median(values)


def _spread(values: Sequence[float]) -> float:
    return max(values) - min(values)


def _row(measure: str, values: Sequence[float], **more: Any) -> Row:
    return {
        'measure': measure,
        'median': _median(values),
        'spread': _spread(values),
        **more,
    }


def goodput(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure goodput at 90% of what the pools carry.

    At that load the upper bound is that every request meets both targets.
    """
    rate = 0.9 * workloads.capacity_requests_s(workload)
    shares: dict[str, list[float]] = {name: [] for name in POLICIES}
    for seed in seeds:
        arrivals = workloads.poisson_arrivals(
            workload, rate, WARM_UP_S + SECONDS, seed
        )
        for policy in POLICIES:
            sim = _simulate(workload, policy, arrivals, seed)
            found = _within(sim.outcomes, 1 + WARM_UP_S, 1e9)
            shares[policy].append(_goodput(found))
    ratio = _median(shares['primrosereel']) / max(
        1e-9, _median(shares['naive'])
    )
    return [
        _row('goodput/bound', shares['primrosereel'], target='>= 0.95'),
        _row('goodput/bound, naive', shares['naive']),
        _row('goodput/naive', [ratio], target='>= 1.5'),
    ]


def waste(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure prefill work wasted, without faults and with kills."""
    rate = 0.9 * workloads.capacity_requests_s(workload)
    rows = []
    for label, kills, target in (
        ('no faults', False, '<= 0.001'),
        ('one runner killed a minute', True, '<= 0.01'),
    ):
        for policy in POLICIES:
            shares = []
            for seed in seeds:
                arrivals = workloads.poisson_arrivals(
                    workload, rate, 120.0, seed
                )
                sim = _simulate(
                    workload, policy, arrivals, seed, _kills if kills else None
                )
                done, wasted = sim.engines.prefill_token_counts()
                shares.append(wasted / max(1, done))
            more = {'target': target} if policy == 'primrosereel' else {}
            name = f'prefill wasted, {label}'
            if policy == 'naive':
                name += ', naive'
            rows.append(_row(name, shares, **more))
    return rows


def _kills(sim: simulation.Simulation) -> None:
    """Kill one runner in the middle of each minute, in turn."""
    runners = sorted(sim.engines.engines)
    for minute in range(2):
        runner = runners[-1 - minute]
        sim.call_at(
            30.0 + 60.0 * minute, functools.partial(sim.engines.crash, runner)
        )


def priority(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure a rare priority account on a full and on an empty fleet."""
    rate = 1.1 * workloads.capacity_requests_s(workload)
    full, empty = [], []
    for seed in seeds:
        rare = workloads.poisson_arrivals(
            workload, 0.5, 60.0, seed + 500, 1.0, 20.0
        )
        patient = workloads.poisson_arrivals(workload, rate, 79.0, seed)
        mixed = sorted(rare + patient)
        sim = _simulate(workload, 'primrosereel', mixed, seed)
        mine = [
            o
            for o in sim.outcomes
            if o.arrival.client_account == workload.priority_client_account
        ]
        full.append(_percentile(_first_tokens(mine), 0.99, len(mine)))
        sim = _simulate(workload, 'primrosereel', rare, seed)
        alone = sim.outcomes
        empty.append(_percentile(_first_tokens(alone), 0.99, len(alone)))
    ratios = [f / e for f, e in zip(full, empty, strict=True)]
    return [
        _row('priority first token p99, full fleet, s', full),
        _row('priority first token p99, empty fleet, s', empty),
        _row('priority p99 full/empty', ratios, target='<= 1.25'),
    ]


def _percentile(values: list[float], share: float, asked: int) -> float:
    """Return a percentile; requests without a token count as endless."""
    values = values + [float('inf')] * (asked - len(values))
    found = load.percentile(values, share)
    return float('inf') if found is None else found


def burst(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure goodput in the ten seconds of a five-times swing."""
    rate = 0.4 * workloads.capacity_requests_s(workload)
    rows = []
    for policy in POLICIES:
        shares = []
        for seed in seeds:
            arrivals = workloads.burst_arrivals(workload, rate, seed)
            sim = _simulate(workload, policy, arrivals, seed)
            found = _within(sim.outcomes, 11.0, 21.0)
            bound = bounds.goodput_bound(
                workload,
                [o.arrival for o in found],
                FIRST_TOKEN_S,
                TOKEN_GAP_S,
            )
            shares.append(sum(map(_is_good, found)) / bound)
        more = {'target': '>= 0.9'} if policy == 'primrosereel' else {}
        name = 'goodput at the peak of a burst/bound'
        rows.append(_row(f'{name}{_label(policy)}', shares, **more))
    return rows


def _label(policy: str) -> str:
    return '' if policy == 'primrosereel' else f', {policy}'


def straggler(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure p99 of the first token with one runner slowed ten times."""
    rate = 0.4 * workloads.capacity_requests_s(workload)
    runners = workload.text['services'][workload.service]['runners']
    rows = []
    for role in ('prefill', 'decode'):
        name = next(r for r, row in runners.items() if row['role'] == role)

        def slow(sim: simulation.Simulation, runner=name) -> None:
            sim.call_at(WARM_UP_S, lambda: sim.engines.slow(runner, 10.0))

        for policy in POLICIES:
            ratios = []
            for seed in seeds:
                arrivals = workloads.poisson_arrivals(
                    workload, rate, 110.0, seed
                )
                p99 = []
                for prepare in (None, slow):
                    sim = _simulate(workload, policy, arrivals, seed, prepare)
                    found = _within(sim.outcomes, WARM_UP_S, 1e9)
                    tokens = _first_tokens(found)
                    p99.append(_percentile(tokens, 0.99, len(found)))
                ratios.append(p99[1] / p99[0])
            more = {'target': '<= 1.3'} if policy == 'primrosereel' else {}
            label = f'first token p99, 1 {role} runner slowed/none'
            rows.append(_row(f'{label}{_label(policy)}', ratios, **more))
    return rows


def decision(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure the CPU time of one placement decision."""
    costs: dict[int, list[float]] = {}
    for runners in DECISION_RUNNERS:
        costs[runners] = [
            decisions.median_decision_cpu_s(workload.name, runners, seed)
            for seed in seeds
        ]
    few, many = (costs[runners] for runners in DECISION_RUNNERS)
    ratios = [m / f for f, m in zip(few, many, strict=True)]
    return [
        _row(f'decision, {runners} runners, ms', [c * 1e3 for c in values])
        for runners, values in costs.items()
    ] + [_row('decision, 1400 runners/14', ratios, target='<= 3')]


def rate_limit(
    workload: workloads.Workload, seeds: Sequence[int]
) -> list[Row]:
    """Measure how far a client account's total rate is off its limit."""
    rows = []
    for daemons in RATE_DAEMONS:
        for label, loses_owner in (('', False), (', limit owner lost', True)):
            errors = [
                abs(
                    rates.admitted_rate(
                        daemons, RATE_LIMIT, RATE_LOAD, loses_owner, seed
                    )
                    / RATE_LIMIT
                    - 1
                )
                for seed in seeds
            ]
            name = f'rate off its limit, {daemons} daemons{label}'
            rows.append(_row(name, errors, target='<= 0.1'))
    return rows


EXPERIMENTS = {
    'goodput': goodput,
    'waste': waste,
    'priority': priority,
    'burst': burst,
    'straggler': straggler,
    'decision': decision,
    'rate': rate_limit,
}


def run(
    names: Sequence[str],
    workload_name: str,
    scale: int,
    seeds: Sequence[int],
) -> dict[str, Any]:
    """Run experiments on a workload and return their rows."""
    workload = workloads.make_workload(workload_name, scale)
    started = time.perf_counter()
    rows = []
    for name in names:
        rows += EXPERIMENTS[name](workload, seeds)
    return {
        'workload': workload_name,
        'scale': scale,
        'seeds': list(seeds),
        'capacity_requests_s': workloads.capacity_requests_s(workload),
        'rows': rows,
        'run_seconds': time.perf_counter() - started,
    }
