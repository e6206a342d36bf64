"""Admission to decode runners, and the order of waiting requests."""

import random

import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _model as model
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _runners as runners

SERVICE = ids.ServiceId('llm')
ZONE = ids.AvailabilityZone('a')
ENGINE = model.Engine(64, 50_000, 35_000, 740_000, 0.5)


def listing(name, role=states.Role.DECODE, port=1, **changes):
    facts = {
        'runner': ids.RunnerId(name),
        'service': SERVICE,
        'address': model.Address('127.0.0.1', port),
        'availability_zone': ZONE,
        'role': role,
        'slots': 64,
        'leaving': False,
    }
    return model.RunnerListing(**(facts | changes))


class Instance:
    """The routing tables of one instance."""

    def __init__(self, name, decode=2):
        self.name = ids.InstanceId(name)
        self.table = runners.RunnerTable()
        for number in range(decode):
            self.table.put(listing(f'd{number}', port=100 + number))
        self.ledger = ledger_module.Ledger()
        self.places = decode_places.DecodePlaces(
            self.table, self.ledger, ZONE, random.Random(1)
        )
        service = model.Service(SERVICE, '/health', 100, ENGINE)
        self.places.set_services({SERVICE: service})
        self.sequence = 0

    def report(self, now, leaving=False):
        self.sequence += 1
        uses = {
            runner.runner_id: ledger_module.Use(
                runner.in_flight, runner.tokens
            )
            for runner in self.table
        }
        return ledger_module.PeerReport(
            self.name,
            1,
            self.sequence,
            uses,
            self.places.waiting_tokens,
            self.places.queue_heads(now),
            leaving,
        )

    def submit(self, tokens, now, on_time_s=0.5, priority=1, deferral_s=0.0):
        ticket = decode_places.Ticket(
            SERVICE,
            tokens,
            priorities.route_only(priority),
            now,
            lambda _: now + on_time_s,
            deferral_s=deferral_s,
        )
        self.places.add(ticket, now)
        return ticket


def exchange_reports(instances, now):
    """Deliver every instance's report to all others."""
    for sender in instances:
        for receiver in instances:
            if receiver is not sender:
                receiver.ledger.apply(sender.report(now), now)


def test_places_do_not_exceed_the_memory():
    """Guards against prefills for decode runners without free memory."""
    instance = Instance('i1')
    tickets = [instance.submit(10_000, 0.0) for _ in range(12)]
    placed = [ticket for ticket in tickets if ticket.runner is not None]
    assert len(placed) == 8
    assert all(runner.tokens <= 50_000 for runner in instance.table)


def test_places_of_peers_count():
    """Guards against instances that reserve the same memory twice."""
    first, second = Instance('i1'), Instance('i2')
    for _ in range(8):
        assert first.submit(10_000, 0.0).runner is not None
    exchange_reports([first, second], 0.0)
    assert second.submit(10_000, 0.01).runner is None


def test_runner_without_requests_that_peers_avoid_gets_none():
    """Guards against prompts for a runner that is changing its role.

    Peers report it as in use beyond its memory, without requests.
    """
    instance = Instance('i1')
    uses = {ids.RunnerId('d0'): ledger_module.Use(0, 100_000_000)}
    report = ledger_module.PeerReport(ids.InstanceId('i2'), 1, 1, uses)
    instance.ledger.apply(report, 0.0)
    tickets = [instance.submit(10_000, 0.0) for _ in range(8)]
    runners_used = {t.runner.runner_id for t in tickets if t.runner}
    assert runners_used == {'d1'}
    assert sum(t.runner is None for t in tickets) == 4


def test_request_larger_than_the_memory_is_tried_at_an_idle_runner():
    """Guards against a large request that waits until its deadline."""
    assert Instance('i1').submit(60_000, 0.0).runner is not None


def test_a_decode_runner_with_local_prefill_is_avoided():
    """Guards against prompts that queue up at a single decode runner.

    This happens if there are no prefill runners and the cost of a decode
    runner leaves out the prompts that it prefills.
    """
    instance = Instance('i1')
    uses = {ids.RunnerId('d0'): ledger_module.Use(1, 5_000, 20_000)}
    uses[ids.RunnerId('d1')] = ledger_module.Use(3, 15_000)
    report = ledger_module.PeerReport(ids.InstanceId('i2'), 1, 1, uses)
    instance.ledger.apply(report, 0.0)
    assert instance.submit(5_000, 0.0).runner.runner_id == 'd1'


