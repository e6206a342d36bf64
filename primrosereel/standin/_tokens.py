"""Text that a simulated engine generates.

Every token is a pure function of the prompt and the token's offset, so that a
test can compute the full answer and compare it with what a caller received.
"""

import functools
import re
from typing import NamedTuple

import xxhash

from primrosereel import _prefix as prefix

__all__ = [
    'Finish',
    'Prompt',
    'describe_prompt',
    'expected_answer',
    'finish_of',
    'token_for_key',
    'token_text',
]

STOP_MARKER = re.compile(r'\[stop=(\d{1,9})\]')
PROMPT_CACHE_SIZE = 256


class Prompt(NamedTuple):
    """Properties of a prompt that the engine model uses.

    ``key`` determines the generated text, ``tokens`` is the length and
    ``hashes`` identify the prefix blocks. ``stop`` is the number of tokens
    after which generation stops before the caller's limit.
    """

    key: int
    tokens: int
    hashes: tuple[int, ...] = ()
    stop: int | None = None


class Finish(NamedTuple):
    """The absolute offset at which a stream ends, and the reason."""

    end: int
    reason: str


@functools.lru_cache(maxsize=PROMPT_CACHE_SIZE)
def describe_prompt(prompt: str) -> Prompt:
    """Return the properties of a prompt's text.

    A marker ``[stop=K]`` anywhere in the text ends the answer after K tokens
    with finish reason ``stop``.
    """
    marker = STOP_MARKER.search(prompt)
    return Prompt(
        key=xxhash.xxh3_64_intdigest(prompt.encode('utf-8', 'surrogatepass')),
        tokens=prefix.prompt_tokens(prompt),
        hashes=prefix.prefix_hashes(prompt),
        stop=int(marker.group(1)) if marker else None,
    )


def token_for_key(key: int, offset: int) -> str:
    """Return the token at an offset for a prompt's key."""
    digest = xxhash.xxh3_64_intdigest(offset.to_bytes(4, 'big'), seed=key)
    return f' {digest & 0xFFFF:04x}'


def token_text(prompt: str, offset: int) -> str:
    """Return the token at an offset of the answer to a prompt."""
    return token_for_key(describe_prompt(prompt).key, offset)


def finish_of(prompt: Prompt, max_tokens: int) -> Finish:
    """Return where the answer to a prompt ends, and why."""
    if prompt.stop is not None and prompt.stop < max_tokens:
        return Finish(prompt.stop, 'stop')
    return Finish(max_tokens, 'length')


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the full text of the answer to a prompt."""
    properties = describe_prompt(prompt)
    end = finish_of(properties, max_tokens).end
    return ''.join(token_for_key(properties.key, i) for i in range(end))
