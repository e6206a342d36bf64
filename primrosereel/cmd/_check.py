"""The ``check`` command."""

import argparse
from collections.abc import Sequence
import pathlib
import sys

from returns import pipeline

from primrosereel import _options
from primrosereel import platform
from primrosereel import text
from primrosereel.cmd import _command as command

__all__ = ['CheckCommand']

EXIT_WARNINGS = 1
EXIT_ERRORS = 2


class CheckCommand:
    """Checks what operators write, without putting it into force."""

    summary = (
        "Checks an operators' text, or a gateway's configuration, and prints "
        'each fault with its path.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        checked = parser.add_mutually_exclusive_group(required=True)
        checked.add_argument(
            'text', type=pathlib.Path, metavar='TEXT', nargs='?'
        )
        checked.add_argument(
            '--gateway',
            type=pathlib.Path,
            metavar='CONFIGURATION',
            help="check a gateway's configuration",
        )
        parser.add_argument(
            '--against',
            type=pathlib.Path,
            metavar='IN-FORCE',
            help='with --gateway: print what differs from this configuration',
        )
        command.add_json(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when the text has faults, 2 when it cannot be read.

        Of a gateway's configuration, 1 when there are only warnings, and 2
        when it has errors too.
        """
        if options.against is not None and options.gateway is None:
            print('--against needs --gateway', file=sys.stderr)
            return EXIT_ERRORS
        paths = [options.gateway or options.text]
        if options.against is not None:
            paths.append(options.against)
        bodies = []
        for path in paths:
            try:
                bodies.append(path.read_bytes())
            except OSError as error:
                print(f'{path}: {error.strerror}', file=sys.stderr)
                return EXIT_ERRORS
        if options.gateway is not None:
            findings = platform.check_configuration(*bodies)
            return _print_findings(options, findings)
        return _check_text(options, bodies[0])


def _check_text(options: argparse.Namespace, body: bytes) -> int:
    parsed = text.parse(body)
    faults: tuple[_options.Fault, ...] = ()
    if not pipeline.is_successful(parsed):
        faults = parsed.failure()
    if options.json:
        rows = [
            {'path': f.path, 'value': repr(f.value), 'allowed': f.allowed}
            for f in faults
        ]
        command.print_result({'faults': rows}, True)
    else:
        for fault in faults:
            print(f'{options.text}: {fault}')
    return 1 if faults else 0


def _print_findings(
    options: argparse.Namespace, findings: Sequence[platform.Finding]
) -> int:
    """Print the findings on a configuration; return the exit status."""
    if options.json:
        rows = [
            {'severity': f.severity.value, 'path': f.path, 'text': f.text}
            for f in findings
        ]
        command.print_result({'findings': rows}, True)
    else:
        for f in findings:
            place = f'{options.gateway}: {f.severity.value}: {f.path}'
            print(f'{place}: {f.text}')
    severities = {finding.severity for finding in findings}
    if platform.Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if platform.Severity.WARNING in severities else 0
