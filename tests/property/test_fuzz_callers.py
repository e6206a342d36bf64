"""Fuzzes the callers' application: each request gets one response."""

import json

import anyio
import hypothesis
from hypothesis import strategies as st
import pytest
import structlog

from primrosereel import _states as states
from primrosereel import settings as settings_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _callers as callers
from primrosereel.daemon import _driver as driver_module
from primrosereel.daemon import _parents as parents
from tests.property import fuzzing

# Ends a test that would otherwise hang.
HANG_TIMEOUT_S = 5
REASONS = {reason.value for reason in states.RefusalReason}

HEADER_NAMES = st.sampled_from(
    (
        b'authorization',
        b'x-request-id',
        b'x-priority',
        b'x-parent-request',
        b'idempotency-key',
        b'content-length',
        b'x-other',
    )
)
HEADERS = st.lists(
    st.tuples(HEADER_NAMES | st.binary(max_size=9), st.binary(max_size=30)),
    max_size=5,
)
PATHS = st.one_of(
    st.sampled_from(
        (
            '/v1/completions',
            '/v1/chat/completions',
            '/v1/models',
            '/services/plain/once',
            '/services/plain/x',
            '/services/llm/',
        )
    ),
    st.text(max_size=20),
    st.text(max_size=20).map('/services/{}'.format),
    st.text(max_size=20).map('/services/plain/{}'.format),
)
METHODS = st.sampled_from(('GET', 'POST', 'PUT')) | st.text(max_size=8)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | fuzzing.INTEGERS
    | st.floats()
    | st.text(max_size=9)
    | st.sampled_from(('llm', 'plain')),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(('role', 'content', 'type', 'text')),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)
BODY_FIELDS = st.fixed_dictionaries(
    {'model': st.just('llm') | JSON_VALUES},
    optional={
        'prompt': st.text(max_size=20) | JSON_VALUES,
        'messages': st.just([{'role': 'user', 'content': 'x'}]) | JSON_VALUES,
        'max_tokens': st.integers(1, 9) | JSON_VALUES,
        'max_completion_tokens': JSON_VALUES,
        'stream': st.booleans() | JSON_VALUES,
    },
)
BODIES = st.one_of(
    st.binary(max_size=60), BODY_FIELDS.map(lambda f: json.dumps(f).encode())
)
UPSTREAM_HEADERS = st.lists(
    st.tuples(st.text(max_size=12), st.text(max_size=12)), max_size=3
)


class Upstreams:
    """Engines and plain services that answer immediately.

    Plain services return the given status, headers and body.
    """

    def __init__(self, status, headers, body):
        self._answer = status, tuple(headers), body

    async def prefill(self, effect, address, model, deliver):
        """Finish a prefill."""
        kv = messages.KvTransfer('h', effect.runner, 9, 9)
        deliver(
            messages.PrefillDone(
                effect.request_id, effect.attempt, effect.runner, kv, 0, 0.1
            )
        )

    async def decode(self, effect, address, model, deliver):
        """Finish a stream in one chunk."""
        deliver(
            messages.TokensReceived(
                effect.request_id,
                effect.attempt,
                effect.runner,
                effect.offset,
                ('\ufffd', '\r\n'),
                'length',
            )
        )

    async def call(self, effect, address, deliver):
        """Answer a plain call."""
        deliver(
            messages.PlainAnswered(
                effect.request_id,
                effect.attempt,
                effect.runner,
                *self._answer,
                0.1,
            )
        )

    async def ignore(self, *unused):
        """Ignore an effect that these tests do not observe."""

    cancel = control = watch = read = reattach = ignore

    def send(self, peer, address, outgoing):
        """Send nothing, since there are no peers."""


async def _serve(scope, chunks, disconnects, upstreams):
    sent = []

    async def receive():
        if chunks:
            body = chunks.pop(0)
            more = bool(chunks) or disconnects
            return {'type': 'http.request', 'body': body, 'more_body': more}
        if not disconnects:
            await anyio.sleep_forever()
        return {'type': 'http.disconnect'}

    async def send(message):
        sent.append(message)

    clock = fuzzing.FastClock()
    metrics = fuzzing.NullMetrics()
    log = structlog.wrap_logger(None, processors=[_drop_log_event])
    async with anyio.create_task_group() as tasks:
        driver = driver_module.Driver(
            fuzzing.make_core(), clock, metrics, log, tasks
        )
        driver.set_adapters(
            upstreams, upstreams, upstreams, upstreams, upstreams
        )
        application = callers.CallerApplication(
            driver,
            settings_module.Callers('', max_body_bytes=200),
            parents.Signer('s'),
            clock,
            metrics,
            log,
        )
        tasks.start_soon(driver.run)
        with anyio.fail_after(HANG_TIMEOUT_S):
            await application(scope, receive, send)
        assert application.open_requests == 0
        assert driver.sink_count == 0
        assert not driver.core.world.active_requests or disconnects
        tasks.cancel_scope.cancel()
    return sent


