"""Finds out which requests crash runners, without network or clock.

A runner that crashes takes all its requests with it, and one of them may be
the cause. Pattern: quarantine of a poison message ("query of death") by a
circuit breaker for each suspected cause.
"""

from primrosereel.routing.blame._causes import Cause
from primrosereel.routing.blame._causes import CauseKind
from primrosereel.routing.blame._causes import part_cause
from primrosereel.routing.blame._causes import request_key

__all__ = ['Cause', 'CauseKind', 'part_cause', 'request_key']
