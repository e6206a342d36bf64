"""Any settings are either accepted or refused with a list of faults."""

import json

import hypothesis
from hypothesis import strategies as st
from returns import pipeline

from primrosereel import settings as settings_module

VALID_SETTINGS = {
    'instance': 'entry-1',
    'region': 'r',
    'availability_zone': 'z',
    'callers': {'address': '127.0.0.1:8000'},
    'operators': {'address': '127.0.0.1:8001'},
    'peers': {'address': '127.0.0.1:8002', 'seeds': {'n': '127.0.0.1:1'}},
    'platform': {
        'configuration': 'http://127.0.0.1:9000',
        'instances': 'http://127.0.0.1:9000',
    },
}
# Each of these values is invalid at each of the paths below.
INVALID_VALUES = st.sampled_from(
    (None, True, -1, 1.5, 10**400, float('nan'), [], [[]], '', '\x00', '::1:')
)
PATHS = (
    ('instance',),
    ('region',),
    ('availability_zone',),
    ('callers', 'address'),
    ('callers', 'max_requests'),
    ('callers', 'tls'),
    ('operators', 'address'),
    ('operators', 'token_sha256'),
    ('peers', 'address'),
    ('peers', 'seeds'),
    ('peers', 'seeds', 'n'),
    ('peers', 'tls'),
    ('platform', 'configuration'),
    ('platform', 'instances'),
    ('drain',),
    ('incarnation',),
    ('statsd',),
    ('log_level',),
    ('secret',),
)
# Paths at which any non-empty string is valid.
FREE_TEXT_PATHS = {('secret',)}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(sorted(VALID_SETTINGS)) | st.text(max_size=9),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


def _check_result(body):
    parsed = settings_module.parse(body)
    if not pipeline.is_successful(parsed):
        assert parsed.failure()
        assert all(str(fault) for fault in parsed.failure())


@hypothesis.settings(max_examples=100)
@hypothesis.given(JSON.map(lambda v: json.dumps(v).encode()) | st.binary())
@hypothesis.example(b'1' * 5000)
@hypothesis.example(b'{"incarnation": ' + b'1' * 5000 + b'}')
@hypothesis.example(b'[' * 100_000)
def test_any_settings_are_accepted_or_refused(body):
    """Guards against a crash at start instead of a list of faults."""
    _check_result(body)


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(PATHS), INVALID_VALUES, max_size=len(PATHS)
    )
)
def test_all_faults_are_reported(invalid):
    """Guards against faults that are reported only after others are fixed."""
    settings = json.loads(json.dumps(VALID_SETTINGS))
    expected = set()
    # The longest paths come first: an invalid parent replaces its children.
    for keys in sorted(invalid, key=len, reverse=True):
        if keys in FREE_TEXT_PATHS and invalid[keys] in ('\x00', '::1:'):
            continue
        parent = settings
        for name in keys[:-1]:
            parent = parent[name]
        parent[keys[-1]] = invalid[keys]
        path = '.'.join(keys)
        children = {p for p in expected if p.startswith(f'{path}.')}
        expected = expected - children | {path}
    parsed = settings_module.parse(json.dumps(settings).encode())
    assert pipeline.is_successful(parsed) == (not expected)
    if expected:
        assert expected <= {fault.path for fault in parsed.failure()}
