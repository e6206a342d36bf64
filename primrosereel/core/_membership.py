"""Which instances exist and which of them can be reached.

The system sends heartbeats and dispatches messages to three parts:
``_instance_list`` synchronizes the platform's instance list, ``_peer_states``
detects failed peers, ``_heartbeat_ring`` decides which instances exchange
heartbeats.
"""

from collections.abc import Callable
import math
from typing import Any

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _heartbeat_ring as heartbeat_ring
from primrosereel.core import _instance_list as instance_list
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _peer_states as peer_states
from primrosereel.core import _request_lifecycle as request_lifecycle
from primrosereel.core import _tables as tables

__all__ = ['MembershipSystem', 'is_list_fresh']

State = states.PeerState

is_list_fresh = instance_list.is_list_fresh

HEARTBEAT_INTERVAL_S = 1.0
# Ticks come every 0.1 s; a longer gap than this means that the process was
# paused.
PAUSE_THRESHOLD_S = 1.0
SILENCE_LIMIT_S = 3.0
# A peer that another daemon suspects is not probed if it was heard from this
# recently.
RECENTLY_HEARD_S = 1.0
MAX_REPORTED_SUSPECTS = 8
# Two daemons that suspect each other exchange only these probes. Each
# recovered peer adds one, so that the end of a partition is noticed soon.
MAX_SUSPECT_PROBES = 4


