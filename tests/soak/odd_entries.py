"""Entries of runners as another writer of the store may leave them."""

import json

__all__ = ['draw']

NUMBER_FIELDS = ('born', 'sequence', 'slots', 'coldRemainingMs')
NUMBERS = (
    2**63,
    2**64,
    -(2**63) - 1,
    -1,
    10**30,
    10**400,
    0.5,
    float('inf'),
)
PORTS = ('0', '-1', '65536', '1000000000', ' 80', '8_0', '')
STATES = ('ready', 'draining')
NESTING_DEPTHS = (500, 5000, 100_000)


def draw(random, entry):
    """Return the text of an odd entry that is otherwise like ``entry``."""
    kind = random.choice(('number', 'port', 'nesting'))
    if kind == 'nesting':
        depth = random.choice(NESTING_DEPTHS)
        return b'[' * depth + b']' * depth
    if kind == 'port':
        changes = {'address': f'127.0.0.1:{random.choice(PORTS)}'}
    else:
        changes = {
            random.choice(NUMBER_FIELDS): random.choice(NUMBERS),
            'state': random.choice(STATES),
        }
    return json.dumps(entry | changes).encode()
