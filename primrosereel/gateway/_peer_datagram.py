"""The datagram that gateways exchange, and its conversions.

Numbers have ranges, so that what is told on can be encoded again. A part
outside of them is left out, and the rest of the datagram counts. A field
that is added goes last and has a default, so that programs of two versions
understand each other.
"""

from collections.abc import Iterable
import math
import typing
from typing import Any

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel.gateway import _quota_datagram as quota_datagram
from primrosereel.gateway import _runner_notices as runner_notices
from primrosereel.routing import _demand as demand
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _shared_watch as shared_watch
from primrosereel.routing import blame

__all__ = [
    'DATAGRAM_VERSION',
    'Datagram',
    'DatagramDecoder',
    'Suspect',
    'decode_evidence',
    'decode_notice',
    'decode_speeds',
    'encode_evidence',
    'encode_notice',
    'encode_speeds',
    'peer_report',
]

DATAGRAM_VERSION = 3
AGE_UNIT_S = 0.001

# Runner, start of its run in Unix ms, phase, slowness in thousandths, number
# of observations in hundredths, and age of the last one in ms.
SpeedNotice = tuple[
    str,
    numbers.UnixMs,
    str,
    numbers.Whole,
    numbers.Whole,
    numbers.AgeMs,
]


class StoreNotice(msgspec.Struct, array_like=True):
    """What the sender knows of the store; ages are in ms."""

    revision: numbers.Revision
    age_ms: numbers.AgeMs
    unchanged_since: numbers.Revision
    change_known: bool = False
    since: numbers.Revision = 0
    content: bytes = b''
    era: numbers.Revision | None = None


class Suspect(msgspec.Struct, array_like=True):
    """A cause under which runners crashed."""

    key: str
    # Runner, start of its run in Unix ms, and age of the crash in ms.
    crashes: list[tuple[str, numbers.UnixMs, numbers.AgeMs]]
    answered_age_ms: numbers.AgeMs | None
    kind: str = blame.CauseKind.PROMPT_PART.value
    # Positions in ``crashes`` of those under a request that was sent after
    # another crash was known.
    repeated: list[numbers.Whole] = []


class Datagram(msgspec.Struct, array_like=True):
    """One message of an instance to its peers."""

    version: int
    instance: str
    availability_zone: str
    incarnation: numbers.Whole
    sequence: numbers.Whole
    # Runner, requests, KV cache tokens, and tokens of prompts that a decode
    # runner prefills itself.
    uses: list[tuple[str, numbers.Whole, numbers.Whole, numbers.Whole]]
    waiting_tokens: numbers.Whole
    # Service, late, priority and age in ms of the first request that waits
    # for each service.
    heads: list[tuple[str, bool, numbers.QueueRank, numbers.AgeMs]]
    leaving: bool = False
    # By zone, some members' hosts and how long ago in ms each was heard from.
    members: dict[str, list[tuple[str, numbers.AgeMs]]] = {}
    # Runners of the sender's shard and their free memory in tokens.
    rooms: list[tuple[str, numbers.Room]] = []
    # Service, prompt tokens that arrive each second, and KV cache tokens that
    # its streams would take.
    demands: list[tuple[str, numbers.Whole, numbers.Whole]] = []
    store: StoreNotice | None = None
    suspects: list[Suspect] = []
    # The version in force, 0 without one.
    configuration_version: numbers.Whole = 0
    runners: list[runner_notices.RunnerNotice] = []
    # For how long in ms the sender has had the store without interruption.
    store_in_touch_ms: numbers.AgeMs | None = None
    # What the sender has observed of runners' speeds.
    speeds: list[SpeedNotice] = []
    quotas: list[quota_datagram.QuotaNotice] = []


class DatagramDecoder:
    """Decodes datagrams, without the parts that cannot be used.

    Example::

        datagram, left_out = decoder.decode(data)
        if left_out:
            count('peers.parts_unreadable')
    """

    def __init__(self) -> None:
        self._decoder = msgspec.msgpack.Decoder(Datagram)

    def decode(self, data: bytes) -> tuple[Datagram, int]:
        """Return the datagram and the number of parts that were left out.

        Raises DecodeError, or RecursionError for deep nesting, if the rest
        is no datagram.
        """
        try:
            return self._decoder.decode(data), 0
        except msgspec.ValidationError:
            return _decode_parts(data)


def _decode_parts(data: bytes) -> tuple[Datagram, int]:
    values = msgspec.msgpack.decode(data, type=list[Any])
    fields = msgspec.structs.fields(Datagram)
    usable: dict[str, Any] = {}
    left_out = 0
    for field, value in zip(fields, values, strict=False):
        part, left_out_of_it = _usable_part(value, field.type)
        left_out += left_out_of_it
        if part is not msgspec.NODEFAULT:
            usable[field.name] = part
        elif field.required:
            raise msgspec.ValidationError(f'{field.name} cannot be used')
    if any(field.required and field.name not in usable for field in fields):
        raise msgspec.ValidationError('the datagram is too short')
    return Datagram(**usable), left_out


