"""Quotas: more that runs than an account may, or less than it asks for."""

import random
import sys

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _quotas as quotas
from tests.property import quota_fleet

ACCOUNT = quota_fleet.ACCOUNT
WINDOW_S = quota_fleet.BOUNDS.window_s
BURST = ((0.0, 0.4), (5.0, 3.0))
Case = quota_fleet.Case
CASES = (
    Case('even', ((0.0, 0.9),), seconds=14),
    Case('one caller, burst', BURST, callers=1, seconds=16),
    Case('burst', BURST, seconds=16),
    Case('cut 0.35, burst', BURST, cut=(0.35, 5, 13), seconds=16),
    Case('cut 0.17, burst', BURST, cut=(0.17, 5, 13), seconds=16),
    Case('cut 0.35, few', callers=3, cut=(0.35, 5, 13), seconds=16),
    Case('frozen', ((0.0, 0.4), (3.0, 1.5)), frozen=(4, 12), seconds=16),
    Case('half killed', ((0.0, 3.0),), killed=(0.5, 6, 8), seconds=16),
    Case('lowered', ((0.0, 1.5),), lowered=(4, 0.4), seconds=21),
)


def tokens(rate, burst=None):
    """Return a quota with a burst of two seconds by default."""
    burst = 2 * rate if burst is None else burst
    return client_accounts.Quota(rate, burst, client_accounts.QuotaUnit.TOKENS)


def single(quota=None, instances=1, incarnation=10_000, now=0.0):
    """Return the quotas of one instance with an account."""
    bounds = quotas.QuotaBounds(instances=instances)
    made = quotas.Quotas(bounds, incarnation, random.Random(1))
    configure(made, quota or tokens(100.0), now)
    return made


def configure(instance, quota, now):
    account = client_accounts.ClientAccount(ACCOUNT, None, quota)
    instance.set_accounts([account], now)


def level(instance, now):
    return instance.states(now)[0].level


def report(spent, rate=0.0):
    return [quotas.Report(ACCOUNT, spent, rate)]


def check_bound(fleet):
    """Check the most that ran in any window."""
    lowered = fleet.case.lowered
    since = lowered[0] + WINDOW_S if lowered else 0.0
    most = quota_fleet.most_in_window(fleet.spent, WINDOW_S, since)
    quota = fleet.quota.rate * WINDOW_S + fleet.quota.burst
    overage = 1 + quota_fleet.BOUNDS.overage
    assert most <= quota * overage + quota_fleet.SLACK


@pytest.mark.parametrize('size', [7, 79, 91])
@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_bound(size, case):
    """Guards against overspending in fleets of the sizes in use."""
    fleet = quota_fleet.Fleet(
        quota_fleet.SpendFirst, size, case, tokens(100_000)
    )
    check_bound(fleet.run())


@pytest.mark.parametrize('case', CASES[2:4], ids=lambda case: case.name)
def test_bound_in_the_largest_fleet(case):
    """Guards against overspending that grows with the fleet."""
    fleet = quota_fleet.Fleet(
        quota_fleet.SpendFirst, 195, case, tokens(100_000)
    )
    check_bound(fleet.run())


@settings(max_examples=40, deadline=None)
@given(
    seed=st.integers(0, 1000),
    rate=st.floats(1_000, 400_000),
    burst_s=st.floats(0.0, 4.0),
    load=st.floats(0.1, 4.0),
    cut=st.tuples(st.floats(0.1, 0.5), st.floats(1, 8)),
    callers=st.integers(1, 12),
)
# One of two callers is cut off as the use of their account rises.
@example(
    seed=0, rate=150_000.0, burst_s=1.0, load=4.0, cut=(0.125, 1.0), callers=2
)
def test_bound_of_any_load(seed, rate, burst_s, load, cut, callers):
    """Guards against overspending while instances are cut off."""
    share, start = cut
    case = Case(
        'any',
        ((0.0, 0.3), (start, load)),
        callers=callers,
        cut=(share, start, start + 8),
        seconds=18,
    )
    quota = tokens(rate, burst_s * rate)
    fleet = quota_fleet.Fleet(
        quota_fleet.SpendFirst, 12, case, quota, seed=seed
    )
    check_bound(fleet.run())


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 1000),
    rate=st.floats(20_000, 400_000),
    callers=st.integers(1, 4),
    size=st.sampled_from([7, 30]),
)
def test_floor(seed, rate, callers, size):
    """Guards against refusals below the quota, as from one shared bucket."""
    case = Case('floor', callers=callers, seconds=13)
    quota = tokens(rate)
    fleet = quota_fleet.Fleet(
        quota_fleet.SpendFirst, size, case, quota, seed=seed
    ).run()
    # The fleet starts with the level of one instance, too.
    shared = single(quota, instances=size)
    allowed = sum(
        units
        for at, units in fleet.asked
        if isinstance(shared.try_spend(ACCOUNT, units, at), quotas.Grant)
    )
    assert quota_fleet.sum_after(fleet.spent, 0.0) >= 0.95 * allowed


