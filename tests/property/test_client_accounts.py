"""Decoding and look-up of client accounts, and the order of priorities."""

import base64
import itertools
import json
import timeit

from hypothesis import given
from hypothesis import strategies as st

from primrosereel.gateway import _metrics as metrics_module
from primrosereel.platform import _entries as entries
from primrosereel.platform import _steps as steps
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _priorities as priorities
from primrosereel.routing import _tickets as tickets
from primrosereel.standin import _operator_config as operator_config

PRIORITIES = st.sets(st.integers(0, 6), max_size=5)
KEYS = 100_000
# Digests that may be made in one turn of the event loop.
MAX_PER_TURN = 3000
MAX_RATIO = 10


def encoded(tenants):
    config = operator_config.configuration() | {'tenants': tenants}
    return base64.b64encode(json.dumps(config).encode()).decode()


def decode(*tenants):
    """Return the accounts of a configuration by name."""
    table = steps.run_at_once(entries.table_steps(encoded(tenants)))
    return table.client_accounts.by_name


def test_many_keys_are_decoded_in_steps_and_cost_no_more_to_find(monkeypatch):
    """Guards against an event loop that is held, and a search of all keys."""
    digests = 0
    digest = client_accounts.ClientAccounts._digest

    def counted(accounts, key):
        nonlocal digests
        digests += 1
        return digest(accounts, key)

    keys = [f'key-{number:08}' for number in range(KEYS)]
    many = [{'name': 'large', 'apiKeys': keys[KEYS // 10 :]}]
    many += [
        {'name': f'a{n}', 'apiKeys': [keys[n]]} for n in range(KEYS // 10)
    ]
    monkeypatch.setattr(client_accounts.ClientAccounts, '_digest', counted)
    decoding = entries.table_steps(encoded(many))
    per_turn, before, table = [], 0, None
    while table is None:
        try:
            next(decoding)
        except StopIteration as end:
            table = end.value
        per_turn.append(digests - before)
        before = digests
    assert sum(per_turn) == KEYS
    assert max(per_turn) <= MAX_PER_TURN

    few = [{'name': 'a', 'apiKeys': keys[:16]}]
    small = steps.run_at_once(entries.table_steps(encoded(few)))
    monkeypatch.setattr(client_accounts.ClientAccounts, '_digest', digest)
    seconds = {}
    for found in (table, small):
        accounts = found.client_accounts
        fields = [f'Token {key}'.encode() for key in keys[:16]]
        assert all(accounts.authenticate([field]) for field in fields)
        seconds[found] = min(
            timeit.repeat(
                lambda a=accounts, f=fields: [a.authenticate([x]) for x in f],
                number=200,
            )
        )
    assert seconds[table] < MAX_RATIO * seconds[small]


def test_quota_and_priority_are_decoded():
    """Guards against a quota in the wrong unit, and one for no limit."""
    unit = client_accounts.QuotaUnit
    tokens = {'name': 'a', 'unit': 'token_count', 'plainTokens': 200}
    accounts = decode(
        tokens | {'ratePerS': 286306, 'burst': 5, 'priority': 1},
        {'name': 'b', 'ratePerS': 10, 'unit': 'x', 'plainTokens': 7},
        {'name': 'c', 'ratePerS': 0, 'burst': 9},
    )
    assert accounts['a'].priority == 1
    assert accounts['a'].quota == client_accounts.Quota(
        286306, 5, unit.TOKENS, 200
    )
    assert accounts['b'].quota == client_accounts.Quota(
        10, 10, unit.REQUESTS, 1
    )
    assert (accounts['c'].quota, accounts['c'].priority) == (None, None)


@given(PRIORITIES, PRIORITIES, st.data())
def test_position_is_that_of_the_pair_among_all(accounts, routes, data):
    """Guards against numbers that order requests otherwise than their pairs.

    The reference writes all pairs out.
    """
    own = data.draw(st.sets(st.sampled_from(sorted(routes)))) if routes else ()
    order = priorities.PriorityOrder(accounts, routes, own)
    pairs = set(itertools.product(accounts, routes)) | {(r, r) for r in own}
    for position, pair in enumerate(sorted(pairs)):
        assert order.of(*pair) == (*pair, position)
        if pair[0] == pair[1] in own:
            assert order.of(None, pair[1]).position == position


def test_requests_of_two_versions_are_ordered_by_their_pairs():
    """Guards against positions of two versions that are compared.

    Peers, which may run an older program, are told one number.
    """
    old = priorities.PriorityOrder({1, 2, 3}, {0, 5}, ()).of(2, 5)
    new = priorities.PriorityOrder({4}, {1}, ()).of(4, 1)
    assert new.position < old.position
    queued = [
        tickets.Ticket('llm', 9, priority, 0.0, lambda _: 9.0)
        for priority in (new, old)
    ]
    first = min(queued, key=lambda ticket: ticket.rank(1.0))
    assert first.priority is old
    assert tickets.queue_head(first, 1.0).priority == 3


def test_labels_of_accounts_are_bounded():
    """Guards against a metric that grows with the configuration."""
    metrics = metrics_module.Metrics()
    labels = {metrics.account_label(f'a{n}') for n in range(1000)}
    assert len(labels) == metrics_module.MAX_ACCOUNTS + 1
