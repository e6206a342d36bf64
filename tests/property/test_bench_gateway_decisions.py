"""The fleets in which the gateway's decisions are measured."""

import pytest

from primrosereel.bench import _gateway_decisions as gateway_decisions


@pytest.mark.parametrize('size', gateway_decisions.FLEET_SIZES)
def test_each_measured_decision_finds_a_runner(size):
    """Guards against a measurement of decisions that are refused.

    A place that is not released would be missing after some decisions.
    """
    for make in (
        gateway_decisions._plain_decision,
        gateway_decisions._decode_decision,
    ):
        decide = make(size)
        for _ in range(3 * size.engines):
            decide()
