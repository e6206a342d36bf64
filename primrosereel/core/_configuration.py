"""Acceptance and distribution of the configuration text.

Revisions come from the configuration service and only increase. Readers (see
``_configuration_reads``) send a newer text as a difference to the peers of
their region and to one instance of each other region, which relays it in its
own. A daemon that misses a difference sees the higher revision in a heartbeat
and queries its sender.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any
import zlib

from returns import result
import xxhash

from primrosereel import _ids as ids
from primrosereel import text as text_module
from primrosereel.core import _backoff as backoff
from primrosereel.core import _configuration_reads as configuration_reads
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables
from primrosereel.core import _text_tables as text_tables

__all__ = ['ConfigurationSystem', 'pack_text', 'unpack_text']

# Defaults are written out in MessagePack, so 1 MB of JSON becomes larger.
MAX_PACKED_TEXT_BYTES = 8 * 1024 * 1024
# For a larger difference, the full text is sent: compressed, it is smaller.
MAX_DIFFERENCE_BYTES = 64 * 1024
QUERY_INTERVAL_S = 1.0
PEERS_QUERIED_AT_START = 2
# A restarted daemon waits this long for the answer of a peer: if the service
# is stale, its text may be older than the one in force.
PEER_ANSWER_GRACE_S = 2.0
# How long the first text waits for a newer one that a peer announced.
NEWER_TEXT_GRACE_S = 10.0
MAX_REPORTED_FAULTS = 20
MAX_REFUSED_REVISIONS = 100


def pack_text(text: text_module.Text) -> tuple[bytes, int]:
    """Return a text compressed for the wire, and its digest."""
    body = text_module.encode_text(text)
    return zlib.compress(body), xxhash.xxh3_64_intdigest(body)


def unpack_text(
    body: bytes, digest: int
) -> result.Result[text_module.Text | None, str]:
    """Return a text packed by ``pack_text``; its fields are not checked.

    A failure means that the body is damaged. None means that the body is
    intact but holds no text that this version can decode.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(body, MAX_PACKED_TEXT_BYTES)
    except zlib.error as error:
        return result.Failure(str(error))
    if not decompressor.eof:
        return result.Failure('truncated or too large')
    if xxhash.xxh3_64_intdigest(packed) != digest:
        return result.Failure('digest mismatch')
    return result.Success(text_module.decode_text(packed).value_or(None))


