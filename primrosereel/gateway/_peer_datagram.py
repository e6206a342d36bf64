"""The datagram that gateways exchange, and its conversions.

A field that is added goes last and has a default, so that programs of two
versions understand each other.
"""

import math

import msgspec

from primrosereel import _ids as ids
from primrosereel.gateway import _runner_notices as runner_notices
from primrosereel.routing import _demand as demand
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _shared_watch as shared_watch
from primrosereel.routing import blame

__all__ = [
    'DATAGRAM_VERSION',
    'Datagram',
    'Suspect',
    'decode_evidence',
    'decode_notice',
    'encode_evidence',
    'encode_notice',
    'peer_report',
]

DATAGRAM_VERSION = 3


class StoreNotice(msgspec.Struct, array_like=True):
    """What the sender knows of the store; ages are in ms."""

    revision: int
    age_ms: int
    unchanged_since: int
    change_known: bool = False
    since: int = 0
    content: bytes = b''
    era: int | None = None


class Suspect(msgspec.Struct, array_like=True):
    """A cause under which runners crashed."""

    key: str
    # Runner, start of its run in Unix ms, and age of the crash in ms.
    crashes: list[tuple[str, int, int]]
    answered_age_ms: int | None
    kind: str = blame.CauseKind.PROMPT_PART.value
    # Positions in ``crashes`` of those under a request that was sent after
    # another crash was known.
    repeated: list[int] = []


class Datagram(msgspec.Struct, array_like=True):
    """One message of an instance to its peers."""

    version: int
    instance: str
    availability_zone: str
    incarnation: int
    sequence: int
    # Runner, requests, KV cache tokens, and tokens of prompts that a decode
    # runner prefills itself.
    uses: list[tuple[str, int, int, int]]
    waiting_tokens: int
    # Service, late, priority and age in ms of the first request that waits
    # for each service.
    heads: list[tuple[str, bool, int, int]]
    leaving: bool = False
    # By zone, some members' hosts and how long ago in ms each was heard from.
    members: dict[str, list[tuple[str, int]]] = {}
    # Runners of the sender's shard and their free memory in tokens.
    rooms: list[tuple[str, int]] = []
    # Service, prompt tokens that arrive each second, and KV cache tokens that
    # its streams would take.
    demands: list[tuple[str, int, int]] = []
    store: StoreNotice | None = None
    suspects: list[Suspect] = []
    # The version in force, 0 without one.
    configuration_version: int = 0
    runners: list[runner_notices.RunnerNotice] = []
    # For how long in ms the sender has had the store without interruption.
    store_in_touch_ms: int | None = None


def encode_notice(
    notice: shared_watch.Notice | None, now: float
) -> StoreNotice | None:
    """Encode what is known of the store, with ages for times."""
    if notice is None:
        return None
    return StoreNotice(
        notice.revision,
        math.ceil(1000 * (now - notice.confirmed_at)),
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
        # A negative age would keep this instance from polling.
        now - max(0, notice.age_ms) / 1000,
        notice.unchanged_since,
        notice.change_known,
        notice.since,
        notice.content,
        None if notice.era is None else ids.StoreEra(notice.era),
    )


def encode_evidence(evidence: blame.Evidence, now: float) -> Suspect:
    """Encode the evidence about one cause."""
    crashes = [
        (str(crash.runner), crash.born_ms, int(1000 * (now - known.at)))
        for crash, known in evidence.crashes.items()
    ]
    repeated = [
        position
        for position, known in enumerate(evidence.crashes.values())
        if known.repeated
    ]
    answered_age_ms = None
    if evidence.answered_at > -math.inf:
        answered_age_ms = int(1000 * (now - evidence.answered_at))
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
        answered_at = now - max(0, suspect.answered_age_ms) / 1000
    crashes = {}
    for position, (runner, born_ms, age_ms) in enumerate(suspect.crashes):
        # A negative age would keep the cause quarantined for too long.
        at = now - max(0, age_ms) / 1000
        crash = blame.Crash(ids.RunnerId(runner), born_ms)
        crashes[crash] = blame.Observation(at, position in suspect.repeated)
    cause = blame.Cause(kind, ids.CauseKey(suspect.key))
    return blame.Evidence(cause, crashes, answered_at)


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
