"""Steps that run a simulated fleet of cores in virtual time."""

from behave import given
from behave import then
from behave import when

from primrosereel.core import _membership as membership
from primrosereel.core import _messages as messages
from tests import fleet as fleet_module


@given('a fleet of {sizes} daemons with text revision {revision:d}')
def start_fleet(context, sizes, revision):
    """Start a region of each size and wait until all have the text."""
    context.fleet = fleet_module.Fleet([int(s) for s in sizes.split('+')], 5)
    for number in range(1, revision + 1):
        context.fleet.platform.publish(fleet_module.text_body(number))
    context.fleet.run(5)
    assert context.fleet.at_revision(revision)


@given('the fleet loses one of {count:d} messages')
def lose_messages(context, count):
    """Drop messages between daemons at random."""
    context.fleet.loss = 1 / count


@when('the fleet sees its configuration service go {state}')
def set_service_state(context, state):
    """Stop or restore the service, or make it serve its first text."""
    platform = context.fleet.platform
    platform.down = state == 'down'
    platform.served = 1 if state == 'stale' else None


@when('the fleet sees its instance list go {state}')
def set_list_state(context, state):
    """Stop or restore the instance list."""
    context.fleet.platform.list_down = state == 'down'


@when('the fleet gets a {quality} text')
def publish_text(context, quality):
    """Publish the next text."""
    platform = context.fleet.platform
    platform.publish(
        fleet_module.text_body(
            platform.revision + 1, valid=quality != 'faulty'
        )
    )


@when('the fleet runs for {seconds:g} s')
def run_fleet(context, seconds):
    """Advance the virtual time."""
    context.fleet.run(seconds)


@when('the fleet restarts {name}')
def restart_daemon(context, name):
    """Replace a daemon with a new incarnation that has no state."""
    context.fleet.start(name, f'r{name[1]}')


@when('the fleet has {name} killed')
def kill_daemon(context, name):
    """Kill a daemon that stays in the instance list."""
    context.fleet.stop(name, unlist=False)


@when('the fleet has {name} paused for {seconds:g} s')
def pause_daemon(context, name, seconds):
    """Suspend a daemon's timers and messages for a time."""
    context.fleet.paused.add(name)
    context.fleet.run(seconds)
    context.fleet.paused.discard(name)


@when('the fleet has region {region} without the configuration service')
def cut_from_service(context, region):
    """Make the reads and watches of all daemons of a region fail."""
    fleet = context.fleet
    fleet.blind |= {n for n in fleet.cores if n[1] == region}


@when('the fleet has the link between {one} and {other} cut')
def cut_link(context, one, other):
    """Drop every message between two daemons."""
    context.fleet.cut.add(frozenset((one, other)))


@when('the fleet has the regions cut off from each other')
def cut_regions(context):
    """Drop every message between regions."""
    names = sorted(context.fleet.cores)
    context.fleet.cut |= {
        frozenset((a, b)) for a in names for b in names if a[1] != b[1]
    }


@when('the fleet has all links restored')
def restore_links(context):
    """Deliver messages on all links again."""
    context.fleet.cut.clear()


@when('the fleet has {name} record {count:d} failed calls to {peer}')
def report_failed_calls(context, name, count, peer):
    """Report failed calls, 0.2 s apart so that each is counted."""
    for _ in range(count):
        context.fleet.give(name, messages.PeerFailed(peer, ()))
        context.fleet.run(0.2)


@when('the fleet has {name} drain with {count:d} requests in progress')
def start_drain(context, name, count):
    """Ask a daemon to stop gracefully."""
    context.fleet.world(name).active_requests = count
    context.fleet.give(name, messages.DrainRequested())


@when('the fleet has {name} complete its requests')
def complete_requests(context, name):
    """Set the number of requests in progress to 0."""
    context.fleet.world(name).active_requests = 0


@then(
    'the fleet has text revision {revision:d} everywhere within {seconds:g} s'
)
def check_text_everywhere(context, revision, seconds):
    """Wait for a revision at most the given time."""
    fleet = context.fleet
    deadline = fleet.now + seconds
    while not fleet.at_revision(revision) and fleet.now < deadline:
        fleet.run(0.1)
    assert fleet.at_revision(revision), {
        n: c.world.revision for n, c in fleet.cores.items()
    }
    places = {
        c.world.text.services['s'].runners['d0'].places
        for c in fleet.cores.values()
    }
    assert places == {revision}


@then(
    'fleet member {name} has run the text revisions {revisions} '
    'since its start'
)
def check_revision_history(context, name, revisions):
    """Compare all revisions of a daemon since its last start."""
    history = context.fleet.revisions[name]
    last_start = len(history) - history[::-1].index(0)
    assert history[last_start:] == [int(r) for r in revisions.split(', ')], (
        history
    )


@then('the fleet counted {name} {count:d} times')
def check_counter(context, name, count):
    """Compare a counter over all daemons."""
    assert context.fleet.counts[name] == count, context.fleet.counts


@then('the fleet has refused text revision {revision:d} for a fault at {path}')
def check_refusal(context, revision, path):
    """Look for the fault in the refusal that operators see."""
    refusals = [
        c.world.refusal
        for c in context.fleet.cores.values()
        if c.world.refusal is not None
    ]
    assert refusals
    for refusal in refusals:
        assert refusal.revision == revision
        assert any(f.startswith(path) for f in refusal.faults)


@then('fleet member {observer} sees {name} as {state}')
def check_peer_state(context, name, state, observer):
    """Compare a peer's state in another daemon's tables."""
    actual = context.fleet.world(observer).peers[name].state
    assert actual.value == state, actual


@then('every fleet member sees {name} as {state}')
def check_peer_state_everywhere(context, name, state):
    """Compare a peer's state in all other daemons' tables."""
    actual = {
        c.world.peers[name].state.value
        for n, c in context.fleet.cores.items()
        if n != name
    }
    assert actual == {state}, actual


@then('the fleet has only live peers')
def check_all_peers_live(context):
    """Check that no daemon regards a peer as suspect or leaving."""
    not_live = [
        (n, p)
        for n, c in context.fleet.cores.items()
        for p, peer in c.world.peers.items()
        if peer.state.value != 'live'
    ]
    assert not not_live, not_live


@then('fleet member {name} has {answer} fresh instance list')
def check_list_fresh(context, answer, name):
    """Check the freshness test that claims depend on."""
    world = context.fleet.world(name)
    assert membership.is_list_fresh(world) == (answer == 'a')


@then('fleet member {name} has detected a recent pause')
def check_paused(context, name):
    """Compare the time of the last pause."""
    world = context.fleet.world(name)
    assert 0 <= context.fleet.now - world.paused_at <= 1.0


@then('fleet member {name} is {answer} to exit')
def check_drain_finished(context, name, answer):
    """Count the effects that end a drain."""
    finished = [
        e
        for e in context.fleet.effects[name]
        if isinstance(e, messages.DrainFinished)
    ]
    assert len(finished) == (1 if answer == 'ready' else 0)
