"""Numbers of any size, from decoding to the next datagram.

Each numeric field that comes from outside is drawn from the whole range of
JSON or MessagePack. What is decoded goes through the tables and decisions of
an instance, and what it then tells its peers must be usable for them.
"""

import base64
import json
import math

import anyio
import hypothesis
from hypothesis import strategies as st
import msgspec
from returns import pipeline

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.gateway import _runner_notices as runner_notices
from primrosereel.platform import _steps as steps
from primrosereel.platform import _store as store_module
from primrosereel.routing import _availability as availability
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _model as model
from primrosereel.routing import _timeouts as timeouts
from tests import gateway_fleet
from tests.property import test_fuzz_platform as fuzz_platform

HOST = '127.0.0.1'
PEER = '127.0.0.2'
ZONE = 'a'
# Each is a JSON text, as an encoder cannot write all of them.
JSON_VALUES = st.one_of(
    st.integers().map(str),
    st.integers(0, 100).map(str),
    st.floats(allow_nan=False, allow_infinity=False).map(repr),
    st.sampled_from(
        (
            *('0', '-0.0', '0.0', '2.5', '1e999', '-1e999', '1e308', '1e-400'),
            *('1' + '0' * 30, '9' * 5000, '-' + '9' * 400, '-1'),
            *(str(2**53), str(2**63), str(2**64), str(-(2**63) - 1)),
            *('[1]', '[[0]]', '{"a": 1}', 'null', 'true', '"5"', 'NaN'),
        )
    ),
)
WIRE_VALUES = st.one_of(
    st.integers(-(2**63), 2**64 - 1),
    st.integers(-3, 1000),
    st.floats(),
    st.sampled_from((2**53, 2**63, 2**64 - 1, -(2**63), math.nan, math.inf)),
    st.none() | st.text(max_size=3) | st.lists(st.integers(0, 3), max_size=2),
)
HEADER_VALUES = st.one_of(
    JSON_VALUES.map(str.encode),
    st.integers(0, 10**6).map(lambda number: b'%d' % number),
    st.sampled_from((b' 80', b'8_0', b'+5', b'1e3', b'inf', b'', b'1,2,3')),
)
SETTINGS_VALUES = JSON_VALUES | st.sampled_from(('nan', 'inf', '-inf'))
# The examples are the same in each run.
FUZZ = hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
FUZZ_PLATFORM = hypothesis.settings(FUZZ, max_examples=400)

CONFIGURATION = gateway_fleet.configuration(9)
CONFIGURATION['routes'][0]['trafficSplit'] = [
    {'service': 'plain', 'weight': 1},
    {'service': 'other', 'weight': 2},
]
del CONFIGURATION['routes'][0]['service']
ANY_REQUEST = model.RequestFacts()
PRIOR_DATAGRAM = peer_datagram.Datagram(
    peer_datagram.DATAGRAM_VERSION, 'i2', ZONE, 1, 1, [], 0, []
)
# A datagram with a number in each place that has one.
DATAGRAM = peer_datagram.Datagram(
    peer_datagram.DATAGRAM_VERSION,
    'i2',
    ZONE,
    1,
    2,
    [('d1', 1, 400, 0), ('p1', 1, 400, 0)],
    500,
    [('llm', False, 1, 20)],
    False,
    {ZONE: [('127.0.0.3', 5)]},
    [('d2', 900)],
    [('llm', 100, 900)],
    peer_datagram.StoreNotice(5, 10, 4, True, 3, b'', 1),
    [peer_datagram.Suspect('ab', [('d1', 5, 10)], 20)],
    3,
    [('d1', 5, 'leaving', 10, 0), ('d2', 5, 'backing_off', 10, 90)],
    700,
)


def numeric_paths(value, path=()):
    """Return the paths of all numbers in a JSON value."""
    pairs = []
    if isinstance(value, dict):
        pairs = list(value.items())
    elif isinstance(value, list):
        pairs = list(enumerate(value))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        return [path]
    return [p for k, v in pairs for p in numeric_paths(v, (*path, k))]


def replaced(value, changes):
    """Return a copy with other values at some paths."""
    copy = json.loads(json.dumps(value))
    for path, new in changes.items():
        inner = copy
        for name in path[:-1]:
            inner = inner[name]
        inner[path[-1]] = new
    return copy


def json_text(value, numbers):
    """Return JSON with a text in place of the number at some paths."""
    marks = {path: f'MARK-{i}-' for i, path in enumerate(numbers)}
    text = json.dumps(replaced(value, marks))
    for path, mark in marks.items():
        text = text.replace(f'"{mark}"', numbers[path])
    return text


def changes_of(value, numbers):
    """Draw new values for some of the numbers in a JSON value."""
    paths = st.sampled_from(numeric_paths(value))
    return st.dictionaries(paths, numbers, min_size=1, max_size=3)


