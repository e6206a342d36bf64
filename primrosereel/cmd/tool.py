"""primrosereel: the command-line tool.

Exit status: 0 on success, 1 when the command failed or found faults, 2 for
wrong usage.
"""

import argparse
import sys

from primrosereel import __version__
from primrosereel import _registry as registry

__all__ = ['main']

EXIT_USAGE = 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='primrosereel',
        description='Checks, inspects, runs and benchmarks the router.',
        epilog='"primrosereel COMMAND --help" describes a command.',
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument('command', choices=registry.names('command'))
    parser.add_argument('arguments', nargs=argparse.REMAINDER)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return the exit status."""
    options = _parser().parse_args(arguments)
    command = registry.load('command', options.command)()
    parser = argparse.ArgumentParser(
        prog=f'primrosereel {options.command}', description=command.summary
    )
    command.add_arguments(parser)
    return command.run(parser.parse_args(options.arguments))


if __name__ == '__main__':
    sys.exit(main())
