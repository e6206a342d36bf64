"""Workloads of the two deployments and the capacity of their pools."""

import hashlib
import random
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.bench import _arrivals as arrivals_module
from primrosereel.bench import _texts as texts

__all__ = [
    'Workload',
    'poisson_arrivals',
    'capacity_requests_s',
    'burst_arrivals',
    'decode_tokens_s',
    'prefill_tokens_s',
    'with_repeated_prompt',
    'make_workload',
]

BLOCK_TOKENS = 256
# The texts use the default number of places of a decode runner.
PLACES_PER_DECODE_RUNNER = 20


class Workload(NamedTuple):
    """The distribution of a deployment's requests.

    Prompt lengths are log-normal with the median ``prompt_tokens`` and the
    standard deviation ``prompt_sigma`` of the logarithm. ``shared_fraction``
    of the prompts begin with one of ``prefix_count`` common prefixes of
    ``prefix_tokens``.
    """

    name: str
    text: dict[str, Any]
    region: str
    service: str
    client_accounts: tuple[str, ...]
    priority_client_account: str
    prompt_tokens: int
    prompt_sigma: float
    output_tokens: int
    shared_fraction: float
    prefix_count: int
    prefix_tokens: int


def make_workload(name: str, scale: int = 1) -> Workload:
    """Return a deployment's workload for a multiple of its fleet."""
    if name == 'lynreg':
        return Workload(
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
        return Workload(
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


def capacity_requests_s(workload: Workload) -> float:
    """Return the highest request rate that both pools can sustain.

    It is the lower of two rates: the prompts that the prefill runners can
    compute, without cached prefixes, and the streams that the places of the
    decode runners can hold at the speed of a full batch.
    """
    service = workload.text['services'][workload.service]
    model = workload.text['models'][service['model']]
    roles = [runner['role'] for runner in service['runners'].values()]
    uncached_tokens = (
        _mean_prompt_tokens(workload)
        - workload.shared_fraction * workload.prefix_tokens
    )
    prefill = (
        roles.count('prefill') * model['prefill_tokens_s'] / uncached_tokens
    )
    link_s = _mean_prompt_tokens(workload) * model['kv_bytes_per_token'] / 10e9
    place_held_s = workload.output_tokens * model['decode_step_s'] + link_s
    decode = roles.count('decode') * PLACES_PER_DECODE_RUNNER / place_held_s
    return min(prefill, decode)


def prefill_tokens_s(workload: Workload) -> float:
    """Return the prompt tokens a second that all prefill runners compute."""
    service = workload.text['services'][workload.service]
    model = workload.text['models'][service['model']]
    return _count_runners(workload, 'prefill') * model['prefill_tokens_s']


def decode_tokens_s(workload: Workload) -> float:
    """Return the output tokens a second that all decode places generate."""
    service = workload.text['services'][workload.service]
    model = workload.text['models'][service['model']]
    return (
        _count_runners(workload, 'decode')
        * PLACES_PER_DECODE_RUNNER
        / model['decode_step_s']
    )


def _count_runners(workload: Workload, role: str) -> int:
    runners = workload.text['services'][workload.service]['runners'].values()
    return sum(runner['role'] == role for runner in runners)


def _mean_prompt_tokens(workload: Workload) -> float:
    # The mean of a log-normal variable is exp(sigma**2 / 2) times its median.
    return workload.prompt_tokens * 2.718281828 ** (
        workload.prompt_sigma**2 / 2
    )


def poisson_arrivals(
    workload: Workload,
    rate: float,
    seconds: float,
    seed: int,
    priority_share: float = 0.0,
    start: float = 1.0,
) -> list[arrivals_module.Arrival]:
    """Return Poisson arrivals at a rate in requests a second.

    ``priority_share`` of them belong to the priority client account.
    """
    random_source = random.Random(seed)
    arrivals: list[arrivals_module.Arrival] = []
    time = start
    while True:
        time += random_source.expovariate(rate)
        if time >= start + seconds:
            return arrivals
        arrivals.append(
            _make_arrival(workload, time, random_source, priority_share)
        )


def burst_arrivals(
    workload: Workload, rate: float, seed: int, start: float = 1.0
) -> list[arrivals_module.Arrival]:
    """Return arrivals with a burst of five times the base rate.

    They last 10 s at the base rate, 10 s at five times that rate and 20 s at
    the base rate again.
    """
    arrivals: list[arrivals_module.Arrival] = []
    for number, (seconds, factor) in enumerate(((10, 1), (10, 5), (20, 1))):
        arrivals += poisson_arrivals(
            workload, rate * factor, seconds, seed * 10 + number, start=start
        )
        start += seconds
    return arrivals


def with_repeated_prompt(
    arrivals: list[arrivals_module.Arrival], share: float, seed: int
) -> list[arrivals_module.Arrival]:
    """Return the arrivals, a share of them with the prompt of the first."""
    random_source = random.Random(seed)
    first = arrivals[0]
    return [
        first._replace(time=arrival.time)
        if random_source.random() < share
        else arrival
        for arrival in arrivals
    ]


def _make_arrival(
    workload: Workload,
    time: float,
    random_source: random.Random,
    priority_share: float,
) -> arrivals_module.Arrival:
    prompt_tokens = int(
        workload.prompt_tokens
        * random_source.lognormvariate(0, workload.prompt_sigma)
    )
    prompt_tokens = max(BLOCK_TOKENS // 8, min(prompt_tokens, 60_000))
    client_account = random_source.choice(workload.client_accounts)
    if random_source.random() < priority_share:
        client_account = workload.priority_client_account
    key_sha256 = hashlib.sha256(
        texts.key_of(client_account).encode()
    ).hexdigest()
    return arrivals_module.Arrival(
        time=time,
        client_account=client_account,
        key_sha256=key_sha256,
        service=ids.ServiceId(workload.service),
        prompt_tokens=prompt_tokens,
        max_tokens=workload.output_tokens,
        prompt_key=random_source.getrandbits(62),
        prefix_hashes=_block_hashes(workload, prompt_tokens, random_source),
    )


def _block_hashes(
    workload: Workload, prompt_tokens: int, random_source: random.Random
) -> tuple[int, ...]:
    """Return the block hashes of a prompt.

    A fraction of the prompts begins with the blocks of a shared prefix.
    """
    blocks = min(prompt_tokens // BLOCK_TOKENS, 32)
    shared_blocks = 0
    prefix = 0
    if random_source.random() < workload.shared_fraction:
        shared_blocks = min(blocks, workload.prefix_tokens // BLOCK_TOKENS)
        prefix = 1 + random_source.randrange(workload.prefix_count)
    shared_hashes = [prefix * 1000 + number for number in range(shared_blocks)]
    first_own_hash = random_source.getrandbits(50) << 10
    return (
        *shared_hashes,
        *(first_own_hash + number for number in range(blocks - shared_blocks)),
    )
