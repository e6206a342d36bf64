"""Steps that run the stand-ins as processes on free loopback ports."""

import http.server
import json
import signal
import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when
import httpx

from primrosereel import standin

OPTIONS = {
    'engine:prefill': {'role': 'prefill', 'kv_eviction_s': 30.0},
    'engine:decode': {'role': 'decode', 'decode_step_s': 0.002},
    'plain': {},
    'platform': {'poll_s': 0.02},
}
REQUEST_ID = 'entry-1.1.1.1'
# Number of polls, 0.05 s apart, for a state that must be reached.
MAX_POLLS = 200
MAX_LINE_BYTES = 100_000
# An open stream without data for this long counts as silent. The engine has
# generated all tokens of the stream by then.
SILENCE_TIMEOUT_S = 2.0


def _start(context, kind):
    options = json.dumps(OPTIONS[kind])
    process = subprocess.Popen(
        [sys.executable, '-m', 'primrosereel.standin', kind.split(':')[0]]
        + ['--options', options],
        stdout=subprocess.PIPE,
    )
    context.processes.append(process)
    context.add_cleanup(_stop_process, process)
    return process


def _stop_process(process):
    process.terminate()
    try:
        process.wait(10)
    finally:
        process.kill()
        process.stdout.close()


@given('standin processes {kinds}')
def start_processes(context, kinds):
    """Start the processes together, then wait for their addresses."""
    context.processes = []
    names = kinds.split(', ')
    started = [_start(context, kind) for kind in names]
    context.clients = {}
    for kind, process in zip(names, started, strict=True):
        address = json.loads(process.stdout.readline())['listening']
        client = httpx.Client(base_url=f'http://{address}', timeout=10)
        context.add_cleanup(client.close)
        context.clients[kind.split(':')[-1]] = client


@given('the standin faults {faults} on {name}')
def set_faults(context, faults, name):
    """Switch faults on."""
    client = context.clients[name]
    client.post('/standin/faults', content=faults).raise_for_status()


def _open_stream(context, prompt, max_tokens, read_s=10.0):
    body = {'request_id': REQUEST_ID, 'model': 'm', 'prompt': prompt}
    answer = context.clients['prefill'].post('/v1/prefill', json=body)
    body = {**body, 'kv': answer.json()['kv'], 'max_tokens': max_tokens}
    context.prompt, context.max_tokens = prompt, max_tokens
    context.tokens, context.finish, context.done = [], None, False
    return context.clients['decode'].stream(
        'POST', '/v1/decode', json=body, timeout=httpx.Timeout(read_s)
    )


def _split_lines(stream):
    """Split a body into lines; raise ValueError for an endless line."""
    rest = b''
    for data in stream.iter_bytes():
        *lines, rest = (rest + data).split(b'\n')
        if len(rest) > MAX_LINE_BYTES:
            raise ValueError('a line is longer than 100 kB')
        for line in lines:
            yield line.decode()


def _read_events(context, lines):
    for line in lines:
        if line == 'data: [DONE]':
            context.done = True
        elif line:
            event = json.loads(line.removeprefix('data: '))
            assert event['request_id'] == REQUEST_ID, 'other request'
            assert event['offset'] == len(context.tokens)
            context.tokens.append(event['token'])
            context.finish = event['finish']


@when('the standin engines answer "{prompt}" with at most {count:d} tokens')
def read_answer(context, prompt, count):
    """Read a stream to its end and record the result."""
    try:
        with _open_stream(context, prompt, count) as stream:
            context.result = f'status {stream.status_code}'
            if stream.status_code == 200:
                _read_events(context, _split_lines(stream))
                context.result = 'whole' if context.done else 'incomplete'
            else:
                assert json.loads(stream.read())['ran'] is False
    except httpx.ProtocolError:
        context.result = 'ProtocolError'
    except ValueError:
        context.result = 'unreadable'
    except AssertionError as error:
        context.result = str(error)


@then('the standin faults on decode show as')
def check_engine_faults(context):
    """Send one request per fault, with only that fault in effect."""
    for row in context.table:
        for client in context.clients.values():
            client.delete(f'/v1/requests/{REQUEST_ID}').raise_for_status()
        set_faults(context, row['faults'], 'decode')
        read_answer(context, 'another prompt', 8)
        assert context.result == row['result'], (row, context.result)
        set_faults(context, row['then'], 'decode')


@then('the standin answer is whole and ends with "{finish}"')
def check_answer(context, finish):
    """Compare every token with the answer expected for the prompt."""
    expected = standin.expected_answer(context.prompt, context.max_tokens)
    assert ''.join(context.tokens) == expected
    assert context.finish == finish and context.done


@when('the standin engines start "{prompt}" with at most {count:d} tokens')
def start_stream(context, prompt, count):
    """Open a stream and read its first token."""
    stream = _open_stream(context, prompt, count, read_s=SILENCE_TIMEOUT_S)
    context.lines = _split_lines(stream.__enter__())
    context.add_cleanup(stream.__exit__, None, None, None)
    while not context.tokens:
        _read_events(context, [next(context.lines)])


