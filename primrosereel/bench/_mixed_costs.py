"""Plain calls of mixed costs at runners of different speeds.

A queueing model under virtual time, without a network. Instances choose the
runners of calls from their own counts, the load reports in answers, which are
up to 0.2 s old, and what peers tell of runners' speeds each second. One call
in 100 takes five times as long as the others of its kind.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import random as random_module
import statistics
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _expected_work as expected_work
from primrosereel.routing import _model as model
from primrosereel.routing import _placement as placement_module
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners

__all__ = ['RULES', 'Answer', 'Scenario', 'run', 'simulate']

SERVICE = ids.ServiceId('plain')
ZONE = ids.AvailabilityZone('zone')
SLOTS = 6
SPEEDS = (0.6, 0.6, 1.0, 1.0, 1.6, 1.6)
INSTANCES = 8
# Mean cost in seconds of each kind of call, which are equally frequent.
KINDS = {'/small': 0.015, '/medium': 0.03, '/large': 0.06}
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
TARGET_S = 0.209
DELAY_S = 0.001
REPORT_INTERVAL_S = 0.2
TOLD_INTERVAL_S = 1.0
WARM_UP_S = 4.0
DURATION_S = 16.0
BURST_FROM_S = 8.0
BURST_S = 4.0
SEEDS = (1, 2, 3)


class Scenario(NamedTuple):
    """Offered load; ``burst`` multiplies it for a while.

    A prediction is multiplied by one of the ``errors`` at random.
    """

    load: float
    burst: float = 1.0
    errors: tuple[float, ...] = (1.0,)
    duration_s: float = DURATION_S
    speeds: tuple[float, ...] = SPEEDS


SCENARIOS = {
    'load 0.3': Scenario(0.3),
    'load 0.7': Scenario(0.7),
    'load 0.5, burst of 1.9': Scenario(0.5, 1.9),
    'load 0.7, predictions wrong by 10': Scenario(0.7, errors=(0.1, 10.0)),
}


class Answer(NamedTuple):
    """A call's kind, with ``tail`` for the long ones, and its time."""

    kind: str
    seconds: float


class _Call:
    """A call on its way through a runner."""

    def __init__(self, kind: str, work_s: float, is_tail: bool) -> None:
        self.work_s = work_s
        self.name = 'tail' if is_tail else kind.strip('/')
        self.ends_at = 0.0
        self.answer: Callable[[float], None] = lambda _: None


class _Server:
    """A runner with some slots and a queue."""

    def __init__(self, name: str, factor: float) -> None:
        self.name = ids.RunnerId(name)
        self.factor = factor
        self.running: dict[_Call, None] = {}
        self.queue: list[_Call] = []
        self.report = model.LoadReport(0, 0, SLOTS)
        self.reported_at = 0.0

    def completion_s(self, work_s: float, now: float) -> float:
        """Return the true time of a call, with all that is before it."""
        ends = [call.ends_at for call in self.running]
        ends += [now] * (SLOTS - len(ends))
        heapq.heapify(ends)
        ahead = [call.work_s for call in self.queue]
        for work in ahead:
            heapq.heapreplace(ends, ends[0] + work * self.factor)
        return max(now, ends[0]) - now + work_s * self.factor

    def current_report(self, now: float) -> model.LoadReport:
        """Return what the runner reports of itself."""
        if now - self.reported_at > REPORT_INTERVAL_S:
            self.reported_at = now
            self.report = model.LoadReport(
                len(self.running), len(self.queue), SLOTS
            )
        return self.report


class _Instance:
    """The tables of one instance."""

    def __init__(
        self, name: str, servers: list[_Server], random: random_module.Random
    ) -> None:
        self.name = ids.InstanceId(name)
        self.random = random
        self.table = runners.RunnerTable()
        for port, server in enumerate(servers, 1):
            self.table.put(
                model.RunnerListing(
                    server.name,
                    SERVICE,
                    model.Address('127.0.0.1', port),
                    ZONE,
                    states.Role.PLAIN,
                    SLOTS,
                    False,
                    born_ms=1,
                )
            )
        self.speeds = runner_speeds.RunnerSpeeds(self.table)
        self.costs = request_costs.RequestCosts(1e-4, 0.05)
        self.today = placement_module.Placement(self.table, ZONE, random)
        self.by_work = expected_work.WorkPlacement(self.table, ZONE, random)


