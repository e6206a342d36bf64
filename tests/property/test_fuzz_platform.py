"""The platform adapter decodes any input without errors or false values."""

import base64
import os

import anyio
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from returns import pipeline

from primrosereel import platform
from primrosereel.gateway import _log as log_module
from primrosereel.gateway import _metrics as metrics_module
from primrosereel.gateway import _ports as ports
from primrosereel.platform import _store as store_module
from primrosereel.routing import _model as model

SETTINGS = b"""
nodeName = "n1"
zone = "a"
ip = "127.0.0.1"
internalPortRange = [7000, 7015]
seeds = ["127.0.0.2:8000"]
unknown = 1
[listen]
frontend = "127.0.0.1:1001"
ready = "127.0.0.1:1002"
[bounds]
drainMs = 1500
graceS = 6
[platform]
address = "127.0.0.1:1003"
"""
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
HEADER_VALUES = st.binary(max_size=40)


def test_settings_are_converted_to_seconds():
    """Guards against bounds that are not read from the settings file."""
    settings = platform.read_settings(SETTINGS).unwrap()
    assert settings.runner_drain_s == 1.5
    assert settings.drain_limit_s == 6
    assert settings.peer == model.Address('127.0.0.1', 7000)


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        (b'zone = "a"', b'zone = 3', 'zone'),
        (b'frontend = "127.0.0.1:1001"', b'frontend = "127.0.0.1"', 'PORT'),
        (b'[platform]', b'[other]', 'platform'),
        (b'graceS = 6', b'graceS = "six"', 'graceS'),
        (b'nodeName = "n1"', b'nodeName = ', 'line'),
    ],
)
def test_settings_errors_name_the_field(old, new, named):
    """Guards against an error message that does not name the field."""
    parsed = platform.read_settings(SETTINGS.replace(old, new))
    assert not pipeline.is_successful(parsed)
    assert named in parsed.failure()


@given(st.binary(max_size=200))
def test_settings_of_any_bytes_are_read_or_refused(body):
    """Guards against a crash when a truncated settings file is reloaded."""
    parsed = platform.read_settings(body + SETTINGS[len(body) :])
    assert pipeline.is_successful(parsed) or parsed.failure()


def read(items, status=200):
    """Read a store that holds the given items as raw JSON values."""

    async def call(method, target, limit, wait_s):
        del method, limit, wait_s
        page = {'items': [], 'hasMore': False, 'at': 7}
        if b'servers' in target:
            page['items'] = items
        return ports.StoreResponse(status, [], msgspec.json.encode(page))

    async def main():
        return await platform.Store(call).read()

    return anyio.run(main)


ENTRY = {
    'service': 's',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'coldRemainingMs': 0,
    'stage': 'decode',
    'sequence': 3,
    'born': 1_700_000_000_000,
}


def item(value):
    if not isinstance(value, bytes):
        value = msgspec.json.encode(value)
    encoded = base64.b64encode(value).decode()
    return {'key': 'servers/r1', 'value': encoded, 'revision': 3}


def test_valid_entry_is_read():
    """Guards against a decoder that rejects every entry.

    The tests below would pass with it.
    """
    (change,) = read([item(ENTRY)]).changes
    assert change.runner.listing.address.port == 80


@given(st.sampled_from(sorted(ENTRY)), JSON_VALUES)
def test_entry_with_a_changed_field_lists_only_valid_runners(field, value):
    """Guards against a runner that is listed from an invalid entry."""
    (change,) = read([item(ENTRY | {field: value})]).changes
    if change.runner.listing is None:
        assert change.fault is not None
        return
    assert change.runner.listing.slots >= 1
    assert 0 < change.runner.listing.address.port < 65536


@given(st.binary(max_size=80))
def test_unreadable_bytes_list_no_runner(value):
    """Guards against a truncated entry that blocks the other entries."""
    (change, valid) = read([item(value), item(ENTRY)]).changes
    assert change.runner.listing is None
    assert valid.runner.listing is not None


@pytest.mark.parametrize('value', ['$$$', 'AAA', 7, None])
def test_invalid_base64_lists_no_runner(value):
    """Guards against a runner that is listed from an undecodable value.

    A value of another JSON type makes the whole page unreadable.
    """
    invalid = {'key': 'servers/r1', 'value': value, 'revision': 3}
    try:
        changes = read([invalid, item(ENTRY)]).changes
    except ports.StoreUnavailable:
        assert value == 7
        return
    assert changes[0].runner.listing is None


