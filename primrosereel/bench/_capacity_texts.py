"""Generates configuration texts for fleets of a given size."""

import dataclasses
import hashlib
from typing import Any

__all__ = [
    'DECODE_STEP_S',
    'KV_BYTES_PER_TOKEN',
    'MODEL_COUNT',
    'REGION_COUNT',
    'ZONE_COUNT',
    'FleetSize',
    'fleet_text',
    'key_sha256',
]

REGION_COUNT = 6
ZONE_COUNT = 13
MODEL_COUNT = 7
DECODE_STEP_S = 0.03
KV_BYTES_PER_TOKEN = 40_000


@dataclasses.dataclass(frozen=True)
class FleetSize:
    """Number of daemons, runners and client accounts of a fleet."""

    daemons: int
    runners: int
    client_accounts: int

    @property
    def daemons_per_region(self) -> int:
        """Number of daemons in one region, at least 1."""
        return max(1, self.daemons // REGION_COUNT)


def key_sha256(number: int) -> str:
    """Return the SHA-256 of the key of a numbered client account."""
    return hashlib.sha256(f'client_account-{number}'.encode()).hexdigest()


def fleet_text(fleet_size: FleetSize, prefix: str = 'r') -> dict[str, Any]:
    """Return a text with a service for each model and region.

    ``prefix`` begins the names of the regions.
    """
    services: dict[str, Any] = {}
    model_regions = [
        (m, r) for m in range(MODEL_COUNT) for r in range(REGION_COUNT)
    ]
    for place, (model, region) in enumerate(model_regions):
        least, extra = divmod(fleet_size.runners, len(model_regions))
        count = least + (place < extra)
        services[f's{model}-{region}'] = {
            'kind': 'llm',
            'region': f'{prefix}{region}',
            'model': f'm{model}',
            'runners': _runners(model, region, count),
        }
    return {
        'models': {
            f'm{n}': {
                'prefill_tokens_s': 50_000.0,
                'decode_step_s': DECODE_STEP_S,
                'kv_bytes_per_token': KV_BYTES_PER_TOKEN,
                'context_tokens': 131_072,
            }
            for n in range(MODEL_COUNT)
        },
        'services': services,
        'client_accounts': {
            f'client_account-{n}': {
                'key_sha256': key_sha256(n),
                'services': [
                    f's{n % MODEL_COUNT}-{r}' for r in range(REGION_COUNT)
                ],
                'rate': 1000.0,
                'burst': 1000.0,
            }
            for n in range(fleet_size.client_accounts)
        },
    }


def _runners(model: int, region: int, count: int) -> dict[str, Any]:
    return {
        f's{model}-{region}-{n}': {
            'address': f'10.{region}.{model}.{n % 250}:{8000 + n // 250}',
            'availability_zone': f'z{(region * 2 + n) % ZONE_COUNT}',
            'role': 'prefill' if n % 3 == 0 else 'decode',
            'checks_fencing': True,
        }
        for n in range(count)
    }
