"""States of the other instances, from what is heard of them.

An instance that was asked and does not answer in time becomes SUSPECT;
anything heard of it makes it LIVE again. LEAVING lasts until the instance
shows up with another incarnation. Only the instance list removes a peer.
"""

import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['ANSWER_S', 'Contacts']

State = states.PeerState

# Three heartbeats of one second each without an answer.
ANSWER_S = 3.0
# For a peer that others call suspect: long enough for a second try over a
# new connection, which replaces a silent one after 1 s.
VERIFY_S = 2.0
MAX_FAILURES = 2
# Messages to a peer that fail together are one failure.
SAME_FAILURE_S = 0.1
# What was under way while this process was paused failed for its own sake.
PAUSE_GRACE_S = 1.0


@dataclasses.dataclass(slots=True)
class Contact:
    """What this daemon remembers of a peer beyond its row."""

    incarnation: ids.Incarnation
    since: float
    answer_by: float = math.inf
    failures: int = 0
    failed_at: float = -math.inf
    said_leaving: bool = False


class Contacts:
    """Maintains the rows of ``world.peers``."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._contacts: dict[ids.InstanceId, Contact] = {}
        self._waiting: set[ids.InstanceId] = set()
        self._recovered = 0

    @property
    def waiting(self) -> set[ids.InstanceId]:
        """The peers that were asked and have not answered yet."""
        return self._waiting

    def take_recovered(self) -> int:
        """Return how many peers recovered since the last call."""
        count, self._recovered = self._recovered, 0
        return count

    def follow_list(self, now: float) -> None:
        """Bring the rows in line with the instance list."""
        world = self._world
        listed = world.listing.instances
        for gone in [name for name in world.peers if name not in listed]:
            del world.peers[gone]
            del self._contacts[gone]
            self._waiting.discard(gone)
        for name, row in listed.items():
            if name != world.identity.instance:
                self._follow_row(name, row, now)

    def heard(
        self, sender: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> bool:
        """Take a sign of life; return whether it is of the newest process."""
        peer = self._world.peers.get(sender)
        if peer is None:
            return False
        contact = self._contacts[sender]
        if incarnation < contact.incarnation:
            return False
        if incarnation > contact.incarnation:
            self._restart(sender, incarnation, now)
        peer.heard_at = now
        contact.answer_by = math.inf
        contact.failures = 0
        self._waiting.discard(sender)
        if peer.state is State.SUSPECT:
            self._recovered += 1
            self._set_alive(sender)
        return True

    def leaving(self, sender: ids.InstanceId) -> None:
        """Take a peer's word that it leaves."""
        self._contacts[sender].said_leaving = True
        self._set_state(sender, State.LEAVING)

    def asked(self, peer: ids.InstanceId, now: float, within_s: float) -> None:
        """Expect an answer of a peer."""
        contact = self._contacts[peer]
        contact.answer_by = min(contact.answer_by, now + within_s)
        self._waiting.add(peer)

    def verify(self, peer: ids.InstanceId, now: float) -> None:
        """Expect an answer of a peer that another one could not reach.

        The other's failure counts as the first of the two.
        """
        self.asked(peer, now, VERIFY_S)
        contact = self._contacts[peer]
        contact.failures = max(contact.failures, MAX_FAILURES - 1)

    def failed(self, peer: ids.InstanceId, now: float) -> None:
        """Take note of messages that did not reach a peer."""
        contact = self._contacts.get(peer)
        if contact is None or now - self._world.paused_at < PAUSE_GRACE_S:
            return
        if now - contact.failed_at < SAME_FAILURE_S:
            return
        contact.failed_at = now
        contact.failures += 1
        if contact.failures >= MAX_FAILURES:
            self._suspect(peer)

    def silent_s(self, peer: ids.InstanceId, now: float) -> float:
        """Return for how long a peer could be heard but was not."""
        heard_at = self._world.peers[peer].heard_at
        return now - max(heard_at, self._contacts[peer].since)

    def check(self, now: float) -> None:
        """Suspect the peers whose answer is overdue."""
        for peer in sorted(self._waiting):
            if now >= self._contacts[peer].answer_by:
                self._suspect(peer)

    def forgive(self, now: float) -> None:
        """Forget all silence up to now: this process was paused."""
        for contact in self._contacts.values():
            contact.since = now
            contact.answer_by = math.inf
            contact.failures = 0
        self._waiting.clear()

    def _follow_row(
        self, name: ids.InstanceId, row: messages.ListedInstance, now: float
    ) -> None:
        peer = self._world.peers.get(name)
        if peer is None:
            self._world.peers[name] = tables.Peer(row)
            self._contacts[name] = Contact(row.incarnation, now)
        elif peer.listed != row:
            peer.listed = row
            if row.incarnation > self._contacts[name].incarnation:
                self._restart(name, row.incarnation, now)
        if self._leaves(name):
            self._set_state(name, State.LEAVING)
        elif self._world.peers[name].state is State.LEAVING:
            self._set_state(name, State.LIVE)

    def _restart(
        self, name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> None:
        """Start afresh with a peer's new process."""
        self._contacts[name] = Contact(incarnation, now)
        self._waiting.discard(name)
        self._world.peers[name].revision = ids.Revision(0)
        self._set_alive(name)

    def _leaves(self, name: ids.InstanceId) -> bool:
        listed = self._world.peers[name].listed
        contact = self._contacts[name]
        return contact.said_leaving or (
            listed.leaving and listed.incarnation == contact.incarnation
        )

    def _set_alive(self, name: ids.InstanceId) -> None:
        state = State.LEAVING if self._leaves(name) else State.LIVE
        self._set_state(name, state)

    def _suspect(self, name: ids.InstanceId) -> None:
        contact = self._contacts[name]
        contact.answer_by = math.inf
        self._waiting.discard(name)
        if self._world.peers[name].state is State.LIVE:
            self._world.count('membership.suspect')
            self._set_state(name, State.SUSPECT)

    def _set_state(self, name: ids.InstanceId, state: State) -> None:
        peer = self._world.peers[name]
        if peer.state is not state:
            peer.state = state
            self._world.view += 1
            self._world.owners.clear()
