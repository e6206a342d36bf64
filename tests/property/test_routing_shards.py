"""Membership, shards of a large fleet, and spillover between them."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.gateway import _peers as peers
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _demand as demand
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _members as members_module
from primrosereel.routing import _model as model
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _roles as roles
from primrosereel.routing import _runners as runners
from primrosereel.routing import _shards as shards_module
from tests.property import test_routing_places as places_tests

ZONES = [ids.AvailabilityZone(name) for name in 'abcde']
SERVICE = places_tests.SERVICE


def shards(zone, instances=67, instance_zones=ZONES, runner_zones=ZONES):
    view = shards_module.Shards(ids.AvailabilityZone(zone))
    view.update(instances, instance_zones, runner_zones)
    return view


def test_a_small_fleet_is_one_shard():
    """Guards against a shard with too few runners for a burst."""
    view = shards('a', instances=7)
    assert not view.divided
    assert all(view.owns(zone) for zone in ZONES)


def test_a_large_fleet_is_divided_by_zone():
    """Guards against reports to all instances of a large fleet.

    With 67 instances they took more processor time than allowed.
    """
    view = shards('a')
    assert [zone for zone in ZONES if view.owns(zone)] == ['a']


def test_a_shard_has_a_leader_after_the_fleet_was_divided():
    """Guards against shards whose instances never see a majority.

    An instance sees the whole fleet until the shards form, and the zones of
    an undivided fleet were taken for those of its shard.
    """
    zone = ids.AvailabilityZone('a')
    view = shards_module.Shards(zone)
    leader = roles.Leadership(
        ledger_module.Process(1, ids.InstanceId('i1')), 3.0
    )
    assert not view.own_zones
    leader.update([], 66, 0.0, view.own_zones)
    view.update(67, ZONES, ZONES)
    assert view.own_zones == {zone}
    assert not leader.update([], 12, 1.0, view.own_zones)
    assert leader.update([], 12, 7.0, view.own_zones)


def test_restarts_do_not_divide_and_join_a_fleet_again():
    """Guards against restarts that divide and join a fleet repeatedly."""
    view = shards('a', instances=25)
    for instances in (24, 20, 17, 25):
        assert not view.update(instances, ZONES, ZONES)
    assert view.update(12, ZONES, ZONES)
    assert not view.update(24, ZONES, ZONES)


@hypothesis.given(
    st.sets(st.sampled_from(ZONES), min_size=1),
    st.sets(st.sampled_from(ZONES), min_size=1),
)
def test_every_instance_has_engines_and_every_engine_an_owner(
    instance_zones, runner_zones
):
    """Guards against unused runners in a zone that lost its instances."""
    made = {
        zone: shards(zone, 67, instance_zones, runner_zones)
        for zone in instance_zones
    }
    for zone, view in made.items():
        assert view.owns(zone)
        assert any(view.owns(engine) for engine in runner_zones)
    for engine in runner_zones:
        owners = {z for z, view in made.items() if view.owns(engine)}
        assert owners
        if made[min(owners)].divided:
            assert owners == made[min(owners)].zones(engine) & instance_zones


def test_a_member_that_ended_expires_everywhere():
    """Guards against members that keep an ended one alive by gossip."""
    first, second = members_module.Members('1'), members_module.Members('2')
    first.observe('9', ZONES[0], 0.0)
    for second_of_test in range(20):
        now = float(second_of_test)
        for sender, receiver in ((first, second), (second, first)):
            sender.expire(now)
            for member in list(sender):
                receiver.observe(member.host, ZONES[0], member.last_seen)
    assert len(first) == len(second) == 0


def test_a_sample_is_bounded():
    """Guards against gossip that grows with the size of the fleet."""
    known = members_module.Members('1')
    for number in range(2, 12):
        known.observe(str(number), ZONES[0], 0.0)
    assert len(set(known.sample(3, random.Random(1)))) == 3
    assert len(known.sample(99, random.Random(1))) == 10


def test_gossip_keeps_all_members_of_a_large_fleet():
    """Guards against live members that expire for want of direct messages."""
    rng = random.Random(1)
    fleet = {str(n): members_module.Members(str(n)) for n in range(200)}
    for view in fleet.values():
        for host in fleet:
            view.observe(host, ZONES[0], 0.0)
    for second in range(1, 60):
        now = float(second)
        for host, view in fleet.items():
            view.expire(now)
            for target in view.sample(peers.GOSSIP_TARGETS, rng):
                fleet[target].observe(host, ZONES[0], now)
                for other in view.sample(peers.GOSSIP_MEMBERS, rng):
                    member = view[other]
                    fleet[target].observe(other, ZONES[0], member.last_seen)
    assert {len(view) for view in fleet.values()} == {199}


class Instance:
    """Tables of an instance in zone a, with a runner in each zone."""

    def __init__(self):
        self.shards = shards('a')
        self.table = runners.RunnerTable(self.shards.owns)
        self.ledger = ledger_module.Ledger(self.shards.owns)
        for number, zone in enumerate(ZONES):
            listing = places_tests.listing(
                f'd-{zone}', port=100 + number, availability_zone=zone
            )
            self.table.put(listing)
        self.places = decode_places.DecodePlaces(
            self.table, self.ledger, ZONES[0], random.Random(1)
        )
        service = model.Service(SERVICE, '/health', 100, places_tests.ENGINE)
        self.places.set_services({SERVICE: service})

    def submit(self, tokens, now):
        ticket = decode_places.Ticket(
            SERVICE, tokens, priorities.route_only(1), now, lambda _: now + 0.5
        )
        self.places.add(ticket, now)
        return ticket


def test_requests_stay_in_the_shard_while_it_has_room():
    """Guards against needless KV cache transfers between zones.

    They cost twice as much as those within a zone.
    """
    instance = Instance()
    instance.places.learn_free_memory([(ids.RunnerId('d-b'), 50_000)], 0.0)
    assert instance.submit(10_000, 0.0).runner.runner_id == 'd-a'


def test_a_full_shard_spills_over_to_reported_free_memory():
    """Guards against a full zone that refuses while others are idle."""
    instance = Instance()
    instance.submit(45_000, 0.0)
    free = [(ids.RunnerId('d-b'), 26_000), (ids.RunnerId('d-c'), 20_000)]
    instance.places.learn_free_memory(free, 0.0)
    assert instance.submit(10_000, 0.1).runner.runner_id == 'd-b'
    # The reserved memory is subtracted from the report.
    assert instance.submit(10_000, 0.1).runner is None


def test_missing_runner_comes_after_those_of_other_shards():
    """Guards against requests to a runner that may have left."""
    instance = Instance()
    instance.table.remove(ids.RunnerId('d-a'), 0.0, missing_until=2.0)
    instance.places.learn_free_memory([(ids.RunnerId('d-b'), 26_000)], 0.0)
    assert instance.places.free_memory(0.1) == []
    assert instance.submit(10_000, 0.1).runner.runner_id == 'd-b'
    assert instance.submit(10_000, 0.1).runner.runner_id == 'd-a'


def test_free_memory_is_sorted_most_first():
    """Guards against reports that leave out the runners with most memory.

    Only some runners of a large shard are reported.
    """
    instance = Instance()
    instance.table.put(
        places_tests.listing(
            'd2', port=200, availability_zone=ZONES[0], slots=64
        )
    )
    first = instance.submit(20_000, 0.0).runner.runner_id
    (most, _), (least, least_free) = instance.places.free_memory(0.0)
    assert {most, least} == {'d-a', 'd2'}
    assert (least, least_free) == (first, 28_500)


def test_outdated_free_memory_is_removed():
    """Guards against a leak of runners that are no longer reported."""
    instance = Instance()
    for number in range(1000):
        free = [(ids.RunnerId(f'gone{number}'), 1)]
        instance.places.learn_free_memory(free, float(number))
    assert instance.places.known_foreign_runners <= 4


def test_outdated_free_memory_is_not_used():
    """Guards against spillover to a runner that has since become full."""
    instance = Instance()
    instance.submit(45_000, 0.0)
    instance.places.learn_free_memory([(ids.RunnerId('d-b'), 50_000)], 0.0)
    assert instance.submit(10_000, 5.0).runner is None


def test_silent_instances_of_other_shards_are_not_missing():
    """Guards against missing peers after a spillover.

    An instance of another shard that used this one's engines once counted as
    missing for 20 s when its reports ended.
    """
    instance = Instance()
    uses = {ids.RunnerId('d-a'): ledger_module.Use(4, 45_000)}
    report = ledger_module.PeerReport(
        ids.InstanceId('far'), 1, 1, uses, 9_000, availability_zone=ZONES[1]
    )
    instance.ledger.apply(report, 0.0)
    assert instance.submit(10_000, 0.1).runner is None
    assert instance.ledger.peer_count(0.1) == 0
    assert instance.ledger.waiting_tokens(0.1) == 0
    assert not instance.ledger.active_processes(0.1)
    assert instance.ledger.missing_count(5.0) == 0


@pytest.mark.parametrize('zone', ZONES)
def test_one_shard_orders_its_own_runners_only(zone):
    """Guards against leaders of two shards that order the same runner."""
    view = shards(zone)
    table = runners.RunnerTable(view.owns)
    for number, other in enumerate(ZONES * 4):
        role = states.Role.PREFILL if number % 2 else states.Role.DECODE
        table.put(
            places_tests.listing(
                f'{role.value}-{other}-{number}',
                role,
                port=1 + number,
                availability_zone=other,
            )
        )
        runner = table.get(ids.RunnerId(f'{role.value}-{other}-{number}'))
        runner.tokens = 45_000 if role is states.Role.DECODE else 0
    balance = roles.RoleBalance(table, ledger_module.Ledger(view.owns))
    engine = places_tests.ENGINE
    # The two decode runners of the shard have 45,000 tokens each in use, for
    # 3 s a stream.
    offered = demand.Demand(90_000 / 3.0, 90_000)
    found = [
        balance.sample(SERVICE, engine, offered, step / 2)
        for step in range(40)
    ]
    switched = {switch.runner for switch in found if switch is not None}
    assert switched
    assert all(f'-{zone}-' in runner for runner in switched)
