"""The HTTP application for callers."""

import hashlib
import math
import re
from typing import Any

import anyio
import msgspec
import xxhash

from primrosereel import _ids as ids
from primrosereel import _prefix as prefix
from primrosereel import _states as states
from primrosereel import settings as settings_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _asgi as asgi
from primrosereel.daemon import _completions as completions
from primrosereel.daemon import _driver as driver_module
from primrosereel.daemon import _parents as parents
from primrosereel.daemon import _problem as problem_module
from primrosereel.daemon import _protocols as protocols
from primrosereel.daemon import _sse as sse

__all__ = ['CallerApplication']

Problem = problem_module.Problem
Reason = states.RefusalReason

JSON_CONTENT_TYPE = (b'content-type', b'application/json')
EVENT_STREAM_HEADERS = [
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-store'),
]
SERVICES_PREFIX = '/services/'
MAX_PRIORITY = 9
MAX_CALLER_REQUEST_ID_CHARS = 128
REQUEST_ID_HEADER = b'x-request-id'
# Valid header names and invalid bytes in values by RFC 9110, section 5.
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
INVALID_VALUE_BYTE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
# Not forwarded to runners: the router consumes the credentials and the
# priority, and sets the request id itself.
CONSUMED_HEADERS = frozenset({'authorization', 'x-priority', 'x-request-id'})

COMPLETION_INTERFACES = {
    '/v1/completions': (completions.parse_text, completions.TextFormatter),
    '/v1/chat/completions': (
        completions.parse_chat,
        completions.ChatFormatter,
    ),
}


class _Refused(Exception):
    """A call is refused before it reaches the core."""

    def __init__(self, reason: states.RefusalReason, detail: str = '') -> None:
        super().__init__(reason.value)
        self.problem = Problem(reason, detail=detail)


class _Call:
    """One HTTP request: ASGI scope and channels, id and pending effects."""

    def __init__(self, scope, receive: asgi.Receive, send: asgi.Send) -> None:
        self.scope = scope
        self.receive = receive
        self._send = send
        self.effects: list[Any] = []
        self.effects_arrived = anyio.Event()
        self.request_id = ids.RequestId('')
        self.response_started = False

    async def send(self, message: dict[str, Any]) -> None:
        """Send an ASGI response message."""
        if message['type'] == 'http.response.start':
            self.response_started = True
        await self._send(message)

    def sink(self, effect: driver_module.CallerEffect) -> None:
        """Queue an effect from the driver."""
        self.effects.append(effect)
        self.effects_arrived.set()

    async def next_effects(self) -> list[Any]:
        """Wait for effects and return all that are queued."""
        if not self.effects:
            self.effects_arrived = anyio.Event()
            await self.effects_arrived.wait()
        queued, self.effects = self.effects, []
        return queued


