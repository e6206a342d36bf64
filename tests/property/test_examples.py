"""The example texts check and have the documented sizes and keys."""

import hashlib
import pathlib

import pytest

from primrosereel import text as text_module

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'


@pytest.mark.parametrize(
    'user, region, sizes',
    [
        ('lynreg', 'dk-east', {'log-analyst': 5, 'records-office': 3}),
        (
            'guadalajara',
            'jal-occ',
            {'lectores-modelo': 6, 'ventanilla-app': 4},
        ),
    ],
)
def test_example_text(user, region, sizes):
    """Guards against an example that the checker refuses."""
    body = (EXAMPLES / user / 'text.json5').read_bytes()
    text = text_module.parse(body).unwrap()
    assert {n: len(s.runners) for n, s in text.services.items()} == sizes
    assert {s.region for s in text.services.values()} == {region}
    for name, customer in text.customers.items():
        key = f'demo-{name}'
        assert key in body.decode()
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert customer.key_sha256 == digest