def entry(name, stage='decode'):
    address = f'{HOST}:{8000 + ord(name[0]) + int(name[1])}'
    names = {'service': 'llm', 'zone': ZONE, 'address': address}
    return fuzz_platform.ENTRY | names | {'stage': stage}


WIRE_DATAGRAM = msgspec.to_builtins(DATAGRAM, builtin_types=(bytes,))
WIRE_DATAGRAM[12][5] = ''
ENTRY_CHANGES = changes_of(entry('d1'), JSON_VALUES)
CONFIGURATION_CHANGES = changes_of(CONFIGURATION, JSON_VALUES)
DATAGRAM_CHANGES = changes_of(WIRE_DATAGRAM, WIRE_VALUES)


class Sockets:
    """Keeps what is sent, and receives what is given."""

    def __init__(self, received=()):
        self.sent = []
        self._received = received

    async def sendto(self, data, host, port):
        del host, port
        self.sent.append(data)

    async def __aiter__(self):
        for data in self._received:
            yield data, (PEER, 7000)


class Instance:
    """A gateway that makes all decisions without a network."""

    def __init__(self):
        self.now = 100.0
        settings = platform.read_settings(fuzz_platform.SETTINGS).unwrap()
        self.log = gateway_fleet.ListLog()
        self.gateway = composition.Gateway(
            settings, platform.Dialect(), platform.Store, self.log
        )
        self.context = self.gateway._context
        self.context.clock = lambda: self.now
        self.write('op/config', json.dumps(gateway_fleet.configuration()))
        for name, stage in (('d1', 'decode'), ('d2', 'decode')):
            self.write(f'servers/{name}', json.dumps(entry(name, stage)))
        self.write('servers/p1', json.dumps(entry('p1', 'prefill')))

    def write(self, key, text):
        """Let the instance read an item of the store."""
        value = base64.b64encode(text.encode()).decode()
        item = store_module._Item(key, value, 3)
        (change,) = steps.run_at_once(store_module._change_steps([item]))
        self.gateway._reader._apply_changes([change], self.now)

    async def receive(self, fields):
        """Let the instance receive a peer's datagram."""
        data = msgspec.msgpack.encode(fields)
        await self.gateway._peers._receive(Sockets([data]))

    def place(self, facts):
        """Let a request pass all decisions up to its place."""
        context = self.context
        route = context.table.match(gateway_fleet.HOST, '/ask/1')
        assert 0 <= timeouts.time_limit_s(route, facts) < math.inf
        service = ids.ServiceId('llm')
        ticket = decode_places.Ticket(
            service,
            decode_places.tokens_needed(facts),
            context.table.priority(route, None),
            self.now,
            lambda when: (
                self.now
                + timeouts.on_time_wait_s(
                    route,
                    context.prefills.expected_s(
                        service, facts.prompt_tokens, when
                    ),
                )
            ),
        )
        context.demand.count_request(
            service, facts.prompt_tokens, ticket.tokens, self.now
        )
        context.places.add(ticket, self.now)
        assert context.places.expected_wait_s(ticket, self.now) >= 0
        context.places.describe(service, self.now)
        if ticket.runner is not None:
            context.prefills.choose(
                ticket.runner, facts.prompt_tokens, self.now
            )

    async def decide(self, facts=ANY_REQUEST):
        """Decide on requests, and tell peers, now and some time later."""
        context = self.context
        for _ in range(3):
            self.place(facts)
            context.placement.choose(ids.ServiceId('llm'), self.now, ())
            await self.tell()
            self.now += 0.7
            context.members.expire(self.now)
            context.runners.expire(self.now)
            context.places.admit(self.now)
        assert not self.log.named('part failed')

    async def tell(self):
        """Send a datagram with all that may be in one, and decode it."""
        sockets, sender = Sockets(), self.gateway._peers
        await sender._send(
            sockets,
            [PEER],
            sender._gossip_members(self.now),
            self.context.places.free_memory(self.now),
            with_crash_evidence=True,
            scope=runner_notices.Scope.ALL,
        )
        (data,) = sockets.sent
        _, left_out = peer_datagram.DatagramDecoder().decode(data)
        assert left_out == 0


def run(steps):
    """Run the steps of an example with a new instance."""

    async def main():
        await steps(Instance())

    anyio.run(main)


@FUZZ
@hypothesis.given(ENTRY_CHANGES, st.sampled_from(('ready', 'draining')))
def test_numbers_of_an_entry(numbers, state):
    """Guards against an entry that ends decisions, or the next datagram."""

    async def steps(instance):
        text = json_text(entry('d1') | {'state': state}, numbers)
        for key in ('servers/d1', 'servers/d9'):
            instance.write(key, text)
        assert instance.context.runners.get('d2') is not None
        await instance.decide()
        # A true entry of a new run holds again.
        good = entry('d1') | {'born': 10**14}
        instance.write('servers/d1', json.dumps(good))
        listing = instance.context.runners.get('d1').listing
        assert (listing.slots, listing.leaving) == (good['slots'], False)

    run(steps)


