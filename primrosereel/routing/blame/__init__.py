"""Finds out which requests crash runners, without network or clock.

A runner that crashes takes all its requests with it, and one of them may be
the cause. Pattern: quarantine of a poison message ("query of death") by a
circuit breaker for each suspected cause.
"""

from primrosereel.routing.blame._causes import Cause
from primrosereel.routing.blame._causes import CauseKind
from primrosereel.routing.blame._causes import part_cause
from primrosereel.routing.blame._causes import request_key
from primrosereel.routing.blame._evidence import Crash
from primrosereel.routing.blame._evidence import Evidence
from primrosereel.routing.blame._evidence import Observation
from primrosereel.routing.blame._quarantine import PROVEN_EVENTS
from primrosereel.routing.blame._quarantine import Quarantine

__all__ = [
    'Cause',
    'CauseKind',
    'Crash',
    'Evidence',
    'Observation',
    'PROVEN_EVENTS',
    'Quarantine',
    'part_cause',
    'request_key',
]
