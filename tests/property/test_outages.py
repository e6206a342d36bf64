"""Runners that refuse connections, in virtual time."""

import contextlib
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _model as model
from primrosereel.routing import _outages as outages_module

SERVICE = ids.ServiceId('plain')
PLAIN = states.Role.PLAIN
SHORTEST_INTERVAL_S = outages_module.MIN_TRIAL_INTERVAL_S * (
    1 - outages_module.TRIAL_INTERVAL_JITTER
)


def listing(number=1):
    return model.RunnerListing(
        ids.RunnerId(f'r{number}'),
        SERVICE,
        model.Address('127.0.0.1', number),
        ids.AvailabilityZone('a'),
        PLAIN,
        8,
        False,
    )


def make_outages(seed=1):
    return outages_module.Outages(random.Random(seed))


def observe_outage(outages, duration_s, number=1, begins_at=0.0):
    """Let a runner be down for some time."""
    outages.observe_refusal(listing(number), begins_at)
    outages.observe_return(listing(number).address, begins_at + duration_s)


class Runner:
    """A runner that refuses connections until a time, and its callers."""

    def __init__(self, outages, sound_from):
        self._outages = outages
        self._sound_from = sound_from
        self._listing = listing()
        # When each open connect ends, and what it holds until then.
        self._connects = []
        self.connected_at = []
        self.refused_at = []
        self.most_connects = 0

    def ask(self, now, duration_s):
        """Send a request whose connect takes some time, if one is made."""
        self.end_connects(now)
        trial = contextlib.ExitStack()
        if trial.enter_context(
            self._outages.trial(self._listing.address, now)
        ):
            self._connects.append((now + duration_s, trial))
            self.connected_at.append(now)
            self.most_connects = max(self.most_connects, len(self._connects))

    def end_connects(self, now):
        for entry in sorted(self._connects, key=lambda entry: entry[0]):
            ended_at, trial = entry
            if ended_at <= now:
                self._connects.remove(entry)
                with trial:
                    self._observe(ended_at)

    def _observe(self, now):
        if now < self._sound_from:
            self.refused_at.append(now)
            self._outages.observe_refusal(self._listing, now)
        else:
            self._outages.observe_return(self._listing.address, now)


@given(
    sound_from=st.floats(0.2, 20.0),
    gaps=st.lists(st.floats(0.001, 0.3), min_size=20, max_size=200),
    duration_s=st.floats(0.0005, 0.12),
    seed=st.integers(0, 1000),
)
def test_one_connect_tries_a_runner_until_it_is_back(
    sound_from, gaps, duration_s, seed
):
    """Guards against connects of all requests, and an unused sound runner."""
    outages = make_outages(seed)
    runner = Runner(outages, sound_from)
    now = duration_s
    runner.ask(0.0, duration_s)
    runner.end_connects(now)
    begun_at, most = now, runner.most_connects
    for gap in gaps:
        now += gap
        runner.ask(now, duration_s)
        if len(outages):
            assert runner.most_connects == most == 1
    runner.end_connects(now + duration_s)
    lasted = max(0.0, min(now, sound_from) - begun_at)
    bound = 3 + lasted / (
        outages_module.MAX_TRIAL_INTERVAL_S
        * (1 - outages_module.TRIAL_INTERVAL_JITTER)
    )
    assert len(runner.refused_at) <= 1 + bound
    latest = sound_from + outages_module.MAX_TRIAL_INTERVAL_S
    if now > latest + max(gaps) + 2 * duration_s:
        assert not len(outages)
        assert any(
            sound_from <= at <= latest + max(gaps) + duration_s
            for at in runner.connected_at
        )


def test_trial_that_is_given_up_leaves_room_for_another():
    """Guards against a runner that no request tries any more."""
    outages = make_outages()
    outages.observe_refusal(listing(), 0.0)
    address = listing().address
    with pytest.raises(TimeoutError), outages.trial(address, 1.0) as allowed:
        assert allowed
        assert not outages.may_connect(address, 1.0)
        raise TimeoutError
    assert outages.may_connect(address, 1.0)


