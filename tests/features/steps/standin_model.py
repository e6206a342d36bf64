"""Steps that run the engine model in simulated time."""

import json
import math
import random

from behave import given
from behave import then
from behave import when

from primrosereel import _states as states
from primrosereel import standin


def _create_model(context, **options):
    config = standin.EngineConfig(**options)
    context.model = standin.EngineModel(config, random.Random(1))


@given('a standin model of a prefill engine at {rate:d} tokens a second')
def prefill_model(context, rate):
    """Make a model at time 0."""
    _create_model(
        context, role=states.Role.PREFILL, prefill_tokens_s=float(rate)
    )


@given('a standin model that checks fencing: {checks}')
def fencing_model(context, checks):
    """Make a model with or without checks of fencing tokens."""
    _create_model(context, checks_fencing=checks == 'yes')


@when('the standin model has faults {faults}')
def model_faults(context, faults):
    """Switch faults on."""
    context.model.set_faults(json.loads(faults), 0.0)


@when('the standin model gets prefills at time {now:g}')
def add_prefills(context, now):
    """Queue the prefills of the table."""
    for row in context.table:
        blocks = tuple(int(b) for b in row.get('blocks', '').split())
        prompt = standin.Prompt(0, int(row['tokens']), blocks)
        outcome = context.model.prefill(
            row['id'], prompt, int(row['priority']), now
        )
        assert outcome is standin.Outcome.OK


@then('the standin model finishes prefills {expected}')
def check_prefills(context, expected):
    """Process events until every prefill has finished."""
    remaining = expected.split(', ')
    while remaining:
        now = context.model.next_event()
        for event in context.model.advance(now):
            name, _, time = remaining.pop(0).partition(' at ')
            assert event.request_id == name, event
            assert math.isclose(event.time, float(time)), event


@then(
    'at time {now:g} the standin model has evicted {count:d} results with '
    '{tokens:d} tokens'
)
def check_waste(context, now, count, tokens):
    """Compare the count and tokens of results evicted unused."""
    context.model.advance(now)
    counters = context.model.counters
    actual = (counters.evicted_unused, counters.wasted_tokens)
    assert actual == (count, tokens), actual


@then(
    'at time {now:g} the standin cache events from {n:d} are stored {blocks}'
)
def check_cache_events(context, now, n, blocks):
    """Compare the blocks that are published at ``now``."""
    expected = () if blocks == 'nothing' else tuple(map(int, blocks.split()))
    events = context.model.cache_events(n, now)
    assert events.stored == expected, events
    assert events.first == n and events.next == n + len(expected)


@then('at time {now:g} the standin load report shows {busy:d} busy')
def check_load(context, now, busy):
    """Compare the report, which is a quarter to half a second old."""
    load = context.model.load(now)
    assert load.busy == busy, load
    assert 0.25 <= load.age_s < 0.5 + 1e-9


@then('standin orders with tokens {tokens} are {answers}')
def check_orders(context, tokens, answers):
    """Issue one order for each token."""
    actual = [
        context.model.order(int(token), 'load_model', 'm', 0.0).value
        for token in tokens.split(', ')
    ]
    assert actual == answers.split(', '), actual
