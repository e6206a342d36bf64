"""What a runner's answers say of its availability."""

import pytest

from primrosereel import platform

DIALECT = platform.Dialect()


def facts(status, *headers):
    return DIALECT.response_facts(status, list(headers))


@pytest.mark.parametrize('status', [200, 404, 421, 500, 503])
def test_leaving_is_read_from_all_answers(status):
    """Guards against a leaving runner whose answers are not believed."""
    assert facts(status, (b'Server-Leaving', b'1')).leaving
    assert not facts(status).leaving


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [(b'2', 2.0), (b'0.25', 0.25), (b'0', 0.0), (b'9' * 40, 1e40)],
)
def test_retry_after_is_read_from_refusals_only(value, seconds):
    """Guards against refusals whose fractions or large values are lost."""
    read = facts(503, (b'retry-after', value))
    assert read.retry_after_s == pytest.approx(seconds)
    assert not read.invalid_headers
    assert facts(200, (b'retry-after', value)).retry_after_s is None


@pytest.mark.parametrize(
    'headers',
    [
        *([(b'Retry-After', value)] for value in (b'', b'-1', b'NaN', b'inf')),
        *([(b'Retry-After', value)] for value in (b'soon', b'1_0', b'1e9')),
        [(b'Retry-After', b'Wed, 21 Oct 2026 07:28:00 GMT')],
        [(b'Retry-After', b'1' * 99)],
        [(b'Retry-After', b'1'), (b'retry-after', b'2')],
        [(b'Server-Leaving', b'yes')],
        [(b'Server-Leaving', b'1'), (b'Server-Leaving', b'1')],
    ],
)
def test_invalid_headers_are_named_and_ignored(headers):
    """Guards against invalid values that change a runner's availability."""
    read = facts(503, *headers)
    assert read.invalid_headers == (headers[0][0].decode().lower(),)
    assert (read.leaving, read.retry_after_s) == (False, None)


def test_callers_cannot_say_that_a_runner_leaves():
    """Guards against a caller's header that is forwarded to a runner."""
    headers = [(b'Server-Leaving', b'1'), (b'X-Own', b'kept')]
    assert DIALECT.forwarded(headers, False) == [(b'X-Own', b'kept')]
