"""The ``demo`` command."""

import argparse

from primrosereel.bench import _demo as demo
from primrosereel.bench import _gateway_demo as gateway_demo
from primrosereel.cmd import _command as command

__all__ = ['DemoCommand']


class DemoCommand:
    """Runs the router and stand-ins as processes and reports the results."""

    summary = (
        'Starts stand-in engines, plain services, a platform and two daemons '
        'on loopback, sends requests, prints the results and stops all.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        command.add_json(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when a request was lost or a call ran twice."""
        report = demo.run()
        report['users_platform'] = platform = gateway_demo.run()
        command.print_result(report, options.json)
        completions = report['completions']
        all_answered = completions['answered'] == completions['asked']
        ran_once = report['certification']['executed'] == 1
        generations = platform['generations']
        filings = platform['filings']
        accounts = platform['accounts']
        platform_ok = (
            generations['whole'] == generations['asked']
            and filings['executed'] == filings['filed'] == filings['asked']
            and accounts['analysts']['served'] == accounts['analysts']['asked']
            and accounts['visitors']['over_quota'] > 0
            and platform['stop'] == {'stream_whole': True, 'exit_status': 0}
        )
        return 0 if all_answered and ran_once and platform_ok else 1