@when('the standin stream goes silent after its first token')
def silence(context):
    """Silence the stream and check that its reader times out."""
    decode = context.clients['decode']
    decode.post('/standin/faults', json={'silent': True})
    check_counters(context, 'decode', 'decodes_done=1')
    try:
        _read_events(context, context.lines)
    except httpx.ReadTimeout:
        return
    raise AssertionError('the stream ended instead of going silent')


@when('the standin stream is read again from where it stopped')
def read_again(context):
    """Open a new connection at the next offset."""
    path = f'/v1/requests/{REQUEST_ID}/stream?offset={len(context.tokens)}'
    with context.clients['decode'].stream('GET', path) as stream:
        _read_events(context, _split_lines(stream))


@when('the standin stream is {action:w}')
def change_stream(context, action):
    """Pause, resume or cancel the stream."""
    decode = context.clients['decode']
    path = f'/v1/requests/{REQUEST_ID}'
    if action == 'cancelled':
        decode.delete(path).raise_for_status()
    else:
        name = {'paused': 'pause', 'resumed': 'resume'}[action]
        decode.post(f'{path}/{name}').raise_for_status()


@when('the standin stream is cancelled while cancels are dropped')
def send_dropped_cancel(context):
    """Send a cancel that the engine drops."""
    set_faults(context, '{"drop_cancels": 1}', 'decode')
    try:
        context.clients['decode'].delete(f'/v1/requests/{REQUEST_ID}')
    except httpx.ProtocolError:
        return
    raise AssertionError('the cancel was answered')


@then('the standin counters of {name} show {values}')
def check_counters(context, name, values):
    """Wait for the counters, since memory is released after the stream."""
    expected = {}
    for pair in values.split(', '):
        key, _, value = pair.partition('=')
        expected[key] = int(value)
    for _ in range(MAX_POLLS):
        counters = context.clients[name].get('/standin/counters').json()
        actual = {key: counters[key] for key in expected}
        if actual == expected:
            return
        time.sleep(0.05)
    raise AssertionError(actual)


@then('the standin processes end with status {status:d}')
def end_processes(context, status):
    """Send SIGTERM and check the exit status."""
    for process in context.processes:
        process.send_signal(signal.SIGTERM)
    for process in context.processes:
        assert process.wait(20) == status


@then('the standin faults on plain show as')
def check_plain_faults(context):
    """Call once per fault and compare the number of executions."""
    plain = context.clients['plain']
    for number, row in enumerate(context.table):
        set_faults(context, row['faults'], 'plain')
        headers = {'Idempotency-Key': str(number)}
        try:
            answer = plain.put('/file/1', headers=headers, content=b'x')
            result = {200: 'answered', 503: 'refused'}[answer.status_code]
        except httpx.ProtocolError:
            result = 'broken'
        assert result == row['result'], (row, result)
        runs = plain.get('/standin/executions').json().get('/file/1', {})
        assert runs.get(str(number), 0) == int(row['runs']), (row, runs)


class _Livez(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        body = b'{"instance": "entry-1", "incarnation": 7, "leaving": false}'
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format, *args):
        """Log nothing."""


@given('a standin daemon "{name}" that reports itself alive')
def start_daemon(context, name):
    """Serve /livez and register the daemon as the only candidate."""
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Livez)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.daemon = server
    context.add_cleanup(server.server_close)
    candidate = {
        'instance': name,
        'region': 'dk-east',
        'availability_zone': 'dk-east-a',
        'address': '127.0.0.1:1',
        'operator_address': f'127.0.0.1:{server.server_port}',
    }
    context.clients['platform'].put(
        '/standin/candidates', json=[candidate]
    ).raise_for_status()


@when('the standin daemon stops')
def stop_daemon(context):
    """Stop the liveness server."""
    context.daemon.shutdown()
    context.daemon.server_close()


@when('the standin configuration is set to "{first}" and then to "{second}"')
def set_configuration(context, first, second):
    """Set two revisions."""
    for text in (first, second):
        context.clients['platform'].put('/standin/configuration', content=text)


@when('the standin platform has faults {faults}')
def set_platform_faults(context, faults):
    """Switch faults on."""
    set_faults(context, faults, 'platform')


@then('the standin configuration after {after:d} is not there')
def check_no_configuration(context, after):
    """Read once without waiting."""
    path = f'/v1/configuration?after={after}&wait=0'
    assert context.clients['platform'].get(path).status_code == 204


@then('the standin configuration after {after:d} is revision {n:d} with "{t}"')
def check_configuration(context, after, n, t):
    """Read with a watch, which must return at once."""
    path = f'/v1/configuration?after={after}&wait=5'
    answer = context.clients['platform'].get(path)
    assert answer.headers['X-Revision'] == str(n)
    assert answer.text == t


def _wait_for_list(context, accept):
    for _ in range(MAX_POLLS):
        shown = context.clients['platform'].get('/v1/instances').json()
        if accept(shown['instances']):
            return
        time.sleep(0.05)
    raise AssertionError(shown)


@then('the standin instance list shows {name} with incarnation {number:d}')
def check_instance(context, name, number):
    """Wait for the list to show one instance."""
    _wait_for_list(
        context,
        lambda shown: (
            [(i['instance'], i['incarnation']) for i in shown]
            == [(name, number)]
        ),
    )


@then('the standin instance list becomes empty')
def check_no_instance(context):
    """Wait for the list to drop the instance."""
    _wait_for_list(context, lambda shown: not shown)