class CallerApplication:
    """Parses calls, passes them to the core and writes the responses."""

    def __init__(
        self,
        driver: driver_module.Driver,
        settings: settings_module.Callers,
        signer: parents.Signer,
        clock: protocols.Clock,
        metrics: protocols.Metrics,
        log: Any,
    ) -> None:
        self._driver = driver
        self._settings = settings
        self._signer = signer
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._open = 0

    @property
    def open_requests(self) -> int:
        """Requests that are being read or answered."""
        return self._open

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI connection."""
        if not await asgi.is_request(scope, receive, send):
            return
        call = _Call(scope, receive, send)
        self._open += 1
        try:
            await self._serve(call)
        except asgi.CallerDisconnected:
            self._metrics.count('caller_left.reading')
        finally:
            self._open -= 1

    async def _serve(self, call: _Call) -> None:
        try:
            self._check_limits(call.scope)
            await self._route(call)
        except _Refused as refused:
            await self._refuse(call, refused.problem)
        except asgi.BodyTooLarge:
            await self._refuse(call, Problem(Reason.BODY_TOO_LARGE))
        except msgspec.MsgspecError as error:
            await self._refuse(
                call, Problem(Reason.BAD_REQUEST, detail=str(error))
            )
        except asgi.CallerDisconnected:
            raise
        except Exception:
            await self._answer_internal_error(call)

    async def _answer_internal_error(self, call: _Call) -> None:
        """Answer a call whose handling raised an unexpected exception.

        If the response has started, the exception is raised again, so that
        the server closes the connection.
        """
        self._metrics.count('internal.caller_error')
        self._log.exception(
            'caller request failed', request_id=call.request_id
        )
        if call.response_started:
            raise
        ran = states.Ran.UNKNOWN if call.request_id else states.Ran.NOT_RUN
        await self._refuse(call, Problem(Reason.INTERNAL, ran))

    def _check_limits(self, scope) -> None:
        if self._open > self._settings.max_requests:
            raise _Refused(Reason.TOO_MANY_CONNECTIONS)
        size = sum(len(k) + len(v) for k, v in scope['headers'])
        if size > self._settings.max_header_bytes:
            raise _Refused(Reason.HEADERS_TOO_LARGE)

    async def _route(self, call: _Call) -> None:
        path, method = call.scope['path'], call.scope['method']
        if path in COMPLETION_INTERFACES:
            if method != 'POST':
                raise _Refused(Reason.UNKNOWN_CALL, f'{method} {path}')
            await self._serve_completion(call, *COMPLETION_INTERFACES[path])
        elif path == '/v1/models' and method == 'GET':
            await self._list_models(call)
        elif path.startswith(SERVICES_PREFIX):
            await self._serve_plain(call)
        else:
            raise _Refused(Reason.UNKNOWN_CALL, f'{method} {path}')

    async def _serve_completion(
        self, call: _Call, parse, formatter_class
    ) -> None:
        body = await asgi.read_body(
            call.receive, self._settings.max_body_bytes
        )
        completion = parse(body)
        if completion.prompt_tokens > self._settings.max_prompt_tokens:
            raise _Refused(Reason.PROMPT_TOO_LARGE)
        if completion.max_tokens > self._settings.max_output_tokens:
            raise _Refused(
                Reason.BAD_REQUEST,
                f'max_tokens is above {self._settings.max_output_tokens}',
            )
        priority = _priority(call.scope)
        message = messages.CompletionReceived(
            request_id=self._register(call),
            caller_request_id=_caller_request_id(call.scope),
            key_sha256=_key_sha256(call.scope),
            service=completion.service,
            prompt=completion.prompt,
            prompt_tokens=completion.prompt_tokens,
            max_tokens=completion.max_tokens,
            prefix_hashes=prefix.prefix_hashes(completion.prompt),
            priority=priority,
            parent=self._signer.verify(call.scope),
        )
        formatter = formatter_class(
            call.request_id, completion.service, int(self._clock.wall())
        )
        write_response = self._stream if completion.stream else self._collect
        await self._run_request(call, message, write_response, formatter)

    async def _serve_plain(self, call: _Call) -> None:
        scope = call.scope
        service, _, rest = scope['path'][len(SERVICES_PREFIX) :].partition('/')
        path = f'/{rest}'
        body = await asgi.read_body(
            call.receive, self._settings.max_body_bytes
        )
        query = scope.get('query_string', b'').decode('latin-1')
        full_path = f'{path}?{query}' if query else path
        priority = _priority(scope)
        request = self._register(call)
        message = messages.PlainReceived(
            request_id=request,
            caller_request_id=_caller_request_id(scope),
            key_sha256=_key_sha256(scope),
            service=ids.ServiceId(service),
            method=scope['method'],
            path=full_path,
            headers=self._forwarded_headers(scope, request),
            body=body,
            idempotency_key=asgi.header(scope, b'idempotency-key'),
            fingerprint=_fingerprint(scope['method'], full_path, body),
            priority=priority,
            parent=self._signer.verify(scope),
        )
        await self._run_request(call, message, self._answer_plain, None)

    def _register(self, call: _Call) -> ids.RequestId:
        call.request_id = self._driver.register_sink(call.sink)
        return call.request_id

    def _forwarded_headers(
        self, scope, request
    ) -> tuple[tuple[str, str], ...]:
        forwarded = [
            (name, value.decode('latin-1'))
            for name, value in (
                (key.decode('latin-1').lower(), value)
                for key, value in scope['headers']
            )
            if name not in CONSUMED_HEADERS and name != parents.PARENT_HEADER
        ]
        forwarded.append(('x-request-id', request))
        forwarded.append((parents.PARENT_HEADER, self._signer.sign(request)))
        return tuple(forwarded)

    async def _run_request(
        self, call: _Call, message, write_response, formatter
    ) -> None:
        """Answer a call; notify the core if the caller disconnects first."""
        log = self._log.bind(
            request_id=call.request_id,
            caller_request_id=message.caller_request_id,
            service=message.service,
        )
        answered = False
        started = self._clock.monotonic()
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch_caller, call, group)
                self._driver.handle(message)
                await write_response(call, formatter)
                answered = True
                group.cancel_scope.cancel()
        finally:
            self._driver.unregister_sink(call.request_id)
            if not answered:
                self._metrics.count('caller_left.answering')
                self._driver.handle(messages.CallerLeft(call.request_id))
            log.info(
                'request ended',
                answered=answered,
                seconds=round(self._clock.monotonic() - started, 4),
            )

    async def _watch_caller(self, call: _Call, group) -> None:
        while (await call.receive())['type'] != 'http.disconnect':
            pass
        group.cancel_scope.cancel()

    async def _stream(self, call: _Call, formatter) -> None:
        while True:
            encoded_events = []
            for effect in await call.next_effects():
                if isinstance(effect, messages.RefuseCaller):
                    await self._refuse(call, _effect_problem(effect))
                    return
                encoded_events.append(
                    self._encode_event(effect, formatter, call.request_id)
                )
                if not isinstance(effect, messages.SendTokens):
                    await self._send_chunk(
                        call, b''.join(encoded_events), last=True
                    )
                    return
            await self._send_chunk(call, b''.join(encoded_events), last=False)

    def _encode_event(
        self, effect, formatter, request: ids.RequestId
    ) -> bytes:
        if isinstance(effect, messages.SendTokens):
            return sse.encode(formatter.chunk(effect.tokens, None))
        if isinstance(effect, messages.FinishCaller):
            end = sse.encode(formatter.chunk((), effect.finish))
            return end + sse.encode(sse.DONE)
        problem = Problem(
            effect.reason, states.Ran.UNKNOWN, None, effect.detail
        )
        return sse.encode_error(problem_module.body(problem, request))

    async def _send_chunk(self, call: _Call, body: bytes, last: bool) -> None:
        if not call.response_started:
            await call.send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': [*EVENT_STREAM_HEADERS, *_request_header(call)],
                }
            )
        await call.send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': not last,
            }
        )

    async def _collect(self, call: _Call, formatter) -> None:
        tokens: list[str] = []
        while True:
            for effect in await call.next_effects():
                if isinstance(effect, messages.SendTokens):
                    tokens.extend(effect.tokens)
                elif isinstance(effect, messages.FinishCaller):
                    body = formatter.response(
                        ''.join(tokens),
                        effect.finish,
                        effect.prompt_tokens,
                        effect.output_tokens,
                    )
                    headers = [JSON_CONTENT_TYPE, *_request_header(call)]
                    await asgi.respond(call.send, 200, body, headers)
                    return
                else:
                    await self._refuse(call, _effect_problem(effect))
                    return

    async def _answer_plain(self, call: _Call, formatter) -> None:
        effect = (await call.next_effects())[0]
        if not isinstance(effect, messages.AnswerPlain):
            await self._refuse(call, _effect_problem(effect))
            return
        if not 200 <= effect.status <= 599:
            problem = Problem(Reason.UPSTREAM_FAILED, states.Ran.UNKNOWN)
            await self._refuse(call, problem)
            return
        headers = [*_valid_headers(effect.headers), *_request_header(call)]
        if effect.replayed:
            headers.append((b'idempotency-replayed', b'true'))
        await asgi.respond(call.send, effect.status, effect.body, headers)

    async def _list_models(self, call: _Call) -> None:
        world = self._driver.core.world
        client_account = world.client_accounts_by_key.get(
            _key_sha256(call.scope)
        )
        if client_account is None or world.text is None:
            raise _Refused(Reason.UNAUTHENTICATED)
        allowed = world.client_accounts[client_account].facts.services
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'primrosereel'}
            for name in allowed
            if name in world.text.services
            and world.text.services[name].kind is states.ServiceKind.LLM
        ]
        body = msgspec.json.encode({'object': 'list', 'data': models})
        await asgi.respond(call.send, 200, body, [JSON_CONTENT_TYPE])

    async def _refuse(self, call: _Call, problem: Problem) -> None:
        if not call.request_id:
            # The core counts the refusals it decides itself.
            self._metrics.count(f'refusal.{problem.reason.value}')
        headers = problem_module.headers(problem)
        headers.extend(_request_header(call))
        body = problem_module.body(problem, call.request_id)
        status = problem_module.status(problem)
        await asgi.respond(call.send, status, body, headers)


def _effect_problem(effect) -> Problem:
    if isinstance(effect, messages.RefuseCaller):
        return Problem(
            effect.reason, effect.ran, effect.retry_after_s, effect.detail
        )
    return Problem(effect.reason, states.Ran.UNKNOWN, None, effect.detail)


def _request_header(call: _Call) -> list[tuple[bytes, bytes]]:
    request_id = _caller_request_id(call.scope) or call.request_id
    return [(REQUEST_ID_HEADER, request_id.encode())] if request_id else []


def _caller_request_id(scope) -> str:
    """Return the caller's request id for logs and the response header.

    An id with characters that are not printable ASCII is ignored.
    """
    value = asgi.header(scope, REQUEST_ID_HEADER) or ''
    if not value.isascii() or not value.isprintable():
        return ''
    return value[:MAX_CALLER_REQUEST_ID_CHARS].strip()


def _valid_headers(
    headers: tuple[tuple[str, str], ...],
) -> list[tuple[bytes, bytes]]:
    """Return an upstream's headers without those that are not valid HTTP.

    The headers are untrusted; a witness may have relayed them. A line break
    in a value would let the upstream inject headers or whole responses.
    """
    valid = []
    for name, value in headers:
        key = name.lower().encode('latin-1', 'replace')
        line = value.strip().encode('latin-1', 'replace')
        if key == REQUEST_ID_HEADER or not HEADER_NAME.fullmatch(key):
            continue
        if not INVALID_VALUE_BYTE.search(line):
            valid.append((key, line))
    return valid


def _key_sha256(scope) -> str:
    value = asgi.header(scope, b'authorization') or ''
    scheme, _, key = value.partition(' ')
    if scheme.lower() != 'bearer':
        return ''
    return hashlib.sha256(key.strip().encode('latin-1')).hexdigest()


def _priority(scope) -> int | None:
    header = asgi.header(scope, b'x-priority')
    if header is None:
        return None
    if not header.isascii() or not header.isdecimal():
        raise _Refused(Reason.BAD_REQUEST, 'X-Priority is not a number')
    value = int(header) if len(header) < 4 else math.inf
    if value > MAX_PRIORITY:
        raise _Refused(Reason.BAD_REQUEST, 'X-Priority is above 9')
    return int(value)


def _fingerprint(method: str, path: str, body: bytes) -> int:
    digest = xxhash.xxh3_64(method.encode())
    digest.update(b'\0' + path.encode() + b'\0')
    digest.update(body)
    return digest.intdigest()
