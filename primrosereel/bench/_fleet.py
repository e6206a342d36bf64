"""Runs stand-ins and daemons as separate processes on loopback.

The demonstration, the measurements and the scenario tests use it::

    with Fleet(text, daemons=2) as fleet:
        httpx.get(f'{fleet.daemons[0].callers}/v1/models', headers=...)

On exit from the block each process is terminated by its process id.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import copy
import dataclasses
import hashlib
import json
import math
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpx

from primrosereel.bench import _ports as ports

__all__ = ['DaemonProcess', 'Fleet', 'FleetError', 'Process']

HOST = ports.HOST
OPERATOR_TOKEN = 'demo-operator'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05


class FleetError(RuntimeError):
    """A process did not start, or a condition was not met in time."""


class Process:
    """One child process and its address."""

    def __init__(self, name: str, command: Sequence[str], log: pathlib.Path):
        self.name = name
        self.address = ''
        self._command = command
        self._log = log
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """The process id; raises FleetError before the start."""
        if self._child is None:
            raise FleetError(f'{self.name} was not started')
        return self._child.pid

    def start(self) -> None:
        """Start the process and write its output to its log file."""
        with open(self._log, 'ab') as log:
            self._child = subprocess.Popen(
                self._command, stdout=log, stderr=subprocess.STDOUT
            )

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float | None = None) -> int:
        """Wait for the end of the process and return its exit status."""
        assert self._child is not None
        return self._child.wait(timeout_s)

    def output(self) -> str:
        """Return what the process has printed so far."""
        return self._log.read_text(errors='replace')


@dataclasses.dataclass
class DaemonProcess:
    """A daemon process and its base URLs."""

    instance: str
    process: Process
    callers: str
    operators: str
    peers: str
    availability_zone: str

    def operator_get(self, path: str) -> Any:
        """Return the JSON document at a path of the operators' port."""
        response = httpx.get(
            f'{self.operators}{path}',
            headers={'authorization': f'Bearer {OPERATOR_TOKEN}'},
            timeout=5,
        )
        return response.json()

    def counters(self) -> dict[str, int]:
        """Return the daemon's counters."""
        return self.operator_get('/status')['counters']