@FUZZ
@hypothesis.given(CONFIGURATION_CHANGES)
def test_numbers_of_a_configuration(numbers):
    """Guards against a configuration that ends decisions.

    One with a higher version, as any that is in range, replaces the first.
    """

    async def steps(instance):
        instance.write('op/config', json_text(CONFIGURATION, numbers))
        assert instance.context.table.version >= 1
        await instance.decide()

    run(steps)


@FUZZ
@hypothesis.given(DATAGRAM_CHANGES)
@hypothesis.example({(9, ZONE, 0, 1): 2**64 - 1})
@hypothesis.example({(13, 0, 2): 2**64 - 1})
@hypothesis.example({(5, 0, 2): 2**64 - 1, (6,): 2**64 - 1})
def test_numbers_of_a_datagram(values):
    """Guards against a datagram that ends the exchange or the decisions."""

    async def steps(instance):
        await instance.receive(msgspec.to_builtins(PRIOR_DATAGRAM))
        await instance.receive(replaced(WIRE_DATAGRAM, values))
        members = list(instance.context.members)
        assert all(m.last_seen <= instance.now for m in members)
        await instance.decide()

    run(steps)


@FUZZ
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(
            (
                b'Deadline-Ms',
                b'Token-Usage',
                b'Length-Hint',
                b'Last-Event-Id',
            )
        ),
        HEADER_VALUES | st.tuples(HEADER_VALUES, HEADER_VALUES).map(b','.join),
    )
)
def test_numbers_of_a_request(headers):
    """Guards against a caller's number that ends decisions for others."""

    async def steps(instance):
        dialect = platform.Dialect()
        facts = dialect.request_facts(list(headers.items()))
        dialect.run_headers(
            model.RunOptions(
                ids.RunnerId('d1'),
                4.0 if facts.deadline_s is None else facts.deadline_s,
                last_event_id=facts.last_event_id,
            )
        )
        await instance.decide(facts)

    run(steps)


@FUZZ
@hypothesis.given(
    st.lists(HEADER_VALUES, min_size=1, max_size=5).map(b','.join),
    HEADER_VALUES,
    JSON_VALUES,
)
def test_numbers_of_a_response(load, retry_after, tokens):
    """Guards against a runner's number that ends decisions."""

    async def steps(instance):
        dialect = platform.Dialect()
        headers = [(b'Instance-Load', load), (b'Retry-After', retry_after)]
        facts = dialect.response_facts(503, headers)
        runner = instance.context.runners.get('d1')
        runner.observe_report(facts.load, instance.now)
        if facts.retry_after_s is not None:
            instance.context.runners.availability.observe_back_off(
                runner.runner_id,
                0,
                facts.retry_after_s,
                availability.Source.REFUSAL,
                instance.now,
            )
        body = f'{{"kvHandle": "ab", "tokens": {tokens}}}'.encode()
        prefill = dialect.prefill_result(model.Address(HOST, 80), body)
        assert prefill is None or prefill.tokens >= 0
        await instance.decide()
        # No back-off is longer than two minutes.
        later = instance.now + 121
        assert instance.context.runners.availability.accepts('d1', later)

    run(steps)


SETTINGS_NUMBERS = (
    *('drainMs', 'graceS', 'configApplyMs', 'retryBudgetRatio'),
    *('budgetWindowS', 'retryBudgetSlack', 'leaseMs', 'stableWindowMs'),
)


@FUZZ_PLATFORM
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(SETTINGS_NUMBERS), SETTINGS_VALUES, max_size=3
    ),
    SETTINGS_VALUES,
    SETTINGS_VALUES,
)
def test_numbers_of_settings(bounds, memory, port):
    """Guards against settings that are in force and cannot be used."""
    lines = [
        line
        for line in fuzz_platform.SETTINGS.decode().splitlines()
        if line.partition(' ')[0] not in bounds
    ]
    place = lines.index('[bounds]') + 1
    lines[place:place] = [f'{k} = {v}' for k, v in bounds.items()]
    lines += ['[limits]', f'memoryMb = {memory}']
    text = '\n'.join(lines).replace('[7000, 7015]', f'[{port}]')
    parsed = platform.read_settings(text.encode())
    if not pipeline.is_successful(parsed):
        assert parsed.failure()
        return
    settings = parsed.unwrap()
    assert 0 < settings.peer.port < 65536
    assert 0 < settings.memory_bytes < 2**63
    for seconds in (settings.drain_limit_s, settings.stable_window_s):
        assert 0 <= seconds <= 1e9
