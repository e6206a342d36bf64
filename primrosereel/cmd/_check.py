"""The ``check`` command."""

import argparse
import pathlib
import sys

from returns import pipeline

from primrosereel import _options
from primrosereel import text
from primrosereel.cmd import _command as command

__all__ = ['CheckCommand']


class CheckCommand:
    """Checks an operators' text without putting it into force."""

    summary = "Checks an operators' text and prints each fault with its path."

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        parser.add_argument('text', type=pathlib.Path, metavar='TEXT')
        command.add_json(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when the text has faults, 2 when it cannot be read."""
        try:
            body = options.text.read_bytes()
        except OSError as error:
            print(f'{options.text}: {error.strerror}', file=sys.stderr)
            return 2
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
