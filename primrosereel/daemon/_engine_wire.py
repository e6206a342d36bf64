"""What engines send to the daemon over HTTP, and the checks of a stream."""

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers

__all__ = [
    'CacheEvents',
    'LoadResponse',
    'PrefillResponse',
    'ProtocolError',
    'RequestsResponse',
    'StateResponse',
    'StreamEvent',
    'validated_tokens',
]


class StreamEvent(msgspec.Struct):
    """One token of a stream."""

    request_id: str
    offset: numbers.Whole
    token: str = ''
    finish: str | None = None


class KvBody(msgspec.Struct):
    """Transfer parameters of an exported KV cache."""

    handle: str
    runner: str
    tokens: numbers.Whole
    bytes: numbers.Whole


class PrefillResponse(msgspec.Struct):
    """The response to a prefill."""

    request_id: str
    kv: KvBody
    cached_tokens: numbers.Whole = 0


class LoadResponse(msgspec.Struct):
    """The response to a load poll."""

    busy: numbers.Whole
    queued: numbers.Whole
    free_pieces: numbers.Whole
    backlog_tokens: numbers.Whole = 0
    leaving: bool = False
    incarnation: numbers.Whole = 0
    age_s: numbers.DurationS = 0.0


class CacheEvents(msgspec.Struct):
    """The response to a poll of cache events."""

    first: numbers.Whole
    next: numbers.Whole
    # Hashes of blocks; they are only compared with each other.
    stored: list[int] = []
    evicted: list[int] = []


class HeldRequest(msgspec.Struct):
    """One request at an engine."""

    request_id: str


class RequestsResponse(msgspec.Struct):
    """The response that lists the requests at an engine."""

    requests: list[HeldRequest]


class StateResponse(msgspec.Struct):
    """The response to a read of an engine's state.

    ``models`` and ``adapters`` are those that it has loaded, and
    ``fencing_token`` is that of its last order.
    """

    role: str
    models: list[str] = []
    adapters: list[str] = []
    fencing_token: numbers.Whole = 0


class ProtocolError(Exception):
    """An engine sent an event that does not belong to the stream."""


def validated_tokens(
    events: list[StreamEvent], engine_id: ids.EngineRequestId, offset: int
) -> tuple[tuple[str, ...], str | None]:
    """Return the tokens and the finish reason of consecutive events.

    Raises ProtocolError for another request id or a gap in the offsets.
    """
    tokens: list[str] = []
    for event in events:
        if event.request_id != engine_id:
            raise ProtocolError('event has another request id')
        if event.token:
            if event.offset != offset + len(tokens):
                raise ProtocolError(
                    'event offset does not follow the last token'
                )
            tokens.append(event.token)
        if event.finish is not None:
            return tuple(tokens), event.finish
    return tuple(tokens), None
