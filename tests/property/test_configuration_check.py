"""The check of a gateway's configuration before it is sent to the store."""

import base64
import copy
import json
import pathlib

import msgspec
import pytest

from primrosereel import platform
from primrosereel.cmd import tool
from primrosereel.platform import _store as store_module
from primrosereel.standin import _operator_config as operator_config

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples_check'
EXIT_LINE = 'exit status {}\n'
KEY = 'k7b2ex5wa5xwyhks8nbk'
ODD_VALUES = (None, -1, 0, 1e300, True, '', ' x', 'x\n', [], [KEY], {})
ODD_BODIES = (b'', b'[]', b'{"version": 1', b'\xff', b'[' * 100_000, b'NaN')


@pytest.mark.parametrize(
    'name',
    sorted(p.stem for p in EXAMPLES.glob('*.json') if '.' not in p.stem),
)
def test_example_has_expected_findings(name, monkeypatch, capsys):
    """Guards against a rule that is lost, silent or reports sound entries."""
    monkeypatch.chdir(EXAMPLES)
    arguments = ['check', '--gateway', f'{name}.json']
    in_force = f'{name}.in-force.json'
    if pathlib.Path(in_force).exists():
        arguments += ['--against', in_force]
    status = tool.main(arguments)
    printed = capsys.readouterr().out
    assert (
        printed + EXIT_LINE.format(status)
        == (EXAMPLES / f'{name}.txt').read_text()
    )

    assert tool.main([*arguments, '--json']) == status
    rows = json.loads(capsys.readouterr().out)['findings']
    lines = [
        f'{name}.json: {row["severity"]}: {row["path"]}: {row["text"]}\n'
        for row in rows
    ]
    assert ''.join(lines) == printed


def mutations(value):
    """Yield copies with one part replaced by an odd value or left out."""
    yield from ODD_VALUES
    parts = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        parts = enumerate(value)
    for key, part in list(parts):
        changed = copy.copy(value)
        del changed[key]
        yield changed
        for mutated in mutations(part):
            changed = copy.copy(value)
            changed[key] = mutated
            yield changed


def gateway_fault(body):
    """Return the fault that a gateway finds in a configuration's entry."""
    value = base64.b64encode(body).decode()
    items = [{'key': 'op/config', 'value': value, 'revision': 1}]
    store = store_module.Store(None)
    [change] = store.decode(msgspec.msgpack.encode(items))
    return change.fault


def test_errors_are_what_the_gateway_refuses():
    """Guards against a check that differs from the gateway, or shows a key."""
    base = operator_config.add_accounts(
        operator_config.configuration(),
        {'school': [KEY, 'k2'], 'library': ['k3']},
        unit='token_count',
        ratePerS=10,
    )
    unsendable = operator_config.add_accounts(base, {'school': [f'{KEY}\n']})
    bodies = [
        json.dumps(odd).encode() for odd in [unsendable, *mutations(base)]
    ]
    refused = []
    for body in [*ODD_BODIES, *bodies]:
        findings = platform.check_configuration(body)
        errors = [f for f in findings if f.severity.value == 'error']
        refused.append(bool(errors))
        assert refused[-1] == (gateway_fault(body) is not None), body
        assert KEY not in str(findings), body
    assert {*refused} == {True, False}


def test_against_needs_a_configuration(capsys):
    """Guards against a comparison that is left out without a message."""
    example = str(EXAMPLES / 'sound.json')
    assert tool.main(['check', example, '--against', example]) == 2
    assert '--against needs --gateway' in capsys.readouterr().err
