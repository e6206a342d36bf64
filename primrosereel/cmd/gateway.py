"""primrosereel-gateway: serves callers on the users' platform.

Exit status: 0 after a graceful stop, 2 when the settings cannot be used.
"""

import argparse
import sys

import anyio
from returns import pipeline

from primrosereel import _registry as registry
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _log as log_module
from primrosereel.platform import _settings as platform_settings

__all__ = ['main']

EXIT_SETTINGS = 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='primrosereel-gateway',
        description="Routes requests on the users' platform.",
    )
    parser.add_argument(
        '--placement',
        choices=registry.names('runner-placement'),
        default=composition.DEFAULT_PLACEMENT,
        help='how a runner is chosen',
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the gateway; return the exit status."""
    options = _parser().parse_args(arguments)
    path = platform_settings.settings_path()
    try:
        body = path.read_bytes()
    except OSError as error:
        print(f'{path}: {error.strerror}', file=sys.stderr)
        return EXIT_SETTINGS
    parsed = platform.read_settings(body)
    if not pipeline.is_successful(parsed):
        print(f'{path}: {parsed.failure()}', file=sys.stderr)
        return EXIT_SETTINGS
    settings = parsed.unwrap()
    log = log_module.configure(
        log_module.BoundedWriter(sys.stdout.fileno()),
        instance=settings.instance,
    )
    gateway = composition.Gateway(
        settings, platform.Dialect(), platform.Store, log, options.placement
    )
    anyio.run(gateway.run, backend='asyncio')
    return 0


if __name__ == '__main__':
    sys.exit(main())
