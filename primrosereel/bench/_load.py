"""Callers that send requests over HTTP and time the answers."""

import dataclasses
import json
import time

import httpx

__all__ = ['Result', 'call_plain', 'complete', 'percentile']

TIMEOUT_S = 60.0


@dataclasses.dataclass
class Result:
    """What one caller saw; times in seconds from the request's start."""

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
        """Whether the answer is whole."""
        return self.status == 200 and self.finish in ('stop', 'length')


def percentile(values: list[float], share: float) -> float | None:
    """Return the nearest-rank percentile; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, round(share * len(ordered)) - 1))
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
    """Stream one completion and return what the caller saw."""
    found = Result(client_account)
    started = last = time.perf_counter()
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
            found.status = response.status_code
            if response.status_code != 200:
                await response.aread()
                _read_problem(found, response)
            else:
                async for line in response.aiter_lines():
                    last = _take_line(found, line, started, last)
    except httpx.HTTPError as error:
        found.reason = type(error).__name__
    found.seconds = time.perf_counter() - started
    return found


def _take_line(found: Result, line: str, started: float, last: float) -> float:
    """Take one line of the stream; return the time of the last token."""
    data = line.removeprefix('data: ')
    if data == line or data == '[DONE]':
        return last
    event = json.loads(data)
    if 'choices' not in event:
        found.reason, found.ran = event['reason'], event['ran']
        return last
    choice = event['choices'][0]
    if choice['finish_reason'] is not None:
        found.finish = choice['finish_reason']
        return last
    now = time.perf_counter()
    if found.first_token_s is None:
        found.first_token_s = now - started
    else:
        found.gaps_s.append(now - last)
    found.text += choice['text']
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
    """Call a plain service and return what the caller saw."""
    found = Result(client_account)
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
        found.reason = type(error).__name__
    else:
        found.status = response.status_code
        found.text = response.text
        found.finish = 'stop'
        if response.status_code != 200:
            _read_problem(found, response)
    found.seconds = time.perf_counter() - started
    return found


def _read_problem(found: Result, response: httpx.Response) -> None:
    try:
        document = response.json()
    except ValueError:
        found.reason = f'status {response.status_code}'
        return
    found.reason = document.get('reason', '')
    found.ran = document.get('ran', '')