def _drop_log_event(logger, name, event):
    raise structlog.DropEvent


def _check_response(sent, from_upstream):
    types = [message['type'] for message in sent]
    assert types[0] == 'http.response.start'
    assert set(types[1:]) == {'http.response.body'}
    assert [m.get('more_body', False) for m in sent[1:]][-1] is False
    headers = sent[0]['headers']
    for name, value in headers:
        assert not set(name + value) & set(b'\r\n\0'), (name, value)
        assert name
    assert 200 <= sent[0]['status'] <= 599
    assert b'urn:primrosereel:internal' not in sent[1]['body']
    if sent[0]['status'] >= 400 and not from_upstream:
        assert (b'content-type', b'application/problem+json') in headers
        problem = json.loads(sent[1]['body'])
        assert problem['reason'] in REASONS
        assert problem['ran'] in ('not_run', 'unknown')
        assert problem['status'] == sent[0]['status']


@hypothesis.settings(max_examples=120)
@hypothesis.given(
    method=METHODS,
    path=PATHS,
    query=st.binary(max_size=9),
    headers=HEADERS,
    chunks=st.lists(BODIES, max_size=2),
    with_key=st.booleans(),
    disconnects=st.booleans(),
    status=st.integers(200, 599) | fuzzing.INTEGERS,
    upstream_headers=UPSTREAM_HEADERS,
    upstream_body=st.binary(max_size=9),
)
def test_every_request_has_one_answer(
    method,
    path,
    query,
    headers,
    chunks,
    with_key,
    disconnects,
    status,
    upstream_headers,
    upstream_body,
):
    """Guards against exceptions and missing, duplicate or cut responses."""
    if with_key:
        value = f'Bearer {fuzzing.API_KEY}'.encode()
        headers = [(b'authorization', value), *headers]
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode('utf-8', 'replace'),
        'query_string': query,
        'headers': headers,
    }
    upstreams = Upstreams(status, upstream_headers, upstream_body)
    chunks = chunks or [b'']
    sent = anyio.run(_serve, scope, chunks, disconnects, upstreams)
    if not disconnects or sent:
        _check_response(sent, path.startswith('/services/'))


def _response_headers(headers, upstream_headers=()):
    """Return the headers of the response to a plain call."""
    value = f'Bearer {fuzzing.API_KEY}'.encode()
    scope = {
        'type': 'http',
        'method': 'GET',
        'path': '/services/plain/x',
        'query_string': b'',
        'headers': [(b'authorization', value), *headers],
    }
    upstreams = Upstreams(200, upstream_headers, b'')
    sent = anyio.run(_serve, scope, [b''], False, upstreams)
    return sent[0]['headers']


@pytest.mark.parametrize(
    'given, shown',
    [
        (b'order-17', b'order-17'),
        (b'a' * 500, b'a' * 128),
        (b'two words', b'two words'),
        (b'\x1b[2Jcleared', b'n1.1.1'),
        (b'a\tb', b'n1.1.1'),
        ('é'.encode('latin-1'), b'n1.1.1'),
        (b'', b'n1.1.1'),
    ],
)
def test_request_id_is_shown_or_replaced(given, shown):
    """Guards against control characters in logs and responses."""
    headers = _response_headers([(b'x-request-id', given)])
    assert [v for k, v in headers if k == b'x-request-id'] == [shown]


def test_upstream_headers_cannot_inject():
    """Guards against header injection by an upstream."""
    upstream = (
        ('X-Sound', ' yes '),
        ('x-split', 'a\r\nset-cookie: b'),
        ('x-split\r\nset-cookie', 'b'),
        ('x-nul', 'a\0'),
        ('', 'empty'),
        ('X-Request-Id', 'forged'),
    )
    headers = _response_headers([], upstream)
    assert headers == [
        (b'x-sound', b'yes'),
        (b'x-request-id', b'n1.1.1'),
        (b'content-length', b'0'),
    ]
