"""Numbers in requests and capacities that nothing can be done with."""

import pytest

from primrosereel import platform
from tests import gateway_fleet


@pytest.mark.parametrize('tokens', ['1000000001', '1e14', '9' * 15])
def test_token_count_out_of_range_is_ignored(tokens):
    """Guards against one caller's number that peers take for a huge load."""
    facts = platform.Dialect().request_facts(
        [(b'Token-Usage', f'{tokens},{tokens}'.encode())]
    )
    assert (facts.prompt_tokens, facts.output_tokens) == (1000, 200)


@pytest.mark.parametrize('value', [b'1_0', b'+5', b'0x5', b'nan', b'-0', b''])
def test_number_of_a_header_is_written_in_decimal_digits(value):
    """Guards against values that no other program reads as a number."""
    facts = platform.Dialect().request_facts(
        [(b'Deadline-Ms', value), (b'Last-Event-Id', value)]
    )
    assert facts.deadline_s is None
    assert facts.last_event_id is None


def test_event_id_with_a_fraction_is_ignored():
    """Guards against a stream that resumes after another event."""
    facts = platform.Dialect().request_facts([(b'Last-Event-Id', b'2.7')])
    assert facts.last_event_id is None


def test_numbers_in_range_are_read():
    """Guards against a decoder that ignores every header."""
    facts = platform.Dialect().request_facts(
        [
            (b'Deadline-Ms', b' 1500.5 '),
            (b'Last-Event-Id', b'27'),
            (b'Token-Usage', b'400, 40'),
            (b'Length-Hint', b'12'),
        ]
    )
    assert (facts.deadline_s, facts.last_event_id) == (1.5005, 27)
    assert (facts.prompt_tokens, facts.output_tokens) == (400, 40)
    assert facts.length_hint == 12


@pytest.mark.parametrize('load', [b'1e14,0,4', b'1,2', b'-1,0,4', b'1,0,x'])
def test_load_out_of_range_is_ignored(load):
    """Guards against a runner that counts as used by a million requests."""
    facts = platform.Dialect().response_facts(200, [(b'Instance-Load', load)])
    assert facts.load is None


def test_load_in_range_is_read():
    """Guards against a decoder that ignores every load report."""
    headers = [(b'Instance-Load', b'3, 0,4,150')]
    load = platform.Dialect().response_facts(200, headers).load
    assert load == (3, 0, 4, 1.5)


@pytest.mark.parametrize('tokens', [b'-1', b'1' + b'0' * 30, b'2.5'])
def test_prefill_of_an_impossible_number_of_tokens_is_no_prefill(tokens):
    """Guards against a handle from an answer that is not of a prefill."""
    body = b'{"kvHandle": "ab", "tokens": %s}' % tokens
    address = ('127.0.0.1', 80)
    assert platform.Dialect().prefill_result(address, body) is None


def test_engine_without_a_known_memory_does_not_end_the_exchange():
    """Guards against free memory that cannot be told to other shards."""

    async def scenario(fleet):
        config = gateway_fleet.configuration(2)
        del config['services'][1]['engine']['kvCacheTokens']
        fleet.store.put('op/config', config)
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.table.version == 2)
        free = context.places.free_memory(context.clock())
        assert [tokens > 0 for _, tokens in free] == [True, True]

    gateway_fleet.run_scenario(scenario)
