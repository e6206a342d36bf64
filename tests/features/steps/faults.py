"""Steps that break processes of a fleet and look at it from outside."""

import copy
import hashlib
import signal
import time

from behave import then
from behave import when
import httpx

from primrosereel.bench import _demo as demo
from tests import fault_fleet

# Generous poll limits; the bound of memory is 5 s after the platform shows
# the loss, which it does within its poll and the daemons' poll of 2 s.
FREE_LIMIT_S = 15.0
NEW_TEXT_LIMIT_S = 19.0
LEAVING_LIMIT_S = 4.0
KEY_LIMIT_S = 45.0
KEY_PAUSE_S = 0.3
NEW_KEY = 'demo-newcomers'
# About 3 s and 90 s of decoding; streams of the second length cannot end by
# themselves while a scenario waits for their memory to be freed.
MANY_TOKENS = 90
LONG_TOKENS = 600
ENDLESS_TOKENS = 3000


def numbers_of(text):
    """Return daemon numbers from ``1, 2 and 3``."""
    return [int(n) for n in text.replace('and', ',').split(',') if n.strip()]


@when('the fault fleet streams {count:d} answers through daemons {daemons}')
def start_streams(context, count, daemons):
    broken = context.broken
    broken.wait_in_progress(
        broken.start_streams(count, MANY_TOKENS, numbers_of(daemons))
    )


@when(
    'the fault fleet streams {count:d} long answers through daemons {daemons}'
)
def start_long_streams(context, count, daemons):
    """Streams that outlast the steps that prepare a fault on a busy machine.

    Shorter ones had ended before the fault was set.
    """
    broken = context.broken
    broken.wait_in_progress(
        broken.start_streams(count, LONG_TOKENS, numbers_of(daemons))
    )


@when('the fault fleet streams {count:d} endless answers through {daemons}')
def start_endless(context, count, daemons):
    broken = context.broken
    numbers = numbers_of(daemons.removeprefix('daemons '))
    broken.wait_in_progress(
        broken.start_streams(count, ENDLESS_TOKENS, numbers)
    )


@when('the fault fleet loses the busiest decode engine')
def kill_decode(context):
    broken = context.broken
    runner = broken.busiest()
    broken.fleet.runners[runner].kill()
    broken.fault('decode engine killed')


@when('the fault fleet loses daemon {number:d}')
def kill_daemon(context, number):
    context.broken.daemon(number).process.kill()
    context.broken.fault('daemon killed')


@when('all callers of the fault fleet leave')
def leave(context):
    broken = context.broken
    for stream in broken.streams:
        stream.leave.set()
    broken.fault('callers left')
    for stream in broken.streams:
        stream.join()


@when('the busiest decode engine of the fault fleet goes silent')
def silence(context):
    broken = context.broken
    broken.fleet.set_fault(broken.busiest(), silent=True)
    broken.fault('open streams silent')


@when('daemon {number:d} of the fault fleet is told to stop')
def stop_daemon(context, number):
    context.broken.daemon(number).process.signal(signal.SIGTERM)
    context.broken.fault('daemon told to stop')


@then('every answer of the fault fleet is whole')
def all_whole(context):
    broken = context.broken
    broken.finish_streams()
    bad = [
        (s.outcome, s.tokens, s.done, s.result)
        for s in broken.streams
        if not s.is_whole
    ]
    assert not bad, f'{len(bad)} of {len(broken.streams)} answers: {bad}'


@then(
    'the fault fleet answers {count:d} new streams through daemons {daemons}'
)
def answers_new(context, count, daemons):
    broken = context.broken
    started = broken.start_streams(count, 5, numbers_of(daemons))
    for stream in started:
        stream.join()
    bad = [s.result for s in started if not s.is_whole]
    assert not bad, f'{len(bad)} of {count} answers: {bad}'


@then('the fault fleet holds no engine memory and no engine ended a stream')
def memory_free(context):
    broken = context.broken
    broken.wait_free(FREE_LIMIT_S)
    assert broken.total('abandoned') == 0


@then('daemon {number:d} of the fault fleet ends with status 0')
def ends_well(context, number):
    process = context.broken.daemon(number).process
    status = process.wait(30)
    assert status == 0, f'{status}: {process.output()[-3000:]}'


@then('daemon {number:d} of the fault fleet is not ready but alive')
def leaves_balancer(context, number):
    daemon = context.broken.daemon(number)
    context.broken.fleet.wait_for(
        lambda: httpx.get(f'{daemon.operators}/readyz').status_code == 503,
        'the balancer sees that the daemon stops',
    )
    assert daemon.process.is_running()


