"""Fuzzes peer messages: any input is refused or handled in bounded state."""

import collections
import contextlib
import enum
import types
import typing

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers
from tests.property import fuzzing

MESSAGE_TYPES = messages.PeerMessage.__subclasses__()
STRINGS = st.one_of(
    st.sampled_from(
        (
            '',
            'n1',
            'n2',
            'n1.1.1',
            'n1.1.1.1',
            'n2.1.7',
            'llm',
            'plain',
            'p',
            'd',
            'c',
            'r',
            'h',
            '018f0000-0000-7000-8000-000000000000',
        )
    ),
    st.text(max_size=9),
    st.integers(0, 2**70).map('n2.{}.1'.format),
)


def _value_strategy(kind):
    """Return a strategy for the values of a type."""
    while hasattr(kind, '__supertype__'):
        kind = kind.__supertype__
    origin = typing.get_origin(kind)
    if origin in (typing.Union, types.UnionType):
        return st.one_of([_value_strategy(k) for k in typing.get_args(kind)])
    if origin is tuple:
        arguments = typing.get_args(kind)
        if arguments[-1] is Ellipsis:
            return st.lists(_value_strategy(arguments[0]), max_size=3).map(
                tuple
            )
        return st.tuples(*[_value_strategy(k) for k in arguments])
    if kind is type(None):
        return st.none()
    if issubclass(kind, enum.Enum):
        return st.sampled_from(kind)
    if issubclass(kind, msgspec.Struct):
        return _struct_strategy(kind)
    return {
        bool: st.booleans(),
        int: fuzzing.INTEGERS,
        float: fuzzing.FLOATS,
        str: STRINGS,
        bytes: st.binary(max_size=20),
    }[kind]


def _struct_strategy(kind):
    hints = typing.get_type_hints(kind)
    fields = {n: _value_strategy(hints[n]) for n in kind.__struct_fields__}
    if 'group' in fields:
        fields['group'] = st.sampled_from(GROUPS) | STRINGS
    return st.builds(kind, **fields)


GROUPS = tuple(fuzzing.make_core().world.groups)
ANY_MESSAGE = st.one_of([_struct_strategy(kind) for kind in MESSAGE_TYPES])
MESSAGE_COUNT = 600
BATCH = st.lists(ANY_MESSAGE, min_size=1, max_size=4)


def _handle(core, message, sender='n2', incarnation=1, now=1.0):
    """Encode and decode a message and pass it to the core."""
    envelope = peers.Envelope(sender, incarnation, [message])
    received = peers.decode(peers.encode(envelope))
    effects = []
    for inner in received.messages:
        outer = messages.FromPeer(received.sender, received.incarnation, inner)
        effects += core.handle(outer, now, fuzzing.EPOCH + now)
    _check_encodable(effects)


def _check_encodable(effects):
    for effect in effects:
        if isinstance(effect, messages.SendPeer):
            peers.encode(peers.Envelope('n1', 1, [effect.message]))


@hypothesis.settings(max_examples=100)
@hypothesis.given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_refused(body):
    """Guards against bytes whose decoding raises an unexpected exception."""
    with contextlib.suppress(msgspec.MsgspecError):
        peers.decode(body)


@hypothesis.settings(max_examples=100)
@hypothesis.given(BATCH, st.data())
def test_mutated_batches_are_handled_or_refused(batch, data):
    """Guards against corrupted batches that make the core raise."""
    body = bytearray(peers.encode(peers.Envelope('n2', 1, batch)))
    assert peers.decode(bytes(body)).sender == 'n2'
    for _ in range(data.draw(st.integers(1, 3))):
        index = data.draw(st.integers(0, len(body) - 1))
        body[index] = data.draw(st.integers(0, 255))
    try:
        envelope = peers.decode(bytes(body))
    except msgspec.MsgspecError:
        return
    core = fuzzing.make_core(peers=('n2', 'n3'))
    for message in envelope.messages:
        _handle(core, message, envelope.sender, envelope.incarnation)


@pytest.mark.parametrize('kind', MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_extreme_messages_are_handled(kind):
    """Guards against a peer that makes the core raise by an extreme value."""

    @hypothesis.settings(max_examples=50)
    @hypothesis.given(
        st.lists(_struct_strategy(kind), min_size=1, max_size=3),
        st.sampled_from(('n1', 'n2', 'n9')),
        st.integers(-1, 2),
    )
    def feed(batch, sender, incarnation):
        core = fuzzing.make_core(peers=('n2', 'n3'))
        for message in batch:
            _handle(core, message, sender, incarnation)
        for now in (1.1, 1.2, 2.5):
            _check_encodable(core.tick(now, fuzzing.EPOCH + now))

    feed()


def _item_count(value, seen):
    """Count the items of all containers that are reachable from a value."""
    if id(value) in seen or isinstance(value, str | bytes | type):
        return 0
    seen.add(id(value))
    if isinstance(value, dict):
        parts = [*value.keys(), *value.values()]
        return len(value) + sum(_item_count(p, seen) for p in parts)
    if isinstance(value, list | tuple | set | frozenset | collections.deque):
        return len(value) + sum(_item_count(part, seen) for part in value)
    if not type(value).__module__.startswith('primrosereel'):
        return 0
    names = getattr(value, '__slots__', ())
    parts = [getattr(value, name, None) for name in names]
    parts += getattr(value, '__dict__', {}).values()
    return sum(_item_count(part, seen) for part in parts)


def _with_new_ids(message, number):
    """Return the message with ids that no earlier message had."""
    changes = {}
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if isinstance(value, str) and name not in ('group', 'region'):
            changes[name] = f'{value}{number}'
        elif isinstance(value, int) and name == 'attempt':
            changes[name] = number
    return msgspec.structs.replace(message, **changes)


@pytest.mark.parametrize('kind', MESSAGE_TYPES, ids=lambda kind: kind.__name__)
def test_state_is_bounded(kind):
    """Guards against a peer that exhausts memory with made-up ids.

    The state is measured after state with a time limit, such as claims that
    are kept for 10 min, has expired.
    """

    @hypothesis.settings(max_examples=4)
    @hypothesis.given(_struct_strategy(kind))
    def feed(message):
        core = fuzzing.make_core(peers=('n2', 'n3'))
        core.tick(1.0, fuzzing.EPOCH + 1.0)
        before = _item_count(core, set())
        for number in range(MESSAGE_COUNT):
            _handle(core, _with_new_ids(message, number))
        for step in range(1, 80):
            now = 10.0 * step
            core.tick(now, fuzzing.EPOCH + now)
        assert _item_count(core, set()) < before + MESSAGE_COUNT / 2

    feed()
