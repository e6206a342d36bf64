"""What requests of each kind cost, learned as a distribution.

Pattern: histograms in two generations. A kind of request has one histogram
that is filled and the one before it, so that what is older than two periods
no longer counts. Kinds with few observations are drawn towards their route.
An amount is in seconds for calls, and in tokens for the outputs of streams.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import math
import re
from typing import NamedTuple

from hdrh import histogram as hdrh

__all__ = [
    'CallInProgress',
    'Cost',
    'CostKey',
    'RequestCosts',
    'call_key',
    'output_key',
]

PERIOD_S = 60.0
# A generation with fewer observations is kept for longer, up to the age.
MIN_PERIOD_SAMPLES = 50
MAX_AGE_S = 600.0
# The weight of the route's mean, in observations.
PRIOR_SAMPLES = 5.0
# Kinds that are told apart; others count for their route only.
MAX_KINDS = 200
# Share of new observations after which a distribution is evaluated again.
UPDATE_SHARE = 0.1
# Range of the histograms, in units of their resolution, and their digits.
MAX_UNITS = 600_000_000
DIGITS = 1
# The times for which the rest of a request is evaluated, in means.
ELAPSED_MEANS = (0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)
# Weight of a request in the moving average of all kinds.
USUAL_SAMPLE_WEIGHT = 0.02
# A path's parts beyond these are left out of its shape.
MAX_PATH_PARTS = 6
MAX_SHAPE_LENGTH = 100

ID_PART = re.compile(r'\d+|[0-9a-fA-F-]{8,}|.*\d{3,}.*')


class CostKey(NamedTuple):
    """A kind of request; ``shape`` is empty for all of a route."""

    route: str
    shape: str = ''


class Cost(NamedTuple):
    """The distribution of what requests of one kind cost.

    ``typical`` is the geometric mean. ``rests`` holds the mean rest of
    requests that have lasted for the times in ``elapsed``.
    """

    mean: float
    p99: float
    samples: float
    typical: float
    elapsed: tuple[float, ...] = ()
    rests: tuple[float, ...] = ()

    def rest(self, elapsed: float) -> float:
        """Return the expected rest of a request that has lasted so long.

        One that lasts longer than any other is expected to last as long
        again.
        """
        if not self.rests:
            return max(self.mean, elapsed)
        if elapsed > self.elapsed[-1]:
            return max(self.rests[-1], elapsed)
        return self.rests[bisect.bisect_right(self.elapsed, elapsed) - 1]


@dataclasses.dataclass(eq=False, slots=True)
class CallInProgress:
    """A plain call at a runner."""

    started_at: float
    cost: Cost


def call_key(route: str, method: bytes, target: bytes) -> CostKey:
    """Return the kind of a plain call: its route, method and path's shape.

    Parts of the path that look like an id are folded.
    """
    path = target.partition(b'?')[0].decode('latin-1')
    parts = [
        '*' if ID_PART.fullmatch(part) else part
        for part in path.split('/')[1 : MAX_PATH_PARTS + 1]
    ]
    shape = f'{method.decode("latin-1")} /{"/".join(parts)}'
    return CostKey(route, shape[:MAX_SHAPE_LENGTH])


def output_key(
    route: str, prompt_tokens: int, length_hint: int | None, account: str = ''
) -> CostKey:
    """Return the kind of a generation; sizes count by powers of two."""
    hint = '' if length_hint is None else length_hint.bit_length()
    return CostKey(route, f'{account} {hint} {prompt_tokens.bit_length()}')


class _Generation:
    """The observations of one period."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.last_at = began_at
        self.samples = 0
        self.total = 0.0
        self.total_log = 0.0
        self.histogram = hdrh.HdrHistogram(1, MAX_UNITS, DIGITS)