@when('witnesses of the fault fleet vouch for keys')
def witnesses_ready(context):
    """A restarted witness refuses until it has been listed for 5 s."""
    context.broken.wait_witnesses()
    new_key_runs(context, 2)


@when('the fault fleet sends {count:d} keys through daemons {daemons} at once')
def send_keys(context, count, daemons):
    broken = context.broken
    context.keys = [demo.uuid7() for _ in range(count)]
    for key in context.keys:
        for number in numbers_of(daemons):
            broken.call(number, key)


@when('the fault fleet sends the same keys through daemons {daemons}')
def send_again(context, daemons):
    for number in numbers_of(daemons):
        for key in context.keys:
            context.broken.call(number, key)
    context.broken.join_calls()


@when('every key of the fault fleet is running')
def keys_run(context):
    broken = context.broken
    broken.fleet.wait_for(
        lambda: all(broken.executions(key) for key in context.keys),
        f'keys run: {[(c.status, c.reason) for c in broken.calls]}',
    )


@when('plain calls of the fault fleet take {factor:d} times as long')
def slow_plain(context, factor):
    context.broken.set_plain_fault(slow=factor)


@when('daemon {number:d} is gone from the lists of the fault fleet')
def unlisted(context, number):
    broken = context.broken
    gone = broken.daemon(number)
    others = [d for d in broken.fleet.daemons if d is not gone]
    broken.fleet.wait_for(
        lambda: all(
            gone.instance
            not in d.operator_get('/status')['listing']['instances']
            for d in others
        ),
        f'{gone.instance} is not listed',
    )


@when('daemon {number:d} of the fault fleet is paused')
def pause(context, number):
    context.broken.daemon(number).process.signal(signal.SIGSTOP)
    context.broken.fault('daemon paused')


@when('daemon {number:d} of the fault fleet is woken after {seconds:d} s')
def wake(context, number, seconds):
    # The length of the pause is the fault, not a wait for a result.
    time.sleep(seconds)
    context.broken.daemon(number).process.signal(signal.SIGCONT)


@then('no key of the fault fleet ran twice and no refusal is wrong')
def at_most_once(context):
    broken = context.broken
    broken.join_calls()
    wrong = []
    for key in context.keys:
        ran = broken.executions(key)
        calls = [c for c in broken.calls if c.key == key]
        answers = [(c.status, c.reason, c.ran) for c in calls]
        broken.tally['keys executed'] += ran == 1
        broken.tally['keys executed twice'] += ran > 1
        broken.tally['keys never executed'] += ran == 0
        broken.tally['refusals of executed keys'] += sum(
            c.status != 200 for c in calls if ran
        )
        denied = ran and any(c.ran == 'not_run' for c in calls)
        claimed = not ran and any(c.status == 200 for c in calls)
        if ran > 1 or denied or claimed:
            wrong.append((key, ran, answers))
    assert not wrong, wrong


@then('the fault fleet has run at least {count:d} of the keys')
def keys_ran(context, count):
    broken = context.broken
    ran = sum(broken.executions(key) > 0 for key in context.keys)
    found = [(c.status, c.reason, c.ran) for c in broken.calls]
    assert ran >= count, f'{ran} ran: {found}'


@then('a new key of the fault fleet runs once through daemon {number:d}')
def new_key_runs(context, number):
    """Refusals while lists settle are allowed; each attempt has its key."""
    broken = context.broken
    context.keys = []

    def runs():
        context.keys.append(demo.uuid7())
        call = broken.call(number, context.keys[-1])
        call.join()
        time.sleep(KEY_PAUSE_S)
        return call.status == 200

    broken.fleet.wait_for(runs, 'a key runs', KEY_LIMIT_S)
    assert broken.executions(context.keys[-1]) == 1
    at_most_once(context)


@when('the platform of the fault fleet is down')
def platform_down(context):
    context.broken.fleet.set_platform_fault(down=True, list_down=True)
    context.broken.fault('platform down')


@when('the platform of the fault fleet is up')
def platform_up(context):
    context.broken.fleet.set_platform_fault(down=False, list_down=False)


@when('daemon {number:d} of the fault fleet is killed and started again')
def restart(context, number):
    broken = context.broken
    daemon = broken.daemon(number)
    context.revision = broken.settings_of(number)['revision']
    daemon.process.kill()
    broken.fault('daemon killed')
    broken.fleet.restart_daemon(daemon)


@then('daemon {number:d} of the fault fleet has its text again')
def has_text(context, number):
    found = context.broken.settings_of(number)['revision']
    assert found == context.revision, (found, context.revision)


