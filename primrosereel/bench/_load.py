"""HTTP callers that send requests and measure the latency of the answers."""

import dataclasses
import json
import time

import httpx

__all__ = ['Result', 'call_plain', 'complete', 'percentile']

TIMEOUT_S = 60.0


@dataclasses.dataclass
class Result:
    """The outcome of one request; times are seconds since its start."""

    client_account: str
    status: int = 0
    reason: str = ''
    ran: str = ''
    text: str = ''
    finish: str = ''
    first_token_s: float | None = None
    seconds: float = 0.0
    gaps_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Whether the answer is complete."""
        return self.status == 200 and self.finish in ('stop', 'length')


def percentile(values: list[float], fraction: float) -> float | None:
    """Return the nearest-rank percentile; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, round(fraction * len(ordered)) - 1))
    return ordered[rank]


async def complete(
    client: httpx.AsyncClient,
    url: str,
    key: str,
    service: str,
    prompt: str,
    max_tokens: int,
    client_account: str = '',
) -> Result:
    """Stream one completion and return its outcome."""
    result = Result(client_account)
    started = last_token_at = time.perf_counter()
    body = {
        'model': service,
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': True,
    }
    try:
        async with client.stream(
            'POST',
            f'{url}/v1/completions',
            json=body,
            headers={'authorization': f'Bearer {key}'},
            timeout=TIMEOUT_S,
        ) as response:
            result.status = response.status_code
            if response.status_code != 200:
                await response.aread()
                _read_problem(result, response)
            else:
                async for line in response.aiter_lines():
                    last_token_at = _process_line(
                        result, line, started, last_token_at
                    )
    except httpx.HTTPError as error:
        result.reason = type(error).__name__
    result.seconds = time.perf_counter() - started
    return result


def _process_line(
    result: Result, line: str, started: float, last_token_at: float
) -> float:
    """Process one line of the stream; return the time of the last token."""
    data = line.removeprefix('data: ')
    if data == line or data == '[DONE]':
        return last_token_at
    event = json.loads(data)
    if 'choices' not in event:
        result.reason, result.ran = event['reason'], event['ran']
        return last_token_at
    choice = event['choices'][0]
    if choice['finish_reason'] is not None:
        result.finish = choice['finish_reason']
        return last_token_at
    now = time.perf_counter()
    if result.first_token_s is None:
        result.first_token_s = now - started
    else:
        result.gaps_s.append(now - last_token_at)
    result.text += choice['text']
    return now


async def call_plain(
    client: httpx.AsyncClient,
    url: str,
    key: str,
    service: str,
    method: str,
    path: str,
    idempotency_key: str | None = None,
    body: bytes = b'',
    client_account: str = '',
) -> Result:
    """Call a plain service and return the outcome."""
    result = Result(client_account)
    headers = {'authorization': f'Bearer {key}'}
    if idempotency_key is not None:
        headers['idempotency-key'] = idempotency_key
    started = time.perf_counter()
    try:
        response = await client.request(
            method,
            f'{url}/services/{service}{path}',
            headers=headers,
            content=body,
            timeout=TIMEOUT_S,
        )
    except httpx.HTTPError as error:
        result.reason = type(error).__name__
    else:
        result.status = response.status_code
        result.text = response.text
        result.finish = 'stop'
        if response.status_code != 200:
            _read_problem(result, response)
    result.seconds = time.perf_counter() - started
    return result


def _read_problem(result: Result, response: httpx.Response) -> None:
    try:
        problem = response.json()
    except ValueError:
        result.reason = f'status {response.status_code}'
        return
    result.reason = problem.get('reason', '')
    result.ran = problem.get('ran', '')
