"""Configuration and membership of a whole fleet under faults."""

import zlib

from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _configuration_reads as configuration_reads
from primrosereel.core import _heartbeat_ring as heartbeat_ring
from primrosereel.core import _membership as membership
from primrosereel.core import _messages as messages
from primrosereel.core import _ownership as ownership
from tests import fleet as fleet_module

NAMES = [f'i{region}-{number:03}' for region in (0, 1) for number in (0, 1, 2)]
# Reads that the configuration service answers for the whole fleet, from the
# design page.
MAX_SERVICE_READS_PER_S = 2000


class FleetMachine(stateful.RuleBasedStateMachine):
    """Six daemons in two regions on a bus that loses messages.

    Guards against a daemon that puts an invalid text or an older revision in
    force, and against one without the newest valid text after the faults.
    """

    @stateful.initialize(
        seed=st.integers(0, 2**16),
        loss=st.sampled_from([0.0, 0.2, 0.5]),
        double=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.001, 0.4]),
    )
    def begin(self, seed, loss, double, delay_s):
        """Start the fleet with a first text."""
        self.fleet = fleet_module.Fleet([3, 3], seed, loss, delay_s, double)
        self.valid_revisions = {0}
        self.publish(valid=True)
        self.fleet.run(5)

    @stateful.rule(valid=st.booleans())
    def publish(self, valid):
        """Publish a text, valid or invalid."""
        platform = self.fleet.platform
        runners = 2 + platform.revision % 10
        platform.publish(
            fleet_module.text_body(1 + platform.revision, runners, valid)
        )
        if valid:
            self.valid_revisions.add(platform.revision)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def run(self, seconds):
        """Let time pass."""
        self.fleet.run(seconds)

    @stateful.rule(down=st.booleans(), list_down=st.booleans())
    def platform_fails(self, down, list_down):
        """Break or repair the platform."""
        self.fleet.platform.down = down
        self.fleet.platform.list_down = list_down

    @stateful.rule(behind=st.integers(0, 2))
    def service_is_stale(self, behind):
        """Serve an older text, or the newest again."""
        platform = self.fleet.platform
        platform.served = max(1, platform.revision - behind)
        if not behind:
            platform.served = None

    @stateful.rule(name=st.sampled_from(NAMES), pause=st.booleans())
    def pause(self, name, pause):
        """Pause or resume a daemon."""
        change = self.fleet.paused.add if pause else self.fleet.paused.discard
        change(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Kill a daemon and start it again."""
        self.fleet.start(name, f'r{name[1]}')

    @stateful.rule(name=st.sampled_from(NAMES), shown=st.booleans())
    def list_shows(self, name, shown):
        """Make the instance list miss a daemon, or show it again."""
        if shown:
            self.fleet.relist(name)
        else:
            self.fleet.unlist(name)

    @stateful.rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut(self, one, other):
        """Break the link between two daemons."""
        self.fleet.cut.add(frozenset((one, other)))

    @stateful.invariant()
    def no_reversal(self):
        """Guards against an older revision or an invalid text in force."""
        for revisions in (
            getattr(self, 'fleet', None)
            and (self.fleet.revisions.values())
            or ()
        ):
            for before, after in zip(revisions, revisions[1:], strict=False):
                # 0 begins the history of a restarted process.
                assert after > before or after == 0
                assert after in self.valid_revisions

    @stateful.invariant()
    def owners_follow_the_view(self):
        """Guards against cached owners that differ from recomputed ones."""
        cores = self.fleet.cores if hasattr(self, 'fleet') else {}
        for core in cores.values():
            world = core.world
            kept = {g: ownership.group_owner(world, g) for g in world.groups}
            world.owners.clear()
            for group, owner in kept.items():
                assert ownership.group_owner(world, group) == owner

    def teardown(self):
        """End all faults; the fleet must then converge."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.paused.clear()
        fleet.cut.clear()
        fleet.loss = 0.0
        fleet.platform.down = fleet.platform.list_down = False
        fleet.platform.served = None
        for name in NAMES:
            fleet.relist(name)
        # The service holds one text, so one that was replaced before any
        # daemon read it is lost.
        newest = max(core.world.revision for core in fleet.cores.values())
        if fleet.platform.revision in self.valid_revisions:
            newest = fleet.platform.revision
        fleet.run(25)
        assert fleet.at_revision(newest), (
            newest,
            {n: c.world.revision for n, c in fleet.cores.items()},
        )
        for core in fleet.cores.values():
            world = core.world
            assert world.text.services['s'].runners['d0'].places == newest
            assert membership.is_list_fresh(world)
            assert world.listing.instances == fleet.platform.listed
            assert {p.state for p in world.peers.values()} == {
                states.PeerState.LIVE
            }
        self.publish(valid=True)
        fleet.run(2)
        assert fleet.at_revision(fleet.platform.revision)
        self.no_reversal()


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=20,
    stateful_step_count=15,
    # Shrinking runs the fleet hundreds of times.
    phases=(Phase.explicit, Phase.generate),
)


