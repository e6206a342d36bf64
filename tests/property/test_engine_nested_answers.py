"""Answers of engines that are nested deeper than the decoder can follow."""

import pytest

from primrosereel import _states as states
from primrosereel.core import _messages as messages
from tests.property import test_fuzz_engine as fuzz_engine

Error = states.UpstreamError
# The decoder raises RecursionError long before this depth.
DEPTH = 5000
NESTED = b'{"x":' + b'[' * DEPTH + b']' * DEPTH + b'}'
REQUEST = fuzz_engine.REQUEST


@pytest.mark.parametrize(
    ('method', 'effect', 'body', 'delivered'),
    [
        (
            'prefill',
            messages.StartPrefill(REQUEST, 1, 'p', 'm', '', '', 0, 1.0, 1.0),
            NESTED,
            messages.PrefillFailed(
                REQUEST, 1, 'p', Error.PROTOCOL, states.Ran.UNKNOWN
            ),
        ),
        (
            'decode',
            messages.StartDecode(
                REQUEST, 1, 'd', 'm', fuzz_engine.KV, '', 5, 0, 0
            ),
            b'data: ' + NESTED + b'\n\n',
            messages.StreamClosed(REQUEST, 1, 'd', Error.PROTOCOL),
        ),
        ('control', messages.PollLoad('d'), NESTED, messages.LoadFailed('d')),
    ],
)
def test_nested_answer_counts_as_a_failed_call(
    method, effect, body, delivered
):
    """Guards against an answer that makes the adapter's call raise.

    Nothing was delivered then, so the request waited until its time limit
    instead of being retried.
    """
    result = fuzz_engine._execute(
        fuzz_engine.make_engine_client,
        method,
        effect,
        fuzz_engine._extra_arguments(method),
        fuzz_engine._responder(200, [body], broken=False),
    )
    assert result == [delivered]