def test_unanswered_trial_is_followed_by_a_longer_interval():
    """Guards against a dark runner that each request waits for in turn."""
    outages = make_outages()
    address = listing().address
    outages.observe_refusal(listing(), 0.0)
    with outages.trial(address, 1.0):
        outages.observe_timeout(address, 1.12)
    assert not outages.may_connect(address, 1.12 + SHORTEST_INTERVAL_S)
    assert outages.may_connect(
        address, 1.12 + outages_module.MAX_TRIAL_INTERVAL_S
    )


def test_connects_begun_before_the_first_refusal_count_once():
    """Guards against the longest interval after many requests at once."""
    outages = make_outages()
    assert outages.observe_refusal(listing(), 0.0)
    for _ in range(20):
        assert not outages.observe_refusal(listing(), 0.001)
    assert outages.may_connect(
        listing().address, outages_module.MIN_TRIAL_INTERVAL_S
    )


def test_entry_lets_a_runner_be_tried_at_once():
    """Guards against a runner that wrote its entry and is not tried."""
    outages = make_outages()
    outages.observe_refusal(listing(), 0.0)
    assert not outages.may_connect(listing().address, 0.01)
    outages.observe_entry(listing(), 0.01)
    assert outages.is_due(listing().address, 0.01)


@given(
    durations=st.lists(st.floats(0.0, 100.0), max_size=8),
    lasted=st.floats(0.0, 50.0),
    seed=st.integers(0, 1000),
)
def test_callers_return_when_the_outage_is_expected_to_end(
    durations, lasted, seed
):
    """Guards against a Retry-After that is shorter than the outage."""
    outages = make_outages(seed)
    for duration in durations:
        observe_outage(outages, duration)
    outages.observe_refusal(listing(), 0.0)
    expected = outages.expected_s(SERVICE, PLAIN)
    last = durations[-outages_module.REMEMBERED_OUTAGES :]
    assert expected <= outages_module.MAX_OUTAGE_S
    assert expected >= min(max(last, default=0.0), outages_module.MAX_OUTAGE_S)
    retry_after = outages.retry_after_s(SERVICE, PLAIN, lasted)
    assert retry_after >= max(0.0, expected - lasted)
    spread = max(0.25, outages_module.RETURN_SPREAD_SHARE * expected)
    assert retry_after <= max(3.0, expected - lasted) + spread


def test_first_runner_that_is_back_ends_the_outage_of_its_service():
    """Guards against callers that wait for the runner that crashed last."""
    outages = make_outages()
    observe_outage(outages, 4.0)
    outages.observe_refusal(listing(1), 10.0)
    outages.observe_refusal(listing(2), 13.0)
    retry_after = outages.retry_after_s(SERVICE, PLAIN, 13.0)
    assert 1.0 <= retry_after <= 3.0


def test_refused_callers_return_spread_over_time():
    """Guards against a runner that all callers reach when it is back."""
    outages = make_outages()
    observe_outage(outages, 4.0)
    outages.observe_refusal(listing(), 10.0)
    returns = [
        10.0
        + step / 10
        + outages.retry_after_s(SERVICE, PLAIN, 10 + step / 10)
        for step in range(40)
        for _ in range(5)
    ]
    in_first_quarter = sum(14.0 <= when < 14.5 for when in returns)
    assert min(returns) >= 14.0
    assert in_first_quarter < len(returns) / 2.5


def test_outage_of_a_runner_that_is_gone_is_forgotten():
    """Guards against memory that grows with each runner that is lost."""
    outages = make_outages()
    for number in range(1, 200):
        outages.observe_refusal(listing(number), float(number))
    assert len(outages) <= outages_module.FORGET_AFTER_S + 1


def test_service_without_any_entry_is_expected_to_last_as_long_again():
    """Guards against a short Retry-After as the runners' entries are gone."""
    outages = make_outages()
    for lasted, shortest in [(0.0, 0.5), (1.5, 1.5), (4.0, 3.0)]:
        retry_after = outages.retry_after_s(SERVICE, PLAIN, 10.0 + lasted)
        assert shortest <= retry_after <= shortest + 0.25
    outages.observe_run(listing(), 15.0)
    assert outages.retry_after_s(SERVICE, PLAIN, 15.5) <= 0.75