@when('the fault fleet is given a bad text')
def bad_text(context):
    broken = context.broken
    context.revision = broken.settings_of(1)['revision']
    refused = refusals(broken)
    text = copy.deepcopy(broken.fleet.text)
    text['services'][fault_fleet.SERVICE]['model'] = 'no-such-model'
    broken.fleet.publish(text)
    broken.fault('bad text')
    broken.fleet.wait_for(
        lambda: refusals(broken) > refused, 'a daemon refuses the text'
    )


def refusals(broken):
    """Return how many texts the daemons have refused."""
    return sum(
        d.counters().get('configuration.refused', 0)
        for d in broken.fleet.daemons
    )


@then('every daemon of the fault fleet has the text from before')
def same_text(context):
    found = [
        d.operator_get('/status')['revision']
        for d in context.broken.fleet.daemons
    ]
    assert set(found) == {context.revision}, (found, context.revision)


@when('the fault fleet is given a text with a new client account')
def new_text(context):
    fleet = context.broken.fleet
    text = copy.deepcopy(fleet.text)
    text['services'][fault_fleet.SERVICE]['model'] = 'base'
    row = dict(text['client_accounts'][fault_fleet.CLIENT_ACCOUNT])
    row['key_sha256'] = hashlib.sha256(NEW_KEY.encode()).hexdigest()
    text['client_accounts']['newcomers'] = row
    fleet.publish(text)


@then('every daemon of the fault fleet knows the new client account')
def knows_client_account(context):
    """The bound of invariant 8 is 19 s and is the poll limit."""
    fleet = context.broken.fleet
    headers = {'authorization': f'Bearer {NEW_KEY}'}

    def known():
        urls = [f'{d.callers}/v1/models' for d in fleet.daemons]
        answers = [httpx.get(url, headers=headers) for url in urls]
        return all(a.status_code == 200 for a in answers)

    fleet.wait_for(known, 'the new client account is known', NEW_TEXT_LIMIT_S)


@when('the busiest decode engine of the fault fleet has the fault {name}')
def stream_fault(context, name):
    broken = context.broken
    context.runner = broken.busiest()
    broken.fleet.set_fault(context.runner, **{name: 1})
    broken.fault(name)


@then('the fault {name} of the fault fleet has struck')
def has_struck(context, name):
    address = context.broken.fleet.addresses[context.runner]
    found = httpx.get(f'http://{address}/standin/faults').json()
    assert found[name] == 0, found


@when('the busiest decode engine of the fault fleet leaves by its {sign}')
def runner_leaves(context, sign):
    broken = context.broken
    context.runner = broken.busiest()
    if sign == 'load report':
        broken.fleet.set_fault(context.runner, leaving=True)
    else:
        text = copy.deepcopy(broken.fleet.text)
        runners = text['services'][fault_fleet.SERVICE]['runners']
        runners[context.runner]['leaving'] = True
        broken.fleet.publish(text)
    broken.fault(f'runner leaves by its {sign}')


@when('the owner of the fault fleet has seen that it leaves')
def seen_leaving(context):
    """The bound of invariant 6 is 3 s after the first sign, plus 1 s.

    The owner of a group reads its load reports and gives its places.
    """
    broken = context.broken
    broken.fleet.wait_for(
        lambda: any(
            d.operator_get('/status')['runners'][context.runner]['leaving']
            for d in broken.fleet.daemons
        ),
        f'{context.runner} leaves',
        LEAVING_LIMIT_S,
    )
    context.before = broken.fleet.engine_counters(context.runner)
    context.retries = broken.retries()


@then('the leaving engine of the fault fleet was asked for nothing new')
def nothing_new(context):
    """An engine that leaves refuses work; the entry would have retried."""
    broken = context.broken
    found = broken.fleet.engine_counters(context.runner)
    for name in ('decodes_started', 'prefills_started', 'refused_full'):
        assert found[name] == context.before[name], (name, found)
    assert broken.retries() == context.retries


@then('the leaving engine of the fault fleet can be replaced')
def replaced(context):
    """A new incarnation gets work again."""
    broken = context.broken
    broken.finish_streams()
    broken.replace_engine(context.runner)
    broken.fleet.wait_for(
        lambda: (
            not any(
                d.operator_get('/status')['runners'][context.runner]['leaving']
                for d in broken.fleet.daemons
            )
        ),
        f'{context.runner} is no longer leaving',
    )


@when('the last decode engine of the fault fleet has the fault {name}')
def last_engine_fault(context, name):
    """The other decode engine leaves and holds nothing any more."""
    assert context.broken.busiest() != context.runner
    stream_fault(context, name)
