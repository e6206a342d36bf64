"""The engines of the owned groups, and the schedule of reads from them."""

from collections.abc import Iterable
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _ownership as ownership
from primrosereel.core import _tables as tables

__all__ = ['EngineSchedule', 'owned_engines', 'owns_engine']


def owns_engine(world: tables.World, runner: ids.RunnerId) -> bool:
    """Return whether this daemon owns the group of an engine."""
    row = world.runners.get(runner)
    return (
        row is not None
        and row.facts.role is not states.Role.PLAIN
        and ownership.group_owner(world, row.group) == world.identity.instance
    )


def owned_engines(world: tables.World) -> list[ids.RunnerId]:
    """Return the engines of the groups that this daemon owns, sorted."""
    identity = world.identity
    # Only instances of a group's region own it. The owners of groups of other
    # regions are not computed: that would hash each group with every instance
    # of its region whenever the list changes.
    return sorted(
        runner
        for group, members in world.groups.items()
        if world.group_regions.get(group) == identity.region
        and ownership.group_owner(world, group) == identity.instance
        for runner in members
        if owns_engine(world, runner)
    )


class EngineSchedule:
    """Makes each engine due every ``interval_s``, spread out in time.

    Two engines are at least ``spacing_s`` apart, so that an owner of many
    engines causes no bursts; the interval grows if that does not fit.
    """

    def __init__(self, interval_s: float, spacing_s: float) -> None:
        self._interval_s = interval_s
        self._spacing_s = spacing_s
        self._due: dict[ids.RunnerId, float] = {}
        self._last_taken_at = -math.inf

    def set_engines(self, engines: Iterable[ids.RunnerId], now: float) -> None:
        """Replace the scheduled engines; new ones are due now."""
        self._due = {e: self._due.get(e, now) for e in engines}

    def make_due(self, now: float) -> None:
        """Make every engine due as soon as the spacing allows."""
        self._due = {e: min(at, now) for e, at in self._due.items()}

    def take_due(self, now: float) -> ids.RunnerId | None:
        """Return the next due engine, if any, and reschedule it."""
        if not self._due or now < self._last_taken_at + self._spacing_s:
            return None
        engine = min(self._due, key=lambda e: (self._due[e], e))
        if self._due[engine] > now:
            return None
        self._due[engine] = now + self._interval_s
        self._last_taken_at = now
        return engine
