"""Steps that drive a pool system."""

import json

from behave import given
from behave import step
from behave import then
from behave import when

from primrosereel import _states as states
from primrosereel.core import _messages as messages
from tests import pool_harness

STAGES = {s.value: s for s in states.Stage}


def _options(text):
    """Read options such as ``priority=1 wait_s=0.5 sender="e2"``."""
    pairs = (pair.split('=') for pair in text.split())
    return {key: json.loads(value) for key, value in pairs}


def _names(text):
    return set() if text == 'nothing' else set(text.split(', '))


@given('a pool of {prefill:d} prefill and {decode:d} decode runners')
def given_pool(context, prefill, decode):
    """Start a pool on the only instance of its region."""
    context.pool = pool_harness.PoolHarness(prefill=prefill, decode=decode)
    context.grants = {}


@given('a pool with peers {peers} and {options}')
def given_pool_with_peers(context, peers, options):
    """Start a pool on one of several instances."""
    shape = _options(options)
    context.pool = pool_harness.PoolHarness(peers=peers.split(', '), **shape)
    context.grants = {}


@given('a pool with {options}')
def given_pool_shape(context, options):
    """Start a pool with options for its group."""
    context.pool = pool_harness.PoolHarness(**_options(options))
    context.grants = {}


@step('the pool decodes {names} with {options}')
def decode(context, names, options):
    """Bring requests to their first token."""
    for name in names.split(', '):
        grant = context.pool.start_stream(name, **_options(options))
        context.grants[name] = grant


@when('the pool is asked for {name} with {options}')
def ask(context, name, options):
    """Request places."""
    context.pool.request_grant(name, **_options(options))
    context.grants.update(context.pool.granted())


@when('the pool is asked for {number:d} requests')
def ask_many(context, number):
    """Send several requests for places, one after the other."""
    context.runners = []
    for index in range(number):
        for grant in context.pool.granted(
            context.pool.request_grant(f'n{index}')
        ).values():
            context.runners.append(grant.prefill_runner)
            context.grants[grant.request_id] = grant


@when('the pool learns that {name} is {stage}')
def learn(context, name, stage):
    """Report progress."""
    context.pool.report_progress(name, STAGES[stage])
    context.grants.update(context.pool.granted())


@when('the pool learns that all of {names} are {stage}')
def learn_each(context, names, stage):
    """Report the same progress for several requests."""
    for name in names.split(', '):
        context.pool.report_progress(name, STAGES[stage])


@when('the pool learns that {name} has {tokens:d} tokens')
def learn_size(context, name, tokens):
    """Report the number of tokens of a stream."""
    context.pool.report_progress(name, STAGES['renewed'], offset=tokens)


@when('{seconds:f} seconds pass for the pool')
def let_time_pass(context, seconds):
    """Advance the time with ticks."""
    context.pool.sent.clear()
    context.pool.effects.clear()
    context.pool.tick(seconds)
    context.grants.update(context.pool.granted())


@when('the pool process stops for {seconds:f} seconds')
def stop_process(context, seconds):
    """Advance the time without ticks."""
    context.pool.sent.clear()
    context.pool.effects.clear()
    context.pool.now += seconds
    context.pool.tick()


@when('the pool loses {name} from its instance list')
def lose(context, name):
    """Remove an instance from the list."""
    listed = set(context.pool.world.listing.instances) - {name}
    context.pool.list_instances(*listed)
    context.pool.tick()


@when('{entry} reports {number:d} live grants on {runner} to the pool')
def tell(context, entry, number, runner):
    """Report live grants to a new owner."""
    grants = tuple(
        messages.LiveGrant(f'old{n}', 1, None, runner, 2000, 0, True, 'c')
        for n in range(number)
    )
    context.pool.deliver(messages.LiveGrants('g0', grants), entry)
    context.grants.update(context.pool.granted())


@when('the pool hands its groups to {instance}')
def hand_over(context, instance):
    """Make another instance the owner of the groups."""
    context.pool.sent.clear()
    context.pool.effects.clear()
    context.pool.set_owner(instance)
    context.pool.tick(1.0)


@given('the pool has {runner} marked as {state}')
def mark_runner(context, runner, state):
    """Mark a runner as leaving or suspect."""
    setattr(context.pool.world.runners[runner], state, True)


@then('the pool grants {names}')
def check_granted(context, names):
    """Compare the requests granted since the last step."""
    assert set(context.pool.granted()) == _names(names), context.pool.sent


@then('the pool pauses {names}')
def check_paused(context, names):
    """Compare the streams ordered to pause."""
    assert context.pool.paused() == _names(names), context.pool.sent


@then('the pool resumes {names}')
def check_resumed(context, names):
    """Compare the streams ordered to resume."""
    assert context.pool.resumed() == _names(names), context.pool.sent


@then('the pool refuses {name} for {reason}')
def check_refused(context, name, reason):
    """Compare the refused requests and their reasons."""
    found = {key: m.reason.value for key, m in context.pool.refused().items()}
    assert found == {name: reason}, context.pool.sent


@then('the pool refuses nothing')
def check_nothing_refused(context):
    """Check that no request is refused."""
    assert not context.pool.refused(), context.pool.sent


@then('the pool asks {names} for live grants')
def check_queries(context, names):
    """Compare the instances queried for live grants."""
    assert set(context.pool.queried_instances()) == _names(names)


@then('the pool gave {name} the runners {prefill} and {decode}')
def check_runners(context, name, prefill, decode):
    """Compare the runners of a grant."""
    grant = context.grants[name]
    assert (grant.prefill_runner, grant.decode_runner) == (prefill, decode)


@then('the pool never chose {runner}')
def check_avoided(context, runner):
    """Check that a runner got none of the requests."""
    assert context.runners
    assert runner not in context.runners, context.runners


@then('the pool sends {name} to {instance}')
def check_handed_over(context, name, instance):
    """Check that a waiting request is sent to one instance."""
    assert [
        e.destination
        for e in context.pool.effects
        if isinstance(e, messages.SendPeer)
        and isinstance(e.message, messages.GrantRequest)
        and e.message.request_id == name
    ] == [instance]
