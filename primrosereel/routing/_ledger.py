"""Use of the engines by all instances, as reported by peers.

Pattern: replicated soft state. Every instance sends a complete snapshot of its
use of the engines after each change, so that the next message makes up for a
lost one. The use of a peer that stopped reporting expires: an engine drops the
requests of connections that end.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.routing import _demand as demand_module

__all__ = ['Ledger', 'PeerReport', 'Process', 'QueueHead', 'Use']

# A peer without a report for this long is no longer visible.
PEER_TIMEOUT_S = 2.5
# How long a peer that is no longer visible is assumed to be cut off rather
# than ended.
MISSING_PEER_VALID_S = 20.0
# How long a reported queue head is valid; instances with waiting requests
# report it more often than that.
QUEUE_HEAD_VALID_S = 0.5


class Process(NamedTuple):
    """One run of an instance; the longest running one sorts first.

    ``incarnation`` is the Unix millisecond of its start.
    """

    incarnation: int
    instance: ids.InstanceId


class QueueHead(NamedTuple):
    """The first request in an instance's queue for a service.

    ``late`` is set if it can no longer meet its latency target.
    """

    service: ids.ServiceId
    late: bool
    priority: int
    age_s: float

    def rank(self, older_s: float = 0.0) -> tuple[bool, int, float]:
        """Return the sort key, lowest first, ``older_s`` after the report."""
        return self.late, self.priority, -(self.age_s + older_s)


class Use(NamedTuple):
    """Requests at a runner, and the KV cache tokens that they need.

    ``local_prefill_tokens`` counts the prompt tokens that a decode runner
    prefills itself.
    """

    requests: int
    tokens: int
    local_prefill_tokens: int = 0

    def plus(self, other: 'Use') -> 'Use':
        """Return the use of two instances together."""
        return Use(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.local_prefill_tokens + other.local_prefill_tokens,
        )

    def minus(self, other: 'Use') -> 'Use':
        """Return a total without the use of one of its instances."""
        return Use(
            self.requests - other.requests,
            self.tokens - other.tokens,
            self.local_prefill_tokens - other.local_prefill_tokens,
        )


NO_USE = Use(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """One instance's use of the engines, and its waiting requests.

    ``sequence`` orders the reports of one ``incarnation``.
    """

    instance: ids.InstanceId
    incarnation: int
    sequence: int
    uses: dict[ids.RunnerId, Use]
    waiting_tokens: int = 0
    queue_heads: tuple[QueueHead, ...] = ()
    # The instance is in an orderly shutdown. It will not return soon and does
    # not count as missing.
    leaving: bool = False
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone('')
    demands: dict[ids.ServiceId, demand_module.Demand] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Peer:
    report: PeerReport
    last_seen: float


@dataclasses.dataclass(slots=True)
class _ZoneTotals:
    """The visible peers of an availability zone."""

    peers: int = 0
    waiting_tokens: int = 0


class Ledger:
    """The reported use of the engines by all visible peers.

    Peers in other shards report what they use of this shard's engines. Only
    that use is counted: they are not peers in any other respect.

    Decisions read the totals several times per request, so that these are
    updated as reports arrive and expire. Those of peers are kept by zone, as
    the zones of the own shard may change at any time.
    """

    def __init__(
        self,
        owns: Callable[[ids.AvailabilityZone], bool] = lambda _: True,
    ) -> None:
        self._owns = owns
        self._peers: dict[ids.InstanceId, _Peer] = {}
        # Peers that reported waiting requests.
        self._queues: dict[ids.InstanceId, _Peer] = {}
        self._missing: dict[ids.InstanceId, float] = {}
        self._uses: dict[ids.RunnerId, Use] = {}
        self._zones: dict[ids.AvailabilityZone, _ZoneTotals] = {}
        # No peer was last seen, and none went missing, before these times.
        self._oldest_peer = math.inf
        self._oldest_missing = math.inf

    def apply(self, report: PeerReport, now: float) -> bool:
        """Store a peer's report; return False for an outdated one."""
        known = self._peers.get(report.instance)
        if known is not None:
            if _report_order(report) <= _report_order(known.report):
                return False
            self._subtract(known.report)
        peer = _Peer(report, now)
        self._peers[report.instance] = peer
        self._add(peer)
        self._oldest_peer = min(self._oldest_peer, now)
        self._missing.pop(report.instance, None)
        return True

    def peer_count(self, now: float) -> int:
        """Return the number of visible peers in the own shard."""
        self._expire(now)
        return sum(
            totals.peers
            for zone, totals in self._zones.items()
            if self._owns(zone)
        )

    def missing_count(self, now: float) -> int:
        """Return the number of peers that recently stopped reporting.

        They may be cut off from this instance and still serve callers.
        """
        self._expire(now)
        if now - self._oldest_missing > MISSING_PEER_VALID_S:
            self._missing = {
                instance: last_seen
                for instance, last_seen in self._missing.items()
                if now - last_seen <= MISSING_PEER_VALID_S
            }
            self._oldest_missing = min(
                self._missing.values(), default=math.inf
            )
        return len(self._missing)

    def active_processes(self, now: float) -> frozenset[Process]:
        """Return the visible processes of peers that are not stopping."""
        self._expire(now)
        return frozenset(
            Process(peer.report.incarnation, instance)
            for instance, peer in self._peers.items()
            if not peer.report.leaving
            and self._owns(peer.report.availability_zone)
        )

    def peer_use(self, runner_id: ids.RunnerId, now: float) -> Use:
        """Return the use of a runner by other instances."""
        self._expire(now)
        return self._uses.get(runner_id, NO_USE)

    def waiting_tokens(self, now: float) -> int:
        """Return the total tokens of requests that wait at peers."""
        self._expire(now)
        return sum(
            totals.waiting_tokens
            for zone, totals in self._zones.items()
            if self._owns(zone)
        )

    def demand(
        self, service: ids.ServiceId, now: float
    ) -> demand_module.Demand:
        """Return the demand for a service at the visible peers."""
        self._expire(now)
        total = demand_module.Demand()
        for peer in self._peers.values():
            if self._owns(peer.report.availability_zone):
                total = total.plus(
                    peer.report.demands.get(service, demand_module.Demand())
                )
        return total

    def is_first(self, head: QueueHead, now: float) -> bool:
        """Tell whether no peer has a request that ranks before this one.

        A queue head that is not reported again expires, so that an instance
        that stopped does not block the others.
        """
        own = head.rank()
        for peer in self._queues.values():
            age_s = now - peer.last_seen
            if age_s > QUEUE_HEAD_VALID_S or not self._owns(
                peer.report.availability_zone
            ):
                continue
            for other in peer.report.queue_heads:
                if other.service == head.service and other.rank(age_s) < own:
                    return False
        return True

    def _add(self, peer: _Peer) -> None:
        """Count a peer's report in the totals."""
        report = peer.report
        for runner_id, use in report.uses.items():
            known = self._uses.get(runner_id, NO_USE)
            self._uses[runner_id] = known.plus(use)
        totals = self._zones.setdefault(
            report.availability_zone, _ZoneTotals()
        )
        totals.peers += 1
        totals.waiting_tokens += report.waiting_tokens
        if report.queue_heads:
            self._queues[report.instance] = peer

    def _subtract(self, report: PeerReport) -> None:
        """Remove a report that no longer counts from the totals."""
        for runner_id, use in report.uses.items():
            remaining = self._uses.pop(runner_id, NO_USE).minus(use)
            if remaining != NO_USE:
                self._uses[runner_id] = remaining
        totals = self._zones[report.availability_zone]
        totals.peers -= 1
        totals.waiting_tokens -= report.waiting_tokens
        if not totals.peers:
            del self._zones[report.availability_zone]
        self._queues.pop(report.instance, None)

    def _expire(self, now: float) -> None:
        if now - self._oldest_peer <= PEER_TIMEOUT_S:
            return
        silent = [
            instance
            for instance, peer in self._peers.items()
            if now - peer.last_seen > PEER_TIMEOUT_S
        ]
        for instance in silent:
            peer = self._peers.pop(instance)
            self._subtract(peer.report)
            if not peer.report.leaving and self._owns(
                peer.report.availability_zone
            ):
                self._missing[instance] = peer.last_seen
                self._oldest_missing = min(
                    self._oldest_missing, peer.last_seen
                )
        self._oldest_peer = min(
            (peer.last_seen for peer in self._peers.values()),
            default=math.inf,
        )


def _report_order(report: PeerReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
