"""Ranges of numbers that come from outside, for typed decoding.

Every number of the store, a runner, a caller or a peer gets its range where
it is decoded, so that no later step meets one that it cannot encode, add,
compare or wait for. The bounds are far above any number in use::

    class Page(msgspec.Struct):
        at: numbers.Revision

    msgspec.json.decode(b'{"at": -1}', type=Page)  # raises ValidationError
"""

import re
from typing import Annotated

import msgspec

__all__ = [
    'MAX_DURATION_MS',
    'MAX_LOAD',
    'MAX_TOKENS',
    'MAX_WHOLE',
    'AgeMs',
    'Attempts',
    'Bytes',
    'DurationMs',
    'DurationS',
    'FileDescriptors',
    'HeadBytes',
    'MemoryMb',
    'Port',
    'PositiveMs',
    'PositiveS',
    'Priority',
    'QueueRank',
    'Rate',
    'Revision',
    'Room',
    'Slots',
    'Tokens',
    'UnixMs',
    'UnixS',
    'Weight',
    'Whole',
    'age_ms',
    'parse_decimal',
    'parse_whole',
    'whole',
]

# Whole numbers up to here have an exact floating-point value, and sums of a
# thousand of them fit 64 bits.
MAX_WHOLE = 2**53 - 1
# The end of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
# About 31 years.
MAX_DURATION_MS = 1e12
MAX_DURATION_S = 1e9
MAX_SLOTS = 1_000_000
# Requests at one runner, and its slowness in percent.
MAX_LOAD = 1_000_000
MAX_TOKENS = 1_000_000_000
MAX_BYTES = 2**40
MAX_PORT = 65535
MAX_ATTEMPTS = 1_000_000
MAX_PRIORITY = 1_000_000
MAX_WEIGHT = 1e9
MAX_RATE = 1e15

# As headers have them: ``float`` accepts signs, underscores and ``nan`` too.
DECIMAL = re.compile(rb'[0-9]{1,15}(\.[0-9]{1,15})?')
DIGITS = re.compile(rb'[0-9]{1,16}')

Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
UnixS = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS / 1000)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
AgeMs = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_DURATION_MS))]
PositiveS = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
# Free tokens; negative if more is in use than there is.
Room = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Bytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BYTES)]
HeadBytes = Annotated[int, msgspec.Meta(ge=1, le=MAX_BYTES)]
MemoryMb = Annotated[float, msgspec.Meta(ge=1, le=MAX_BYTES)]
FileDescriptors = Annotated[int, msgspec.Meta(ge=1, le=MAX_BYTES)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=MAX_ATTEMPTS)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)]
# A prompt that was prefilled ranks before all priorities.
QueueRank = Annotated[int, msgspec.Meta(ge=-1, le=MAX_PRIORITY)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


def whole(value: float) -> int:
    """Return the nearest number that decodes as ``Whole``."""
    return round(min(max(value, 0), MAX_WHOLE))


def age_ms(seconds: float) -> int:
    """Return an age that decodes as ``AgeMs``, with milliseconds cut off."""
    return int(min(max(1000 * seconds, 0.0), MAX_DURATION_MS))


def parse_decimal(text: bytes, most: float) -> float | None:
    """Return a number of decimal digits from 0 to ``most``, else None."""
    stripped = text.strip()
    if DECIMAL.fullmatch(stripped) is None:
        return None
    number = float(stripped)
    return number if number <= most else None


def parse_whole(text: bytes, most: int = MAX_WHOLE) -> int | None:
    """Return a whole number of digits from 0 to ``most``, else None."""
    stripped = text.strip()
    if DIGITS.fullmatch(stripped) is None:
        return None
    number = int(stripped)
    return number if number <= most else None
