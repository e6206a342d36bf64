"""Experiments under virtual time: the measures and their targets.

Each experiment runs the policy and, where a comparison is meaningful, the
baseline on the same arrivals for every seed. It returns rows with the median
and the spread over the seeds.
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

FIRST_TOKEN_TARGET_S = 0.36
TOKEN_GAP_TARGET_S = 0.069
DAEMONS = 6
WARM_UP_S = 10.0
MEASURED_S = 40.0
DECISION_RUNNER_COUNTS = (14, 1400)
RATE_DAEMON_COUNTS = (6, 40)
RATE_LIMIT_REQUESTS_S = 50.0
# The share of requests whose prompt crashes engines.
DEADLY_SHARE = 0.03
# Offered rate as a multiple of the limit.
RATE_LOAD_FACTOR = 2.0
# Time after the last arrival in which the remaining requests can end.
DRAIN_S = 60.0

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
    last_arrival = arrivals[-1].time if arrivals else 0.0
    sim.run(arrivals, last_arrival + DRAIN_S)
    return sim


def _meets_targets(outcome: arrivals_module.RequestOutcome) -> bool:
    return (
        outcome.complete
        and outcome.first_token_s <= FIRST_TOKEN_TARGET_S
        and outcome.mean_gap_s <= TOKEN_GAP_TARGET_S
    )


def _arrived_between(
    outcomes: Sequence[arrivals_module.RequestOutcome],
    start: float,
    end: float,
) -> list[arrivals_module.RequestOutcome]:
    return [o for o in outcomes if start <= o.arrival.time < end]


def _goodput(outcomes: Sequence[arrivals_module.RequestOutcome]) -> float:
    """Return the fraction of requests that met both targets."""
    if not outcomes:
        return 0.0
    return sum(map(_meets_targets, outcomes)) / len(outcomes)


def _first_token_times(
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
    """Measure goodput at 90% of the pools' capacity.

    At that load the upper bound is 1: every request can meet both targets.
    """
    rate = 0.9 * workloads.capacity_requests_s(workload)
    shares: dict[str, list[float]] = {name: [] for name in POLICIES}
    for seed in seeds:
        arrivals = workloads.poisson_arrivals(
            workload, rate, WARM_UP_S + MEASURED_S, seed
        )
        for policy in POLICIES:
            sim = _simulate(workload, policy, arrivals, seed)
            outcomes = _arrived_between(sim.outcomes, 1 + WARM_UP_S, 1e9)
            shares[policy].append(_goodput(outcomes))
    ratio = _median(shares['primrosereel']) / max(
        1e-9, _median(shares['naive'])
    )
    return [
        _row('goodput/bound', shares['primrosereel'], target='>= 0.95'),
        _row('goodput/bound, naive', shares['naive']),
        _row('goodput/naive', [ratio], target='>= 1.5'),
    ]


def waste(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure the wasted part of prefill work with and without crashes."""
    rate = 0.9 * workloads.capacity_requests_s(workload)
    rows = []
    for label, crashes, target in (
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
                    workload,
                    policy,
                    arrivals,
                    seed,
                    _schedule_crashes if crashes else None,
                )
                computed, wasted = sim.engines.prefill_token_counts()
                shares.append(wasted / max(1, computed))
            more = {'target': target} if policy == 'primrosereel' else {}
            name = f'prefill wasted, {label}'
            if policy == 'naive':
                name += ', naive'
            rows.append(_row(name, shares, **more))
    return rows


def _schedule_crashes(sim: simulation.Simulation) -> None:
    """Crash another runner in the middle of each of the two minutes."""
    runners = sorted(sim.engines.engines)
    for minute in range(2):
        runner = runners[-1 - minute]
        sim.call_at(
            30.0 + 60.0 * minute, functools.partial(sim.engines.crash, runner)
        )


