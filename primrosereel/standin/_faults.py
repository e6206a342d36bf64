"""Faults that a test injects while a stand-in runs."""

from typing import Any
from typing import Literal
from typing import TypeVar

import msgspec

__all__ = [
    'EngineFaults',
    'FaultError',
    'PlainFaults',
    'PlatformFaults',
    'consume',
    'with_changes',
]


class FaultError(ValueError):
    """A change of the faults with an unknown fault or a bad value."""


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of an engine.

    Integer values count down: that many calls or chunks are affected. The
    last three apply to the HTTP stand-in only. They cause calls that are
    never answered, answers with far too many headers, and endless bodies.
    """

    stall_transfers: bool = False
    slow: float = 1.0
    full: bool = False
    leaving: bool = False
    fencing: Literal['configured', 'ignore', 'refuse'] = 'configured'
    drop_cancels: int = 0
    garble: int = 0
    wrong_id: int = 0
    end_early: int = 0
    hang: int = 0
    endless_headers: int = 0
    endless_body: int = 0


class PlainFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a plain service; integer values count down calls.

    ``fail_before`` closes the connection without running the call,
    ``drop_answer`` runs it and closes the connection, ``hang`` runs it and
    never answers. ``slow`` multiplies the delay. ``full`` and ``leaving``
    refuse calls without running them.
    """

    fail_before: int = 0
    drop_answer: int = 0
    hang: int = 0
    slow: float = 1.0
    full: bool = False
    leaving: bool = False


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the platform.

    ``stale_revision`` above 0 serves the configuration of that older
    revision. ``delay_s`` delays every answer. ``frozen_list`` stops updates
    of the instance list and its ``as_of``. ``list_lag_s`` serves the list as
    it was that long ago.
    """

    down: bool = False
    list_down: bool = False
    stale_revision: int = 0
    frozen_list: bool = False
    delay_s: float = 0.0
    list_lag_s: float = 0.0


T = TypeVar('T', EngineFaults, PlainFaults, PlatformFaults)


def with_changes(faults: T, values: dict[str, Any]) -> T:
    """Return the faults with some values replaced.

    Raises FaultError for an unknown name or a bad value.
    """
    try:
        changed = msgspec.convert(
            {**msgspec.to_builtins(faults), **values}, type(faults)
        )
    except msgspec.ValidationError as error:
        raise FaultError(str(error)) from error
    slow = getattr(changed, 'slow', 1.0)
    if not slow > 0:
        raise FaultError(f'slow must be above 0, not {slow}')
    return changed


def consume(faults: Any, name: str) -> bool:
    """Tell whether a counted fault applies now, and count it down."""
    left = getattr(faults, name)
    if left <= 0:
        return False
    setattr(faults, name, left - 1)
    return True
