"""The interface of the tool's commands, and helpers for their output."""

import argparse
import json
from typing import Any
from typing import Protocol

__all__ = ['Command', 'add_json', 'print_result']


class Command(Protocol):
    """A command of the tool, found by its name in the registry."""

    summary: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""

    def run(self, options: argparse.Namespace) -> int:
        """Run the command; return the exit status."""


def add_json(parser: argparse.ArgumentParser) -> None:
    """Declare ``--json``."""
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of a table'
    )


def print_result(result: Any, as_json: bool) -> None:
    """Print a nested result as JSON or as an indented table."""
    if as_json:
        print(json.dumps(result, indent=2))
        return
    for line in _format_lines(result, ''):
        print(line)


def _format_lines(value: Any, indent: str):
    if isinstance(value, dict):
        width = max((len(str(key)) for key in value), default=0)
        for key, item in value.items():
            if isinstance(item, dict) and item:
                yield f'{indent}{key}'
                yield from _format_lines(item, indent + '  ')
            else:
                yield f'{indent}{key:<{width}}  {_format_value(item)}'
        return
    yield f'{indent}{_format_value(value)}'


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f'{value:.4g}'
    if isinstance(value, list):
        return ', '.join(_format_value(item) for item in value) or '-'
    if value is None or value == {}:
        return '-'
    return str(value)
