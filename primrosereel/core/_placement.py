"""Interface of the placement policies, the naive policy and direct choices.

A policy chooses the prefill and the decode runner of a request. A group has at
most 16 runners, so a policy examines all of them and its cost does not depend
on the size of the fleet.
"""

from collections.abc import Collection
import dataclasses
import enum
from typing import NamedTuple
from typing import Protocol

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.core import _messages as messages
from primrosereel.core import _prefill as prefill
from primrosereel.core import _tables as tables

__all__ = [
    'Choice',
    'DirectChoice',
    'GroupView',
    'NaivePolicy',
    'PlacementPolicy',
    'Scarce',
    'Shortage',
    'direct_choice',
]


class Scarce(enum.Enum):
    """The resource that a request lacks."""

    RUNNER = 'runner'
    SIZE = 'size'
    PREFILL = 'prefill'
    PLACE = 'place'
    PIECES = 'pieces'


class Shortage(NamedTuple):
    """Why a request cannot be placed, and when to retry.

    ``for_all`` is True if other requests of its priority lack the same.
    """

    scarce: Scarce
    retry_in_s: float = 0.0
    for_all: bool = False


class Choice(NamedTuple):
    """The runners for a request and the capacity to reserve there."""

    prefill: ids.RunnerId | None
    decode: ids.RunnerId
    pieces: int
    job: prefill.PrefillJob | None = None
    transfer: tuple[float, float] | None = None
    explanation: str = ''


@dataclasses.dataclass(slots=True)
class GroupView:
    """The state of a group that policies read."""

    world: tables.World
    service: text_module.Service
    model: text_module.Model
    ledger: capacity_ledger.CapacityLedger

    def usable(
        self, runner: ids.RunnerId, exclude: Collection[ids.RunnerId]
    ) -> tables.Runner | None:
        """Return the row of a runner that may be given new work."""
        row = self.world.runners.get(runner)
        if row is None or row.leaving or runner in exclude:
            return None
        return row


class PlacementPolicy(Protocol):
    """Chooses the runners for a request."""

    def choose(
        self,
        view: GroupView,
        request: messages.GrantRequest,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> Choice | Shortage:
        """Choose runners, without the ``withheld`` decode runners."""


class NaivePolicy:
    """Chooses a random ready runner for each stage, whatever its load.

    The baseline that the reserving policy is compared with.
    """

    def choose(
        self,
        view: GroupView,
        request: messages.GrantRequest,
        withheld: Collection[ids.RunnerId],
        now: float,
    ) -> Choice | Shortage:
        """Choose runners at random."""
        ledger = view.ledger
        exclude = request.exclude
        decode_candidates = [
            runner_id
            for runner_id in ledger.decode_runners
            if view.usable(runner_id, exclude)
        ]
        prefill_candidates = [
            runner_id
            for runner_id in ledger.prefill_runners
            if view.usable(runner_id, exclude)
        ]
        if not decode_candidates or (
            request.kv is None and not prefill_candidates
        ):
            return Shortage(Scarce.RUNNER)
        decode_runner = view.world.random.choice(decode_candidates)
        pieces = ledger.decode_runners[decode_runner].pieces_for(
            request.prompt_tokens + request.max_tokens
        )
        if request.kv is not None:
            return Choice(
                None, decode_runner, pieces, explanation='chosen at random'
            )
        return Choice(
            view.world.random.choice(prefill_candidates),
            decode_runner,
            pieces,
            explanation='chosen at random',
        )


class DirectChoice(NamedTuple):
    """Runners for a request whose group owner is silent."""

    prefill: ids.RunnerId | None
    decode: ids.RunnerId


def direct_choice(
    world: tables.World,
    service: ids.ServiceId,
    group: ids.GroupId,
    exclude: Collection[ids.RunnerId],
    kv: messages.KvTransfer | None,
) -> DirectChoice | None:
    """Choose runners without the owner of the group.

    For each stage, of two random ready runners the one whose last report
    shows less load is chosen. Returns None if a stage has no ready runner.
    """
    ready: dict[states.Role, list[tables.Runner]] = {}
    for runner in world.groups.get(group, ()):
        runner_row = world.runners.get(runner)
        if runner_row is None or runner_row.service != service:
            continue
        if not runner_row.leaving and runner not in exclude:
            ready.setdefault(runner_row.facts.role, []).append(runner_row)
    decode_runner = _two_choices(world, ready.get(states.Role.DECODE, []))
    if decode_runner is None:
        return None
    if kv is not None:
        return DirectChoice(None, decode_runner)
    prefill_runner = _two_choices(world, ready.get(states.Role.PREFILL, []))
    return (
        None
        if prefill_runner is None
        else DirectChoice(prefill_runner, decode_runner)
    )


def _two_choices(
    world: tables.World, rows: list[tables.Runner]
) -> ids.RunnerId | None:
    rows = [row for row in rows if not row.suspect] or rows
    if not rows:
        return None
    pair = world.random.sample(rows, min(2, len(rows)))
    return min(pair, key=_reported_load).runner


def _reported_load(row: tables.Runner) -> tuple[float, int]:
    report = row.report
    if report is None:
        return 0.0, 0
    return (
        (report.busy + report.queued) / row.facts.places,
        report.backlog_tokens,
    )
