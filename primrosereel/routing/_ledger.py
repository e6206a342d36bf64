"""What each instance has under way at the engines, own and told by peers.

Pattern: replicated soft state. Every instance sends its own use of the
engines as a whole snapshot after each change, so that a lost message is made
good by the next one. What a peer that fell silent had under way is forgotten:
an engine drops the requests of connections that end.
"""

from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from primrosereel import _ids as ids

__all__ = ['Ledger', 'PeerReport', 'Process', 'QueueHead', 'Use']

# A peer that was not heard for this long no longer counts.
PEER_TIMEOUT_S = 2.5
# For how long an instance out of sight is taken to be cut off, not gone.
MISSING_PEER_VALID_S = 20.0
# Instances with waiting requests tell their first one again well within this.
QUEUE_HEAD_VALID_S = 0.5


class Process(NamedTuple):
    """One run of an instance; the one that has run longest is the lowest.

    ``incarnation`` is the Unix millisecond of its start.
    """

    incarnation: int
    instance: ids.InstanceId


class QueueHead(NamedTuple):
    """The first of the requests that wait at an instance for a service.

    ``late`` says that it can no longer be answered within its target.
    """

    service: ids.ServiceId
    late: bool
    priority: int
    age_s: float

    def rank(self, older_s: float = 0.0) -> tuple[bool, int, float]:
        """Order of heads, the first one lowest, ``older_s`` later."""
        return self.late, self.priority, -(self.age_s + older_s)


class Use(NamedTuple):
    """Requests at a runner, and the tokens of KV cache they need.

    ``local_prefill_tokens`` counts the prompt tokens that a decode runner
    prefills itself.
    """

    requests: int
    tokens: int
    local_prefill_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """One instance's use of the engines, and the tokens it has waiting.

    ``sequence`` orders the reports of one ``incarnation``.
    """

    instance: ids.InstanceId
    incarnation: int
    sequence: int
    uses: dict[ids.RunnerId, Use]
    waiting_tokens: int = 0
    queue_heads: tuple[QueueHead, ...] = ()
    # The instance is in an orderly stop and will not come back soon.
    leaving: bool = False
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone('')


@dataclasses.dataclass(slots=True)
class _Peer:
    report: PeerReport
    last_seen: float


class Ledger:
    """The uses of all instances that are in sight.

    Instances of other shards tell only what they have at the runners of the
    own one; they count for nothing else.
    """

    def __init__(
        self,
        owns: Callable[[ids.AvailabilityZone], bool] = lambda _: True,
    ) -> None:
        self._owns = owns
        self._peers: dict[ids.InstanceId, _Peer] = {}
        self._lost: dict[ids.InstanceId, float] = {}

    def apply(self, report: PeerReport, now: float) -> bool:
        """Take a peer's report; False for one that is older than the last."""
        known = self._peers.get(report.instance)
        if known is not None and _report_order(report) <= _report_order(
            known.report
        ):
            return False
        self._peers[report.instance] = _Peer(report, now)
        self._lost.pop(report.instance, None)
        return True

    def peer_count(self, now: float) -> int:
        """Return how many other instances of the shard are in sight."""
        self._expire(now)
        return len(self._shard_peers())

    def missing_count(self, now: float) -> int:
        """Return how many instances fell out of sight not long ago.

        They may be cut off from this instance and still serve callers.
        """
        self._expire(now)
        for instance, last_seen in list(self._lost.items()):
            if now - last_seen > MISSING_PEER_VALID_S:
                del self._lost[instance]
        return len(self._lost)

    def active_processes(self, now: float) -> frozenset[Process]:
        """Return the other processes in sight that are not stopping."""
        self._expire(now)
        return frozenset(
            Process(peer.report.incarnation, instance)
            for instance, peer in self._peers.items()
            if not peer.report.leaving
            and self._owns(peer.report.availability_zone)
        )

    def peer_use(self, runner_id: ids.RunnerId, now: float) -> Use:
        """Return what other instances have at a runner."""
        self._expire(now)
        requests = tokens = local_prefill_tokens = 0
        for peer in self._peers.values():
            use = peer.report.uses.get(runner_id)
            if use is not None:
                requests += use.requests
                tokens += use.tokens
                local_prefill_tokens += use.local_prefill_tokens
        return Use(requests, tokens, local_prefill_tokens)

    def waiting_tokens(self, now: float) -> int:
        """Return the tokens of requests that wait at other instances."""
        self._expire(now)
        return sum(p.report.waiting_tokens for p in self._shard_peers())

    def is_first(self, head: QueueHead, now: float) -> bool:
        """Tell whether no other instance has a request that goes first.

        A head that was not told again counts no more, so that an instance
        that stopped does not hold up the others.
        """
        own = head.rank()
        for peer in self._shard_peers():
            age_s = now - peer.last_seen
            if age_s > QUEUE_HEAD_VALID_S:
                continue
            for other in peer.report.queue_heads:
                if other.service == head.service and other.rank(age_s) < own:
                    return False
        return True

    def _shard_peers(self) -> list[_Peer]:
        """Return the peers of the own shard."""
        return [
            peer
            for peer in self._peers.values()
            if self._owns(peer.report.availability_zone)
        ]

    def _expire(self, now: float) -> None:
        silent = [
            instance
            for instance, peer in self._peers.items()
            if now - peer.last_seen > PEER_TIMEOUT_S
        ]
        for instance in silent:
            peer = self._peers.pop(instance)
            if not peer.report.leaving and self._owns(
                peer.report.availability_zone
            ):
                self._lost[instance] = peer.last_seen


def _report_order(report: PeerReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
