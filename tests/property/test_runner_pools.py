"""The runners of a service and role, over any order of changed entries."""

from hypothesis import given
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners

ZONES = [ids.AvailabilityZone(name) for name in 'ab']
SERVICES = [ids.ServiceId(name) for name in ('llm', 'read')]
RUNNERS = st.sampled_from([ids.RunnerId(f'r{n}') for n in range(5)])
LISTING = st.builds(
    model.RunnerListing,
    runner=RUNNERS,
    service=st.sampled_from(SERVICES),
    address=st.builds(
        model.Address, st.just('127.0.0.1'), st.integers(1024, 1028)
    ),
    availability_zone=st.sampled_from(ZONES),
    role=st.sampled_from(states.Role),
    slots=st.just(4),
    leaving=st.booleans(),
    born_ms=st.integers(1, 3),
)
# An entry, or a runner whose entry is removed, and the zones that are owned.
STEPS = st.lists(
    st.tuples(st.one_of(LISTING, RUNNERS), st.sets(st.sampled_from(ZONES))),
    max_size=30,
)


@given(STEPS)
def test_pools_equal_a_scan_of_all_runners(steps):
    """Guards against requests to runners that moved, changed or are gone."""
    owned = set()
    table = runners.RunnerTable(lambda zone: zone in owned)
    for now, (change, zones) in enumerate(steps):
        owned.clear()
        owned.update(zones)
        if isinstance(change, model.RunnerListing):
            table.put(change, now)
        else:
            table.remove(change, now, missing_until=now + 2)
            table.expire(now)
        for service in SERVICES:
            for role in states.Role:
                accepting = [
                    runner
                    for runner in table
                    if runner.listing.service == service
                    and runner.listing.role is role
                    and runner.availability.accepts(now)
                ]
                own_shard = list(filter(table.owned, accepting))
                expected = own_shard or accepting
                if role is states.Role.PLAIN:
                    expected = accepting
                assert table.ready(service, role, now) == expected
