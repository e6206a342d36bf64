"""A test harness that injects faults into a fleet of real processes.

The engines keep an unread stream for 60 s, so that memory which is free
earlier was freed by the router and not by the engine's own timer.
"""

import collections
import copy
import signal
import threading
import time

import httpx

from primrosereel import standin
from primrosereel.bench import _demo as demo
from primrosereel.bench import _fleet as fleet_module
from primrosereel.bench import _load as load
from primrosereel.bench import _texts as texts

__all__ = ['FaultHarness', 'KeyedCall', 'StreamCaller']

SERVICE = 'analyst'
PLAIN_SERVICE = 'office'
PLAIN_PATH = '/certifications'
CLIENT_ACCOUNT = 'records'
ENGINE_OPTIONS = {'reader_grace_s': 60.0, 'kv_eviction_s': 3.0}
# Generous timeout of a poll; no scenario measures time with it.
POLL_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 40.0
MIN_TOKENS_IN_PROGRESS = 4
HELD_COUNTERS = ('pieces_held', 'places_held')


class StreamCaller(threading.Thread):
    """Streams one completion and records the received text."""

    def __init__(self, url, prompt, max_tokens):
        super().__init__(daemon=True)
        self.url = url
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.result = load.Result(CLIENT_ACCOUNT)
        self.tokens = 0
        self.end_markers = 0
        self.disconnect = threading.Event()
        self.counted = False

    @property
    def is_complete(self):
        """Whether the text equals the expected one, with one end marker."""
        return (
            self.result.answered
            and self.end_markers == 1
            and self.result.text
            == standin.expected_answer(self.prompt, self.max_tokens)
        )

    @property
    def outcome(self):
        """How the received text compares with the expected one."""
        expected = standin.expected_answer(self.prompt, self.max_tokens)
        if self.is_complete:
            return 'whole'
        if self.result.text and expected.startswith(self.result.text):
            return 'cut'
        return 'wrong' if self.result.text else 'lost'

    def run(self):
        """Send the request and read until the end or a disconnect."""
        body = {
            'model': SERVICE,
            'prompt': self.prompt,
            'max_tokens': self.max_tokens,
            'stream': True,
        }
        headers = {'authorization': f'Bearer {texts.key_of(CLIENT_ACCOUNT)}'}
        try:
            with httpx.stream(
                'POST',
                f'{self.url}/v1/completions',
                json=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            ) as response:
                self._read(response)
        except httpx.HTTPError as error:
            self.result.reason = type(error).__name__

    def _read(self, response):
        self.result.status = response.status_code
        if response.status_code != 200:
            response.read()
            load._read_problem(self.result, response)
            return
        for line in response.iter_lines():
            if self.disconnect.is_set():
                return
            self.end_markers += line == 'data: [DONE]'
            length_before = len(self.result.text)
            load._process_line(self.result, line, 0.0, 0.0)
            self.tokens += len(self.result.text) > length_before