def test_only_the_first_instance_takes_a_freed_place():
    """Guards against several instances that use the same freed place."""
    instances = [Instance(f'i{number}', decode=1) for number in range(4)]
    holder = instances[0].submit(45_000, 0.0)
    exchange_reports(instances, 0.0)
    waiting = [
        instance.submit(20_000, 0.01 * (number + 1))
        for number, instance in enumerate(instances)
    ]
    exchange_reports(instances, 0.1)
    instances[0].places.release(holder)
    exchange_reports(instances, 0.11)
    for instance in instances:
        instance.places.admit(0.12)
    assert [ticket.runner is not None for ticket in waiting] == [
        True,
        False,
        False,
        False,
    ]


def test_an_expired_queue_head_blocks_no_peer():
    """Guards against a stopped instance that blocks its peers' queues."""
    dead, alive = Instance('i1', decode=1), Instance('i2', decode=1)
    holder = alive.submit(45_000, 0.0)
    dead.ledger.apply(alive.report(0.0), 0.0)
    dead.submit(20_000, 0.0)
    ticket = alive.submit(20_000, 0.01)
    exchange_reports([dead, alive], 0.02)
    alive.places.release(holder)
    alive.places.admit(0.03)
    assert ticket.runner is None
    alive.places.admit(1.0)
    assert ticket.runner is not None


def test_requests_that_can_meet_their_target_go_first():
    """Guards against service by age alone.

    Under overload it makes every answer late.
    """
    instance = Instance('i1', decode=1)
    holder = instance.submit(45_000, 0.0)
    late = instance.submit(20_000, 0.0, on_time_s=0.1)
    fresh = instance.submit(40_000, 0.3)
    instance.places.release(holder)
    instance.places.admit(0.4)
    assert fresh.runner is not None
    assert late.runner is None


def test_urgent_requests_go_first():
    """Guards against low-priority requests that get a place first."""
    instance = Instance('i1', decode=1)
    holder = instance.submit(45_000, 0.0)
    patient = instance.submit(40_000, 0.1, priority=3)
    urgent = instance.submit(40_000, 0.2, priority=0)
    instance.places.release(holder)
    instance.places.admit(0.3)
    assert (patient.runner, urgent.runner is not None) == (None, True)


def test_large_requests_are_not_overtaken_by_small_ones():
    """Guards against starvation of large requests by smaller ones."""
    instance = Instance('i1', decode=1)
    instance.submit(30_000, 0.0)
    large = instance.submit(40_000, 0.1)
    small = instance.submit(1_000, 0.2)
    assert (large.runner, small.runner) == (None, None)


def test_a_request_larger_than_memory_gets_an_empty_runner():
    """Guards against an endless wait of a prompt that never fits."""
    assert Instance('i1').submit(90_000, 0.0).runner is not None


def test_expected_wait_grows_with_the_queue():
    """Guards against a wait estimate that ignores the queue.

    The estimate decides whether a request is refused at once.
    """
    instance = Instance('i1', decode=1)
    instance.submit(45_000, 0.0)
    waits = []
    for number in range(3):
        ticket = instance.submit(20_000, 0.01 * number)
        waits.append(instance.places.expected_wait_s(ticket, 0.05))
    assert waits == sorted(waits)
    assert waits[0] > 0.5
    assert waits[2] > 2.0


def test_a_late_request_in_overload_is_not_expected_to_be_served():
    """Guards against late requests that are refused only after 2.5 s."""
    instance = Instance('i1', decode=1)
    instance.submit(45_000, 0.0)
    late = instance.submit(20_000, 0.0, on_time_s=0.1)
    for number in range(20):
        instance.submit(10_000, 0.1 * number)
    assert instance.places.expected_wait_s(late, 2.0) == float('inf')


def test_a_partitioned_instance_keeps_to_its_share():
    """Guards against a cut-off instance that uses all of the memory."""
    cut_off = Instance('i0')
    peers = [Instance(f'i{number}') for number in range(1, 7)]
    for peer in peers:
        cut_off.ledger.apply(peer.report(0.0), 0.0)
    tickets = [cut_off.submit(5_000, 5.0) for _ in range(12)]
    assert sum(ticket.runner is not None for ticket in tickets) <= 4


