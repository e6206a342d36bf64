"""Runs pytest and behave and counts the results of both.

The counts come from the JUnit reports, so a test that did not run is not
counted as passed.
"""

import itertools
import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

from tests import known_red

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent


# The message of a failed test is printed up to this length.
MAX_MESSAGE_CHARACTERS = 4000


def _count(reports):
    passed = failed = skipped = 0
    for report in reports:
        for case in ElementTree.parse(report).iter('testcase'):
            failures = [*case.iter('failure'), *case.iter('error')]
            if failures:
                failed += 1
                _print_failures(case, failures)
            elif case.find('skipped') is not None:
                skipped += 1
            else:
                passed += 1
    return passed, failed, skipped


def _print_failures(case, failures):
    print(f'failed: {case.get("classname")}: {case.get("name")}')
    for failure in failures:
        text = '\n'.join(
            itertools.chain([failure.get('message', '')], failure.itertext())
        )
        print(text[-MAX_MESSAGE_CHARACTERS:])


def _run_pytest(folder):
    command = [sys.executable, '-m', 'pytest', f'--junitxml={folder}/p.xml']
    for node in known_red.pytest_ids():
        command.append(f'--deselect={node}')
    return subprocess.run(command, cwd=ROOT).returncode


def _run_behave(folder):
    command = [
        sys.executable,
        '-m',
        'behave',
        '--no-color',
        '--format=progress',
        '--junit',
        f'--junit-directory={folder}',
        'tests/features',
    ]
    return subprocess.run(command, cwd=ROOT).returncode


def main():
    """Run all tests; return 1 if one failed or a test runner crashed."""
    with tempfile.TemporaryDirectory() as folder:
        codes = [_run_pytest(folder), _run_behave(folder)]
        passed, failed, skipped = _count(pathlib.Path(folder).glob('*.xml'))
    for line in known_red.PATH.read_text().splitlines():
        if line and not line.startswith('#'):
            print(f'known to fail, not counted: {line}')
    if any(codes) and not failed:
        failed += 1
        print(f'no test failed, but pytest and behave exited with {codes}')
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
