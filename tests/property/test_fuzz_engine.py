"""Fuzzes the upstream clients: any response becomes messages only."""

import json

import anyio
import httpx
import hypothesis
from hypothesis import strategies as st

from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.daemon import _engine as engine
from primrosereel.daemon import _plain_upstream as plain_upstream
from tests.property import fuzzing

ADDRESS = '10.0.0.1:1'
REQUEST = 'n1.1.1'
ENGINE_ID = 'n1.1.1.1'
KV = messages.KvTransfer('h', 'p', 9, 9)
MAX_TOKENS = 5
# With chunks of 10 kB or more, far above the size limits of the clients.
ENDLESS_CHUNKS = 3000
STATUSES = st.sampled_from((200, 202, 204, 404, 409, 410, 500, 503))
IDS = st.sampled_from((ENGINE_ID, 'n1.1.1.2', ''))
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    fuzzing.INTEGERS,
    st.text(max_size=5),
    st.floats(),
)
EVENTS = st.fixed_dictionaries(
    {'request_id': IDS, 'offset': st.integers(0, 4) | VALUES},
    optional={
        'token': st.text(max_size=4) | VALUES,
        'finish': st.sampled_from((None, 'stop', 'length')) | VALUES,
    },
)
STREAM_CHUNKS = st.one_of(
    EVENTS.map(lambda e: f'data: {json.dumps(e)}\n\n'.encode()),
    st.just(b'data: [DONE]\n\n'),
    st.binary(max_size=20),
)
JSON_ANSWERS = st.dictionaries(
    st.sampled_from(
        (
            'request_id',
            'kv',
            'cached_tokens',
            'busy',
            'queued',
            'free_pieces',
            'age_s',
            'incarnation',
            'first',
            'next',
            'stored',
            'evicted',
            'requests',
            'role',
            'models',
            'fencing_token',
        )
    ),
    VALUES
    | st.lists(VALUES, max_size=2)
    | st.just([{'id': 'x'}])
    | st.just({'handle': 'h', 'runner': 'p', 'tokens': 1, 'bytes': 1}),
).map(lambda a: json.dumps(a).encode())
BODIES = st.one_of(
    st.lists(STREAM_CHUNKS, max_size=8),
    st.lists(JSON_ANSWERS, min_size=1, max_size=1),
)
EFFECTS = st.sampled_from(
    (
        (
            'prefill',
            messages.StartPrefill(REQUEST, 1, 'p', 'llm', '', '', 0, 1.0, 1.0),
        ),
        (
            'decode',
            messages.StartDecode(
                REQUEST, 1, 'd', 'llm', KV, '', MAX_TOKENS, 0, 0
            ),
        ),
        ('reattach', messages.ReattachStream(REQUEST, 1, 'd', 0)),
        ('cancel', messages.CancelUpstream('d', ENGINE_ID)),
        ('control', messages.PollLoad('d')),
        ('control', messages.PollCacheEvents('d', 0)),
        ('control', messages.ListRequests('d')),
        ('control', messages.GiveOrder('d', 1, 'load', 'm')),
        ('control', messages.ReadRunnerState('d')),
        ('control', messages.PauseUpstream(REQUEST, 1, 'd')),
        ('control', messages.ResumeUpstream(REQUEST, 1, 'd')),
    )
)


def make_engine_client(client, clock):
    return engine.HttpEngineClient(client, client, clock)


def _execute(make_client, method, effect, extra, answer):
    """Execute an effect against an upstream; return what is delivered."""
    delivered = []

    async def run():
        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport) as client:
            adapter = make_client(client, fuzzing.FastClock())
            call = getattr(adapter, method)
            await call(effect, ADDRESS, *extra, delivered.append)

    anyio.run(run)
    assert all(isinstance(m, messages.Message) for m in delivered)
    return delivered


def _responder(status, chunks, broken):
    async def body():
        for chunk in chunks:
            yield chunk
        if broken:
            raise httpx.ReadError('connection broken')

    def answer(request):
        return httpx.Response(status, content=body())

    return answer


def _extra_arguments(method):
    return ('m',) if method in ('prefill', 'decode') else ()


