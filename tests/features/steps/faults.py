"""Steps that inject faults into a fleet and check it from outside."""

import copy
import hashlib
import signal
import time

from behave import then
from behave import when
import httpx

from primrosereel.bench import _demo as demo
from tests import fault_fleet

# Generous poll timeouts. Memory must be free within 5 s after the platform
# shows the loss, which takes its poll interval and the daemons' of 2 s.
MEMORY_FREE_TIMEOUT_S = 15.0
NEW_TEXT_TIMEOUT_S = 19.0
LEAVING_TIMEOUT_S = 4.0
KEY_TIMEOUT_S = 45.0
KEY_RETRY_INTERVAL_S = 0.3
NEW_ACCOUNT_KEY = 'demo-newcomers'
# STREAM_TOKENS take about 3 s to decode, UNFINISHED_STREAM_TOKENS about 90 s:
# such streams cannot end by themselves while a scenario waits for their memory
# to be freed.
STREAM_TOKENS = 90
LONG_STREAM_TOKENS = 600
UNFINISHED_STREAM_TOKENS = 3000


def parse_numbers(text):
    """Return daemon numbers from ``1, 2 and 3``."""
    return [int(n) for n in text.replace('and', ',').split(',') if n.strip()]


@when('the fault fleet has {count:d} streams through daemons {daemons}')
def start_streams(context, count, daemons):
    harness = context.harness
    harness.wait_in_progress(
        harness.start_streams(count, STREAM_TOKENS, parse_numbers(daemons))
    )


@when('the fault fleet has {count:d} long streams through daemons {daemons}')
def start_long_streams(context, count, daemons):
    """Start streams that outlast the injection of a fault on a busy machine.

    Shorter streams ended before the fault was set.
    """
    harness = context.harness
    harness.wait_in_progress(
        harness.start_streams(
            count, LONG_STREAM_TOKENS, parse_numbers(daemons)
        )
    )


@when('the fault fleet has {count:d} unending streams through {daemons}')
def start_unfinished_streams(context, count, daemons):
    harness = context.harness
    numbers = parse_numbers(daemons.removeprefix('daemons '))
    harness.wait_in_progress(
        harness.start_streams(count, UNFINISHED_STREAM_TOKENS, numbers)
    )


@when('the busiest decode engine of the fault fleet is killed')
def kill_decode_engine(context):
    harness = context.harness
    runner = harness.busiest_runner()
    harness.fleet.runners[runner].kill()
    harness.count_fault('decode engine killed')


@when('daemon {number:d} of the fault fleet is killed')
def kill_daemon(context, number):
    context.harness.daemon(number).process.kill()
    context.harness.count_fault('daemon killed')


@when('all callers of the fault fleet disconnect')
def disconnect_callers(context):
    harness = context.harness
    for stream in harness.streams:
        stream.disconnect.set()
    harness.count_fault('callers left')
    for stream in harness.streams:
        stream.join()


@when('the busiest decode engine of the fault fleet stalls its streams')
def stall_streams(context):
    harness = context.harness
    harness.fleet.set_fault(harness.busiest_runner(), silent=True)
    harness.count_fault('open streams silent')


@when('daemon {number:d} of the fault fleet receives SIGTERM')
def stop_daemon(context, number):
    context.harness.daemon(number).process.signal(signal.SIGTERM)
    context.harness.count_fault('daemon told to stop')


@then('every stream of the fault fleet is complete and correct')
def check_streams_complete(context):
    harness = context.harness
    harness.finish_streams()
    bad = [
        (s.outcome, s.tokens, s.end_markers, s.result)
        for s in harness.streams
        if not s.is_complete
    ]
    assert not bad, f'{len(bad)} of {len(harness.streams)} answers: {bad}'


@then(
    'the fault fleet completes {count:d} new streams through daemons {daemons}'
)
def check_new_streams(context, count, daemons):
    harness = context.harness
    started = harness.start_streams(count, 5, parse_numbers(daemons))
    for stream in started:
        stream.join()
    bad = [s.result for s in started if not s.is_complete]
    assert not bad, f'{len(bad)} of {count} answers: {bad}'


@then('the fault fleet has free engine memory and no abandoned stream')
def check_memory_free(context):
    harness = context.harness
    harness.wait_memory_free(MEMORY_FREE_TIMEOUT_S)
    assert harness.counter_total('abandoned') == 0


@then('daemon {number:d} of the fault fleet exits with status 0')
def check_exit_status(context, number):
    process = context.harness.daemon(number).process
    status = process.wait(30)
    assert status == 0, f'{status}: {process.output()[-3000:]}'


@then('daemon {number:d} of the fault fleet is running but not ready')
def check_not_ready(context, number):
    daemon = context.harness.daemon(number)
    context.harness.fleet.wait_for(
        lambda: httpx.get(f'{daemon.operators}/readyz').status_code == 503,
        '/readyz returns 503',
    )
    assert daemon.process.is_running()


