"""The accepted text: where it comes from and how it spreads.

Revisions come from the configuration service and only grow. Readers (see
``_configuration_reads``) turn a newer text into a difference for the peers of
their region and for one instance of each other region, which passes it on in
its own. Whoever misses a difference sees the higher revision in a heartbeat
and asks its sender.
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

# A text of 1 MB of JSON grows in MessagePack, where defaults are written out.
MAX_PACKED_TEXT_BYTES = 8 * 1024 * 1024
# Above this the whole text, compressed, is the smaller message.
MAX_DIFFERENCE_BYTES = 64 * 1024
ASK_INTERVAL_S = 1.0
ASKED_AT_START = 2
# A restarted daemon that took the first text it got could go back behind
# what is in force when the service is stale, so it hears a peer first.
PEERS_GRACE_S = 2.0
HIGHER_GRACE_S = 10.0
MAX_FAULTS_KEPT = 20
MAX_REFUSED_KEPT = 100


def pack_text(text: text_module.Text) -> tuple[bytes, int]:
    """Return a text compressed for the wire, and its digest."""
    body = text_module.encode_text(text)
    return zlib.compress(body), xxhash.xxh3_64_intdigest(body)


def unpack_text(
    body: bytes, digest: int
) -> result.Result[text_module.Text | None, str]:
    """Return the text of ``pack_text``; its fields are still unchecked.

    A failure says that the body is damaged. None stands for a whole body
    that holds no text this version understands.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(body, MAX_PACKED_TEXT_BYTES)
    except zlib.error as error:
        return result.Failure(str(error))
    if not decompressor.eof:
        return result.Failure('cut short, or too large')
    if xxhash.xxh3_64_intdigest(packed) != digest:
        return result.Failure('another digest')
    return result.Success(text_module.decode_text(packed).value_or(None))


