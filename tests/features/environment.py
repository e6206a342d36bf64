"""Hooks for every scenario."""

from tests import fault_fleet
from tests import known_red

FAULT_FLEET = 'fault_fleet'


def before_all(context):
    """Nothing runs yet; the fleet starts with the first feature it serves."""
    context.harness = None


def before_feature(context, feature):
    """Start the fleet of processes that fault scenarios share."""
    if FAULT_FLEET in feature.tags and context.harness is None:
        harness = fault_fleet.FaultHarness()
        context._root['harness'] = harness


def before_scenario(context, scenario):
    """Pass over the scenarios that are known to fail."""
    if scenario.name in known_red.scenario_names():
        scenario.skip('listed in KNOWN-RED.txt')


def after_scenario(context, scenario):
    """Repair what a fault scenario has broken."""
    if FAULT_FLEET in scenario.effective_tags:
        context.harness.restore()


def after_all(context):
    """End the shared fleet and print what it went through."""
    if context.harness is not None:
        context.harness.fleet.stop()
        print(
            f'fault scenarios: {dict(sorted(context.harness.tally.items()))}'
        )
