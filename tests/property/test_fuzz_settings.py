"""Any settings are either accepted or refused with a list of faults."""

import json

import hypothesis
from hypothesis import strategies as st
from returns import pipeline

from primrosereel import settings as settings_module

GOOD = {
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
WRONG = st.sampled_from(
    (None, True, -1, 1.5, 10**400, float('nan'), [], [[]], '', '\x00', '::1:')
)
PLACES = (
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
ANY_TEXT = {('secret',)}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(sorted(GOOD)) | st.text(max_size=9),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


def _check(body):
    parsed = settings_module.parse(body)
    if not pipeline.is_successful(parsed):
        assert parsed.failure()
        assert all(str(fault) for fault in parsed.failure())


@hypothesis.settings(max_examples=100)
@hypothesis.given(JSON.map(lambda v: json.dumps(v).encode()) | st.binary())
@hypothesis.example(b'1' * 5000)
@hypothesis.example(b'{"incarnation": ' + b'1' * 5000 + b'}')
@hypothesis.example(b'[' * 100_000)
def test_any_settings_are_judged(body):
    """Guards against a crash at start instead of a list of faults."""
    _check(body)


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    st.dictionaries(st.sampled_from(PLACES), WRONG, max_size=len(PLACES))
)
def test_all_faults_are_reported(wrong):
    """Guards against faults that are reported only after others are fixed."""
    settings = json.loads(json.dumps(GOOD))
    expected = set()
    # The longest paths come first: an invalid parent replaces its children.
    for place in sorted(wrong, key=len, reverse=True):
        if place in ANY_TEXT and wrong[place] in ('\x00', '::1:'):
            continue
        within = settings
        for name in place[:-1]:
            within = within[name]
        within[place[-1]] = wrong[place]
        path = '.'.join(place)
        inside = {p for p in expected if p.startswith(f'{path}.')}
        expected = expected - inside | {path}
    parsed = settings_module.parse(json.dumps(settings).encode())
    assert pipeline.is_successful(parsed) == (not expected)
    if expected:
        assert expected <= {fault.path for fault in parsed.failure()}
