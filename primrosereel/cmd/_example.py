"""The ``run-example`` command."""

import argparse
import pathlib
import signal
import sys
import time

from primrosereel.bench import _example as example
from primrosereel.cmd import _command as command

__all__ = ['RunExampleCommand']

POLL_INTERVAL_S = 0.5


class _Stopped(Exception):
    """SIGINT or SIGTERM was received."""


class RunExampleCommand:
    """Runs an example's stand-ins, platform and daemons until stopped."""

    summary = (
        'Starts the stand-ins, the platform and all daemons of an example on '
        "loopback, prints the callers' addresses, and stops all at SIGINT or "
        'SIGTERM.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        parser.add_argument('folder', type=pathlib.Path, metavar='DIR')
        command.add_json(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when a process failed or the example has faults."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, _raise_stopped)
        try:
            with example.Example(options.folder) as running:
                command.print_result(running.callers, options.json)
                sys.stdout.flush()
                return _wait_for_end(running)
        except _Stopped:
            return 0
        except example.ExampleError as error:
            print(error, file=sys.stderr)
            return 1


def _wait_for_end(running: example.Example) -> int:
    """Wait for a signal, or until a process ends by itself."""
    while True:
        ended = running.ended()
        if ended is not None:
            print(ended, file=sys.stderr)
            return 1
        time.sleep(POLL_INTERVAL_S)


def _raise_stopped(number: int, frame: object) -> None:
    # A second signal must not interrupt the shutdown of the processes.
    for other in (signal.SIGINT, signal.SIGTERM):
        signal.signal(other, signal.SIG_IGN)
    raise _Stopped
