"""The ``standin`` command."""

import argparse

from primrosereel.standin import __main__ as standin_main

__all__ = ['StandinCommand']


class StandinCommand:
    """Runs a stand-in of an engine, a plain service or the platform."""

    summary = (
        'Runs one stand-in on loopback until SIGINT or SIGTERM; the first '
        'line printed is its address as JSON.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        standin_main.add_arguments(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 2 for options that are not valid."""
        return standin_main.run(options)
