"""Refusals as problem details (RFC 9457)."""

import math
from typing import NamedTuple

import msgspec

from primrosereel import _states as states

__all__ = ['Problem', 'body', 'headers', 'status']

Reason = states.RefusalReason
CONTENT_TYPE = b'application/problem+json'

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.PROMPT_TOO_LARGE: 413,
    Reason.TOO_MANY_CONNECTIONS: 503,
    Reason.UNAUTHENTICATED: 401,
    Reason.PRIORITY_NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CALL: 404,
    Reason.RATE_LIMITED: 429,
    Reason.QUEUE_FULL: 503,
    Reason.DEADLINE: 503,
    Reason.NO_CAPACITY: 503,
    Reason.NO_RUNNER: 503,
    Reason.DEPENDENCY_UNAVAILABLE: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.DRAINING: 503,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_TOO_OLD: 409,
    Reason.KEY_IN_FUTURE: 409,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.WITNESS_UNREACHABLE: 503,
    Reason.WITNESS_DISAGREES: 503,
    Reason.MEMBERSHIP_STALE: 503,
    Reason.CLAIMS_FULL: 503,
    Reason.UPSTREAM_FAILED: 502,
    Reason.UPSTREAM_TIMEOUT: 504,
    Reason.RETRY_BUDGET: 503,
    Reason.INTERNAL: 500,
}


class Problem(NamedTuple):
    """A refusal and the details that are reported to the caller."""

    reason: states.RefusalReason
    ran: states.Ran = states.Ran.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ''


def status(problem: Problem) -> int:
    """Return the HTTP status of a refusal."""
    return STATUS_BY_REASON[problem.reason]


def body(problem: Problem, request: str) -> bytes:
    """Return the problem document; ``request`` is the request's id."""
    document = {
        'type': f'urn:primrosereel:{problem.reason.value}',
        'title': problem.reason.value.replace('_', ' '),
        'status': status(problem),
        'reason': problem.reason.value,
        'ran': problem.ran.value,
        'request_id': request,
    }
    if problem.detail:
        document['detail'] = problem.detail
    return msgspec.json.encode(document)


def headers(problem: Problem) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal."""
    fields = [(b'content-type', CONTENT_TYPE)]
    if problem.retry_after_s is not None:
        seconds = max(1, math.ceil(problem.retry_after_s))
        fields.append((b'retry-after', str(seconds).encode()))
    if problem.reason is Reason.UNAUTHENTICATED:
        fields.append((b'www-authenticate', b'Bearer'))
    return fields
