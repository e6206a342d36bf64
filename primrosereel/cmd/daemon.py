"""primrosereeld: runs the router.

Exit status: 0 after a graceful stop, 1 when the daemon could not run, 2 when
the settings cannot be read or have faults.
"""

import argparse
from collections.abc import Iterator
import pathlib
import sys

import anyio
from returns import pipeline

from primrosereel import daemon
from primrosereel import settings

__all__ = ['main']

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='primrosereeld',
        description='Routes requests to prefill and decode engines.',
    )
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='settings, JSON with comments',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        body = options.settings.read_bytes()
    except OSError as error:
        print(f'{options.settings}: {error.strerror}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    parsed = settings.parse(body)
    if not pipeline.is_successful(parsed):
        for fault in parsed.failure():
            print(f'{options.settings}: {fault}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        return 0
    return _serve(parsed.unwrap())


def _serve(parsed: settings.Settings) -> int:
    """Serve until stopped; print OS errors, such as an address in use."""
    status = 0
    try:
        anyio.run(daemon.serve, parsed, backend='asyncio')
    except* OSError as group:
        for error in _leaf_errors(group):
            print(f'primrosereeld: {error}', file=sys.stderr)
        status = EXIT_FAILED
    return status


def _leaf_errors(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Yield the errors of a group and of its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaf_errors(error)
        else:
            yield error


if __name__ == '__main__':
    sys.exit(main())