Rule = Callable[
    [_Instance, list[_Server], _Call, request_costs.Cost, float], ids.RunnerId
]


def _by_today(
    instance: _Instance,
    servers: list[_Server],
    call: _Call,
    cost: request_costs.Cost,
    now: float,
) -> ids.RunnerId:
    runner = instance.today.choose(SERVICE, (), now)
    assert runner is not None
    return runner.runner_id


def _by_work(
    instance: _Instance,
    servers: list[_Server],
    call: _Call,
    cost: request_costs.Cost,
    now: float,
) -> ids.RunnerId:
    runner = instance.by_work.choose(SERVICE, (), now, cost)
    assert runner is not None
    return runner.runner_id


def _by_true_cost(
    instance: _Instance,
    servers: list[_Server],
    call: _Call,
    cost: request_costs.Cost,
    now: float,
) -> ids.RunnerId:
    return min(
        servers, key=lambda server: server.completion_s(call.work_s, now)
    ).name


def _by_connections(
    instance: _Instance,
    servers: list[_Server],
    call: _Call,
    cost: request_costs.Cost,
    now: float,
) -> ids.RunnerId:
    return min(
        instance.table,
        key=lambda runner: (
            runner.estimated_requests(now),
            instance.random.random(),
        ),
    ).runner_id


RULES: dict[str, Rule] = {
    'expected-completion': _by_today,
    'expected-work': _by_work,
    'true cost': _by_true_cost,
    'least connections': _by_connections,
}