def test_an_instance_in_orderly_shutdown_is_not_missing():
    """Guards against memory that stays reserved for ended instances."""
    instance, leaver = Instance('i0'), Instance('i1')
    instance.ledger.apply(leaver.report(0.0, leaving=True), 0.0)
    assert instance.ledger.missing_count(5.0) == 0
    instance.ledger.apply(Instance('i2').report(5.0), 5.0)
    assert instance.ledger.missing_count(9.0) == 1


def test_no_request_is_admitted_while_suspended():
    """Guards against instances that admit before peers have reported.

    After a restart of all instances each would use all of the memory.
    """
    instance = Instance('i1')
    instance.places.suspend_until(0.3)
    ticket = instance.submit(1_000, 0.0)
    assert ticket.runner is None
    instance.places.admit(0.31)
    assert ticket.runner is not None


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [('observe_failure', 'd1'), ('observe_rejection', 'd1')],
)
def test_a_runner_that_failed_is_avoided(fault, expected):
    """Guards against requests that are sent to a failed runner."""
    instance = Instance('i1')
    getattr(instance.table.get(ids.RunnerId('d0')), fault)(0.0)
    assert instance.submit(1_000, 0.1).runner.runner_id == expected


def test_rejections_double_the_wait():
    """Guards against many rejected requests during a role change.

    Without the increasing wait a runner rejected 44 requests.
    """
    runner = runners.Runner(listing('d0'))
    pauses = []
    for _ in range(6):
        runner.observe_rejection(10.0)
        pauses.append(runner.full_until - 10.0)
    assert pauses == [0.25, 0.5, 1.0, 2.0, 3.0, 3.0]
    runner.observe_success(0.1, 20.0)
    runner.observe_rejection(20.0)
    assert runner.full_until == 20.25


def test_reports_in_the_wrong_order_are_ignored():
    """Guards against a delayed datagram that restores outdated use."""
    instance, peer = Instance('i0'), Instance('i1')
    old = peer.report(0.0)
    peer.submit(9_000, 0.0)
    new = peer.report(0.0)
    assert instance.ledger.apply(new, 0.1)
    assert not instance.ledger.apply(old, 0.2)
    assert (
        sum(
            instance.ledger.peer_use(runner.runner_id, 0.3).tokens
            for runner in instance.table
        )
        == 9_000
    )


def test_the_latest_start_is_evaluated_at_admission():
    """Guards against admission of requests that have become late.

    Prompts that are prefilled meanwhile delay the start of a waiting request.
    """
    instance = Instance('i1', decode=1)
    holder = instance.submit(45_000, 0.0)
    overtaken = instance.submit(20_000, 0.0)
    fresh = instance.submit(40_000, 0.3)
    overtaken.latest_start = lambda now: 0.35
    instance.places.release(holder)
    instance.places.admit(0.4)
    assert (overtaken.runner, fresh.runner is not None) == (None, True)


def test_missing_runner_gets_requests_only_if_no_other_has_room():
    """Guards against prompts for a runner that may have left."""
    instance = Instance('i1')
    for number in range(2):
        instance.table.put(
            listing(f'p{number}', states.Role.PREFILL, 200 + number)
        )
    plan = prefill_plan.PrefillPlan(instance.table, instance.ledger, ZONE)
    for name in ('d0', 'p0'):
        instance.table.remove(ids.RunnerId(name), 0.0, missing_until=2.0)
    decode = instance.table.get(ids.RunnerId('d1'))
    instance.table.get(ids.RunnerId('p1')).tokens = 2_000
    assert plan.choose(decode, 500, 0.1).runner_id == 'p1'
    placed = [instance.submit(20_000, 0.1).runner for _ in range(5)]
    assert [r and r.runner_id for r in placed] == [
        *['d1'] * 2,
        'd0',
        'd0',
        None,
    ]


def test_description_names_runners_that_take_nothing():
    """Guards against a refusal for lack of room that hides why."""
    instance = Instance('i1')
    runner = instance.table.get(ids.RunnerId('d0'))
    availability_table = instance.table.availability
    availability_table.observe_back_off(
        runner.runner_id, 0, 2.0, availability.Source.REFUSAL, 1.0
    )
    told = instance.places.describe(SERVICE, 1.5)
    assert 'd0 backing_off' in told
    assert 'd1 0 requests' in told
    assert 'd0 backing_off' not in instance.places.describe(SERVICE, 3.0)
