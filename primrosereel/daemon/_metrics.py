"""Counters and gauges, sent to statsd in batches."""

import collections

import statsd

__all__ = ['StatsdMetrics']

PREFIX = 'primrosereel'


class StatsdMetrics:
    """Collects counters and gauges; ``flush`` sends them.

    Without an address nothing is sent, but the operators' port still shows
    the values.
    """

    def __init__(self, address: str | None) -> None:
        self._total: collections.Counter[str] = collections.Counter()
        self._pending: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._client = None
        if address is not None:
            host, _, port = address.rpartition(':')
            self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Increment a counter."""
        self._total[name] += value
        self._pending[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def counters(self) -> dict[str, int]:
        """Return the counts since the process started."""
        return dict(self._total)

    def gauges(self) -> dict[str, float]:
        """Return the latest value of each gauge."""
        return dict(self._gauges)

    def flush(self) -> None:
        """Send the increments since the last flush, and all gauges."""
        pending, self._pending = self._pending, collections.Counter()
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in pending.items():
                pipe.incr(name, value)
            for name, level in self._gauges.items():
                pipe.gauge(name, level)
