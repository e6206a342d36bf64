"""The operations page documents every counter and every reason."""

import pathlib
import re

import pytest

from primrosereel import _states as states

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
COUNTER = re.compile(r"\.count\(\s*'([a-z_.]+)'")


def _counters():
    counters = set()
    for folder in ('core', 'daemon', 'gateway'):
        for path in (ROOT / 'primrosereel' / folder).glob('*.py'):
            counters.update(COUNTER.findall(path.read_text()))
    return sorted(counters)


@pytest.mark.parametrize('name', _counters())
def test_counter_is_listed(name):
    """Guards against a counter that operators cannot look up."""
    assert f'`{name}`' in PAGE


@pytest.mark.parametrize('kind', [states.RefusalReason, states.RetryReason])
def test_reasons_are_listed(kind):
    """Guards against a reason that the operations page does not explain."""
    assert [r.value for r in kind if f'`{r.value}`' not in PAGE] == []
