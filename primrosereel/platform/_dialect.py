"""Headers of requests and responses, and HTTP calls to runners."""

from collections.abc import Mapping
from collections.abc import Sequence
import re
from typing import TypeVar

import msgspec

from primrosereel import _ids as ids
from primrosereel import _numbers as numbers
from primrosereel import _states as states
from primrosereel.routing import _model as model

__all__ = ['Dialect']

Headers = Sequence[tuple[bytes, bytes]]

AUTHORIZATION = b'authorization'
CLIENT_ACCOUNT = b'tenant'
REQUEST_ID = b'request-id'
DEADLINE_MS = b'deadline-ms'
LAST_EVENT_ID = b'last-event-id'
LENGTH_HINT = b'length-hint'
TOKEN_USAGE = b'token-usage'
PROMPT_PREFIX = b'prompt-prefix'
SIGNATURE = b'instance-signature'
# Present when the runner did not run the request; the value is ignored.
NOT_RUN = b'not-executed'
LOAD = b'instance-load'
LEAVING = b'server-leaving'
LEAVING_VALUE = b'1'
RETRY_AFTER = b'retry-after'

# Headers that only the router sets, or that only a runner's response has;
# they are removed from a caller's request.
RESERVED_HEADERS = frozenset(
    {
        DEADLINE_MS,
        LAST_EVENT_ID,
        NOT_RUN,
        SIGNATURE,
        LOAD,
        LEAVING,
        b'expect-instance',
        b'expect-version',
        b'instance-id',
        b'kv-backup',
        b'kv-fetch',
        b'kv-hold',
        b'kv-source',
        b'pin-ms',
        b'request-priority',
        b'stage',
        b'weight-versions',
    }
)
# Removed as well while client accounts are in force: a caller's key, and the
# name of the account, which is the router's to tell.
ACCOUNT_HEADERS = frozenset({AUTHORIZATION, CLIENT_ACCOUNT})
HIGHEST_PRIORITY = 9
# Longer lists of parts, and longer ids, are not decoded.
MAX_PROMPT_PARTS = 64
MAX_PART_ID_LENGTH = 32
# Seconds as decimal digits; dates are not accepted. A longer value is not
# decoded, and a large one is bounded where it is used.
RETRY_AFTER_SECONDS = re.compile(rb'[0-9]{1,40}(\.[0-9]{1,40})?')
OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


class _PrefillBody(msgspec.Struct, rename='camel'):
    kv_handle: str
    tokens: numbers.Tokens


class _MoveBody(msgspec.Struct, rename='camel'):
    kv_handle: str


HandleBody = TypeVar('HandleBody', _PrefillBody, _MoveBody)


