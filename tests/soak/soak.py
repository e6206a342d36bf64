"""A soak test of gateway processes with stand-ins and random faults.

Three processes serve callers while processes are killed, paused and stopped,
links to the runners and the metadata store are disturbed, runners fail and
drain, some prompts crash the runner that answers them, the store comes back
from a copy, and the configuration changes. Faults overlap. The responses to
callers and the executions on runners are checked for these guarantees: a
response is correct and in order, a non-idempotent request runs at most once
and never after a refusal that says it did not run, the gateway recovers, and
it ends with the last configuration. A seed fixes the faults and requests, but
not their exact timing.

Run it directly: ``python -m tests.soak --seeds 50 --first 1000 --seconds 10``.
"""

import collections
import functools
import json
import pathlib
import random
import signal
import tempfile

import anyio

from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from primrosereel.standin import _operator_config as operator_config
from tests import gateway_fleet
from tests.soak import gateway_process
from tests.soak import links
from tests.soak import store_return

__all__ = ['Soak', 'run']

Fault = listed_runner.Fault
RUNNERS = (
    *((f'p{n}', 'llm', 'prefill') for n in range(2)),
    *((f'd{n}', 'llm', 'decode') for n in range(3)),
    *((f's{n}', 'plain', None) for n in range(3)),
)
# Decode runners without a link: while one is down after a crash, its port
# refuses connections, as a process's does.
UNLINKED_RUNNERS = (('e0', 'llm', 'decode'), ('e1', 'llm', 'decode'))
# The share of streams whose prompts crash the decode runner.
DEADLY_SHARE = 0.04
DEADLY_PART = 'dead'
EVENTS_PER_STREAM = 12
PATHS = ('/read/1', '/file/1', '/ask/1', '/once/1')
AT_MOST_ONCE_PATHS = ('/file/1', '/once/1')
# Refusals that state that no runner has executed the request.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REQUESTS_PER_S = 25.0
START_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 12.0


