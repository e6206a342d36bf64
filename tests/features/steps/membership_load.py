"""Steps that pass load reports of runners to one core."""

from behave import then
from behave import when

from primrosereel.core import _messages as messages


@when(
    'membership gets a load report of runner {runner} of {name} with '
    'incarnation {number:d}{leaving}'
)
def report_load(context, runner, name, number, leaving):
    """Pass one load report to the core."""
    load = messages.LoadReport(
        0, 0, 200, leaving=leaving == ', leaving', incarnation=number
    )
    context.fleet.give(name, messages.LoadReported(runner, load))


@then('membership has runner {runner} of {name} as {state}')
def check_leaving(context, runner, name, state):
    """Compare the leaving flag of the runner."""
    runner_state = context.fleet.world(name).runners[runner]
    assert runner_state.leaving == (state == 'leaving')