def priority(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure the first-token time of few priority requests.

    They run on a fleet that is loaded beyond its capacity and on an idle one.
    """
    rate = 1.1 * workloads.capacity_requests_s(workload)
    full, empty = [], []
    for seed in seeds:
        priority_arrivals = workloads.poisson_arrivals(
            workload, 0.5, 60.0, seed + 500, 1.0, 20.0
        )
        background_arrivals = workloads.poisson_arrivals(
            workload, rate, 79.0, seed
        )
        all_arrivals = sorted(priority_arrivals + background_arrivals)
        sim = _simulate(workload, 'primrosereel', all_arrivals, seed)
        priority_outcomes = [
            o
            for o in sim.outcomes
            if o.arrival.client_account == workload.priority_client_account
        ]
        full.append(
            _percentile(
                _first_token_times(priority_outcomes),
                0.99,
                len(priority_outcomes),
            )
        )
        sim = _simulate(workload, 'primrosereel', priority_arrivals, seed)
        outcomes = sim.outcomes
        empty.append(
            _percentile(_first_token_times(outcomes), 0.99, len(outcomes))
        )
    ratios = [f / e for f, e in zip(full, empty, strict=True)]
    return [
        _row('priority first token p99, full fleet, s', full),
        _row('priority first token p99, empty fleet, s', empty),
        _row('priority p99 full/empty', ratios, target='<= 1.25'),
    ]


def _percentile(values: list[float], fraction: float, requests: int) -> float:
    """Return a percentile; requests without a token count as infinite."""
    values = values + [float('inf')] * (requests - len(values))
    percentile = load.percentile(values, fraction)
    return float('inf') if percentile is None else percentile


def burst(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure goodput in the 10 s of a burst at five times the base rate."""
    rate = 0.4 * workloads.capacity_requests_s(workload)
    rows = []
    for policy in POLICIES:
        shares = []
        for seed in seeds:
            arrivals = workloads.burst_arrivals(workload, rate, seed)
            sim = _simulate(workload, policy, arrivals, seed)
            outcomes = _arrived_between(sim.outcomes, 11.0, 21.0)
            bound = bounds.goodput_bound(
                workload,
                [o.arrival for o in outcomes],
                FIRST_TOKEN_TARGET_S,
                TOKEN_GAP_TARGET_S,
            )
            shares.append(sum(map(_meets_targets, outcomes)) / bound)
        more = {'target': '>= 0.9'} if policy == 'primrosereel' else {}
        name = 'goodput at the peak of a burst/bound'
        rows.append(_row(f'{name}{_policy_suffix(policy)}', shares, **more))
    return rows


def _policy_suffix(policy: str) -> str:
    return '' if policy == 'primrosereel' else f', {policy}'


def straggler(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure p99 of the first-token time with one runner 10 times slower."""
    rate = 0.4 * workloads.capacity_requests_s(workload)
    runners = workload.text['services'][workload.service]['runners']
    rows = []
    for role in ('prefill', 'decode'):
        name = next(
            r for r, runner in runners.items() if runner['role'] == role
        )

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
                    outcomes = _arrived_between(sim.outcomes, WARM_UP_S, 1e9)
                    first_token_times = _first_token_times(outcomes)
                    p99.append(
                        _percentile(first_token_times, 0.99, len(outcomes))
                    )
                ratios.append(p99[1] / p99[0])
            more = {'target': '<= 1.3'} if policy == 'primrosereel' else {}
            label = f'first token p99, 1 {role} runner slowed/none'
            rows.append(
                _row(f'{label}{_policy_suffix(policy)}', ratios, **more)
            )
    return rows


def deadly(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure what one repeated prompt does that crashes decode engines.

    Up to three crashes show that it is deadly; three more may follow.
    """
    rate = 0.4 * workloads.capacity_requests_s(workload)
    rows = []
    for policy in POLICIES:
        crashes, shares = [], []
        for seed in seeds:
            arrivals = workloads.with_repeated_prompt(
                workloads.poisson_arrivals(workload, rate, MEASURED_S, seed),
                DEADLY_SHARE,
                seed,
            )
            key = arrivals[0].prompt_key

            def add_deadly_prompt(sim: simulation.Simulation, key=key) -> None:
                sim.engines.deadly_prompts = frozenset({key})

            sim = _simulate(
                workload, policy, arrivals, seed, add_deadly_prompt
            )
            crashes.append(sim.engines.crashes_by_prompt)
            shares.append(
                _goodput(
                    [o for o in sim.outcomes if o.arrival.prompt_key != key]
                )
            )
        more = {'target': '<= 6'} if policy == 'primrosereel' else {}
        suffix = _policy_suffix(policy)
        rows.append(_row(f'crashes by one prompt{suffix}', crashes, **more))
        rows.append(_row(f'goodput beside a deadly prompt{suffix}', shares))
    return rows


def decision(workload: workloads.Workload, seeds: Sequence[int]) -> list[Row]:
    """Measure the CPU time of one placement decision."""
    cpu_times_s: dict[int, list[float]] = {}
    for runners in DECISION_RUNNER_COUNTS:
        cpu_times_s[runners] = [
            decisions.median_decision_cpu_s(workload.name, runners, seed)
            for seed in seeds
        ]
    few, many = (cpu_times_s[runners] for runners in DECISION_RUNNER_COUNTS)
    ratios = [m / f for f, m in zip(few, many, strict=True)]
    return [
        _row(f'decision, {runners} runners, ms', [c * 1e3 for c in values])
        for runners, values in cpu_times_s.items()
    ] + [_row('decision, 1400 runners/14', ratios, target='<= 3')]


def rate_limit(
    workload: workloads.Workload, seeds: Sequence[int]
) -> list[Row]:
    """Measure the relative error of a client account's admitted rate."""
    rows = []
    for daemons in RATE_DAEMON_COUNTS:
        for label, loses_owner in (('', False), (', limit owner lost', True)):
            errors = [
                abs(
                    rates.admitted_rate(
                        daemons,
                        RATE_LIMIT_REQUESTS_S,
                        RATE_LOAD_FACTOR,
                        loses_owner,
                        seed,
                    )
                    / RATE_LIMIT_REQUESTS_S
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
    'deadly': deadly,
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