class Fleet:
    """A platform stand-in, a stand-in for each runner, and daemons."""

    def __init__(
        self,
        text: Mapping[str, Any],
        daemons: int = 2,
        region: str = 'dk-east',
        availability_zones: Sequence[str] = ('dk-east-a',),
        engine_options: Mapping[str, Any] | None = None,
        settings: Mapping[str, Any] | None = None,
        seeds: bool = False,
    ) -> None:
        self.text = copy.deepcopy(dict(text))
        self.daemons: list[DaemonProcess] = []
        self.runners: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self._daemon_count = daemons
        self._region = region
        self._availability_zones = availability_zones
        self._engine_options = dict(engine_options or {})
        self._settings = dict(settings or {})
        # Chosen before the first daemon starts, because each daemon's
        # settings contain the addresses of all others.
        self._seed_addresses = (
            {
                name: f'{HOST}:{ports.free_port()}'
                for name in self._instance_names()
            }
            if seeds
            else {}
        )
        self._folder = tempfile.TemporaryDirectory(prefix='primrosereel-')
        self._platform_address = ''
        self._platform: Process | None = None
        self._all_listed_at = math.inf

    @property
    def age_s(self) -> float:
        """Seconds since every daemon listed all others."""
        return time.monotonic() - self._all_listed_at

    @property
    def platform(self) -> str:
        """Base URL of the platform stand-in."""
        return f'http://{self._platform_address}'

    @property
    def platform_process(self) -> Process:
        """The process of the platform stand-in."""
        assert self._platform is not None
        return self._platform

    def __enter__(self) -> 'Fleet':
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start everything and wait until every daemon is ready."""
        self._start_platform()
        for service in self.text['services'].values():
            for runner, runner_text in service['runners'].items():
                self._start_runner(runner, runner_text, service)
        self.publish()
        for instance in self._instance_names():
            self.add_daemon(instance, wait=False)
        self._publish_candidates()
        for daemon in self.daemons:
            self.wait_ready(daemon)
        self.wait_listed()
        self._all_listed_at = time.monotonic()

    def stop(self) -> None:
        """Terminate all processes; kill those that outlast the timeout."""
        processes = [d.process for d in self.daemons]
        processes += list(self.runners.values())
        if self._platform is not None:
            processes.append(self._platform)
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            if not process.is_running():
                continue
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        self._folder.cleanup()

    def start_process(self, name: str, command: Sequence[str]) -> Process:
        """Start another child process, which the caller must end."""
        process = Process(name, command, self._file_path(f'{name}.log'))
        process.start()
        return process

    def publish(self, text: Mapping[str, Any] | None = None) -> int:
        """Publish a text at the platform and return its revision."""
        if text is not None:
            self.text = copy.deepcopy(dict(text))
        response = httpx.put(
            f'{self.platform}/standin/configuration',
            content=json.dumps(self.text),
        )
        response.raise_for_status()
        return response.json()['revision']

    def add_daemon(self, instance: str, wait: bool = True) -> DaemonProcess:
        """Start another daemon.

        With ``wait`` publish it to the instance list and wait until it is
        ready.
        """
        daemon = self._make_daemon(instance)
        self.daemons.append(daemon)
        daemon.process.start()
        if wait:
            self._publish_candidates()
            self.wait_ready(daemon)
        return daemon

    def restart_daemon(self, daemon: DaemonProcess) -> None:
        """Restart a daemon's process after it has ended."""
        daemon.process.start()
        self.wait_ready(daemon)

    def wait_ready(self, daemon: DaemonProcess) -> None:
        """Wait until a daemon reports that it is ready."""

        def is_ready() -> bool:
            return httpx.get(f'{daemon.operators}/readyz').status_code == 200

        self.wait_for(is_ready, f'{daemon.instance} is ready')

    def wait_listed(self) -> None:
        """Wait until every daemon lists all others."""
        instances = {d.instance for d in self.daemons}

        def is_listed() -> bool:
            return all(instances <= _listed_instances(d) for d in self.daemons)

        self.wait_for(is_listed, 'every daemon lists every other')

    def wait_for(
        self, condition, description: str, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Poll a condition until it is true; return the elapsed seconds."""
        started = time.monotonic()
        while time.monotonic() - started < timeout_s:
            try:
                if condition():
                    return time.monotonic() - started
            except httpx.HTTPError:
                pass
            time.sleep(POLL_S)
        raise FleetError(
            f'condition not met within {timeout_s} s: {description}\n'
            f'{self._log_tails()}'
        )

    def set_fault(self, runner: str, **fault: Any) -> None:
        """Set a fault of a runner's stand-in."""
        self._post(f'http://{self.addresses[runner]}/standin/faults', fault)

    def set_platform_fault(self, **fault: Any) -> None:
        """Set a fault of the platform stand-in."""
        self._post(f'{self.platform}/standin/faults', fault)

    def engine_counters(self, runner: str) -> dict[str, Any]:
        """Return the counters of a runner's stand-in."""
        url = f'http://{self.addresses[runner]}/standin/counters'
        return httpx.get(url, timeout=5).json()

    def executions(self, service: str, path: str, key: str) -> int:
        """Return how often a keyed call ran, summed over all runners."""
        total = 0
        for runner in self.text['services'][service]['runners']:
            url = f'http://{self.addresses[runner]}/standin/executions'
            executions = httpx.get(url, timeout=5).json()
            total += executions.get(path, {}).get(key, 0)
        return total

    def _instance_names(self) -> list[str]:
        return [f'entry-{n}' for n in range(1, self._daemon_count + 1)]

    def _post(self, url: str, body: Mapping[str, Any]) -> None:
        httpx.post(url, json=dict(body), timeout=5).raise_for_status()

    def _file_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._folder.name) / name

    def _start_platform(self) -> None:
        self._platform_address = f'{HOST}:{ports.free_port()}'
        self._platform = self._start_standin(
            'platform', 'platform', self._platform_address, {}
        )
        self.wait_for(
            lambda: httpx.get(f'{self.platform}/v1/instances'),
            'the platform answers',
        )

    def _start_runner(
        self, runner: str, runner_text: dict, service: dict
    ) -> None:
        address = f'{HOST}:{ports.free_port()}'
        runner_text['address'] = self.addresses[runner] = address
        if service['kind'] == 'plain':
            self.runners[runner] = self._start_standin(
                runner, 'plain', address, {}
            )
            return
        model = self.text['models'][service['model']]
        options = {
            'runner': runner,
            'role': runner_text['role'],
            'places': runner_text.get('places', 20),
            'pieces': runner_text.get('pieces', 200),
            'piece_tokens': runner_text.get('piece_tokens', 2000),
            'link_bytes_s': runner_text.get('link_bytes_s', 10e9),
            'kv_bytes_per_token': model['kv_bytes_per_token'],
            'prefill_tokens_s': model['prefill_tokens_s'],
            'decode_step_s': model['decode_step_s'],
            **self._engine_options,
        }
        self.runners[runner] = self._start_standin(
            runner, 'engine', address, options
        )

    def _start_standin(self, name, kind, address, options) -> Process:
        command = [
            sys.executable,
            '-m',
            'primrosereel.standin',
            kind,
            '--listen',
            address,
            '--options',
            json.dumps(options),
        ]
        return self.start_process(name, command)

    def _make_daemon(self, instance: str) -> DaemonProcess:
        callers, operators = (f'{HOST}:{ports.free_port()}' for _ in range(2))
        peers = (
            self._seed_addresses.get(instance) or f'{HOST}:{ports.free_port()}'
        )
        availability_zone = self._availability_zones[
            len(self.daemons) % len(self._availability_zones)
        ]
        token_sha256 = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        settings = {
            'instance': instance,
            'region': self._region,
            'availability_zone': availability_zone,
            'callers': {'address': callers},
            'operators': {'address': operators, 'token_sha256': token_sha256},
            'peers': {'address': peers, 'seeds': self._seed_addresses},
            'platform': {
                'configuration': self.platform,
                'instances': self.platform,
            },
            'drain': {'grace_s': 0.5, 'limit_s': 60},
            **self._settings,
        }
        path = self._file_path(f'{instance}.json5')
        path.write_text(json.dumps(settings))
        command = [
            sys.executable,
            '-m',
            'primrosereel.cmd.daemon',
            '--settings',
            str(path),
        ]
        process = Process(
            instance, command, self._file_path(f'{instance}.log')
        )
        return DaemonProcess(
            instance,
            process,
            f'http://{callers}',
            f'http://{operators}',
            peers,
            availability_zone,
        )

    def _publish_candidates(self) -> None:
        candidates = [
            {
                'instance': d.instance,
                'region': self._region,
                'availability_zone': d.availability_zone,
                'address': d.peers,
                'operator_address': d.operators.removeprefix('http://'),
            }
            for d in self.daemons
        ]
        httpx.put(
            f'{self.platform}/standin/candidates', json=candidates
        ).raise_for_status()

    def _log_tails(self) -> str:
        """Return the end of each daemon's output, for an error message."""
        return '\n'.join(
            f'--- {d.instance}\n{d.process.output()[-1500:]}'
            for d in self.daemons
        )


def _listed_instances(daemon: DaemonProcess) -> set[str]:
    return set(daemon.operator_get('/status')['listing']['instances'])