@when('witnesses of the fault fleet accept new keys')
def wait_for_witnesses(context):
    """A restarted witness refuses claims until it was listed for 5 s."""
    context.harness.wait_for_witnesses()
    check_new_key(context, 2)


@when('the fault fleet sends {count:d} keys through daemons {daemons} at once')
def send_keys(context, count, daemons):
    harness = context.harness
    context.keys = [demo.uuid7() for _ in range(count)]
    for key in context.keys:
        for number in parse_numbers(daemons):
            harness.start_call(number, key)


@when('the fault fleet sends the same keys through daemons {daemons}')
def resend_keys(context, daemons):
    """Send the keys again and wait for these calls.

    Earlier calls may wait for a daemon that is paused: waiting for those as
    well made the pause as long as the callers' timeout of 40 s.
    """
    started = [
        context.harness.start_call(number, key)
        for number in parse_numbers(daemons)
        for key in context.keys
    ]
    context.harness.join_calls(started)


@when('every key of the fault fleet is running')
def wait_keys_running(context):
    harness = context.harness
    harness.fleet.wait_for(
        lambda: all(harness.executions(key) for key in context.keys),
        f'every key ran: {[(c.status, c.reason) for c in harness.calls]}',
    )


@when('plain calls of the fault fleet take {factor:d} times as long')
def slow_plain_calls(context, factor):
    context.harness.set_plain_fault(slow=factor)


@when('daemon {number:d} is in no instance list of the fault fleet')
def wait_unlisted(context, number):
    harness = context.harness
    removed = harness.daemon(number)
    others = [d for d in harness.fleet.daemons if d is not removed]
    harness.fleet.wait_for(
        lambda: all(
            removed.instance
            not in d.operator_get('/status')['listing']['instances']
            for d in others
        ),
        f'{removed.instance} is not listed',
    )


@when('daemon {number:d} of the fault fleet is paused')
def pause_daemon(context, number):
    context.harness.daemon(number).process.signal(signal.SIGSTOP)
    context.harness.count_fault('daemon paused')


@when('daemon {number:d} of the fault fleet is resumed after {seconds:d} s')
def resume_daemon(context, number, seconds):
    # The length of the pause is part of the fault, not a wait for a result.
    time.sleep(seconds)
    context.harness.daemon(number).process.signal(signal.SIGCONT)


@then('no key of the fault fleet ran twice or got a false response')
def check_at_most_once(context):
    harness = context.harness
    harness.join_calls()
    wrong = []
    for key in context.keys:
        ran = harness.executions(key)
        calls = [c for c in harness.calls if c.key == key]
        answers = [(c.status, c.reason, c.ran) for c in calls]
        harness.tally['keys executed'] += ran == 1
        harness.tally['keys executed twice'] += ran > 1
        harness.tally['keys never executed'] += ran == 0
        harness.tally['refusals of executed keys'] += sum(
            c.status != 200 for c in calls if ran
        )
        denied = ran and any(c.ran == 'not_run' for c in calls)
        claimed = not ran and any(c.status == 200 for c in calls)
        if ran > 1 or denied or claimed:
            wrong.append((key, ran, answers))
    assert not wrong, wrong


@then('the fault fleet has executed at least {count:d} of the keys')
def check_executed_keys(context, count):
    harness = context.harness
    ran = sum(harness.executions(key) > 0 for key in context.keys)
    responses = [(c.status, c.reason, c.ran) for c in harness.calls]
    assert ran >= count, f'{ran} keys were executed: {responses}'


@then(
    'a new key of the fault fleet is executed once through daemon {number:d}'
)
def check_new_key(context, number):
    """Retry refusals while instance lists converge, each with a new key."""
    harness = context.harness
    context.keys = []

    def is_answered():
        context.keys.append(demo.uuid7())
        call = harness.start_call(number, context.keys[-1])
        call.join()
        time.sleep(KEY_RETRY_INTERVAL_S)
        return call.status == 200

    harness.fleet.wait_for(is_answered, 'a new key is executed', KEY_TIMEOUT_S)
    assert harness.executions(context.keys[-1]) == 1
    check_at_most_once(context)


@when('the platform of the fault fleet is down')
def platform_down(context):
    context.harness.fleet.set_platform_fault(down=True, list_down=True)
    context.harness.count_fault('platform down')


@when('the platform of the fault fleet is up')
def platform_up(context):
    context.harness.fleet.set_platform_fault(down=False, list_down=False)


@when('daemon {number:d} of the fault fleet is killed and restarted')
def restart_daemon(context, number):
    harness = context.harness
    daemon = harness.daemon(number)
    context.revision = harness.status_of(number)['revision']
    daemon.process.kill()
    harness.count_fault('daemon killed')
    harness.fleet.restart_daemon(daemon)


@then('daemon {number:d} of the fault fleet has restored its text')
def check_text_restored(context, number):
    revision = context.harness.status_of(number)['revision']
    assert revision == context.revision, (revision, context.revision)