class KeyedCall(threading.Thread):
    """Sends one non-idempotent call with an idempotency key."""

    def __init__(self, url, key):
        super().__init__(daemon=True)
        self.url = url
        self.key = key
        self.status = 0
        self.reason = ''
        self.ran = ''

    def run(self):
        """Send the call and record status, reason and ran."""
        try:
            response = httpx.post(
                f'{self.url}/services/{PLAIN_SERVICE}{PLAIN_PATH}',
                headers={
                    'authorization': f'Bearer {texts.key_of(CLIENT_ACCOUNT)}',
                    'idempotency-key': self.key,
                },
                content=b'{"strike": 4711}',
                timeout=CALL_TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            self.reason = type(error).__name__
            return
        self.status = response.status_code
        if response.status_code != 200:
            result = load.Result(CLIENT_ACCOUNT)
            load._read_problem(result, response)
            self.reason, self.ran = result.reason, result.ran


class FaultHarness:
    """The fleet, the callers of a scenario, and the counts of a test run."""

    def __init__(self, daemons=3):
        self.fleet = fleet_module.Fleet(
            texts.demo(),
            daemons=daemons,
            engine_options=ENGINE_OPTIONS,
            seeds=True,
        )
        self.fleet.start()
        self._initial_text = copy.deepcopy(self.fleet.text)
        self.tally = collections.Counter()
        self.streams = []
        self.calls = []
        self._prompt_count = 0

    def daemon(self, number):
        """Return a daemon by its number, counted from 1."""
        return self.fleet.daemons[number - 1]

    def runners(self, role):
        """Return the names of the runners with a role."""
        return [
            name
            for service in self.fleet.text['services'].values()
            for name, options in service['runners'].items()
            if options['role'] == role
        ]

    def start_streams(self, count, max_tokens, numbers):
        """Start streams and distribute them over the daemons."""
        started = []
        for index in range(count):
            self._prompt_count += 1
            daemon = self.daemon(numbers[index % len(numbers)])
            prompt = f'Strike {self._prompt_count} of the mast. ' + 'x' * 4000
            started.append(StreamCaller(daemon.callers, prompt, max_tokens))
        for stream in started:
            stream.start()
        self.streams += started
        self.tally['streams'] += count
        return started

    def wait_in_progress(self, started):
        """Wait until each stream has tokens; fail when one has ended."""
        self.fleet.wait_for(
            lambda: all(s.tokens >= MIN_TOKENS_IN_PROGRESS for s in started),
            f'each stream has received tokens: {[s.result for s in started]}',
            POLL_TIMEOUT_S,
        )
        ended = [s.result for s in started if not s.is_alive()]
        assert not ended, (
            f'streams ended before the fault was injected: {ended}'
        )
        self.tally['streams in progress at a fault'] += len(started)

    def finish_streams(self):
        """Wait until every stream has ended and count each outcome once."""
        for stream in self.streams:
            stream.join(CALL_TIMEOUT_S * 2)
            assert not stream.is_alive(), (
                'a stream did not end before the timeout'
            )
            self.tally[f'answers {stream.outcome}'] += not stream.counted
            stream.counted = True

    def count_fault(self, name):
        """Count an injected fault."""
        self.tally['faults'] += 1
        self.tally[f'fault: {name}'] += 1

    def held_requests(self, runner):
        """Return the unfinished requests of an engine."""
        url = f'http://{self.fleet.addresses[runner]}/v1/requests'
        requests = httpx.get(url, timeout=5).json()['requests']
        return [r for r in requests if r['state'] != 'finished']

    def busiest_runner(self, role='decode'):
        """Return the runner of a role with the most unfinished requests."""
        runner = max(
            self.runners(role), key=lambda r: len(self.held_requests(r))
        )
        assert self.held_requests(runner), (
            f'no {role} engine has an unfinished request'
        )
        return runner

    def running_engines(self):
        """Return the engines whose processes run."""
        names = self.runners('prefill') + self.runners('decode')
        return [n for n in names if self.fleet.runners[n].is_running()]

    def is_memory_free(self):
        """Tell whether no engine holds KV pieces, places or requests."""
        return all(
            not self.held_requests(name)
            and not any(
                self.fleet.engine_counters(name)[h] for h in HELD_COUNTERS
            )
            for name in self.running_engines()
        )

    def wait_memory_free(self, timeout_s=POLL_TIMEOUT_S):
        """Wait until engine memory is free; return the elapsed seconds."""
        return self.fleet.wait_for(
            self.is_memory_free, 'engine memory is free', timeout_s
        )

    def replace_engine(self, runner):
        """Restart an engine with a new incarnation and without faults."""
        process = self.fleet.runners[runner]
        process.kill()
        process.start()
        self.fleet.wait_for(
            lambda: self.fleet.engine_counters(runner), f'{runner} answers'
        )

    def retries(self):
        """Return how often the daemons have retried a call to an upstream."""
        return sum(
            value
            for daemon in self.fleet.daemons
            for name, value in daemon.counters().items()
            if name.startswith('retry')
        )

    def counter_total(self, counter):
        """Return the sum of a counter over the engines."""
        return sum(
            self.fleet.engine_counters(n)[counter]
            for n in self.running_engines()
        )

    def wait_for_witnesses(self):
        """Wait until the witnesses accept claims of newly created keys."""
        time.sleep(max(0.0, demo.WITNESS_WARM_UP_S - self.fleet.age_s))

    def start_call(self, number, key):
        """Start a call with an idempotency key through a daemon."""
        call = KeyedCall(self.daemon(number).callers, key)
        call.start()
        self.calls.append(call)
        self.tally['keyed calls'] += 1
        return call

    def join_calls(self, calls=None):
        """Wait for some keyed calls, or for all."""
        for call in self.calls if calls is None else calls:
            call.join(CALL_TIMEOUT_S * 2)
            assert not call.is_alive(), (
                'a keyed call did not end before the timeout'
            )

    def status_of(self, number):
        """Return the status that a daemon reports to operators."""
        return self.daemon(number).operator_get('/status')

    def executions(self, key):
        """Return how often the call with a key was executed."""
        return self.fleet.executions(PLAIN_SERVICE, PLAIN_PATH, key)

    def set_plain_fault(self, **fault):
        """Set a fault on every plain runner."""
        for runner in self.runners('plain'):
            self.fleet.set_fault(runner, **fault)

    def save_outputs(self, folder):
        """Write what the processes printed, and the streams, to files."""
        folder.mkdir(parents=True, exist_ok=True)
        processes = [d.process for d in self.fleet.daemons]
        for process in (*processes, *self.fleet.runners.values()):
            file = folder / f'{time.time_ns()}-{process.name}.log'
            file.write_text(process.output())
        streams = [
            f'{s.url} {s.outcome} {s.tokens} tokens, alive {s.is_alive()}: '
            f'{s.result}'
            for s in self.streams
        ]
        (folder / f'{time.time_ns()}-streams.txt').write_text(
            '\n'.join(streams)
        )

    def restore(self):
        """Restore all processes and the text for the next scenario."""
        for stream in self.streams:
            stream.disconnect.set()
        self.streams, self.calls = [], []
        fleet = self.fleet
        fleet.set_platform_fault(down=False, list_down=False)
        for process in (*fleet.runners.values(), fleet.platform_process):
            process.signal(signal.SIGCONT)
        for process in fleet.runners.values():
            if not process.is_running():
                process.start()
        self.set_plain_fault(slow=1.0)
        for daemon in fleet.daemons:
            daemon.process.signal(signal.SIGCONT)
            if not daemon.process.is_running():
                daemon.process.start()
        for daemon in fleet.daemons:
            fleet.wait_ready(daemon)
        fleet.wait_listed()
        self._restore_text()

    def _restore_text(self):
        fleet = self.fleet
        if fleet.text == self._initial_text:
            return
        revision = fleet.publish(self._initial_text)
        fleet.wait_for(
            lambda: all(
                d.operator_get('/status')['revision'] == revision
                for d in fleet.daemons
            ),
            'every daemon has the initial text again',
        )
