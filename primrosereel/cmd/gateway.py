"""primrosereel-gateway: serves callers on the users' platform.

Exit status: 0 after a graceful stop, 2 when the settings cannot be used.
"""

import argparse
import asyncio
from concurrent import futures
import pathlib
import signal
import sys
from typing import Any

import anyio
from returns import pipeline

from primrosereel import _registry as registry
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _heap as heap
from primrosereel.gateway import _log as log_module
from primrosereel.gateway import _settings as settings_module
from primrosereel.gateway import _signals as signals
from primrosereel.platform import _settings as platform_settings

__all__ = ['main']

EXIT_BAD_SETTINGS = 2
# The time that a reader of the log has for what waits as the process ends.
LAST_LOG_S = 0.1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='primrosereel-gateway',
        description="Routes requests on the users' platform.",
    )
    parser.add_argument(
        '--policy',
        choices=registry.names('routing-policy'),
        default=composition.DEFAULT_POLICY,
        help='policy that selects the runners of requests',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=0,
        metavar='PORT',
        help='port of the metrics at /metrics; 0 for none',
    )
    parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    return parser


class _Reloader:
    """Reads the settings again if the file has changed."""

    def __init__(self, path: pathlib.Path, body: bytes, log: Any) -> None:
        self._path = path
        self._body = body
        self._log = log

    def read(self) -> settings_module.GatewaySettings | None:
        """Return the settings if they have changed and are valid, or None."""
        try:
            body = self._path.read_bytes()
        except OSError as error:
            self._log.warning('settings not read', detail=str(error))
            return None
        if body == self._body:
            return None
        self._body = body
        parsed = platform.read_settings(body)
        if pipeline.is_successful(parsed):
            return parsed.unwrap()
        self._log.error('settings refused', detail=parsed.failure())
        return None


def main(arguments: list[str] | None = None) -> int:
    """Run the gateway; return the exit status."""
    options = _parser().parse_args(arguments)
    path = platform_settings.settings_path()
    try:
        body = path.read_bytes()
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    parsed = platform.read_settings(body)
    if not pipeline.is_successful(parsed):
        print(f'{path}: {parsed.failure()}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = parsed.unwrap()
    if options.check:
        return 0
    heap.return_large_blocks()
    writer = log_module.BoundedWriter(sys.stdout.fileno())
    log = log_module.configure(writer, instance=settings.instance)
    gateway = composition.Gateway(
        settings,
        platform.Dialect(),
        platform.Store,
        log,
        composition.Options(
            options.policy,
            options.metrics_port,
            _Reloader(path, body, log).read,
            _block_signals,
        ),
    )
    try:
        anyio.run(_run, gateway, backend='asyncio')
    finally:
        writer.drain(LAST_LOG_S)
    return 0


def _block_signals() -> None:
    """Block the handled signals in the calling thread.

    Their default action would end a process that has just stopped gracefully
    with the status of the signal.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED)


async def _run(gateway: composition.Gateway) -> None:
    """Run the gateway; only the main thread receives signals."""
    executor = futures.ThreadPoolExecutor(initializer=_block_signals)
    asyncio.get_running_loop().set_default_executor(executor)
    await gateway.run()


if __name__ == '__main__':
    sys.exit(main())