class Soak:
    """One soak run; ``violations`` lists the guarantees that did not hold."""

    def __init__(self, seed, seconds):
        self._random = random.Random(seed)
        # Random sources of their own leave each seed's other faults as they
        # are.
        self._prompts_random = random.Random(seed + 1)
        self._returns_random = random.Random(seed + 2)
        self._seconds = seconds
        self._load_end = 0.0
        self._version = 1
        self._request_count = 0
        self._refused_ids = set()
        self.violations = []
        self.outcomes = collections.Counter()
        self.faults = collections.Counter()

    async def run(self):
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                await self._start(tasks, pathlib.Path(folder))
                try:
                    await self._run_load()
                finally:
                    for process in self._processes:
                        process.signal(signal.SIGCONT)
                        process.signal(signal.SIGKILL)
                        process.popen.wait()
                self._check_logs()
                tasks.cancel_scope.cancel()

    async def _start(self, tasks, folder):
        self._store = metadata_store.MetadataStore()
        await tasks.start(self._store.server.serve)
        self._store.put('op/config', operator_config.configuration())
        self._store_link = links.Link(self._store.server.port)
        await tasks.start(self._store_link.serve)
        self._runners, self._links = {}, {}
        for name, service, stage in (*RUNNERS, *UNLINKED_RUNNERS):
            options = listed_runner.RunnerOptions(
                name,
                service,
                stage,
                events=EVENTS_PER_STREAM,
                event_s=0.05,
                deadly_part=DEADLY_PART,
            )
            runner = self._runners[name] = listed_runner.ListedRunner(options)
            runner.on_crash = functools.partial(self._record_crash, name)
            await tasks.start(runner.server.serve)
        for name, *_ in RUNNERS:
            link = links.Link(self._runners[name].server.port)
            await tasks.start(link.serve)
            self._links[name] = link
        for name in self._runners:
            self._publish_runner(name, 'ready')
        peer = gateway_fleet.free_port()
        self._processes = [
            gateway_process.GatewayProcess(
                number, folder, self._store_link.port, peer
            )
            for number in range(len(gateway_process.HOSTS))
        ]
        for process in self._processes:
            process.start()
        for process in self._processes:
            await process.wait_ready(START_TIMEOUT_S)

    def _publish_runner(self, name, state):
        entry = self._runners[name].entry(state)
        if name in self._links:
            entry['address'] = f'127.0.0.1:{self._links[name].port}'
        self._store.put(f'servers/{name}', entry)

    def _record_crash(self, name):
        self.faults['runner crashed'] += 1
        self._publish_runner(name, 'ready')

    async def _run_load(self):
        self._load_end = anyio.current_time() + self._seconds
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cause_faults, tasks)
            while anyio.current_time() < self._load_end:
                tasks.start_soon(
                    self._send_request, self._random.choice(PATHS)
                )
                wait_s = self._random.expovariate(REQUESTS_PER_S)
                await anyio.sleep(wait_s)
        await self._check_recovery()
        self._check_runs()

    # Requests.

    async def _send_request(self, path):
        self._request_count += 1
        request_id = f'r{self._request_count}'
        process = self._random.choice(self._processes)
        cancel_after_s = None
        if self._random.random() < 0.1:
            cancel_after_s = self._random.uniform(0.05, 0.5)
        address = model.Address(process.host, process.callers)
        parts = ['system']
        load_ends = anyio.current_time() >= self._load_end
        if self._prompts_random.random() < DEADLY_SHARE and not load_ends:
            parts.append(DEADLY_PART)
        headers = {
            'Deadline_Ms': 4000,
            'Token_Usage': '2000,100',
            'Prompt_Prefix': ''.join(f'{p}:100,' for p in parts)
            + f'{request_id}:1800',
        }
        reply = None
        with anyio.move_on_after(
            cancel_after_s if cancel_after_s else 8.0
        ) as scope:
            try:
                async with gateway_fleet.Client(address) as client:
                    reply = await client.ask(
                        path, request_id, method='POST', **headers
                    )
            except (OSError, anyio.BrokenResourceError):
                self.outcomes['connection lost'] += 1
                return
        if scope.cancelled_caught and cancel_after_s is None:
            self.outcomes['no answer'] += 1
        if reply is not None:
            self._check_reply(path, request_id, reply)

    def _check_reply(self, path, request_id, reply):
        outcome = f'{reply.status}' + ('' if reply.complete else ' cut')
        self.outcomes[outcome] += 1
        if (
            reply.status in NOT_EXECUTED_STATUSES
            and path in AT_MOST_ONCE_PATHS
        ):
            self._refused_ids.add(request_id)
        if reply.status != 200:
            return
        expected = f'answer to {request_id}'.encode()
        if path in ('/ask/1', '/once/1'):
            parts = reply.body.split(b'\n\n')
            expected = _stream_body(EVENTS_PER_STREAM)
            if not reply.complete:
                # The received part of an interrupted stream must be in order
                # and without duplicates.
                expected = _stream_body(len(parts) - 1)
        elif not reply.complete:
            return
        if reply.body != expected:
            self.violations.append(
                f'{path} {request_id}: {reply.body[:80]!r} instead of '
                f'{expected[:80]!r}, complete {reply.complete}'
            )

    # Faults.

    async def _cause_faults(self, tasks):
        fault_methods = (
            self._kill_process,
            self._pause_process,
            self._stop_process,
            self._reload_settings,
            self._disturb_runner,
            self._disturb_store,
            self._fail_runner,
            self._drain_runner,
            self._publish_configuration,
        )
        tasks.start_soon(self._return_store)
        while anyio.current_time() < self._load_end:
            fault_method = self._random.choice(fault_methods)
            self.faults[fault_method.__name__] += 1
            tasks.start_soon(fault_method)
            await anyio.sleep(self._random.uniform(0.1, 1.0))

    async def _kill_process(self):
        process = self._random.choice(self._processes)
        wait_s = self._random.uniform(0.1, 1.0)
        async with process.fault_lock:
            process.signal(signal.SIGKILL)
            await process.wait_exit(2.0)
            await anyio.sleep(wait_s)
            process.start()

    async def _pause_process(self):
        process = self._random.choice(self._processes)
        pause_s = self._random.uniform(0.3, 2.0)
        async with process.fault_lock:
            process.signal(signal.SIGSTOP)
            await anyio.sleep(pause_s)
            process.signal(signal.SIGCONT)

    async def _stop_process(self):
        process = self._random.choice(self._processes)
        async with process.fault_lock:
            # SIGTERM kills a process that has not installed its handlers yet.
            try:
                await process.wait_ready(3.0)
            except TimeoutError:
                return
            process.signal(signal.SIGTERM)
            status = await process.wait_exit(8.0)
            if status != 0:
                self.violations.append(f'exit status {status} after SIGTERM')
            process.signal(signal.SIGKILL)
            await process.wait_exit(2.0)
            process.start()

    async def _reload_settings(self):
        process = self._random.choice(self._processes)
        async with process.fault_lock:
            try:
                await process.wait_ready(3.0)
            except TimeoutError:
                return
            process.touch_settings()
            process.signal(signal.SIGHUP)

    async def _disturb_runner(self):
        link = self._links[self._random.choice(RUNNERS)[0]]
        mode = self._random.choice(list(links.Mode)[1:])
        wait_s = self._random.uniform(0.2, 2.0)
        link.set_mode(mode)
        await anyio.sleep(wait_s)
        link.set_mode(links.Mode.PASS)

    async def _disturb_store(self):
        choice = self._random.random()
        wait_s = self._random.uniform(0.3, 3.0)
        if choice < 0.3:
            self._store.forget_history()
        elif choice < 0.6:
            modes = list(metadata_store.StoreMode)
            self._store.mode = self._random.choice(modes)
            await anyio.sleep(wait_s)
            self._store.mode = modes[0]
        else:
            self._store_link.set_mode(
                self._random.choice(list(links.Mode)[1:])
            )
            await anyio.sleep(wait_s)
            self._store_link.set_mode(links.Mode.PASS)

    async def _return_store(self):
        await store_return.return_from_copy(
            self._store,
            self._returns_random,
            functools.partial(
                self._publish_configuration, self._returns_random
            ),
        )

    async def _fail_runner(self):
        """Queue four random faults on each of half of the runners."""
        for name, *_ in self._random.sample(RUNNERS, len(RUNNERS) // 2):
            faults = self._random.choices(list(Fault), k=4)
            self._runners[name].faults.extend(faults)

    async def _drain_runner(self):
        name = self._random.choice(RUNNERS)[0]
        wait_s = self._random.uniform(0.5, 2.0)
        self._publish_runner(name, 'draining')
        await anyio.sleep(wait_s)
        if self._random.random() < 0.5:
            self._store.delete(f'servers/{name}')
            await anyio.sleep(wait_s)
        self._publish_runner(name, 'ready')

    async def _publish_configuration(self, random_source=None):
        self._version += (random_source or self._random).randint(1, 3)
        self._store.put(
            'op/config', operator_config.configuration(self._version)
        )

    # Checks after the faults.

    async def _check_recovery(self):
        for runner in self._runners.values():
            runner.faults.clear()
        for name, *_ in RUNNERS:
            self._publish_runner(name, 'ready')
        self._store.mode = next(iter(metadata_store.StoreMode))
        for process in self._processes:
            try:
                await process.wait_ready(RECOVERY_TIMEOUT_S)
            except TimeoutError:
                self.violations.append(
                    f'{process.host} did not become ready after the faults'
                )
                return
        await self._return_store()
        # The gateway avoids runners that failed for a few seconds.
        await anyio.sleep(5.0)
        before = self.outcomes['200']
        for path in PATHS * 5:
            await self._send_patient_request(path)
        served = self.outcomes['200'] - before
        if served < 0.9 * len(PATHS) * 5:
            self.violations.append(
                f'{served} of 20 requests succeeded after the faults'
            )

    async def _send_patient_request(self, path):
        # The random early disconnect of callers must not affect this check.
        state, self._random = (
            self._random,
            _PatientRandom(self._random.random()),
        )
        try:
            await self._send_request(path)
        finally:
            self._random = state

    def _check_runs(self):
        run_counts = collections.Counter()
        for runner in self._runners.values():
            run_counts.update(runner.runs)
            if runner.running:
                self.violations.append(
                    f'{runner.options.runner} still runs {runner.running}'
                )
        for request_id in self._refused_ids:
            if run_counts[request_id]:
                self.violations.append(
                    f'{request_id} ran although it was refused'
                )
        at_most_once_ids = {
            request.headers['request-id']
            for runner in self._runners.values()
            for request in runner.requests
            if request.path in AT_MOST_ONCE_PATHS
        }
        for request_id in at_most_once_ids:
            if run_counts[request_id] > 1:
                self.violations.append(
                    f'{request_id} ran {run_counts[request_id]} times'
                )

    def _check_logs(self):
        self.violations += store_return.older_versions(
            self._processes, self._version
        )
        for process in self._processes:
            for line in process.log.read_text().splitlines():
                try:
                    event = json.loads(line).get('event')
                except json.JSONDecodeError:
                    # A killed process may leave an incomplete last line.
                    continue
                if event == 'part failed':
                    self.violations.append(line[:2000])


class _PatientRandom(random.Random):
    """Random choices of a caller that does not disconnect early."""

    def random(self):
        return 0.5 + super().random() / 2


def _stream_body(events):
    return b''.join(
        f'id: {number}\ndata: token {number}\n\n'.encode()
        for number in range(1, events + 1)
    )


def run(seed, seconds):
    """Run the soak test with a seed and return the finished run."""
    soak = Soak(seed, seconds)
    anyio.run(soak.run)
    return soak
