"""JSON bodies of the engine interface."""

import msgspec

from primrosereel.standin import _types as types

__all__ = [
    'DecodeBody',
    'ExportAnswer',
    'KvBody',
    'OrderAnswer',
    'OrderBody',
    'PrefillAnswer',
    'PrefillBody',
    'RequestAnswer',
    'RequestsAnswer',
]


class KvBody(msgspec.Struct):
    """Description of an exported KV cache in a request or an answer."""

    handle: str
    runner: str
    tokens: int
    bytes: int


class PrefillBody(msgspec.Struct):
    """Body of ``POST /v1/prefill``."""

    request_id: str
    prompt: str
    model: str | None = None
    priority: int = 0
    lease_s: float = 1e9


class PrefillAnswer(msgspec.Struct):
    """Answer to ``POST /v1/prefill``."""

    request_id: str
    kv: KvBody
    cached_tokens: int


class DecodeBody(msgspec.Struct):
    """Body of ``POST /v1/decode``."""

    request_id: str
    kv: KvBody
    prompt: str
    max_tokens: int
    model: str | None = None
    priority: int = 0
    offset: int = 0


class OrderBody(msgspec.Struct):
    """Body of ``POST /v1/orders``."""

    fencing_token: int
    kind: str
    value: str


class RequestAnswer(msgspec.Struct, omit_defaults=True):
    """Answer to pause, resume and cancel; a cancel returns no state."""

    request_id: str
    state: types.State | None = None


class RequestsAnswer(msgspec.Struct):
    """Answer to ``GET /v1/requests``."""

    requests: list[types.HeldRequest]


class OrderAnswer(msgspec.Struct):
    """Answer to an order that was accepted."""

    fencing_token: int


class ExportAnswer(msgspec.Struct):
    """Answer to a decode engine that reads or releases a KV cache."""

    found: bool
