"""Command that runs one stand-in: ``python -m primrosereel.standin engine``.

The first line on standard output is ``{"listening": "127.0.0.1:PORT"}``.
SIGTERM or SIGINT ends the process.
"""

import argparse
from collections.abc import Callable
from collections.abc import Coroutine
import signal
import sys
from typing import Any
from typing import NamedTuple

import anyio
from anyio import abc
import msgspec

from primrosereel.standin import _engine as engine
from primrosereel.standin import _http as http
from primrosereel.standin import _plain as plain
from primrosereel.standin import _platform as platform
from primrosereel.standin import _types as types

__all__ = ['add_arguments', 'main', 'run']

EXIT_USAGE = 2


class _Kind(NamedTuple):
    options: type
    serve: Callable[..., Coroutine[Any, Any, None]]


KINDS = {
    'engine': _Kind(types.EngineConfig, engine.serve_engine),
    'plain': _Kind(plain.PlainConfig, plain.serve_plain),
    'platform': _Kind(platform.PlatformConfig, platform.serve_platform),
}


async def _stop_on_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()
            return


async def _run(kind: _Kind, options: Any, listen: str) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, group.cancel_scope)
        await _announce(group, kind, options, listen)


async def _announce(
    group: abc.TaskGroup, kind: _Kind, options: Any, listen: str
) -> None:
    address = await group.start(kind.serve, options, listen)
    print(msgspec.json.encode({'listening': address}).decode(), flush=True)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments: kind, address and options of a stand-in."""
    parser.add_argument('kind', choices=sorted(KINDS))
    parser.add_argument('--listen', default='127.0.0.1:0', metavar='IP:PORT')
    parser.add_argument('--options', default='{}', metavar='JSON')


def run(parsed: argparse.Namespace) -> int:
    """Run one stand-in until a signal; return 2 for bad arguments."""
    kind = KINDS[parsed.kind]
    if not http.is_loopback(parsed.listen):
        return _usage_error(
            f'{parsed.listen} is not a loopback address and port'
        )
    try:
        options: Any = msgspec.json.decode(parsed.options, type=kind.options)
    except msgspec.DecodeError as error:
        return _usage_error(f'invalid options: {error}')
    anyio.run(_run, kind, options, parsed.listen)
    return 0


def _usage_error(message: str) -> int:
    print(f'stand-in: {message}', file=sys.stderr)
    return EXIT_USAGE


def main(arguments: list[str] | None = None) -> int:
    """Run one stand-in; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m primrosereel.standin')
    add_arguments(parser)
    return run(parser.parse_args(arguments))


if __name__ == '__main__':
    sys.exit(main())
