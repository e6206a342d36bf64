"""Places at decode runners: an account that takes those of the others."""

import random

import pytest

from tests.property import test_routing_places as places_tests

TOKENS = 10_000
WAIT_S = 1.0
HOLD_S = 1.0
ACCOUNTS = {'heavy': (18.0, 1.0), 'light': (9.0, 0.0)}


def served_shares(seconds=40):
    """Return the share of each account's requests that got a place.

    Callers leave after one second; eight places are free each second.
    """
    choice = random.Random(3)
    instance = places_tests.Instance('i', decode=2)
    asked = dict.fromkeys(ACCOUNTS, 0)
    served = dict.fromkeys(ACCOUNTS, 0)
    waiting, held = [], []
    for step in range(100 * seconds):
        now = step / 100
        for ticket, until in list(held):
            if now >= until:
                held.remove((ticket, until))
                instance.places.release(ticket)
        for name, (per_s, deferral_s) in ACCOUNTS.items():
            if choice.random() < per_s / 100:
                asked[name] += 1
                ticket = instance.submit(
                    TOKENS, now, on_time_s=WAIT_S, deferral_s=deferral_s
                )
                waiting.append((name, ticket))
        instance.places.admit(now)
        for name, ticket in list(waiting):
            if ticket.runner is not None:
                served[name] += 1
                held.append((ticket, now + HOLD_S))
            elif now - ticket.arrived_at > WAIT_S:
                instance.places.withdraw(ticket)
            else:
                continue
            waiting.remove((name, ticket))
    total = sum(served.values()) / sum(asked.values())
    return total, {name: served[name] / asked[name] for name in ACCOUNTS}


@pytest.mark.parametrize('light_per_s', [3.0, 9.0])
def test_no_account_starves(monkeypatch, light_per_s):
    """Guards against a heavy account that costs others, or gets nothing."""
    monkeypatch.setitem(ACCOUNTS, 'light', (light_per_s, 0.0))
    total, shares = served_shares()
    assert total < 0.6
    assert shares['light'] > 1.5 * total
    assert shares['heavy'] >= total / 4