@hypothesis.settings(max_examples=150)
@hypothesis.given(EFFECTS, STATUSES, BODIES, st.booleans())
def test_engine_calls_deliver_only_messages(kind, status, chunks, broken):
    """Guards against a response that makes the adapter's call raise.

    The request would then wait until its time limit instead of being retried.
    """
    method, effect = kind
    answer = _responder(status, chunks, broken)
    delivered = _execute(
        make_engine_client,
        method,
        effect,
        _extra_arguments(method),
        answer,
    )
    offset = 0
    for number, message in enumerate(delivered):
        if isinstance(message, messages.TokensReceived):
            assert message.offset == offset
            assert all(isinstance(t, str) for t in message.tokens)
            offset += len(message.tokens)
        else:
            assert number == len(delivered) - 1
    if method in ('prefill', 'decode', 'reattach', 'cancel'):
        last = delivered[-1]
        assert not isinstance(last, messages.TokensReceived) or last.finish


@hypothesis.given(EFFECTS, st.sampled_from((b'x', b'data: ', b'[')))
@hypothesis.settings(max_examples=30)
def test_endless_responses_are_cut_off(kind, chunk):
    """Guards against endless responses that exhaust memory or time."""
    method, effect = kind
    read = 0

    async def body():
        nonlocal read
        while read < ENDLESS_CHUNKS:
            read += 1
            yield chunk * 10_000

    delivered = _execute(
        make_engine_client,
        method,
        effect,
        _extra_arguments(method),
        lambda request: httpx.Response(200, content=body()),
    )
    assert len(delivered) <= 1
    assert read < ENDLESS_CHUNKS, (
        'the client read an endless response to its end'
    )


HEADERS = st.lists(
    st.tuples(
        st.sampled_from((b'x-a', b'content-type', b'content-length')),
        st.binary(max_size=8),
    ),
    max_size=3,
)
# The characters of callers' header values that an HTTP server lets through.
LATIN_1 = st.characters(min_codepoint=32, max_codepoint=255)
FORWARDED_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(('x-a', 'cookie', 'host')),
        st.text(
            st.characters(min_codepoint=32, max_codepoint=255), max_size=8
        ),
    ),
    max_size=3,
)


@hypothesis.settings(max_examples=80)
@hypothesis.given(
    FORWARDED_HEADERS,
    st.text(max_size=8),
    STATUSES,
    HEADERS,
    st.binary(),
    st.booleans(),
)
def test_plain_calls_deliver_one_outcome(
    forwarded, path, status, headers, chunk, broken
):
    """Guards against a call whose outcome is reported never or twice."""
    effect = messages.CallPlain(
        REQUEST, 1, 'o', 'GET', f'/{path}', tuple(forwarded), b'', 1.0
    )

    def answer(request):
        response = _responder(status, [chunk], broken)(request)
        return httpx.Response(status, headers=headers, stream=response.stream)

    delivered = _execute(
        plain_upstream.HttpPlainClient, 'call', effect, (), answer
    )
    (end,) = delivered
    assert isinstance(end, messages.PlainAnswered | messages.PlainFailed)


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 3), IDS), min_size=1, max_size=4)
)
def test_foreign_or_gapped_tokens_are_rejected(events):
    """Guards against tokens of another request or after a gap."""
    lines = [
        f'data: {{"request_id": "{name}", "offset": {at}, "token": "t"}}\n\n'
        for at, name in events
    ]
    valid_count = 0
    while valid_count < len(events) and events[valid_count] == (
        valid_count,
        ENGINE_ID,
    ):
        valid_count += 1
    effect = messages.ReattachStream(REQUEST, 1, 'd', 0)
    chunks = [line.encode() for line in lines]
    delivered = _execute(
        make_engine_client,
        'reattach',
        effect,
        (),
        _responder(200, chunks, False),
    )
    assert sum(len(m.tokens) for m in delivered[:-1]) == valid_count
    all_valid = valid_count == len(events)
    expected = (
        states.UpstreamError.BROKEN
        if all_valid
        else states.UpstreamError.PROTOCOL
    )
    assert delivered[-1].error is expected
