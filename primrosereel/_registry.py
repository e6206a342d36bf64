"""Maps names to classes and functions, which are imported on first use.

A target is ``module:attribute`` below this package. Importing on first use
keeps, for instance, the bench out of a daemon's process.
"""

import importlib
from typing import Any

__all__ = ['DEFAULT_SYSTEMS', 'UnknownPart', 'load', 'names', 'system']

PARTS: dict[str, dict[str, str]] = {
    'system': {
        'configuration': 'core._configuration:ConfigurationSystem',
        'membership': 'core._membership:MembershipSystem',
        'limits': 'core._rate_limits:RateLimitsSystem',
        'stragglers': 'core._stragglers:StragglersSystem',
        'claims': 'core._claim_witness:ClaimWitnessSystem',
        'pool': 'core._pool_system:PoolSystem',
        'pool-naive': 'core._pool_system:NaivePoolSystem',
        'entry': 'core._entry_system:EntrySystem',
        'plain': 'core._plain_system:PlainSystem',
        'reclaim': 'core._reclaim:ReclaimSystem',
        'orders': 'core._orders:OrdersSystem',
    },
    'bench': {
        'capacity': 'bench._capacity:run',
        'cost': 'bench._cost:run',
        'gateway-decisions': 'bench._gateway_decisions:run',
        'mixed-costs': 'bench._mixed_costs:run',
    },
    'command': {
        'bench': 'cmd._bench:BenchCommand',
        'check': 'cmd._check:CheckCommand',
        'demo': 'cmd._demo:DemoCommand',
        'drain': 'cmd._remote:DrainCommand',
        'explain': 'cmd._remote:ExplainCommand',
        'run-example': 'cmd._example:RunExampleCommand',
        'standin': 'cmd._standin:StandinCommand',
        'status': 'cmd._remote:StatusCommand',
    },
    'plot': {
        'capacity': 'bench._capacity_plot:write',
        'mixed-costs': 'bench._mixed_costs_plot:write',
        'measures': 'bench._plot:plot_measures',
    },
    'placement': {
        'reserving': 'core._reserving_policy:ReservingPolicy',
        'naive': 'core._placement:NaivePolicy',
    },
    'routing-policy': {
        'expected-completion': 'routing._policies:EXPECTED_COMPLETION',
        'expected-work': 'routing._policies:EXPECTED_WORK',
        'baseline': 'routing._policies:BASELINE',
    },
}

# The order in which the systems run: a system that writes a table comes
# before those that read it.
DEFAULT_SYSTEMS = (
    'configuration',
    'membership',
    'limits',
    'stragglers',
    'claims',
    'pool',
    'entry',
    'plain',
    'reclaim',
    'orders',
)


class UnknownPart(LookupError):
    """There is no part of that kind and name."""


def names(kind: str) -> tuple[str, ...]:
    """Return the names of the parts of a kind."""
    return tuple(PARTS.get(kind, ()))


def load(kind: str, name: str) -> Any:
    """Import and return a part; raise UnknownPart if there is none."""
    try:
        target = PARTS[kind][name]
    except KeyError:
        known = ', '.join(names(kind)) or 'none'
        raise UnknownPart(
            f'no {kind} named {name!r}; known: {known}'
        ) from None
    module, _, attribute = target.partition(':')
    return getattr(
        importlib.import_module(f'primrosereel.{module}'), attribute
    )


def system(name: str) -> Any:
    """Return the class of a core system."""
    return load('system', name)