@when('the fault fleet gets an invalid text')
def publish_invalid_text(context):
    harness = context.harness
    context.revision = harness.status_of(1)['revision']
    refused = count_refused_texts(harness)
    text = copy.deepcopy(harness.fleet.text)
    text['services'][fault_fleet.SERVICE]['model'] = 'no-such-model'
    harness.fleet.publish(text)
    harness.count_fault('bad text')
    harness.fleet.wait_for(
        lambda: count_refused_texts(harness) > refused,
        'a daemon refuses the text',
    )


def count_refused_texts(harness):
    """Return how many texts the daemons have refused."""
    return sum(
        d.counters().get('configuration.refused', 0)
        for d in harness.fleet.daemons
    )


@then('every daemon of the fault fleet has kept its text')
def check_text_unchanged(context):
    revisions = [
        d.operator_get('/status')['revision']
        for d in context.harness.fleet.daemons
    ]
    assert set(revisions) == {context.revision}, (revisions, context.revision)


@when('the fault fleet gets a text with a new client account')
def publish_new_client_account(context):
    fleet = context.harness.fleet
    text = copy.deepcopy(fleet.text)
    text['services'][fault_fleet.SERVICE]['model'] = 'base'
    account = dict(text['client_accounts'][fault_fleet.CLIENT_ACCOUNT])
    account['key_sha256'] = hashlib.sha256(
        NEW_ACCOUNT_KEY.encode()
    ).hexdigest()
    text['client_accounts']['newcomers'] = account
    fleet.publish(text)


@then('every daemon of the fault fleet accepts the new client account')
def check_new_client_account(context):
    """The poll timeout of 19 s is the bound of invariant 8."""
    fleet = context.harness.fleet
    headers = {'authorization': f'Bearer {NEW_ACCOUNT_KEY}'}

    def is_known():
        urls = [f'{d.callers}/v1/models' for d in fleet.daemons]
        answers = [httpx.get(url, headers=headers) for url in urls]
        return all(a.status_code == 200 for a in answers)

    fleet.wait_for(
        is_known, 'the new client account is known', NEW_TEXT_TIMEOUT_S
    )


@when('the busiest decode engine of the fault fleet has the fault {name}')
def inject_fault(context, name):
    harness = context.harness
    context.runner = harness.busiest_runner()
    harness.fleet.set_fault(context.runner, **{name: 1})
    harness.count_fault(name)


@then('the fault {name} of the fault fleet has occurred')
def check_fault_used(context, name):
    address = context.harness.fleet.addresses[context.runner]
    remaining_faults = httpx.get(f'http://{address}/standin/faults').json()
    assert remaining_faults[name] == 0, remaining_faults


@when(
    'the busiest decode engine of the fault fleet is marked as leaving '
    'in its {sign}'
)
def start_leaving(context, sign):
    harness = context.harness
    context.runner = harness.busiest_runner()
    if sign == 'load report':
        harness.fleet.set_fault(context.runner, leaving=True)
    else:
        text = copy.deepcopy(harness.fleet.text)
        runners = text['services'][fault_fleet.SERVICE]['runners']
        runners[context.runner]['leaving'] = True
        harness.fleet.publish(text)
    harness.count_fault(f'runner leaves by its {sign}')


@when('the fault fleet reports that engine as leaving')
def wait_leaving(context):
    """The bound of invariant 6 is 3 s after the first sign, plus 1 s.

    The owner of a group reads its load reports and assigns its places.
    """
    harness = context.harness
    harness.fleet.wait_for(
        lambda: any(
            d.operator_get('/status')['runners'][context.runner]['leaving']
            for d in harness.fleet.daemons
        ),
        f'{context.runner} is reported as leaving',
        LEAVING_TIMEOUT_S,
    )
    context.counters_before = harness.fleet.engine_counters(context.runner)
    context.retries_before = harness.retries()


@then('the leaving engine of the fault fleet has received no new work')
def check_no_new_work(context):
    """A leaving engine refuses work; the entry daemon would retry it."""
    harness = context.harness
    counters = harness.fleet.engine_counters(context.runner)
    for name in ('decodes_started', 'prefills_started', 'refused_full'):
        assert counters[name] == context.counters_before[name], (
            name,
            counters,
        )
    assert harness.retries() == context.retries_before


@then('the leaving engine of the fault fleet is not leaving after a restart')
def check_engine_replaced(context):
    """Check that a new incarnation is not treated as leaving."""
    harness = context.harness
    harness.finish_streams()
    harness.replace_engine(context.runner)
    harness.fleet.wait_for(
        lambda: (
            not any(
                d.operator_get('/status')['runners'][context.runner]['leaving']
                for d in harness.fleet.daemons
            )
        ),
        f'{context.runner} is no longer leaving',
    )


@when('the last decode engine of the fault fleet has the fault {name}')
def inject_fault_in_last_engine(context, name):
    """The other decode engine is leaving and has no requests."""
    assert context.harness.busiest_runner() != context.runner
    inject_fault(context, name)
