"""Groups of runners, and incremental tables against a full rebuild."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primrosereel import core
from primrosereel import text as text_module
from primrosereel.core import _group_assignment as group_assignment
from primrosereel.core import _text_tables as text_tables
from tests.property import test_text


@st.composite
def services(draw):
    """Draw the runner roles of an LLM service that passes the checker."""
    few = draw(st.integers(1, 40))
    many = draw(st.integers(few, min(15 * few, 200)))
    roles = ['prefill'] * few + ['decode'] * many
    if draw(st.booleans()):
        roles = ['decode'] * few + ['prefill'] * many
    return roles


def service(roles):
    """Return a service with one runner for each role."""
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


def group_of_each(groups):
    """Return the group of each runner."""
    return {r: group for group, runners in groups.items() for r in runners}


@settings(max_examples=50)
@given(services())
def test_groups_are_a_bounded_partition(roles):
    """Guards against runners in no group, and groups that cannot serve."""
    facts = service(roles)
    groups = group_assignment.split_into_groups('s', facts)
    members = [
        runner for group_runners in groups.values() for runner in group_runners
    ]
    assert sorted(members) == sorted(facts.runners)
    share = {r: roles.count(r) / len(groups) for r in ('prefill', 'decode')}
    for group_runners in groups.values():
        assert len(group_runners) <= 16
        for role, even in share.items():
            count = sum(
                facts.runners[r].role.value == role for r in group_runners
            )
            assert count >= 1
            assert abs(count - even) < 1


@settings(max_examples=50)
@given(services(), st.randoms(use_true_random=False))
def test_one_runner_moves_few_others(roles, rand):
    """Guards against a removal that moves runners in most groups."""
    before = group_assignment.split_into_groups('s', service(roles))
    facts = service(roles)
    gone = rand.choice(sorted(facts.runners))
    rest = {r: row for r, row in facts.runners.items() if r != gone}
    if len({row.role for row in rest.values()}) < 2:
        return
    after = group_assignment.split_into_groups(
        's', text_module.Service(facts.kind, 'r', rest)
    )
    if len(before) == len(after):
        old, new = group_of_each(before), group_of_each(after)
        assert sum(old[r] != new[r] for r in rest) <= len(before)


@settings(max_examples=50)
@given(st.lists(test_text.texts(), min_size=1, max_size=4))
def test_tables_match_a_full_rebuild(history):
    """Guards against tables that depend on the earlier texts."""
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
def test_rows_of_unchanged_runners_are_kept(data, change):
    """Guards against a new text that resets which runners are leaving."""
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
