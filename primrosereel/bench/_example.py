"""Runs an example as processes: its platform, stand-ins and daemons.

An example is a folder with ``text.json5`` and, under ``settings``, one file
for each daemon. All addresses come from these files.
"""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpx
from returns import pipeline

from primrosereel import settings as settings_module
from primrosereel import text as text_module
from primrosereel.bench import _fleet as fleet

__all__ = ['Example', 'ExampleError']

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.1
TAIL_CHARACTERS = 1500


class ExampleError(RuntimeError):
    """An example is not valid, or one of its processes failed."""


class Example:
    """The processes of one example, terminated on exit from the block."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._text_body = _read_file(folder / 'text.json5')
        self._text = _parse_file(text_module.parse, folder / 'text.json5')
        paths = sorted((folder / 'settings').glob('*.json5'))
        if not paths:
            raise ExampleError(f'{folder / "settings"} has no *.json5 files')
        self._settings = {
            path: _parse_file(settings_module.parse, path) for path in paths
        }
        self._daemons: list[fleet.Process] = []
        self._standins: list[fleet.Process] = []
        self._logs = tempfile.TemporaryDirectory(prefix='primrosereel-')

    @property
    def callers(self) -> dict[str, str]:
        """The base URL of each instance for callers."""
        return {
            settings.instance: f'http://{settings.callers.address}'
            for settings in self._settings.values()
        }

    def __enter__(self) -> 'Example':
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        self._stop()

    def ended(self) -> str | None:
        """Return the name and last output of a process that has ended."""
        for process in (*self._standins, *self._daemons):
            if not process.is_running():
                return f'{process.name}: {process.output()[-TAIL_CHARACTERS:]}'
        return None

    def _start(self) -> None:
        self._start_platform()
        for service in self._text.services.values():
            for name, runner in service.runners.items():
                self._start_runner(name, runner, service)
        for path, settings in self._settings.items():
            module = ['primrosereel.cmd.daemon', '--settings', str(path)]
            self._daemons.append(
                self._start_process(settings.instance, module)
            )
        self._wait_ready()

    def _start_platform(self) -> None:
        all_settings = list(self._settings.values())
        addresses = {
            settings.platform.configuration for settings in all_settings
        }
        addresses |= {settings.platform.instances for settings in all_settings}
        if len(addresses) != 1:
            raise ExampleError('the settings contain several platform URLs')
        candidates = [
            {
                'instance': settings.instance,
                'region': settings.region,
                'availability_zone': settings.availability_zone,
                'address': settings.peers.address,
                'operator_address': settings.operators.address,
            }
            for settings in all_settings
        ]
        options = {
            'text': self._text_body.decode(),
            'revision': 1,
            'candidates': candidates,
        }
        address = addresses.pop().partition('://')[2]
        self._start_standin('platform', 'platform', address, options)

    def _start_runner(
        self, name: str, runner: text_module.Runner, service: Any
    ) -> None:
        if service.model is None:
            options = {'runner': name, 'places': runner.places}
            self._start_standin(name, 'plain', runner.address, options)
            return
        model = self._text.models[service.model]
        options = {
            'runner': name,
            'role': runner.role.value,
            'places': runner.places,
            'pieces': runner.pieces,
            'piece_tokens': runner.piece_tokens,
            'link_bytes_s': runner.link_bytes_s,
            'checks_fencing': runner.checks_fencing,
            'kv_bytes_per_token': model.kv_bytes_per_token,
            'prefill_tokens_s': model.prefill_tokens_s,
            'decode_step_s': model.decode_step_s,
        }
        self._start_standin(name, 'engine', runner.address, options)

    def _start_standin(self, name, kind, address, options) -> None:
        module = ['primrosereel.standin', kind, '--listen', address]
        module += ['--options', json.dumps(options)]
        self._standins.append(self._start_process(name, module))

    def _start_process(self, name: str, module: list[str]) -> fleet.Process:
        log = pathlib.Path(self._logs.name) / f'{name}.log'
        process = fleet.Process(name, [sys.executable, '-m', *module], log)
        process.start()
        return process

    def _wait_ready(self) -> None:
        unready = {
            settings.operators.address for settings in self._settings.values()
        }
        deadline = time.monotonic() + READY_TIMEOUT_S
        while unready:
            ended = self.ended()
            if ended is not None:
                raise ExampleError(ended)
            if time.monotonic() > deadline:
                raise ExampleError(f'not ready: {", ".join(sorted(unready))}')
            time.sleep(POLL_S)
            unready = {a for a in unready if not _is_ready(a)}

    def _stop(self) -> None:
        """Terminate the daemons, which drain, and then the stand-ins."""
        for processes in (self._daemons, self._standins):
            for process in processes:
                process.signal(signal.SIGTERM)
            deadline = time.monotonic() + STOP_TIMEOUT_S
            for process in processes:
                try:
                    process.wait(max(0.1, deadline - time.monotonic()))
                except subprocess.TimeoutExpired:
                    process.kill()
        self._logs.cleanup()


def _is_ready(address: str) -> bool:
    try:
        return httpx.get(f'http://{address}/readyz').status_code == 200
    except httpx.HTTPError:
        return False


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise ExampleError(f'{path}: {error.strerror}') from error


def _parse_file(parse, path: pathlib.Path) -> Any:
    parsed = parse(_read_file(path))
    if not pipeline.is_successful(parsed):
        faults = '\n'.join(f'{path}: {fault}' for fault in parsed.failure())
        raise ExampleError(faults)
    return parsed.unwrap()
