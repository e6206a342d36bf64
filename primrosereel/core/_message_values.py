# Subclasses inherit ``frozen`` in msgspec, which mypy does not know.
# mypy: disable-error-code="misc"
"""Base classes of messages, and structs that messages contain."""

import msgspec

from primrosereel import _ids as ids

__all__ = [
    'KvTransfer',
    'ListedInstance',
    'LiveGrant',
    'LoadReport',
    'Message',
    'PeerMessage',
]


class Message(msgspec.Struct, frozen=True, gc=False):
    """Base of the messages inside one process."""


class PeerMessage(
    msgspec.Struct, frozen=True, gc=False, tag=True, array_like=True
):
    """Base of the messages between daemons (MessagePack on the wire)."""


class KvTransfer(msgspec.Struct, frozen=True, array_like=True):
    """An exported KV cache that a decode engine can import."""

    handle: str
    runner: ids.RunnerId
    tokens: int
    bytes: int


class LoadReport(msgspec.Struct, frozen=True):
    """A runner's report of its own load; it may be out of date.

    ``age_s`` is the time since the runner took the values.
    """

    busy: int
    queued: int
    free_pieces: int
    backlog_tokens: int = 0
    leaving: bool = False
    incarnation: int = 0
    age_s: float = 0.0


class ListedInstance(msgspec.Struct, frozen=True, array_like=True):
    """One daemon in the platform's instance list."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    address: str
    leaving: bool = False


class LiveGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant in use, as its entry instance reports it to a new owner.

    If ``paused`` is True, the stream waits until the owner resumes it.
    """

    request_id: ids.RequestId
    attempt: int
    prefill_runner: ids.RunnerId | None
    decode_runner: ids.RunnerId
    tokens: int
    priority: int
    decoding: bool
    client_account: ids.ClientAccountId
    paused: bool = False
