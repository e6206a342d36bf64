"""Which instances there are and which of them can be reached.

Three parts do the work: ``_listing`` for the platform's instance list,
``_contacts`` for the states of peers, ``_ring`` for who sends heartbeats to
whom.
"""

from collections.abc import Callable
import math
from typing import Any

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _contacts as contacts
from primrosereel.core import _listing as listing
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _request_lifecycle as request_lifecycle
from primrosereel.core import _ring as ring
from primrosereel.core import _tables as tables

__all__ = ['MembershipSystem', 'fresh']

State = states.PeerState

fresh = listing.fresh

HEARTBEAT_S = 1.0
# Ticks come every 0.1 s; a gap above this means that the process was paused.
PAUSE_S = 1.0
SILENT_S = 3.0
# A rumour of a suspect is not followed when the peer was heard this recently.
RECENT_S = 1.0
MAX_RUMOURS = 8
# Peers that both sides suspect hear of each other only by such probes. Each
# recovery leads to more, so that a healed partition is noticed soon.
MAX_PROBES = 4


class MembershipSystem:
    """Maintains the list, the peers and the signs of leaving."""

    # Every message between daemons is a sign of life.
    inputs: tuple[type, ...] = (
        messages.InstanceListRead,
        messages.DrainRequested,
        messages.LoadReported,
        messages.PeerFailed,
        *messages.PeerMessage.__subclasses__(),
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._contacts = contacts.Contacts(world)
        self._list = listing.ListKeeper(world)
        self._ring = ring.Ring(world)
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            messages.InstanceListRead: self._on_list_read,
            messages.DrainRequested: self._on_drain,
            messages.LoadReported: self._on_load,
            messages.PeerFailed: self._on_peer_failed,
            messages.FromPeer: self._on_peer,
        }
        self._ran_at: float | None = None
        self._beat_at = -math.inf

    def receive(self, message, now: float) -> None:
        """Take one message whose type is in ``inputs``."""
        self._check_pause(now)
        self._handlers[type(message)](message, now)

    def run(self, now: float) -> None:
        """Send heartbeats, read the list, suspect the silent."""
        self._check_pause(now)
        self._contacts.check(now)
        self._list.run(now)
        if now >= self._beat_at:
            self._beat(now)
        self._world.wake_at(self._beat_at)
        request_lifecycle.finish_drain(self._world)

    def _check_pause(self, now: float) -> None:
        before, self._ran_at = self._ran_at, now
        if before is None:
            # Spreads the heartbeats of daemons that start together.
            self._beat_at = now + self._world.random.uniform(0, HEARTBEAT_S)
        elif now - before > PAUSE_S:
            self._world.paused_at = now
            self._world.count('membership.paused')
            self._contacts.forgive(now)
            self._list.read_at_once()
            if self._ring.after:
                peer = self._world.random.choice(self._ring.after)
                self._world.send(peer, messages.ListingQuery())

    # Messages of the own process and the platform.

    def _on_list_read(
        self, message: messages.InstanceListRead, now: float
    ) -> None:
        if self._list.read(message, now):
            self._contacts.follow_list(now)

    def _on_drain(self, _message, now: float) -> None:
        if not self._world.draining:
            self._world.draining = True
            self._world.view += 1
            self._world.owners.clear()
            self._beat(now)

    def _on_load(self, message: messages.LoadReported, now: float) -> None:
        row = self._world.runners.get(message.runner)
        if row is None:
            return
        before, report = row.report, message.report
        if report.leaving:
            row.leaving = True
        elif before is not None and report.incarnation > before.incarnation:
            row.leaving = row.facts.leaving
        row.report = report
        row.reported_at = now

    def _on_peer_failed(
        self, message: messages.PeerFailed, now: float
    ) -> None:
        self._contacts.failed(message.peer, now)

    # Messages of peers.

    def _on_peer(self, envelope: messages.FromPeer, now: float) -> None:
        sender = envelope.sender
        current = self._contacts.heard(sender, envelope.incarnation, now)
        match envelope.message:
            case messages.Heartbeat() as message:
                self._on_heartbeat(message, sender, current, now)
            case messages.ListingQuery():
                self._list.answer(sender)
            case messages.ListingUpdate() as message:
                if self._list.update(message, sender, now):
                    self._contacts.follow_list(now)

    def _on_heartbeat(
        self,
        message: messages.Heartbeat,
        sender: ids.InstanceId,
        current: bool,
        now: float,
    ) -> None:
        if sender == self._world.identity.instance:
            return
        self._list.heartbeat(message, sender, now)
        if current:
            self._world.peers[sender].revision = message.revision
            if message.leaving:
                self._contacts.leaving(sender)
            self._verify(message.suspects, now)
        if not message.reply:
            self._world.send(sender, self._heartbeat(reply=True))

    def _verify(
        self, suspects: tuple[ids.InstanceId, ...], now: float
    ) -> None:
        """Ask the peers that the sender could not reach."""
        for name in suspects[:MAX_RUMOURS]:
            peer = self._world.peers.get(name)
            if (
                peer is not None
                and peer.state is State.LIVE
                and name not in self._contacts.waiting
                and now - peer.heard_at > RECENT_S
            ):
                self._contacts.verify(name, now)
                self._world.send(name, self._heartbeat())

    # Heartbeats.

    def _heartbeat(self, reply: bool = False) -> messages.Heartbeat:
        world = self._world
        suspects = self._suspects()
        if len(suspects) > MAX_RUMOURS:
            suspects = world.random.sample(suspects, MAX_RUMOURS)
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

    def _beat(self, now: float) -> None:
        self._beat_at = now + HEARTBEAT_S
        destinations = self._regular()
        for name in destinations:
            self._contacts.asked(name, now, contacts.ANSWER_S)
        for name in self._ring.before:
            if (
                name not in self._contacts.waiting
                and self._contacts.silent_s(name, now) > SILENT_S
            ):
                self._contacts.asked(name, now, HEARTBEAT_S)
        destinations |= self._contacts.waiting
        destinations |= self._probes()
        if self._world.draining:
            destinations |= self._region_peers()
        heartbeat = self._heartbeat()
        for name in sorted(destinations):
            self._world.send(name, heartbeat)

    def _regular(self) -> set[ids.InstanceId]:
        """Return the ring's neighbours and those in other regions."""
        found = set(self._ring.after)
        for region in self._ring.bridges:
            live = ownership.live_instances(self._world, region)
            if live:
                found.add(self._world.random.choice(live))
        # A list may show the own name in another region.
        return found & self._world.peers.keys()

    def _probes(self) -> set[ids.InstanceId]:
        suspects = self._suspects()
        count = min(
            len(suspects), 1 + self._contacts.take_recovered(), MAX_PROBES
        )
        return set(self._world.random.sample(suspects, count))

    def _region_peers(self) -> set[ids.InstanceId]:
        """Return the region's peers that wait for a leaving heartbeat.

        Until it is gone they tell by its heartbeats that it still completes
        its requests.
        """
        region = self._world.identity.region
        return {
            name
            for name, peer in self._world.peers.items()
            if peer.listed.region == region and peer.state is not State.SUSPECT
        }
