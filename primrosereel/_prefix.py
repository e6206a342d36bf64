"""Token counts and prefix block hashes of prompts.

The router and the engines must compute the same values: the router compares
its own hashes with those in an engine's prefix cache events.
"""

import xxhash

__all__ = [
    'BLOCK_TOKENS',
    'CHARACTERS_PER_TOKEN',
    'MAX_BLOCKS',
    'prefix_hashes',
    'prompt_tokens',
]

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 256
BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
# Bounds the size of a grant request; later blocks rarely affect placement.
MAX_BLOCKS = 32


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt) // CHARACTERS_PER_TOKEN))


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return a chained 64-bit hash for each complete leading block.

    Two prompts have the same n-th hash only if their first n blocks are
    equal. At most ``MAX_BLOCKS`` hashes are returned.
    """
    hashes = []
    previous = 0
    end = min(len(prompt), MAX_BLOCKS * BLOCK_CHARACTERS)
    for start in range(0, end - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        previous = xxhash.xxh3_64_intdigest(
            block.encode('utf-8', 'surrogatepass'), seed=previous
        )
        hashes.append(previous)
    return tuple(hashes)