class _Simulation:
    """One run of a scenario under one rule."""

    def __init__(self, rule: Rule, scenario: Scenario, seed: int) -> None:
        self._rule = rule
        self._scenario = scenario
        self._random = random_module.Random(seed)
        # The choices draw from another source, so that all rules get the same
        # calls.
        self._choices = random_module.Random(seed + 1000)
        self._servers = [
            _Server(f'r{number}', factor)
            for number, factor in enumerate(scenario.speeds)
        ]
        self._instances = [
            _Instance(f'i{number}', self._servers, self._choices)
            for number in range(INSTANCES)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._answers: list[Answer] = []

    def run(self) -> list[Answer]:
        """Return the answers to the calls after the warm-up."""
        self._at(0.0, self._arrive)
        self._at(TOLD_INTERVAL_S, self._tell)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self._answers

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _rate(self, now: float) -> float:
        scenario = self._scenario
        capacity = sum(SLOTS / factor for factor in scenario.speeds)
        mean_s = statistics.fmean(KINDS.values()) * (
            1 + TAIL_SHARE * (TAIL_FACTOR - 1)
        )
        rate = scenario.load * capacity / mean_s
        in_burst = BURST_FROM_S <= now < BURST_FROM_S + BURST_S
        return rate * (scenario.burst if in_burst else 1.0)

    def _arrive(self, now: float) -> None:
        random = self._random
        if now < self._scenario.duration_s:
            self._at(now + random.expovariate(self._rate(now)), self._arrive)
        kind = random.choice(list(KINDS))
        is_tail = random.random() < TAIL_SHARE
        work_s = KINDS[kind] * random.uniform(0.5, 1.5)
        work_s *= TAIL_FACTOR if is_tail else 1.0
        instance = random.choice(self._instances)
        call = _Call(kind, work_s, is_tail)
        key = request_costs.call_key('api', b'GET', kind.encode())
        expected = instance.costs.expected(key, now)
        cost = _with_error(
            expected, self._choices.choice(self._scenario.errors)
        )
        name = self._rule(instance, self._servers, call, cost, now)
        runner = instance.table.get(name)
        assert runner is not None
        server = self._servers[int(name[1:])]
        in_progress = request_costs.CallInProgress(now, cost)
        has_room = expected_work.has_free_slot(runner, now)
        runner.in_flight += 1
        runner.calls.append(in_progress)

        def answer(when: float) -> None:
            runner.in_flight -= 1
            runner.calls.remove(in_progress)
            report = server.current_report(when)
            runner.observe_report(report, when)
            runner.observe_success(when - now, when)
            if has_room and not report.waiting:
                expected_work.observe_call(
                    instance.costs,
                    instance.speeds,
                    runner,
                    key,
                    when - now,
                    when,
                )
            if now >= WARM_UP_S:
                self._answers.append(Answer(call.name, when - now))

        call.answer = answer
        self._at(now + DELAY_S, lambda when: self._begin(server, call, when))

    def _begin(self, server: _Server, call: _Call, now: float) -> None:
        if len(server.running) < SLOTS:
            self._start(server, call, now)
        else:
            server.queue.append(call)

    def _start(self, server: _Server, call: _Call, now: float) -> None:
        call.ends_at = now + call.work_s * server.factor
        server.running[call] = None
        self._at(call.ends_at, lambda when: self._end(server, call, when))

    def _end(self, server: _Server, call: _Call, now: float) -> None:
        del server.running[call]
        if server.queue:
            self._start(server, server.queue.pop(0), now)
        self._at(now + DELAY_S, call.answer)

    def _tell(self, now: float) -> None:
        """Exchange what the instances have observed of runners' speeds."""
        if now > self._scenario.duration_s:
            return
        self._at(now + TOLD_INTERVAL_S, self._tell)
        for sender in self._instances:
            reports = sender.speeds.told(now, with_all=False)
            for receiver in self._instances:
                if receiver is not sender:
                    receiver.speeds.learn(sender.name, reports, now)
        for instance in self._instances:
            instance.speeds.refresh(now)


def _with_error(cost: request_costs.Cost, factor: float) -> request_costs.Cost:
    """Return a prediction that is wrong by a factor."""
    if factor == 1.0:
        return cost
    return request_costs.Cost(
        factor * cost.mean,
        factor * cost.p99,
        cost.samples,
        factor * cost.typical,
        tuple(factor * elapsed for elapsed in cost.elapsed),
        tuple(factor * rest for rest in cost.rests),
    )


def simulate(rule: str, scenario: Scenario, seed: int) -> list[Answer]:
    """Return the answers of one run; a seed gives all rules the same calls."""
    return _Simulation(RULES[rule], scenario, seed).run()


def run() -> dict[str, Any]:
    """Compare the rules; return a table and its rows."""
    rows = [
        _row(name, scenario, rule)
        for name, scenario in SCENARIOS.items()
        for rule in RULES
    ]
    return {'seeds': list(SEEDS), 'rows': rows, 'text': _table(rows)}


def _row(name: str, scenario: Scenario, rule: str) -> dict[str, Any]:
    """Return the medians over the seeds; times are in ms."""
    runs = [simulate(rule, scenario, seed) for seed in SEEDS]
    row: dict[str, Any] = {'scenario': name, 'rule': rule}
    p99s = [_percentile(answers, 99) for answers in runs]
    row['p50_ms'] = _median_ms(_percentile(answers, 50) for answers in runs)
    row['p99_ms'] = _median_ms(p99s)
    row['p99_spread_ms'] = round(1000 * (max(p99s) - min(p99s)), 1)
    for kind in [*(kind.strip('/') for kind in KINDS), 'tail']:
        row[f'{kind}_in_target'] = round(
            statistics.median(_share(answers, kind) for answers in runs), 4
        )
    return row


def _percentile(answers: list[Answer], percent: int) -> float:
    seconds = sorted(answer.seconds for answer in answers)
    return seconds[min(len(seconds) - 1, len(seconds) * percent // 100)]


def _median_ms(seconds: Iterable[float]) -> float:
    return round(1000 * statistics.median(seconds), 1)


def _share(answers: list[Answer], kind: str) -> float:
    """Return the share of a kind's calls that met the target."""
    times = [answer.seconds for answer in answers if answer.kind == kind]
    return sum(seconds <= TARGET_S for seconds in times) / max(1, len(times))


def _table(rows: list[dict[str, Any]]) -> str:
    shares = [name for name in rows[0] if name.endswith('_in_target')]
    lines = [
        f'plain calls within {1000 * TARGET_S:.0f} ms, medians of '
        f'{len(SEEDS)} seeds; one call in 100 (tail) takes '
        f'{TAIL_FACTOR:.0f} times as long',
        f'{"scenario":<34} {"rule":<20} {"p50 ms":>8} {"p99 ms":>8} '
        f'{"spread":>8} '
        + ' '.join(f'{name.partition("_")[0]:>8}' for name in shares),
    ]
    for row in rows:
        lines.append(
            f'{row["scenario"]:<34} {row["rule"]:<20} {row["p50_ms"]:>8.1f} '
            f'{row["p99_ms"]:>8.1f} {row["p99_spread_ms"]:>8.1f} '
            + ' '.join(f'{row[name]:>8.4f}' for name in shares)
        )
    return '\n'.join(lines)