class _Kind:
    """The observations of one kind of request."""

    def __init__(self, resolution: float, now: float) -> None:
        self._resolution = resolution
        self._current = _Generation(now)
        self._previous = _Generation(now)
        self._unevaluated = 0
        self._cost: Cost | None = None

    @property
    def last_at(self) -> float:
        """When the last request was observed."""
        return max(self._current.last_at, self._previous.last_at)

    def observe(self, amount: float, now: float) -> None:
        """Add an observation."""
        current = self._current
        age_s = now - current.began_at
        if age_s > MAX_AGE_S or (
            age_s > PERIOD_S and current.samples >= MIN_PERIOD_SAMPLES
        ):
            self._previous = current
            current = self._current = _Generation(now)
        units = min(max(amount / self._resolution, 1.0), MAX_UNITS)
        current.histogram.record_value(int(units))
        current.samples += 1
        current.total += units * self._resolution
        current.total_log += math.log(units * self._resolution)
        current.last_at = now
        self._unevaluated += 1

    def cost(self, now: float) -> Cost | None:
        """Return the distribution; None if there is no observation."""
        if now - self.last_at > MAX_AGE_S:
            return None
        samples = self._current.samples + self._previous.samples
        if self._unevaluated > UPDATE_SHARE * samples:
            self._unevaluated = 0
            self._cost = self._evaluate(samples)
        return self._cost

    def _evaluate(self, samples: int) -> Cost:
        both = self._current, self._previous
        mean = sum(one.total for one in both) / samples
        typical = math.exp(sum(one.total_log for one in both) / samples)
        counts = sorted(self._counts())
        p99 = counts[-1][0]
        beyond = 0
        for amount, count in reversed(counts):
            beyond += count
            if beyond > 0.01 * samples:
                p99 = amount
                break
        elapsed = tuple(mean * times for times in ELAPSED_MEANS)
        rests = tuple(_mean_rest(counts, after, mean) for after in elapsed)
        return Cost(mean, p99, float(samples), typical, elapsed, rests)

    def _counts(self) -> Iterator[tuple[float, int]]:
        for one in (self._current, self._previous):
            for item in one.histogram.get_recorded_iterator():
                yield (
                    item.value_iterated_to * self._resolution,
                    item.count_at_value_iterated_to,
                )


def _mean_rest(
    counts: list[tuple[float, int]], elapsed: float, mean: float
) -> float:
    """Return the mean rest of those requests that last for longer."""
    longer = [(amount, count) for amount, count in counts if amount > elapsed]
    if not longer:
        return max(mean, elapsed)
    rest = sum((amount - elapsed) * count for amount, count in longer)
    return rest / sum(count for _, count in longer)


class RequestCosts:
    """The costs of all kinds of requests.

    ``resolution`` is the smallest amount that is told apart, and ``default``
    the amount until a route's first request was observed.

    Example::

        costs = RequestCosts(1e-4, 0.05)
        key = call_key('api', b'GET', b'/users/17')
        costs.observe(key, 0.031, now)
        costs.expected(key, now).mean
    """

    def __init__(self, resolution: float, default: float) -> None:
        self._resolution = resolution
        self._default = Cost(default, default, 0.0, default)
        self._usual: float | None = None
        self._kinds: dict[CostKey, _Kind] = {}

    def relative(self, key: CostKey, now: float) -> float:
        """Return the expected cost of a request relative to the usual one."""
        if not self._usual:
            return 1.0
        return self.expected(key, now).mean / self._usual

    def observe(self, key: CostKey, amount: float, now: float) -> None:
        """Add what a request cost."""
        if self._usual is None:
            self._usual = amount
        self._usual += USUAL_SAMPLE_WEIGHT * (amount - self._usual)
        for one in {key, CostKey(key.route)}:
            kind = self._kinds.get(one)
            if kind is None:
                if one.shape and len(self._kinds) >= MAX_KINDS:
                    self._drop_oldest(now)
                    if len(self._kinds) >= MAX_KINDS:
                        continue
                kind = self._kinds[one] = _Kind(self._resolution, now)
            kind.observe(amount, now)

    def expected(self, key: CostKey, now: float) -> Cost:
        """Return what a request is expected to cost."""
        kind = self._kinds.get(key)
        cost = kind.cost(now) if kind is not None else None
        if cost is not None and cost.samples >= MIN_PERIOD_SAMPLES:
            return cost
        route_kind = self._kinds.get(CostKey(key.route))
        of_route = route_kind.cost(now) if route_kind is not None else None
        if cost is None or of_route is None:
            return cost or of_route or self._default
        share = cost.samples / (cost.samples + PRIOR_SAMPLES)
        return Cost(
            of_route.mean + share * (cost.mean - of_route.mean),
            max(cost.p99, of_route.p99),
            cost.samples,
            of_route.typical * (cost.typical / of_route.typical) ** share,
            cost.elapsed,
            cost.rests,
        )

    def _drop_oldest(self, now: float) -> None:
        """Make room for a new kind in place of one that is out of use."""
        for key, kind in list(self._kinds.items()):
            if now - kind.last_at > MAX_AGE_S:
                del self._kinds[key]
        shaped = [key for key in self._kinds if key.shape]
        if len(self._kinds) < MAX_KINDS or not shaped:
            return
        oldest = min(shaped, key=lambda key: self._kinds[key].last_at)
        if now - self._kinds[oldest].last_at > PERIOD_S:
            del self._kinds[oldest]