@pytest.mark.parametrize('status', [429, 500, 503])
def test_refused_calls_are_store_errors(status):
    """Guards against a refused call that is read as an empty store."""
    with pytest.raises(ports.StoreUnavailable):
        read([], status)


@given(
    st.dictionaries(
        st.sampled_from(
            [
                b'Request-Id',
                b'Deadline-Ms',
                b'Token-Usage',
                b'Last-Event-Id',
                b'Length-Hint',
                b'Prompt-Prefix',
                b'Instance-Load',
                b'Not-Executed',
                b'Content-Encoding',
                b'Server-Leaving',
                b'Retry-After',
            ]
        ),
        HEADER_VALUES,
    )
)
def test_any_header_values_are_decoded(headers):
    """Guards against a request that fails because of an invalid header."""
    dialect = platform.Dialect()
    facts = dialect.request_facts(list(headers.items()))
    assert facts.deadline_s is None or facts.deadline_s >= 0
    assert facts.prompt_tokens >= 0
    assert all(facts.shared_parts)
    answer = dialect.response_facts(200, list(headers.items()))
    assert answer.not_run == (b'Not-Executed' in headers)
    assert answer.load is None or answer.load.slots >= 0
    refusal = dialect.response_facts(503, list(headers.items()))
    assert refusal.retry_after_s is None or refusal.retry_after_s >= 0


@pytest.mark.parametrize(
    ('value', 'parts'),
    [
        (b'5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        (b' 5C1E07A2:800 , e4402b7d:250', ('5c1e07a2',)),
        (b'e4402b7d:250', ()),
        (b'', ()),
        (b',e4402b7d:250', ()),
        (b'5c' * 40 + b':800,e4402b7d:250', ()),
        (b'a:1,' * 1000 + b'b:1', ('a',) * 64),
    ],
)
def test_the_last_prompt_part_is_not_shared(value, parts):
    """Guards against a part of one request that counts as shared."""
    facts = platform.Dialect().request_facts([(b'Prompt-Prefix', value)])
    assert facts.shared_parts == parts


@given(
    st.binary(max_size=60)
    | JSON_VALUES.map(lambda value: repr(value).encode())
)
def test_handle_is_only_read_from_a_valid_response(body):
    """Guards against an invalid response that becomes a request header."""
    address = model.Address('127.0.0.1', 80)
    result = platform.Dialect().prefill_result(address, body)
    assert result is None or result.handle.startswith('127.0.0.1:80/')


@given(st.integers(0, 2**60), st.binary(max_size=64))
def test_unreadable_watch_responses_are_errors(revision, body):
    """Guards against a truncated response that advances the revision."""

    async def call(method, target, limit, wait_s):
        del method, target, limit, wait_s
        return ports.StoreResponse(200, [], body)

    async def main():
        await store_module.Store(call).watch(revision, 0.1)

    with pytest.raises(ports.StoreUnavailable):
        anyio.run(main)


def test_log_writer_does_not_block_on_a_full_pipe():
    """Guards against a process that blocks on writing to a full log pipe."""
    reading, writing = os.pipe()
    writer = log_module.BoundedWriter(writing)
    for number in range(20_000):
        writer.msg(f'{{"event": "line {number}"}}' + 'x' * 60)
    assert writer.dropped > 0
    received = 0
    while received < 400_000:
        received += len(os.read(reading, 65536))
        writer.msg('{"event": "more"}')
        if writer.dropped == 0:
            break
    os.close(reading)
    os.close(writing)
    assert writer.dropped == 0


def test_metrics_are_rendered_as_text():
    """Guards against metrics rendered without their labels or buckets."""
    metrics = metrics_module.Metrics()
    metrics.count('refused.no_capacity')
    metrics.observe('prefill_seconds', 0.3)
    metrics.gauge('runners', 4)
    text = metrics.render()[0].decode()
    assert 'primrosereel_refused_total{reason="no_capacity"} 1.0' in text
    assert 'primrosereel_prefill_seconds_bucket{le="0.4"} 1.0' in text
    assert 'primrosereel_runners 4.0' in text