class ConfigurationSystem:
    """Accepts texts, spreads them and answers for them."""

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
            world.random, ASK_INTERVAL_S, configuration_reads.MAX_RETRY_DELAY_S
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
        # A lower revision than a refused one can be news: after a restart
        # the service may hold a bad text while peers hold the last good one.
        self._refused: set[ids.Revision] = set()
        self._told = ids.Revision(0)
        self._asked_at = -math.inf
        self._ask_start_at = -math.inf
        self._started_at: float | None = None
        self._paused_at = world.paused_at
        self._peer_answered = False
        self._service_answered = False
        self._candidate: tuple[ids.Revision, text_module.Text] | None = None
        self._last_difference: messages.TextDifference | None = None
        self._packed: tuple[bytes, int] | None = None

    def receive(self, message, now: float) -> None:
        """Take one message whose type is in ``inputs``."""
        sender = None
        if isinstance(message, messages.FromPeer):
            sender = message.sender
            message = message.message
        self._handlers[type(message)](message, sender, now)

    def run(self, now: float) -> None:
        """Read, ask and choose where that is due."""
        if self._started_at is None:
            self._started_at = now
        if self._world.paused_at != self._paused_at:
            self._paused_at = self._world.paused_at
            self._reads.catch_up()
            self._ask_any(1)
        if self._world.text is None:
            self._choose(now)
            self._ask_at_start(now)
        elif (
            self._told > self._world.revision
            and now >= self._asked_at + ASK_INTERVAL_S
        ):
            self._ask_again(now)
        self._reads.run(now, self._read_after)

    @property
    def _read_after(self) -> ids.Revision:
        """The highest revision that the service need not return again."""
        return max(self._world.revision, *self._refused, ids.Revision(0))

    def _is_news(self, revision: ids.Revision) -> bool:
        return (
            revision > self._world.revision and revision not in self._refused
        )

    # Answers of the configuration service.

    def _on_read(self, message, _sender, now: float) -> None:
        news = self._is_news(message.revision)
        self._service_answered = True
        self._reads.on_answer(now, news)
        if not news:
            self._world.count('configuration.old')
            return
        match text_module.parse(message.body):
            case result.Success(text):
                spread = self._reads.is_reader()
                old, base = self._world.text, self._world.revision
                if self._offer(text, message.revision) and spread and old:
                    self._spread(old, base, self._all_peers())
            case result.Failure(faults):
                self._refuse(message.revision, faults)

    def _on_unchanged(self, _message, _sender, now: float) -> None:
        self._service_answered = True
        self._reads.on_answer(now, has_newer_text=False)

    def _on_failed(self, _message, _sender, now: float) -> None:
        self._service_answered = True
        self._reads.on_failure(now)
        self._world.count('configuration.failed')

    # Messages of peers.

    def _on_difference(self, message, sender, now: float) -> None:
        if not self._is_news(message.revision):
            self._world.count('configuration.old')
            return
        old = self._world.text
        if old is None or message.base != self._world.revision:
            self._world.count('configuration.other_base')
            self._ask(sender, now)
            return
        changed = text_module.decode(message.changes).bind(
            lambda found: text_module.apply(old, found)
        )
        text = changed.value_or(None)
        if text is None or text_module.digest(text) != message.digest:
            self._world.count('configuration.mismatch')
            self._ask_whole(sender, now)
            return
        self._take(text, message.revision, sender)

    def _on_full(self, message, sender, now: float) -> None:
        self._peer_answered = True
        if not self._is_news(message.revision):
            self._world.count('configuration.old')
            return
        match unpack_text(message.body, message.digest):
            case result.Success(None):
                self._refuse(message.revision, ('text of another version',))
            case result.Success(text):
                self._take(text, message.revision, sender)
            case result.Failure(_):
                # Asked for again by ``run``, of whoever then has it.
                self._world.count('configuration.mismatch')
                self._told = max(self._told, message.revision)

    def _on_query(self, message, sender, now: float) -> None:
        world = self._world
        if world.text is None or message.revision >= world.revision:
            return
        last = self._last_difference
        if last is not None and message.revision == last.base:
            world.send(sender, last)
            return
        world.send(sender, self._full())

    def _on_heartbeat(self, message, sender, now: float) -> None:
        # A peer without a text started just now as well and knows nothing.
        self._peer_answered |= message.revision > 0
        if self._is_news(message.revision):
            self._told = max(self._told, message.revision)
            self._ask(sender, now)

    def _on_peer_failed(self, message, _sender, now: float) -> None:
        if any(isinstance(m, messages.TextQuery) for m in message.messages):
            self._asked_at = -math.inf
            self._ask_start_at = min(self._ask_start_at, now + ASK_INTERVAL_S)

    # Acceptance.

    def _take(
        self, text: text_module.Text, revision: ids.Revision, sender
    ) -> None:
        """Check and accept a peer's text; relay it from another region."""
        faults = text_module.check(text, self._world.text)
        if faults:
            self._refuse(revision, faults)
            return
        old, base = self._world.text, self._world.revision
        if self._offer(text, revision) and old and self._is_far(sender):
            self._spread(old, base, self._region_peers())

    def _offer(self, text: text_module.Text, revision: ids.Revision) -> bool:
        """Accept a checked text, or keep the first ones for the choice."""
        if self._world.text is not None:
            self._accept(text, revision)
            return True
        if self._candidate is None or revision > self._candidate[0]:
            self._candidate = (revision, text)
        return False

    def _choose(self, now: float) -> None:
        """Accept the best of the first texts once peers had their say."""
        if self._candidate is None or self._started_at is None:
            return
        revision, text = self._candidate
        waited_s = now - self._started_at
        if self._told > revision:
            if waited_s < HIGHER_GRACE_S:
                return
        elif waited_s < PEERS_GRACE_S and not self._all_asked():
            return
        self._candidate = None
        self._accept(text, revision)

    def _all_asked(self) -> bool:
        """Tell whether the service and a peer with a text have answered."""
        alone = self._world.listing.revision > 0 and not self._world.peers
        return self._service_answered and (self._peer_answered or alone)

    def _accept(self, text: text_module.Text, revision: ids.Revision) -> None:
        self._last_difference = None
        self._packed = None
        self._refused = {r for r in self._refused if r > revision}
        text_tables.put_in_force(self._world, text, revision)
        self._world.count('configuration.accepted')
        self._world.emit(messages.TextChanged(revision))

    def _refuse(self, revision: ids.Revision, faults: Iterable) -> None:
        self._refused.add(revision)
        if len(self._refused) > MAX_REFUSED_KEPT:
            self._refused.remove(min(self._refused))
        if self._told == revision:
            self._told = self._world.revision
        self._world.count('configuration.refused')
        self._world.refusal = tables.TextRefusal(
            revision, tuple(str(f) for f in faults)[:MAX_FAULTS_KEPT]
        )

    # Spreading.

    def _spread(
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
            message = self._full()
        else:
            message = self._last_difference = messages.TextDifference(
                base, self._world.revision, changes, text_module.digest(text)
            )
        for destination in destinations:
            self._world.send(destination, message)

    def _full(self) -> messages.TextFull:
        text = self._world.text
        assert text is not None
        if self._packed is None:
            self._packed = pack_text(text)
        body, digest = self._packed
        return messages.TextFull(self._world.revision, body, digest)

    def _region_peers(self) -> list[ids.InstanceId]:
        own = self._world.identity
        live = ownership.live_instances(self._world, own.region)
        return [peer for peer in live if peer != own.instance]

    def _all_peers(self) -> list[ids.InstanceId]:
        """Return the region's peers and one instance of each other region."""
        world = self._world
        regions = {row.region for row in world.listing.instances.values()}
        found = self._region_peers()
        for region in sorted(regions - {world.identity.region}):
            found += ownership.rank(
                f'relay/{region}/{world.revision}',
                ownership.live_instances(world, region),
                1,
            )
        return found

    def _is_far(self, sender: ids.InstanceId) -> bool:
        row = self._world.listing.instances.get(sender)
        return row is not None and row.region != self._world.identity.region

    # Asking.

    def _ask(self, peer: ids.InstanceId, now: float) -> None:
        if now >= self._asked_at + ASK_INTERVAL_S:
            self._asked_at = now
            self._world.send(peer, messages.TextQuery(self._world.revision))

    def _ask_whole(self, peer: ids.InstanceId, now: float) -> None:
        self._asked_at = now
        self._world.send(peer, messages.TextQuery(ids.Revision(0)))

    def _ask_again(self, now: float) -> None:
        """Ask a peer that is known to have a newer text."""
        ahead = [
            name
            for name, peer in self._world.peers.items()
            if self._is_news(peer.revision)
        ]
        if ahead:
            self._ask_whole(self._world.random.choice(sorted(ahead)), now)

    def _ask_any(self, count: int) -> None:
        """Ask peers whose revisions are not known."""
        peers = self._region_peers() or sorted(self._world.peers)
        for peer in self._world.random.sample(peers, min(count, len(peers))):
            self._world.send(peer, messages.TextQuery(self._world.revision))

    def _ask_at_start(self, now: float) -> None:
        if now < self._ask_start_at or not self._world.peers:
            return
        self._ask_start_at = now + self._backoff.next_s()
        self._world.wake_at(self._ask_start_at)
        self._ask_any(ASKED_AT_START)
