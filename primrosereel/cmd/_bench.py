"""The ``bench`` command."""

import argparse
from typing import Any

from primrosereel import _registry as registry
from primrosereel.bench import _experiments as experiments
from primrosereel.cmd import _command as command

__all__ = ['BenchCommand']


class BenchCommand:
    """Compares the policy with the baseline under virtual time."""

    summary = (
        'Runs experiments under virtual time and prints the results beside '
        'their targets and the baseline.'
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's options."""
        known = (*experiments.EXPERIMENTS, *registry.names('bench'))
        parser.add_argument(
            'experiments',
            nargs='*',
            metavar='EXPERIMENT',
            help=f'any of {", ".join(known)}; by default the first eight',
        )
        parser.add_argument(
            '--workload', choices=('lynreg', 'guadalajara'), default='lynreg'
        )
        parser.add_argument(
            '--scale',
            type=int,
            default=1,
            help='factor by which the fleet is enlarged',
        )
        parser.add_argument(
            '--seeds', type=int, default=3, help='number of seeds'
        )
        parser.add_argument(
            '--first-seed',
            type=int,
            default=1,
            help='first seed; the others follow it',
        )
        parser.add_argument(
            '--plot', metavar='FILE', help='write a plot (needs matplotlib)'
        )
        command.add_json(parser)

    def run(self, options: argparse.Namespace) -> int:
        """Run; 1 when a measure misses its target."""
        names = options.experiments or list(experiments.EXPERIMENTS)
        registered = [n for n in names if n in registry.names('bench')]
        if registered:
            report = registry.load('bench', registered[0])()
            text = report.pop('text', None)
            if text is None or options.json:
                command.print_result(report, options.json)
            else:
                print(text)
            if options.plot and registered[0] in registry.names('plot'):
                registry.load('plot', registered[0])(report, options.plot)
            return 0
        unknown = [n for n in names if n not in experiments.EXPERIMENTS]
        if unknown:
            print(f'unknown experiment: {", ".join(unknown)}')
            return 2
        seeds = range(options.first_seed, options.first_seed + options.seeds)
        report = experiments.run(names, options.workload, options.scale, seeds)
        for row in report['rows']:
            row['met'] = _is_met(row)
        if options.json:
            command.print_result(report, True)
        else:
            _print_table(report)
        if options.plot:
            registry.load('plot', 'measures')(report, options.plot)
        return 0 if all(r['met'] is not False for r in report['rows']) else 1


def _is_met(row: dict[str, Any]) -> bool | None:
    """Return whether a row meets its target; None if it has none."""
    target = row.get('target')
    if target is None:
        return None
    sign, _, bound = target.partition(' ')
    value = row['median']
    return value >= float(bound) if sign == '>=' else value <= float(bound)


def _print_table(report: dict[str, Any]) -> None:
    print(
        f'{report["workload"]} x{report["scale"]}, '
        f'{len(report["seeds"])} seeds, capacity of the pools '
        f'{report["capacity_requests_s"]:.2f} requests/s'
    )
    print(f'{"measure":<48} {"median":>9} {"spread":>9}  target   met')
    for row in report['rows']:
        met = {True: 'yes', False: 'NO', None: ''}[row['met']]
        print(
            f'{row["measure"]:<48} {row["median"]:>9.4f} '
            f'{row["spread"]:>9.4f}  {row.get("target", ""):<8} {met}'
        )