class MembershipSystem:
    """Maintains the instance list, peer states and runners' load reports."""

    # Any message from a peer shows that the peer is alive.
    inputs: tuple[type, ...] = (
        messages.InstanceListRead,
        messages.DrainRequested,
        messages.LoadReported,
        messages.PeerFailed,
        *messages.PeerMessage.__subclasses__(),
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._peer_states = peer_states.PeerStates(world)
        self._instance_list = instance_list.InstanceListSync(world)
        self._ring = heartbeat_ring.HeartbeatRing(world)
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            messages.InstanceListRead: self._on_list_read,
            messages.DrainRequested: self._on_drain,
            messages.LoadReported: self._on_load,
            messages.PeerFailed: self._on_peer_failed,
            messages.FromPeer: self._on_peer,
        }
        self._last_ran_at: float | None = None
        self._next_heartbeat_at = -math.inf

    def receive(self, message, now: float) -> None:
        """Process a message whose type is in ``inputs``."""
        self._check_pause(now)
        self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Send heartbeats, read the list and suspect overdue peers."""
        self._check_pause(now)
        self._peer_states.suspect_overdue(now)
        self._instance_list.run(now)
        if now >= self._next_heartbeat_at:
            self._send_heartbeats(now)
        self._world.wake_at(self._next_heartbeat_at)
        request_lifecycle.finish_drain(self._world)

    def _check_pause(self, now: float) -> None:
        last_ran_at, self._last_ran_at = self._last_ran_at, now
        if last_ran_at is None:
            # Spreads the heartbeats of daemons that start at the same time.
            self._next_heartbeat_at = now + self._world.random.uniform(
                0, HEARTBEAT_INTERVAL_S
            )
        elif now - last_ran_at > PAUSE_THRESHOLD_S:
            self._world.paused_at = now
            self._world.count('membership.paused')
            self._peer_states.restart_timeouts(now)
            self._instance_list.read_at_once()
            if self._ring.successors:
                peer = self._world.random.choice(self._ring.successors)
                self._world.send(peer, messages.ListingQuery())

    # Messages from this process and from the platform.

    def _on_list_read(
        self, message: messages.InstanceListRead, now: float
    ) -> None:
        if self._instance_list.receive_list(message, now):
            self._peer_states.apply_list(now)

    def _on_drain(self, _message, now: float) -> None:
        if not self._world.draining:
            self._world.draining = True
            self._world.view += 1
            self._world.owners.clear()
            self._send_heartbeats(now)

    def _on_load(self, message: messages.LoadReported, now: float) -> None:
        row = self._world.runners.get(message.runner)
        if row is None:
            return
        previous, report = row.report, message.report
        if report.leaving:
            row.leaving = True
        elif (
            previous is not None and report.incarnation > previous.incarnation
        ):
            row.leaving = row.facts.leaving
        row.report = report
        row.reported_at = now

    def _on_peer_failed(
        self, message: messages.PeerFailed, now: float
    ) -> None:
        self._peer_states.record_failure(message.peer, now)

    # Messages from peers.

    def _on_peer(self, envelope: messages.FromPeer, now: float) -> None:
        sender = envelope.sender
        is_newest_process = self._peer_states.record_message(
            sender, envelope.incarnation, now
        )
        match envelope.message:
            case messages.Heartbeat() as message:
                self._on_heartbeat(message, sender, is_newest_process, now)
            case messages.ListingQuery():
                self._instance_list.answer_query(sender)
            case messages.ListingUpdate() as message:
                if self._instance_list.receive_update(message, sender, now):
                    self._peer_states.apply_list(now)

    def _on_heartbeat(
        self,
        message: messages.Heartbeat,
        sender: ids.InstanceId,
        is_newest_process: bool,
        now: float,
    ) -> None:
        if sender == self._world.identity.instance:
            return
        self._instance_list.receive_heartbeat(message, sender, now)
        if is_newest_process:
            self._world.peers[sender].revision = message.revision
            if message.leaving:
                self._peer_states.record_leaving(sender)
            self._probe_reported_suspects(message.suspects, now)
        if not message.reply:
            self._world.send(sender, self._make_heartbeat(reply=True))

    def _probe_reported_suspects(
        self, suspects: tuple[ids.InstanceId, ...], now: float
    ) -> None:
        """Probe the peers that the sender could not reach."""
        for name in suspects[:MAX_REPORTED_SUSPECTS]:
            peer = self._world.peers.get(name)
            if (
                peer is not None
                and peer.state is State.LIVE
                and name not in self._peer_states.awaiting_answer
                and now - peer.heard_at > RECENTLY_HEARD_S
            ):
                self._peer_states.expect_verification(name, now)
                self._world.send(name, self._make_heartbeat())

    # Heartbeats.

    def _make_heartbeat(self, reply: bool = False) -> messages.Heartbeat:
        world = self._world
        suspects = self._suspects()
        if len(suspects) > MAX_REPORTED_SUSPECTS:
            suspects = world.random.sample(suspects, MAX_REPORTED_SUSPECTS)
        return messages.Heartbeat(
            world.revision,
            world.listing.revision,
            world.listing.as_of,
            world.draining,
            reply,
            tuple(suspects),
        )

    def _suspects(self) -> list[ids.InstanceId]:
        return sorted(
            name
            for name, peer in self._world.peers.items()
            if peer.state is State.SUSPECT
        )

    def _send_heartbeats(self, now: float) -> None:
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        destinations = self._ring_destinations()
        for name in destinations:
            self._peer_states.expect_answer(
                name, now, peer_states.ANSWER_TIMEOUT_S
            )
        for name in self._ring.predecessors:
            if (
                name not in self._peer_states.awaiting_answer
                and self._peer_states.silent_s(name, now) > SILENCE_LIMIT_S
            ):
                self._peer_states.expect_answer(
                    name, now, HEARTBEAT_INTERVAL_S
                )
        destinations |= self._peer_states.awaiting_answer
        destinations |= self._suspect_probes()
        if self._world.draining:
            destinations |= self._unsuspected_region_peers()
        heartbeat = self._make_heartbeat()
        for name in sorted(destinations):
            self._world.send(name, heartbeat)

    def _ring_destinations(self) -> set[ids.InstanceId]:
        """Return the ring neighbours and one instance per bridged region."""
        destinations = set(self._ring.successors)
        for region in self._ring.bridged_regions:
            live = ownership.live_instances(self._world, region)
            if live:
                destinations.add(self._world.random.choice(live))
        # A list may contain the local name in another region.
        return destinations & self._world.peers.keys()

    def _suspect_probes(self) -> set[ids.InstanceId]:
        suspects = self._suspects()
        count = min(
            len(suspects),
            1 + self._peer_states.pop_recovered_count(),
            MAX_SUSPECT_PROBES,
        )
        return set(self._world.random.sample(suspects, count))

    def _unsuspected_region_peers(self) -> set[ids.InstanceId]:
        """Return the region's peers that are not suspect.

        A draining instance sends all of them heartbeats, which show that it
        is leaving and still completes its requests.
        """
        region = self._world.identity.region
        return {
            name
            for name, peer in self._world.peers.items()
            if peer.listed.region == region and peer.state is not State.SUSPECT
        }
