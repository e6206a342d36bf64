"""The commands that query or stop a running daemon."""

import argparse
import os
import pathlib
import sys
from typing import Any

import httpx

from primrosereel.cmd import _command as command
from primrosereel.cmd import _request_log as request_log

__all__ = ['DrainCommand', 'ExplainCommand', 'StatusCommand']

TOKEN_VARIABLE = 'PRIMROSEREEL_TOKEN'
REQUEST_TIMEOUT_S = 5.0


def _add_arguments(
    parser: argparse.ArgumentParser, required: bool = True
) -> None:
    parser.add_argument(
        '--operators',
        required=required,
        metavar='URL',
        help="URL of the daemon's operators' port, such as "
        'http://127.0.0.1:18001',
    )
    parser.add_argument(
        '--token',
        default=os.environ.get(TOKEN_VARIABLE, ''),
        help=f"the operators' token; {TOKEN_VARIABLE} by default",
    )
    command.add_json(parser)


def _send_request(options: argparse.Namespace, method: str, path: str) -> int:
    try:
        response = httpx.request(
            method,
            f'{options.operators}{path}',
            headers={'authorization': f'Bearer {options.token}'},
            timeout=REQUEST_TIMEOUT_S,
        )
        document: Any = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        print(f'{options.operators}: {error}', file=sys.stderr)
        return 1
    command.print_result(document, options.json)
    return 0 if response.is_success else 1


class StatusCommand:
    """Shows the state of a daemon."""

    summary = 'Shows revision, instances, peers, runners and counters.'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        _add_arguments(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when the daemon does not answer."""
        return _send_request(options, 'GET', '/status')


class ExplainCommand:
    """Shows how a request was routed and why."""

    summary = 'Shows how and why a request was routed, or why it was refused.'

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        parser.add_argument(
            'request_id',
            metavar='REQUEST-ID',
            help='with --log also a runner, or the key of a cause of crashes',
        )
        parser.add_argument(
            '--log',
            action='append',
            type=pathlib.Path,
            metavar='FILE',
            help='log file to read instead of asking a daemon; repeatable',
        )
        _add_arguments(parser, required=False)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when the request is not known."""
        if options.log:
            return self._from_logs(options)
        if not options.operators:
            print('either --log or --operators is needed', file=sys.stderr)
            return 2
        return _send_request(options, 'GET', f'/explain/{options.request_id}')

    def _from_logs(self, options: argparse.Namespace) -> int:
        try:
            all_lines = request_log.read_logs(options.log)
        except OSError as error:
            print(error, file=sys.stderr)
            return 1
        wanted = options.request_id
        selected = (
            request_log.request_lines(all_lines, wanted)
            or request_log.runner_lines(all_lines, wanted)
            or request_log.cause_lines(all_lines, wanted)
        )
        if options.json:
            command.print_result(selected, True)
        else:
            for line in selected:
                print(request_log.format_line(line))
        return 0 if selected else 1


class DrainCommand:
    """Stops a daemon gracefully."""

    summary = (
        'Stops a daemon gracefully: it finishes the requests in progress.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        _add_arguments(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when the daemon does not answer."""
        return _send_request(options, 'POST', '/drain')