class ConfigurationSystem:
    """Accepts texts, distributes them and answers queries for them."""

    inputs: tuple[type, ...] = (
        messages.ConfigurationRead,
        messages.ConfigurationUnchanged,
        messages.ConfigurationFailed,
        messages.TextDifference,
        messages.TextQuery,
        messages.TextFull,
        messages.Heartbeat,
        messages.PeerFailed,
    )

    def __init__(self, world: tables.World) -> None:
        self._world = world
        self._reads = configuration_reads.ConfigurationReads(world)
        self._backoff = backoff.Backoff(
            world.random,
            QUERY_INTERVAL_S,
            configuration_reads.MAX_RETRY_DELAY_S,
        )
        self._handlers: dict[type, Callable[[Any, Any, float], None]] = {
            messages.ConfigurationRead: self._on_read,
            messages.ConfigurationUnchanged: self._on_unchanged,
            messages.ConfigurationFailed: self._on_failed,
            messages.TextDifference: self._on_difference,
            messages.TextQuery: self._on_query,
            messages.TextFull: self._on_full,
            messages.Heartbeat: self._on_heartbeat,
            messages.PeerFailed: self._on_peer_failed,
        }
        # A set rather than a maximum: a lower revision than a refused one may
        # still be needed. After a restart, the service may hold an invalid
        # text while peers hold the last valid one.
        self._refused_revisions: set[ids.Revision] = set()
        self._highest_announced = ids.Revision(0)
        self._last_query_at = -math.inf
        self._next_start_query_at = -math.inf
        self._started_at: float | None = None
        self._paused_at = world.paused_at
        self._peer_answered = False
        self._service_answered = False
        self._candidate: tuple[ids.Revision, text_module.Text] | None = None
        self._last_difference: messages.TextDifference | None = None
        self._packed_text: tuple[bytes, int] | None = None

    def receive(self, message, now: float) -> None:
        """Process a message whose type is in ``inputs``."""
        sender = None
        if isinstance(message, messages.FromPeer):
            sender = message.sender
            message = message.message
        self._handlers[type(message)](message, sender, now)

    def run(self, now: float) -> None:
        """Read the service, query peers and choose the first text."""
        if self._started_at is None:
            self._started_at = now
        if self._world.paused_at != self._paused_at:
            self._paused_at = self._world.paused_at
            self._reads.catch_up()
            self._query_random_peers(1)
        if self._world.text is None:
            self._accept_candidate_if_due(now)
            self._query_at_start(now)
        elif (
            self._highest_announced > self._world.revision
            and now >= self._last_query_at + QUERY_INTERVAL_S
        ):
            self._query_peer_ahead(now)
        self._reads.run(now, self._read_after)

    @property
    def _read_after(self) -> ids.Revision:
        """The revision above which the service must return a text."""
        return max(
            self._world.revision, *self._refused_revisions, ids.Revision(0)
        )

    def _is_wanted_revision(self, revision: ids.Revision) -> bool:
        return (
            revision > self._world.revision
            and revision not in self._refused_revisions
        )

    # Answers from the configuration service.

    def _on_read(self, message, _sender, now: float) -> None:
        is_newer = self._is_wanted_revision(message.revision)
        self._service_answered = True
        self._reads.on_answer(now, is_newer)
        if not is_newer:
            self._world.count('configuration.old')
            return
        match text_module.parse(message.body):
            case result.Success(text):
                should_distribute = self._reads.is_reader()
                old, base = self._world.text, self._world.revision
                if (
                    self._accept_or_defer(text, message.revision)
                    and should_distribute
                    and old
                ):
                    self._distribute(old, base, self._distribution_peers())
            case result.Failure(faults):
                self._refuse(message.revision, faults)

    def _on_unchanged(self, _message, _sender, now: float) -> None:
        self._service_answered = True
        self._reads.on_answer(now, has_newer_text=False)

    def _on_failed(self, _message, _sender, now: float) -> None:
        self._service_answered = True
        self._reads.on_failure(now)
        self._world.count('configuration.failed')

    # Messages from peers.

    def _on_difference(self, message, sender, now: float) -> None:
        if not self._is_wanted_revision(message.revision):
            self._world.count('configuration.old')
            return
        old = self._world.text
        if old is None or message.base != self._world.revision:
            self._world.count('configuration.other_base')
            self._query_update(sender, now)
            return
        changed = text_module.decode(message.changes).bind(
            lambda changes: text_module.apply(old, changes)
        )
        text = changed.value_or(None)
        if text is None or text_module.digest(text) != message.digest:
            self._world.count('configuration.mismatch')
            self._query_full_text(sender, now)
            return
        self._accept_from_peer(text, message.revision, sender)

    def _on_full(self, message, sender, now: float) -> None:
        self._peer_answered = True
        if not self._is_wanted_revision(message.revision):
            self._world.count('configuration.old')
            return
        match unpack_text(message.body, message.digest):
            case result.Success(None):
                self._refuse(
                    message.revision, ('cannot be decoded by this version',)
                )
            case result.Success(text):
                self._accept_from_peer(text, message.revision, sender)
            case result.Failure(_):
                # ``run`` queries it again from a peer that has it.
                self._world.count('configuration.mismatch')
                self._highest_announced = max(
                    self._highest_announced, message.revision
                )

    def _on_query(self, message, sender, now: float) -> None:
        world = self._world
        if world.text is None or message.revision >= world.revision:
            return
        last = self._last_difference
        if last is not None and message.revision == last.base:
            world.send(sender, last)
            return
        world.send(sender, self._full_text_message())

    def _on_heartbeat(self, message, sender, now: float) -> None:
        # A peer without a text has only just started as well.
        self._peer_answered |= message.revision > 0
        if self._is_wanted_revision(message.revision):
            self._highest_announced = max(
                self._highest_announced, message.revision
            )
            self._query_update(sender, now)

    def _on_peer_failed(self, message, _sender, now: float) -> None:
        if any(isinstance(m, messages.TextQuery) for m in message.messages):
            self._last_query_at = -math.inf
            self._next_start_query_at = min(
                self._next_start_query_at, now + QUERY_INTERVAL_S
            )

    # Acceptance.

    def _accept_from_peer(
        self, text: text_module.Text, revision: ids.Revision, sender
    ) -> None:
        """Check and accept a peer's text; relay one from another region."""
        faults = text_module.check(text, self._world.text)
        if faults:
            self._refuse(revision, faults)
            return
        old, base = self._world.text, self._world.revision
        if (
            self._accept_or_defer(text, revision)
            and old
            and self._is_in_other_region(sender)
        ):
            self._distribute(old, base, self._region_peers())

    def _accept_or_defer(
        self, text: text_module.Text, revision: ids.Revision
    ) -> bool:
        """Accept a checked text and return True, or keep it as a candidate.

        It becomes a candidate for the first text if none is in force.
        """
        if self._world.text is not None:
            self._accept(text, revision)
            return True
        if self._candidate is None or revision > self._candidate[0]:
            self._candidate = (revision, text)
        return False

    def _accept_candidate_if_due(self, now: float) -> None:
        """Accept the candidate once peers had time to offer a newer text."""
        if self._candidate is None or self._started_at is None:
            return
        revision, text = self._candidate
        waited_s = now - self._started_at
        if self._highest_announced > revision:
            if waited_s < NEWER_TEXT_GRACE_S:
                return
        elif waited_s < PEER_ANSWER_GRACE_S and not self._has_all_answers():
            return
        self._candidate = None
        self._accept(text, revision)

    def _has_all_answers(self) -> bool:
        """Return whether the service and a peer with a text have answered.

        The answer of a peer is not needed if the list contains none.
        """
        has_no_peers = (
            self._world.listing.revision > 0 and not self._world.peers
        )
        return self._service_answered and (self._peer_answered or has_no_peers)

    def _accept(self, text: text_module.Text, revision: ids.Revision) -> None:
        self._last_difference = None
        self._packed_text = None
        self._refused_revisions = {
            r for r in self._refused_revisions if r > revision
        }
        text_tables.activate_text(self._world, text, revision)
        self._world.count('configuration.accepted')
        self._world.emit(messages.TextChanged(revision))

    def _refuse(self, revision: ids.Revision, faults: Iterable) -> None:
        self._refused_revisions.add(revision)
        if len(self._refused_revisions) > MAX_REFUSED_REVISIONS:
            self._refused_revisions.remove(min(self._refused_revisions))
        if self._highest_announced == revision:
            self._highest_announced = self._world.revision
        self._world.count('configuration.refused')
        self._world.refusal = tables.TextRefusal(
            revision, tuple(str(f) for f in faults)[:MAX_REPORTED_FAULTS]
        )

    # Distribution.

    def _distribute(
        self,
        old: text_module.Text,
        base: ids.Revision,
        destinations: list[ids.InstanceId],
    ) -> None:
        text = self._world.text
        assert text is not None
        changes = text_module.encode(text_module.difference(old, text))
        message: messages.PeerMessage
        if len(changes) > MAX_DIFFERENCE_BYTES:
            message = self._full_text_message()
        else:
            message = self._last_difference = messages.TextDifference(
                base, self._world.revision, changes, text_module.digest(text)
            )
        for destination in destinations:
            self._world.send(destination, message)

    def _full_text_message(self) -> messages.TextFull:
        text = self._world.text
        assert text is not None
        if self._packed_text is None:
            self._packed_text = pack_text(text)
        body, digest = self._packed_text
        return messages.TextFull(self._world.revision, body, digest)

    def _region_peers(self) -> list[ids.InstanceId]:
        own = self._world.identity
        live = ownership.live_instances(self._world, own.region)
        return [peer for peer in live if peer != own.instance]

    def _distribution_peers(self) -> list[ids.InstanceId]:
        """Return the region's peers and one instance of each other region."""
        world = self._world
        regions = {row.region for row in world.listing.instances.values()}
        peers = self._region_peers()
        for region in sorted(regions - {world.identity.region}):
            peers += ownership.rank(
                f'relay/{region}/{world.revision}',
                ownership.live_instances(world, region),
                1,
            )
        return peers

    def _is_in_other_region(self, sender: ids.InstanceId) -> bool:
        row = self._world.listing.instances.get(sender)
        return row is not None and row.region != self._world.identity.region

    # Queries.

    def _query_update(self, peer: ids.InstanceId, now: float) -> None:
        if now >= self._last_query_at + QUERY_INTERVAL_S:
            self._last_query_at = now
            self._world.send(peer, messages.TextQuery(self._world.revision))

    def _query_full_text(self, peer: ids.InstanceId, now: float) -> None:
        self._last_query_at = now
        self._world.send(peer, messages.TextQuery(ids.Revision(0)))

    def _query_peer_ahead(self, now: float) -> None:
        """Query a peer that is known to have a newer text."""
        peers_ahead = [
            name
            for name, peer in self._world.peers.items()
            if self._is_wanted_revision(peer.revision)
        ]
        if peers_ahead:
            self._query_full_text(
                self._world.random.choice(sorted(peers_ahead)), now
            )

    def _query_random_peers(self, count: int) -> None:
        """Query random peers, whatever their revisions."""
        peers = self._region_peers() or sorted(self._world.peers)
        for peer in self._world.random.sample(peers, min(count, len(peers))):
            self._world.send(peer, messages.TextQuery(self._world.revision))

    def _query_at_start(self, now: float) -> None:
        if now < self._next_start_query_at or not self._world.peers:
            return
        self._next_start_query_at = now + self._backoff.next_s()
        self._world.wake_at(self._next_start_query_at)
        self._query_random_peers(PEERS_QUERIED_AT_START)