def test_refund_and_unknown_accounts():
    """Guards against units that are lost or returned twice."""
    instance = single()
    grant = instance.try_spend(ACCOUNT, 200, 1.0)
    assert level(instance, 1.0) == 0
    grant.refund(1.0)
    grant.refund(1.0)
    assert level(instance, 1.0) == 200
    configure(instance, None, 1.0)
    assert isinstance(instance.try_spend(ACCOUNT, 1e9, 1.0), quotas.Grant)


def test_retry_after_is_spread():
    """Guards against callers that all return when one may be served."""
    instance = single()
    instance.try_spend(ACCOUNT, 200, 0.0)
    waits = [instance.try_spend(ACCOUNT, 50, 0.0) for _ in range(5)]
    assert 0.44 <= waits[0].retry_after_s <= 0.49
    assert waits[4].retry_after_s > waits[0].retry_after_s + 1.5


def test_reports_replace_lost_ones_and_what_was_assumed():
    """Guards against a lost or late report that changes the sum."""
    instance = single(instances=1)
    instance.set_members(['peer'], 0.0)
    instance.apply('peer', 10_000, 1, report(150, rate=50), 0.0)
    instance.apply('peer', 10_000, 4, report(250, rate=0), 1.0)
    instance.apply('peer', 10_000, 3, report(200, rate=100), 1.0)
    assert level(instance, 1.0) == pytest.approx(50 + 112.5 - 100)


def test_restarted_peer_keeps_its_debt():
    """Guards against a restart that returns what was spent."""
    instance = single()
    instance.set_members(['peer'], 0.0)
    instance.apply('peer', 10_000, 9, report(150), 0.0)
    instance.apply('peer', 11_000, 1, report(40), 0.0)
    assert level(instance, 0.0) == pytest.approx(10)


def test_older_peer_costs_nothing_at_first():
    """Guards against a new process that counts what was spent long ago."""
    instance = single(incarnation=100_000)
    instance.set_members(['peer'], 0.0)
    instance.apply('peer', 10_000, 9, report(50_000), 0.0)
    assert level(instance, 0.0) == 200
    instance.apply('peer', 10_000, 10, report(50_030), 0.0)
    assert level(instance, 0.0) == 170


def test_lowered_quota_applies_at_once():
    """Guards against a level above the new burst."""
    instance = single()
    configure(instance, tokens(10.0), 0.0)
    assert level(instance, 0.0) == 20


def test_suspended_instance_waits_for_its_peers():
    """Guards against spending what peers spent during a suspension."""
    instance = single()
    instance.set_members(['peer'], 0.0)
    instance.apply('peer', 10_000, 1, report(0), 0.0)
    denied = instance.try_spend(ACCOUNT, 10, 8.0)
    assert denied.retry_after_s >= 1.0
    instance.apply('peer', 10_000, 2, report(900), 8.1)
    assert isinstance(instance.try_spend(ACCOUNT, 10, 8.1), quotas.Denied)


def test_spending_does_not_cost_more_in_a_large_fleet():
    """Guards against a decision that looks at every peer."""

    def calls(peers):
        instance = single()
        instance.set_members(map(str, range(peers)), 0.0)
        for peer in range(peers):
            instance.apply(str(peer), 10_000, 1, report(1, 0.1), 0.5)
        count = 0

        def count_call(*_):
            nonlocal count
            count += 1

        sys.setprofile(count_call)
        for _ in range(10):
            instance.try_spend(ACCOUNT, 1, 1.0)
        sys.setprofile(None)
        return count

    assert calls(200) <= calls(2)