def _usable_part(value: Any, part_type: Any) -> tuple[Any, int]:
    """Return a field without the items that cannot be used, and their number.

    The field is NODEFAULT if it cannot be divided into items.
    """
    try:
        return msgspec.convert(value, part_type), 0
    except msgspec.ValidationError:
        item_types = typing.get_args(part_type)
    if isinstance(value, list) and typing.get_origin(part_type) is list:
        items = [_usable_part(item, item_types[0])[0] for item in value]
        kept = [item for item in items if item is not msgspec.NODEFAULT]
        return kept, len(items) - len(kept)
    if isinstance(value, dict) and typing.get_origin(part_type) is dict:
        parts = {
            key: _usable_part(inner, item_types[1])
            for key, inner in value.items()
            if isinstance(key, str)
        }
        kept_parts = {
            key: part
            for key, (part, _) in parts.items()
            if part is not msgspec.NODEFAULT
        }
        return kept_parts, max(1, sum(count for _, count in parts.values()))
    return msgspec.NODEFAULT, 1


def encode_notice(
    notice: shared_watch.Notice | None, now: float
) -> StoreNotice | None:
    """Encode what is known of the store, with ages for times."""
    if notice is None:
        return None
    return StoreNotice(
        notice.revision,
        # Peers poll later if they take what is told for newer than it is.
        numbers.age_ms(now - notice.confirmed_at + AGE_UNIT_S),
        notice.unchanged_since,
        notice.change_known,
        notice.since,
        notice.content,
        notice.era,
    )


def decode_notice(notice: StoreNotice, now: float) -> shared_watch.Notice:
    """Decode what a peer knows of the store."""
    return shared_watch.Notice(
        notice.revision,
        now - notice.age_ms / 1000,
        notice.unchanged_since,
        notice.change_known,
        notice.since,
        notice.content,
        None if notice.era is None else ids.StoreEra(notice.era),
    )


def encode_evidence(evidence: blame.Evidence, now: float) -> Suspect:
    """Encode the evidence about one cause."""
    crashes = [
        (str(crash.runner), crash.born_ms, numbers.age_ms(now - known.at))
        for crash, known in evidence.crashes.items()
    ]
    repeated = [
        position
        for position, known in enumerate(evidence.crashes.values())
        if known.repeated
    ]
    answered_age_ms = None
    if evidence.answered_at > -math.inf:
        answered_age_ms = numbers.age_ms(now - evidence.answered_at)
    kind, key = evidence.cause
    return Suspect(key, crashes, answered_age_ms, kind.value, repeated)


def decode_evidence(suspect: Suspect, now: float) -> blame.Evidence | None:
    """Decode a peer's evidence; None if the kind of cause is not known."""
    try:
        kind = blame.CauseKind(suspect.kind)
    except ValueError:
        return None
    answered_at = -math.inf
    if suspect.answered_age_ms is not None:
        answered_at = now - suspect.answered_age_ms / 1000
    crashes = {}
    for position, (runner, born_ms, age_ms) in enumerate(suspect.crashes):
        at = now - age_ms / 1000
        crash = blame.Crash(ids.RunnerId(runner), born_ms)
        crashes[crash] = blame.Observation(at, position in suspect.repeated)
    cause = blame.Cause(kind, ids.CauseKey(suspect.key))
    return blame.Evidence(cause, crashes, answered_at)


def encode_speeds(
    reports: Iterable[runner_speeds.SpeedReport],
) -> list[SpeedNotice]:
    """Encode what this instance has observed of runners' speeds."""
    return [
        (
            report.runner_id,
            report.born_ms,
            report.phase.value,
            numbers.whole(1000 * report.slowness),
            numbers.whole(100 * report.samples),
            numbers.age_ms(report.age_s),
        )
        for report in reports
    ]


def decode_speeds(
    notices: Iterable[SpeedNotice],
) -> list[runner_speeds.SpeedReport]:
    """Decode a peer's observations; those of unknown phases are left out."""
    phases = {phase.value: phase for phase in runner_speeds.Phase}
    return [
        runner_speeds.SpeedReport(
            ids.RunnerId(runner),
            born_ms,
            phases[phase],
            slowness / 1000,
            samples / 100,
            age_ms / 1000,
        )
        for runner, born_ms, phase, slowness, samples, age_ms in notices
        if phase in phases
    ]


def peer_report(datagram: Datagram) -> ledger_module.PeerReport:
    """Return the use of the engines that a datagram reports."""
    uses = {
        ids.RunnerId(runner): ledger_module.Use(
            requests, tokens, local_prefill_tokens
        )
        for runner, requests, tokens, local_prefill_tokens in datagram.uses
    }
    queue_heads = tuple(
        ledger_module.QueueHead(
            ids.ServiceId(service), late, priority, age / 1000
        )
        for service, late, priority, age in datagram.heads
    )
    return ledger_module.PeerReport(
        ids.InstanceId(datagram.instance),
        datagram.incarnation,
        datagram.sequence,
        uses,
        datagram.waiting_tokens,
        queue_heads,
        datagram.leaving,
        ids.AvailabilityZone(datagram.availability_zone),
        {
            ids.ServiceId(service): demand.Demand(prompt_tokens, kv_tokens)
            for service, prompt_tokens, kv_tokens in datagram.demands
        },
    )
