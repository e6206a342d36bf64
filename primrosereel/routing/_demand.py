"""The load that callers offer to the engines of each service.

Pattern: offered load. What is in use or was served says little about demand
once a pool is full: requests that wait or are refused do not appear in it.
Every instance therefore counts what arrives, and tells its peers.
"""

import math
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['DecayingRate', 'Demand', 'DemandMeter']

# Time constant of the rates: long enough to average over a burst of a few
# seconds, during which no runner can change its role.
DEMAND_DECAY_S = 6.0


class DecayingRate:
    """An exponentially decaying rate of counted units."""

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._per_s = 0.0
        self._updated_at = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units that arrive now."""
        self._per_s = self.per_s(now) + units / self._decay_s
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return the units that arrive each second."""
        return self._per_s * math.exp((self._updated_at - now) / self._decay_s)


class Demand(NamedTuple):
    """Demand for the engines of a service.

    ``prompt_tokens_per_s`` is to be prefilled each second. ``kv_tokens`` is
    the KV cache memory that all streams would take if none had to wait.
    """

    prompt_tokens_per_s: float = 0.0
    kv_tokens: float = 0.0

    def plus(self, other: 'Demand') -> 'Demand':
        """Return the sum of the demand of two instances."""
        return Demand(
            self.prompt_tokens_per_s + other.prompt_tokens_per_s,
            self.kv_tokens + other.kv_tokens,
        )


class _Rates(NamedTuple):
    prompt_tokens: DecayingRate
    kv_tokens: DecayingRate


class DemandMeter:
    """Counts the requests for engines that arrive at this instance.

    Example::

        meter.count_request(service, 5_000, 5_400, now)
        meter.demand(service, stream_s, now).prompt_tokens_per_s
    """

    def __init__(self) -> None:
        self._rates: dict[ids.ServiceId, _Rates] = {}

    def count_request(
        self,
        service: ids.ServiceId,
        prompt_tokens: int,
        kv_tokens: int,
        now: float,
    ) -> None:
        """Count a request, whether or not it will be served."""
        rates = self._rates.setdefault(
            service,
            _Rates(DecayingRate(DEMAND_DECAY_S), DecayingRate(DEMAND_DECAY_S)),
        )
        rates.prompt_tokens.add(prompt_tokens, now)
        rates.kv_tokens.add(kv_tokens, now)

    def demand(
        self, service: ids.ServiceId, stream_s: float, now: float
    ) -> Demand:
        """Return the demand; ``stream_s`` is the mean duration of a stream."""
        rates = self._rates.get(service)
        if rates is None:
            return Demand()
        return Demand(
            rates.prompt_tokens.per_s(now),
            stream_s * rates.kv_tokens.per_s(now),
        )

    def demands(
        self, stream_s: float, now: float
    ) -> dict[ids.ServiceId, Demand]:
        """Return the demand for each service that was asked for."""
        return {
            service: self.demand(service, stream_s, now)
            for service in self._rates
        }
