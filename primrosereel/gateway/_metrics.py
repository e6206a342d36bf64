"""Counters and latency histograms, rendered on request.

The library that renders them is imported on the first request, as it takes
more memory than all the counters.
"""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping

__all__ = ['BUCKETS_S', 'Histogram', 'Metrics']

PREFIX = 'primrosereel_'
# Client accounts with a counter of their own; the others share one.
MAX_ACCOUNTS = 64
OTHER_ACCOUNTS = 'other'
BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.9,
    2.0,
    5.0,
    15.0,
)


class Histogram:
    """Durations by bucket; the last bucket counts those above all bounds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self._counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self._sum += seconds

    @property
    def total_s(self) -> float:
        """The sum of all durations."""
        return self._sum

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the upper bounds and the number of durations up to each."""
        buckets = []
        count = 0
        for bound, number in zip(
            (*map(str, BUCKETS_S), '+Inf'), self._counts, strict=True
        ):
            count += number
            buckets.append((bound, count))
        return buckets


class Metrics:
    """All counters, gauges and histograms of a process."""

    def __init__(self) -> None:
        self._counters: collections.Counter[str] = collections.Counter()
        self._accounts: set[str] = set()
        self._gauges: dict[str, float] = {}
        self._account_gauges: dict[str, dict[str, float]] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str) -> None:
        """Increment a counter; a dot separates its name from a reason."""
        self._counters[name] += 1

    def account_label(self, account: str) -> str:
        """Return the label of a client account; their number is bounded."""
        if len(self._accounts) < MAX_ACCOUNTS:
            self._accounts.add(account)
        return account if account in self._accounts else OTHER_ACCOUNTS

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def gauge_accounts(self, name: str, values: Mapping[str, float]) -> None:
        """Replace a gauge of accounts, without those that have no label."""
        self._account_gauges[name] = {
            account: value
            for account, value in values.items()
            if self.account_label(account) == account
        }

    def observe(self, name: str, seconds: float) -> None:
        """Count a duration."""
        self._histograms.setdefault(name, Histogram()).observe(seconds)

    def render(self) -> tuple[bytes, bytes]:
        """Return the text of all metrics and its content type."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        text = prometheus_client.generate_latest(registry)
        return text, prometheus_client.CONTENT_TYPE_LATEST.encode()

    def describe(self) -> list[object]:
        """Return nothing: names are only known when metrics are collected."""
        return []

    def collect(self) -> Iterator[object]:
        """Yield the metrics as the library's families."""
        from prometheus_client import core

        families: dict[str, core.CounterMetricFamily] = {}
        for key, value in sorted(self._counters.items()):
            name, _, reason = key.partition('.')
            family = families.get(name)
            if family is None:
                family = families[name] = core.CounterMetricFamily(
                    PREFIX + name, name, labels=['reason']
                )
            family.add_metric([reason], value)
        yield from families.values()
        for name, level in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(PREFIX + name, name, value=level)
        for name, levels in sorted(self._account_gauges.items()):
            gauge = core.GaugeMetricFamily(
                PREFIX + name, name, labels=['account']
            )
            for account, level in sorted(levels.items()):
                gauge.add_metric([account], level)
            yield gauge
        for name, histogram in sorted(self._histograms.items()):
            yield core.HistogramMetricFamily(
                PREFIX + name,
                name,
                buckets=histogram.cumulative(),
                sum_value=histogram.total_s,
            )
