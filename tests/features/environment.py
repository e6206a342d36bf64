"""Hooks that behave calls around features and scenarios."""

import pathlib
import re

from tests import fault_fleet
from tests import known_red

FAULT_FLEET = 'fault_fleet'
# Outputs of the processes of failed fault scenarios.
FAILURES = pathlib.Path(__file__).resolve().parents[2] / 'out' / 'failures'


def before_all(context):
    """Declare the harness; the first feature that needs it starts it."""
    context.harness = None


def before_feature(context, feature):
    """Start the fleet that all fault scenarios share."""
    if FAULT_FLEET in feature.tags and context.harness is None:
        harness = fault_fleet.FaultHarness()
        context._root['harness'] = harness


def before_scenario(context, scenario):
    """Skip the scenarios that are known to fail."""
    if scenario.name in known_red.scenario_names():
        scenario.skip('listed in KNOWN-RED.txt')


def after_scenario(context, scenario):
    """Restore the shared fleet after a fault scenario."""
    if FAULT_FLEET in scenario.effective_tags:
        if scenario.status.has_failed():
            name = re.sub(r'\W+', '-', scenario.name)
            context.harness.save_outputs(FAILURES / name)
        context.harness.restore()


def after_all(context):
    """Stop the shared fleet and print the counts of faults and results."""
    if context.harness is not None:
        context.harness.fleet.stop()
        print(
            f'fault scenarios: {dict(sorted(context.harness.tally.items()))}'
        )