def test_waiting_fleet_stays_below_the_rate_of_the_service():
    """Guards against reads that keep an overloaded service down."""
    fleet = fleet_module.Fleet([390], systems=('configuration',))
    fleet.platform.down = True
    fleet.run(40)
    times = sorted(fleet.read_times)
    most = max(
        sum(1 for other in times[i : i + 1000] if other < start + 1.0)
        for i, start in enumerate(times)
    )
    assert most <= MAX_SERVICE_READS_PER_S
    # A second bound, which the simultaneous first reads do not affect.
    late = [t for t in times if t >= fleet.now - 20]
    assert len(late) / 20 <= 390 / (configuration_reads.MAX_RETRY_DELAY_S / 2)
    # All retry, so all notice the end of the outage.
    fleet.platform.publish(fleet_module.text_body())
    fleet.platform.down = False
    fleet.run(configuration_reads.MAX_RETRY_DELAY_S + 1)
    assert fleet.at_revision(1)


@given(st.integers(1, 200))
def test_heartbeats_reach_the_whole_ring_in_eight_rounds(size):
    """Guards against updates that spread more slowly than a list expires."""
    distances = heartbeat_ring.neighbour_distances(size)
    assert len(distances) == min(3, size - 1)
    reached, rounds = {0}, 0
    while len(reached) < size:
        rounds += 1
        # Heartbeats are answered, so updates spread in both directions.
        reached |= {(r + d) % size for r in reached for d in distances} | {
            (r - d) % size for r in reached for d in distances
        }
    assert rounds <= 8


@settings(max_examples=5)
@given(st.integers(0, 100))
def test_control_traffic_does_not_grow_with_the_fleet(seed):
    """Guards against messages in proportion to the number of daemons."""
    fleet = fleet_module.Fleet([30, 10], seed)
    fleet.platform.publish(fleet_module.text_body())
    fleet.run(5)
    fleet.calls.clear()
    fleet.reads.clear()
    fleet.run(20)
    # Half of the messages are answers within a call; 10 calls/s are allowed.
    assert max(fleet.calls.values()) / 20 <= 2 * 7
    # Two readers per region, plus one instance at times.
    assert fleet.reads['text'] <= 2 * 4
    assert fleet.reads['list'] <= 2 * 3 * 10


@settings(max_examples=50)
@given(st.binary(max_size=80), st.integers(0, 2**64 - 1), st.integers(0, 9))
def test_damaged_texts_of_peers_change_nothing(body, digest, base):
    """Guards against a damaged message that stops or changes a daemon."""
    fleet = fleet_module.Fleet([2])
    fleet.platform.publish(fleet_module.text_body())
    fleet.run(5)
    world = fleet.world('i0-000')
    text, revision = world.text, world.revision
    for message in (
        messages.TextDifference(base, 5, body, digest),
        messages.TextDifference(1, 5, body, digest),
        messages.TextFull(5, body, digest),
    ):
        fleet.give('i0-000', messages.FromPeer('i0-001', 1, message))
    assert (world.text, world.revision) == (text, revision)
    assert world.refusal is None
    # The revision is not marked as refused: the real text is accepted.
    for _ in range(4):
        fleet.platform.publish(fleet_module.text_body(7))
    fleet.run(5)
    assert fleet.at_revision(5)


def test_difference_with_another_digest_leads_to_the_whole_text():
    """Guards against daemons that silently hold different texts."""
    fleet = fleet_module.Fleet([2])
    fleet.platform.publish(fleet_module.text_body(1))
    fleet.run(5)
    other = text_module.parse(fleet_module.text_body(9)).unwrap()
    changes = text_module.difference(fleet.world('i0-000').text, other)
    message = messages.TextDifference(1, 2, text_module.encode(changes), 0)
    fleet.give('i0-000', messages.FromPeer('i0-001', 1, message))
    assert fleet.world('i0-000').revision == 1
    assert fleet.counts['configuration.mismatch'] == 1
    fleet.platform.publish(fleet_module.text_body(2))
    fleet.run(2)
    assert fleet.at_revision(2)


def test_late_heartbeat_of_an_old_process_is_ignored():
    """Guards against a restarted peer that is treated as leaving."""
    fleet = fleet_module.Fleet([3])
    fleet.run(5)
    old = fleet.world('i0-001').identity.incarnation
    leaving = messages.Heartbeat(0, 0, 0.0, leaving=True)
    fleet.start('i0-001', 'r0')
    fleet.run(5)
    peer = fleet.world('i0-000').peers['i0-001']
    fleet.give('i0-000', messages.FromPeer('i0-001', old, leaving))
    assert peer.state is states.PeerState.LIVE
    fleet.give(
        'i0-000',
        messages.FromPeer('i0-001', peer.listed.incarnation, leaving),
    )
    assert peer.state is states.PeerState.LEAVING


def test_expanding_text_is_refused():
    """Guards against a small message that decompresses to fill memory."""
    fleet = fleet_module.Fleet([2])
    fleet.platform.publish(fleet_module.text_body())
    fleet.run(5)
    bomb = zlib.compress(b'\0' * (64 * 1024 * 1024))
    message = messages.TextFull(9, bomb, 0)
    fleet.give('i0-000', messages.FromPeer('i0-001', 1, message))
    assert fleet.world('i0-000').revision == 1
    assert fleet.counts['configuration.mismatch'] == 1
