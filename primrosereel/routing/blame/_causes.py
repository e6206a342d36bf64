"""What runners may crash under: a part of a prompt, or a whole request."""

from collections.abc import Iterable
import enum
import hashlib
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Cause', 'CauseKind', 'part_cause', 'request_key']

KEY_BYTES = 16
# Keeps the keys apart from other hashes of the same bytes. It is no secret:
# all instances must find the same key.
HASH_KEY = b'primrosereel request key 1'
LENGTH_BYTES = 8


class CauseKind(enum.Enum):
    """What is blamed for a crash."""

    PROMPT_PART = 'prompt_part'
    GENERATION = 'generation'
    PLAIN_CALL = 'plain_call'


class Cause(NamedTuple):
    """What may crash a runner; ``key`` tells causes of one kind apart.

    That of a prompt part is the part's id, that of a whole request comes from
    ``request_key``.
    """

    kind: CauseKind
    key: ids.CauseKey


def part_cause(part: ids.PromptPartId) -> Cause:
    """Return the cause that a part of a prompt is."""
    return Cause(CauseKind.PROMPT_PART, ids.CauseKey(part))


def request_key(fields: Iterable[bytes]) -> ids.CauseKey:
    """Return the key of a request from what repeats when it comes again.

    The length of each field is hashed with it, so that no two lists of fields
    give the same key::

        request_key([b'records', b'GET', b'/event/7', b'', body])
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES, key=HASH_KEY)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    return ids.CauseKey(digest.hexdigest())
