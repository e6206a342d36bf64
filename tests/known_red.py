"""Reads the tests that are known to fail from KNOWN-RED.txt."""

import pathlib

__all__ = ['PATH', 'pytest_ids', 'scenario_names']

PATH = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
SCENARIO_PREFIX = 'scenario: '


def _names():
    for line in PATH.read_text().splitlines():
        name = line.split('|')[0].strip()
        if name and not name.startswith('#'):
            yield name


def pytest_ids():
    """Return the node ids of the pytest tests that are known to fail."""
    return [n for n in _names() if not n.startswith(SCENARIO_PREFIX)]


def scenario_names():
    """Return the names of the behave scenarios that are known to fail."""
    return {
        n[len(SCENARIO_PREFIX) :]
        for n in _names()
        if n.startswith(SCENARIO_PREFIX)
    }
