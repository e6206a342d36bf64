"""Collects log lines of a request, runner or cause from several processes."""

from collections.abc import Iterable
import json
import pathlib
from typing import Any

__all__ = [
    'cause_lines',
    'format_line',
    'read_logs',
    'request_lines',
    'runner_lines',
]

# Fields that every line has, or that say nothing about the request.
COMMON_FIELDS = frozenset(
    {
        'event',
        'level',
        'timestamp',
        'instance',
        'request',
        'request_id',
        'exc_info',
        'exception',
    }
)
# The gateway and the daemon log a request's id under different names.
REQUEST_ID_FIELDS = ('request', 'request_id')
# Fields that hold the key of a cause of crashes, and those that hold several.
CAUSE_FIELDS = ('key', 'request_key')
CAUSES_FIELDS = ('causes', 'crashes', 'shared_parts')


def read_logs(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    """Return the JSON objects of log files, one a line.

    A prefix before the object, such as a log collector's, is removed; lines
    without a JSON object are skipped.
    """
    lines = []
    for path in paths:
        with path.open(errors='replace') as file:
            for text in file:
                start = text.find('{')
                try:
                    line = json.loads(text[start:]) if start >= 0 else None
                except ValueError:
                    continue
                if isinstance(line, dict) and 'event' in line:
                    lines.append(line)
    return lines


def request_lines(
    lines: Iterable[dict[str, Any]], request_id: str
) -> list[dict[str, Any]]:
    """Return the lines of one request, ordered by timestamp."""
    return _by_time(
        line
        for line in lines
        if any(line.get(name) == request_id for name in REQUEST_ID_FIELDS)
    )


def runner_lines(
    lines: Iterable[dict[str, Any]], runner: str
) -> list[dict[str, Any]]:
    """Return the lines of a runner that belong to no request, in order."""
    return _by_time(
        line
        for line in lines
        if line.get('runner') == runner
        and not any(name in line for name in REQUEST_ID_FIELDS)
    )


def cause_lines(
    lines: Iterable[dict[str, Any]], key: str
) -> list[dict[str, Any]]:
    """Return the lines of what crashes runners, ordered by timestamp.

    They tell where requests with it were sent, which runs of runners ended
    under them, and when each instance refused it.
    """
    return _by_time(line for line in lines if _names_cause(line, key))


def _names_cause(line: dict[str, Any], key: str) -> bool:
    if any(line.get(name) == key for name in CAUSE_FIELDS):
        return True
    for name in CAUSES_FIELDS:
        value = line.get(name)
        if isinstance(value, list | dict) and key in value:
            return True
    return line.get('event') == 'refused' and (
        f' {key}: ' in str(line.get('detail', ''))
        or f'part {key} of ' in str(line.get('detail', ''))
    )


def _by_time(lines: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    return sorted(lines, key=lambda line: str(line.get('timestamp', '')))


def format_line(line: dict[str, Any]) -> str:
    """Return a log line in human-readable form."""
    fields = ', '.join(
        f'{name} {value}'
        for name, value in line.items()
        if name not in COMMON_FIELDS and value not in (None, '')
    )
    timestamp = line.get('timestamp', '')
    return (
        f'{timestamp} {line.get("instance", "-")}: {line["event"]}: {fields}'
    )
