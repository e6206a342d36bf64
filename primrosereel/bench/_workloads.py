"""Arrivals of the two deployments, and what their pools can carry."""

import hashlib
import random
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _texts as texts

__all__ = [
    'Shape',
    'arrivals',
    'capacity',
    'burst',
    'decode_tokens_s',
    'prefill_tokens_s',
    'shapes',
]

BLOCK_TOKENS = 256
# Of each decode runner in the texts.
PLACES = 20


class Shape(NamedTuple):
    """A deployment's requests.

    Prompt lengths are log-normal around ``prompt_tokens`` with the standard
    deviation ``spread`` of the logarithm; ``shared`` of the prompts begin
    with one of ``prefixes`` common beginnings of ``prefix_tokens``.
    """

    name: str
    text: dict[str, Any]
    region: str
    service: str
    client_accounts: tuple[str, ...]
    priority_client_account: str
    prompt_tokens: int
    spread: float
    output_tokens: int
    shared: float
    prefixes: int
    prefix_tokens: int


def shapes(name: str, scale: int = 1) -> Shape:
    """Return a deployment's shape at a multiple of its fleet."""
    if name == 'lynreg':
        return Shape(
            name,
            texts.lynreg(scale),
            'dk-east',
            'log-analyst',
            ('analysts', 'grid-operators', 'assessors'),
            'records-office',
            5000,
            0.5,
            240,
            0.2,
            8 * scale,
            1024,
        )
    if name == 'guadalajara':
        return Shape(
            name,
            texts.guadalajara(scale),
            'jal-occ',
            'lectores-modelo',
            ('clerks',),
            'supervisors',
            2500,
            0.4,
            120,
            0.3,
            8 * scale,
            512,
        )
    raise ValueError(f'no workload named {name!r}')


def capacity(shape: Shape) -> float:
    """Return the requests a second that the pools carry at most.

    The lower of what the prefill runners compute (cached prefixes left out)
    and what the decode runners' places hold at the speed of a full batch.
    """
    service = shape.text['services'][shape.service]
    model = shape.text['models'][service['model']]
    roles = [row['role'] for row in service['runners'].values()]
    computed = _mean_tokens(shape) - shape.shared * shape.prefix_tokens
    prefill = roles.count('prefill') * model['prefill_tokens_s'] / computed
    link_s = _mean_tokens(shape) * model['kv_bytes_per_token'] / 10e9
    hold_s = shape.output_tokens * model['decode_step_s'] + link_s
    decode = roles.count('decode') * PLACES / hold_s
    return min(prefill, decode)


def prefill_tokens_s(shape: Shape) -> float:
    """Return the prompt tokens a second of all prefill runners."""
    service = shape.text['services'][shape.service]
    model = shape.text['models'][service['model']]
    return _count(shape, 'prefill') * model['prefill_tokens_s']


def decode_tokens_s(shape: Shape) -> float:
    """Return the output tokens a second of all decode places."""
    service = shape.text['services'][shape.service]
    model = shape.text['models'][service['model']]
    return _count(shape, 'decode') * PLACES / model['decode_step_s']


def _count(shape: Shape, role: str) -> int:
    rows = shape.text['services'][shape.service]['runners'].values()
    return sum(row['role'] == role for row in rows)


def _mean_tokens(shape: Shape) -> float:
    # The mean of a log-normal variable lies above its median.
    return shape.prompt_tokens * 2.718281828 ** (shape.spread**2 / 2)


def arrivals(
    shape: Shape,
    rate: float,
    seconds: float,
    seed: int,
    priority_share: float = 0.0,
    start: float = 1.0,
) -> list[arrivals_module.Arrival]:
    """Return Poisson arrivals at a rate in requests a second."""
    source = random.Random(seed)
    found: list[arrivals_module.Arrival] = []
    time = start
    while True:
        time += source.expovariate(rate)
        if time >= start + seconds:
            return found
        found.append(_arrival(shape, time, source, priority_share))


def burst(
    shape: Shape, rate: float, seed: int, start: float = 1.0
) -> list[arrivals_module.Arrival]:
    """Return a swing from a rate to five times it and back.

    Ten seconds at the rate, ten at five times the rate, twenty at the rate.
    """
    found: list[arrivals_module.Arrival] = []
    for number, (seconds, factor) in enumerate(((10, 1), (10, 5), (20, 1))):
        found += arrivals(
            shape, rate * factor, seconds, seed * 10 + number, start=start
        )
        start += seconds
    return found


def _arrival(
    shape: Shape, time: float, source: random.Random, priority_share: float
) -> arrivals_module.Arrival:
    tokens = int(shape.prompt_tokens * source.lognormvariate(0, shape.spread))
    tokens = max(BLOCK_TOKENS // 8, min(tokens, 60_000))
    client_account = source.choice(shape.client_accounts)
    if source.random() < priority_share:
        client_account = shape.priority_client_account
    digest = hashlib.sha256(texts.key_of(client_account).encode()).hexdigest()
    return arrivals_module.Arrival(
        time=time,
        client_account=client_account,
        key_sha256=digest,
        service=ids.ServiceId(shape.service),
        prompt_tokens=tokens,
        max_tokens=shape.output_tokens,
        prompt_key=source.getrandbits(62),
        prefix_hashes=_hashes(shape, tokens, source),
    )


def _hashes(
    shape: Shape, tokens: int, source: random.Random
) -> tuple[int, ...]:
    """Return block hashes; shared prompts begin with common blocks."""
    blocks = min(tokens // BLOCK_TOKENS, 32)
    common = 0
    prefix = 0
    if source.random() < shape.shared:
        common = min(blocks, shape.prefix_tokens // BLOCK_TOKENS)
        prefix = 1 + source.randrange(shape.prefixes)
    hashes = [prefix * 1000 + number for number in range(common)]
    own = source.getrandbits(50) << 10
    return (*hashes, *(own + number for number in range(blocks - common)))