class Dialect:
    """Translates between headers and the router's types."""

    readiness_path = b'/v1/readiness'

    def request_facts(self, headers: Headers) -> model.RequestFacts:
        """Decode a caller's headers; values that are not valid are ignored."""
        values = {name.lower(): value for name, value in headers}
        deadline_ms = numbers.parse_decimal(
            values.get(DEADLINE_MS, b''), numbers.MAX_DURATION_MS
        )
        usage = values.get(TOKEN_USAGE)
        prompt, output = _parse_token_counts(usage or b'')
        return model.RequestFacts(
            request_id=values.get(REQUEST_ID, b'').decode('latin-1'),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt,
            output_tokens=output,
            states_tokens=usage is not None,
            last_event_id=numbers.parse_whole(values.get(LAST_EVENT_ID, b'')),
            length_hint=_parse_tokens(values.get(LENGTH_HINT, b'')),
            shared_parts=_parse_shared_parts(values.get(PROMPT_PREFIX, b'')),
        )

    def authorization(self, headers: Headers) -> list[bytes]:
        """Return the values of all ``Authorization`` fields."""
        return [
            value for name, value in headers if name.lower() == AUTHORIZATION
        ]

    def challenge(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that ask a caller for a key."""
        return [(b'WWW-Authenticate', b'Token')]

    def forwarded(
        self, headers: Headers, with_accounts: bool
    ) -> list[tuple[bytes, bytes]]:
        """Return a caller's headers without the reserved ones.

        With client accounts these include the caller's credentials.
        """
        reserved = RESERVED_HEADERS
        if with_accounts:
            reserved = reserved | ACCOUNT_HEADERS
        return [
            (name, value)
            for name, value in headers
            if name.lower() not in reserved
        ]

    def run_headers(
        self, options: model.RunOptions
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that the router adds for a runner."""
        remaining_ms = max(1, int(options.deadline_s * 1000))
        headers = [
            (b'Deadline-Ms', str(remaining_ms).encode()),
            (b'Expect-Instance', options.runner.encode()),
        ]
        if options.priority is not None:
            priority = min(max(options.priority, 0), HIGHEST_PRIORITY)
            headers.append((b'Request-Priority', str(priority).encode()))
        if options.prefill_only:
            headers.append((b'Stage', b'prefill'))
        if options.handle is not None:
            headers.append((b'Kv-Source', options.handle.encode()))
        if options.last_event_id is not None:
            event_id = str(options.last_event_id).encode()
            headers.append((b'Last-Event-Id', event_id))
        return headers

    def account_headers(
        self, account: ids.ClientAccountId
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that tell a runner who calls."""
        return [(b'Tenant', account.encode())]

    def response_facts(
        self, status: int, headers: Headers
    ) -> model.ResponseFacts:
        """Decode the headers of a runner's response."""
        values = {name.lower(): value for name, value in headers}
        request_id = values.get(REQUEST_ID)
        signs = _RunnerSigns(status, headers, values)
        return model.ResponseFacts(
            request_id=None
            if request_id is None
            else _decode_latin1(request_id),
            signed=SIGNATURE in values,
            not_run=NOT_RUN in values or status == 421,
            encoded=b'content-encoding' in values,
            load=_parse_load(values.get(LOAD)),
            leaving=signs.leaving,
            retry_after_s=signs.retry_after_s,
            invalid_headers=tuple(signs.invalid_headers),
        )

    def prefill_result(
        self, address: model.Address, body: bytes
    ) -> model.PrefillResult | None:
        """Decode the response to a prefill; None if it cannot be decoded."""
        response = _decode_handle_body(body, _PrefillBody)
        if response is None:
            return None
        return model.PrefillResult(
            f'{address}/{response.kv_handle}', response.tokens
        )

    def move(
        self,
        runner: ids.RunnerId,
        request_id: str,
        target: model.Address,
        last: bool,
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Return the call that copies a running request's KV cache.

        The call is a tuple of method, target, headers and body. With
        ``last`` the runner stops the request first.
        """
        body = msgspec.json.encode(
            {'id': request_id, 'to': str(target), 'last': last}
        )
        return b'POST', b'/v1/kv-move', _json_headers(runner), body

    def move_answer(
        self, status: int, source: model.Address, last: bool, body: bytes
    ) -> model.MoveAnswer:
        """Decode the response to a ``move`` call."""
        if status == NOT_FOUND:
            return model.MoveAnswer(model.MoveOutcome.NO_RUN, status)
        response = None
        if status == OK or (last and status == UNAVAILABLE):
            response = _decode_handle_body(body, _MoveBody)
        if response is None:
            return model.MoveAnswer(model.MoveOutcome.UNCLEAR, status)
        outcome = model.MoveOutcome.COPIED
        if status == UNAVAILABLE:
            outcome = model.MoveOutcome.NO_ROOM
        handle = f'{source}/{response.kv_handle}'
        return model.MoveAnswer(outcome, status, handle)

    def role_order(
        self,
        runner: ids.RunnerId,
        role: states.Role,
        holder: str,
        fencing_token: int,
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Return method, target, headers and body of a role order."""
        body = msgspec.json.encode(
            {
                'operation': 'stage',
                'stage': role.value,
                'holder': holder,
                'fencingToken': fencing_token,
            }
        )
        return b'POST', b'/v1/order', _json_headers(runner), body

    def free_handle(self, handle: str) -> tuple[bytes, bytes]:
        """Return method and target of the call that frees a handle."""
        name = handle.partition('/')[2]
        return b'DELETE', b'/v1/kv-handle/' + name.encode()


class _RunnerSigns:
    """What the headers of a response say of the runner's availability.

    ``Retry-After`` counts only in a refusal with status 503. A value that
    cannot be decoded and a header that is repeated are ignored, and their
    names are kept in ``invalid_headers``.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        values: Mapping[bytes, bytes],
    ) -> None:
        self._headers = headers
        self._values = values
        self.leaving = False
        self.retry_after_s: float | None = None
        self.invalid_headers: list[str] = []
        leaving = self._only_value(LEAVING)
        if leaving == LEAVING_VALUE:
            self.leaving = True
        elif leaving is not None:
            self.invalid_headers.append(LEAVING.decode())
        if status == UNAVAILABLE:
            self.retry_after_s = self._seconds()

    def _seconds(self) -> float | None:
        value = self._only_value(RETRY_AFTER)
        if value is None:
            return None
        if RETRY_AFTER_SECONDS.fullmatch(value) is None:
            self.invalid_headers.append(RETRY_AFTER.decode())
            return None
        return float(value)

    def _only_value(self, name: bytes) -> bytes | None:
        """Return the value of a header; None if it is absent or repeated."""
        if name not in self._values:
            return None
        number = sum(key.lower() == name for key, _ in self._headers)
        if number > 1:
            self.invalid_headers.append(name.decode())
            return None
        return self._values[name].strip()


def _json_headers(runner: ids.RunnerId) -> list[tuple[bytes, bytes]]:
    return [
        (b'Content-Type', b'application/json'),
        (b'Expect-Instance', runner.encode()),
    ]


def _decode_handle_body(
    body: bytes, body_type: type[HandleBody]
) -> HandleBody | None:
    """Decode a response with a KV handle; None if it is not valid."""
    try:
        response = msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    name = response.kv_handle
    return response if name.isascii() and name.isalnum() else None


def _decode_latin1(value: bytes) -> str:
    return value.decode('latin-1')


def _parse_tokens(value: bytes) -> int | None:
    number = numbers.parse_decimal(value, numbers.MAX_TOKENS)
    return None if number is None else int(number)


def _parse_token_counts(value: bytes) -> tuple[int, int]:
    """Return the token counts of prompt and output, or their defaults."""
    prompt, _, output = value.partition(b',')
    prompt_tokens, output_tokens = _parse_tokens(prompt), _parse_tokens(output)
    return (
        model.DEFAULT_PROMPT_TOKENS
        if prompt_tokens is None
        else prompt_tokens,
        model.DEFAULT_OUTPUT_TOKENS
        if output_tokens is None
        else output_tokens,
    )


def _parse_shared_parts(value: bytes) -> tuple[ids.PromptPartId, ...]:
    """Return the ids of ``ID:TOKENS,...`` without the last entry.

    The last part belongs to the request or its session only. A list that is
    not valid has no parts.
    """
    entries = value.split(b',', MAX_PROMPT_PARTS)[:-1]
    parts = [entry.strip().partition(b':')[0].lower() for entry in entries]
    if any(not 0 < len(part) <= MAX_PART_ID_LENGTH for part in parts):
        return ()
    return tuple(ids.PromptPartId(_decode_latin1(part)) for part in parts)


def _parse_load(value: bytes | None) -> model.LoadReport | None:
    """Decode ``running,waiting,slots[,percent]``.

    ``percent`` is the slowness of the runner; 100, the default, is normal.
    """
    if value is None:
        return None
    parts = [
        numbers.parse_decimal(part, numbers.MAX_LOAD)
        for part in value.split(b',')
    ]
    if len(parts) < 3 or any(part is None for part in parts[:4]):
        return None
    running, waiting, slots = (int(part or 0) for part in parts[:3])
    percent = parts[3] if len(parts) > 3 else 100.0
    return model.LoadReport(running, waiting, slots, (percent or 100.0) / 100)
