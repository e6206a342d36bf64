"""Groups of runners, and the tables against a full rebuild."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primrosereel import core
from primrosereel import text as text_module
from primrosereel.core import _groups as groups
from primrosereel.core import _text_tables as text_tables
from tests.property import test_text


@st.composite
def services(draw):
    """Draw an LLM service whose proportions pass the checker."""
    few = draw(st.integers(1, 40))
    many = draw(st.integers(few, min(15 * few, 200)))
    roles = ['prefill'] * few + ['decode'] * many
    if draw(st.booleans()):
        roles = ['decode'] * few + ['prefill'] * many
    return roles


def service(roles):
    """Return a service with runners of these roles."""
    runners = {
        f'r{i}': {
            'address': f'10.0.{i // 250}.{i % 250}:80',
            'availability_zone': 'a',
            'role': role,
        }
        for i, role in enumerate(roles)
    }
    model = {
        'prefill_tokens_s': 1,
        'decode_step_s': 1,
        'kv_bytes_per_token': 1,
        'context_tokens': 1,
    }
    data = {
        'models': {'m': model},
        'services': {
            's': {
                'kind': 'llm',
                'region': 'r',
                'model': 'm',
                'runners': runners,
            }
        },
        'client_accounts': {},
    }
    return test_text.parsed(data).services['s']


def homes(found):
    """Return the group of each runner."""
    return {r: group for group, rows in found.items() for r in rows}


@settings(max_examples=50)
@given(services())
def test_groups_are_a_bounded_partition(roles):
    """Guards against runners in no group, and groups that cannot serve."""
    facts = service(roles)
    found = groups.split('s', facts)
    members = [runner for rows in found.values() for runner in rows]
    assert sorted(members) == sorted(facts.runners)
    share = {r: roles.count(r) / len(found) for r in ('prefill', 'decode')}
    for rows in found.values():
        assert len(rows) <= 16
        for role, even in share.items():
            count = sum(facts.runners[r].role.value == role for r in rows)
            assert count >= 1
            assert abs(count - even) < 1


@settings(max_examples=50)
@given(services(), st.randoms(use_true_random=False))
def test_one_runner_moves_few_others(roles, rand):
    """Guards against a change that gives most groups other runners."""
    before = groups.split('s', service(roles))
    facts = service(roles)
    gone = rand.choice(sorted(facts.runners))
    rest = {r: row for r, row in facts.runners.items() if r != gone}
    if len({row.role for row in rest.values()}) < 2:
        return
    after = groups.split('s', text_module.Service(facts.kind, 'r', rest))
    if len(before) == len(after):
        old, new = homes(before), homes(after)
        assert sum(old[r] != new[r] for r in rest) <= len(before)


@settings(max_examples=50)
@given(st.lists(test_text.texts(), min_size=1, max_size=4))
def test_tables_match_a_full_rebuild(history):
    """Compares tables updated text by text with those of the last alone."""
    worlds = [
        core.Core(
            core.Identity('i', 1, 'r0', 'a', 'x'), random.Random(0), ()
        ).world
        for _ in range(2)
    ]
    for number, data in enumerate(history):
        text = test_text.parsed(data)
        text_tables.activate_text(worlds[0], text, number + 1)
        assert not worlds[0].owners
        worlds[0].owners['r0'] = {}
    text_tables.activate_text(worlds[1], text, len(history))
    for name in (
        'groups',
        'service_groups',
        'group_regions',
        'runners',
        'client_accounts',
        'client_accounts_by_key',
        'revision',
        'text',
    ):
        assert getattr(worlds[0], name) == getattr(worlds[1], name), name


@settings(max_examples=50)
@given(test_text.texts(), st.sampled_from(['same', 'places', 'leaving']))
def test_rows_of_unchanged_runners_stay(data, change):
    """Guards against a text that forgets which runners leave."""
    world = core.Core(
        core.Identity('i', 1, 'r0', 'a', 'x'), random.Random(0), ()
    ).world
    text_tables.activate_text(world, test_text.parsed(data), 1)
    for row in world.runners.values():
        row.leaving = row.suspect = True
    before = dict(world.runners)
    for service_data in data['services'].values():
        row = next(iter(service_data['runners'].values()))
        if change == 'places':
            row['places'] = row.get('places', 20) + 10
        elif change == 'leaving':
            row['leaving'] = not row.get('leaving', False)
    text_tables.activate_text(world, test_text.parsed(data), 2)
    for name, row in world.runners.items():
        if name.endswith('-0') and change != 'same':
            assert not row.suspect
            assert row.leaving == row.facts.leaving
        else:
            assert row is before[name]
