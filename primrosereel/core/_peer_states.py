"""Failure detector: maintains the states of the other instances.

An instance that does not answer in time becomes SUSPECT, as does one that
messages repeatedly fail to reach; any message from it makes it LIVE again.
LEAVING lasts until the instance appears with another incarnation. Only the
instance list removes a peer.
"""

import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['ANSWER_TIMEOUT_S', 'PeerStates']

State = states.PeerState

# Three heartbeats, one per second, without an answer.
ANSWER_TIMEOUT_S = 3.0
# For a peer that another daemon suspects: long enough for a second attempt
# over a new connection, which replaces a silent one after 1 s.
VERIFY_TIMEOUT_S = 2.0
FAILURES_TO_SUSPECT = 2
# Failures of messages to a peer within this time count as one.
FAILURE_MERGE_WINDOW_S = 0.1
# Failures this soon after a pause of this process are ignored: the pause
# itself may have caused them.
FAILURE_GRACE_AFTER_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """The failure detector's data on a peer, apart from its row.

    ``since`` is when the peer's process became known, or when this process
    last resumed after a pause.
    """

    incarnation: ids.Incarnation
    since: float
    answer_by: float = math.inf
    failures: int = 0
    failed_at: float = -math.inf
    announced_leaving: bool = False


class PeerStates:
    """Maintains the rows of ``world.peers``."""

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._records: dict[ids.InstanceId, PeerRecord] = {}
        self._awaiting_answer: set[ids.InstanceId] = set()
        self._recovered = 0

    @property
    def awaiting_answer(self) -> set[ids.InstanceId]:
        """The peers whose answer is pending."""
        return self._awaiting_answer

    def pop_recovered_count(self) -> int:
        """Return and reset the number of peers that recovered."""
        count, self._recovered = self._recovered, 0
        return count

    def apply_list(self, now: float) -> None:
        """Add, update and remove rows to match the instance list."""
        world = self._world
        listed = world.listing.instances
        for removed in [name for name in world.peers if name not in listed]:
            del world.peers[removed]
            del self._records[removed]
            self._awaiting_answer.discard(removed)
        for name, row in listed.items():
            if name != world.identity.instance:
                self._apply_row(name, row, now)

    def record_message(
        self, sender: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> bool:
        """Record that a message arrived; return whether it is current.

        It is not if the peer is unlisted or has a newer incarnation.
        """
        peer = self._world.peers.get(sender)
        if peer is None:
            return False
        record = self._records[sender]
        if incarnation < record.incarnation:
            return False
        if incarnation > record.incarnation:
            self._reset_peer(sender, incarnation, now)
        peer.heard_at = now
        record.answer_by = math.inf
        record.failures = 0
        self._awaiting_answer.discard(sender)
        if peer.state is State.SUSPECT:
            self._recovered += 1
            self._clear_suspicion(sender)
        return True

    def record_leaving(self, sender: ids.InstanceId) -> None:
        """Record that a peer announced that it is leaving."""
        self._records[sender].announced_leaving = True
        self._set_state(sender, State.LEAVING)

    def expect_answer(
        self, peer: ids.InstanceId, now: float, within_s: float
    ) -> None:
        """Expect an answer from a peer within a time."""
        record = self._records[peer]
        record.answer_by = min(record.answer_by, now + within_s)
        self._awaiting_answer.add(peer)

    def expect_verification(self, peer: ids.InstanceId, now: float) -> None:
        """Expect an answer from a peer that another daemon could not reach.

        That daemon's failure counts as the first of FAILURES_TO_SUSPECT.
        """
        self.expect_answer(peer, now, VERIFY_TIMEOUT_S)
        record = self._records[peer]
        record.failures = max(record.failures, FAILURES_TO_SUSPECT - 1)

    def record_failure(self, peer: ids.InstanceId, now: float) -> None:
        """Record that messages did not reach a peer."""
        record = self._records.get(peer)
        if (
            record is None
            or now - self._world.paused_at < FAILURE_GRACE_AFTER_PAUSE_S
        ):
            return
        if now - record.failed_at < FAILURE_MERGE_WINDOW_S:
            return
        record.failed_at = now
        record.failures += 1
        if record.failures >= FAILURES_TO_SUSPECT:
            self._mark_suspect(peer)

    def silent_s(self, peer: ids.InstanceId, now: float) -> float:
        """Return the time since a peer was last heard from.

        It restarts with a new process of the peer and after a pause of
        this process.
        """
        heard_at = self._world.peers[peer].heard_at
        return now - max(heard_at, self._records[peer].since)

    def suspect_overdue(self, now: float) -> None:
        """Mark peers with an overdue answer as suspect."""
        for peer in sorted(self._awaiting_answer):
            if now >= self._records[peer].answer_by:
                self._mark_suspect(peer)

    def restart_timeouts(self, now: float) -> None:
        """Restart all timeouts, because this process was paused."""
        for record in self._records.values():
            record.since = now
            record.answer_by = math.inf
            record.failures = 0
        self._awaiting_answer.clear()

    def _apply_row(
        self, name: ids.InstanceId, row: messages.ListedInstance, now: float
    ) -> None:
        peer = self._world.peers.get(name)
        if peer is None:
            self._world.peers[name] = tables.Peer(row)
            self._records[name] = PeerRecord(row.incarnation, now)
        elif peer.listed != row:
            peer.listed = row
            if row.incarnation > self._records[name].incarnation:
                self._reset_peer(name, row.incarnation, now)
        if self._is_leaving(name):
            self._set_state(name, State.LEAVING)
        elif self._world.peers[name].state is State.LEAVING:
            self._set_state(name, State.LIVE)

    def _reset_peer(
        self, name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> None:
        """Reset the state of a peer that runs as a new process."""
        self._records[name] = PeerRecord(incarnation, now)
        self._awaiting_answer.discard(name)
        self._world.peers[name].revision = ids.Revision(0)
        self._clear_suspicion(name)

    def _is_leaving(self, name: ids.InstanceId) -> bool:
        listed = self._world.peers[name].listed
        record = self._records[name]
        return record.announced_leaving or (
            listed.leaving and listed.incarnation == record.incarnation
        )

    def _clear_suspicion(self, name: ids.InstanceId) -> None:
        state = State.LEAVING if self._is_leaving(name) else State.LIVE
        self._set_state(name, state)

    def _mark_suspect(self, name: ids.InstanceId) -> None:
        record = self._records[name]
        record.answer_by = math.inf
        self._awaiting_answer.discard(name)
        if self._world.peers[name].state is State.LIVE:
            self._world.count('membership.suspect')
            self._set_state(name, State.SUSPECT)

    def _set_state(self, name: ids.InstanceId, state: State) -> None:
        peer = self._world.peers[name]
        if peer.state is not state:
            peer.state = state
            self._world.view += 1
            self._world.owners.clear()
