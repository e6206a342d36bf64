"""The routing policies: two for production, and a baseline."""

from collections.abc import Collection
from typing import Any
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _expected_work as expected_work
from primrosereel.routing import _placement as placement
from primrosereel.routing import _prefill_plan as prefill_plan
from primrosereel.routing import _runners as runners

__all__ = ['BASELINE', 'EXPECTED_COMPLETION', 'EXPECTED_WORK', 'Policy']


class Policy(NamedTuple):
    """The classes that choose runners; the share of the retry budget."""

    plain: Any
    decode: Any
    prefill: Any
    retry_share: float = 1.0
    balances_roles: bool = True


class RandomDecodePlaces(decode_places.DecodePlaces):
    """Chooses a random ready decode runner, regardless of memory."""

    def choose(
        self, ticket: decode_places.Ticket, now: float
    ) -> runners.Runner | None:
        """Return a random ready runner."""
        candidates = self._table.ready(
            ticket.service, states.Role.DECODE, now, ticket.excluded
        )
        return self._random.choice(candidates) if candidates else None


class NoPrefillPlan(prefill_plan.PrefillPlan):
    """Leaves the prefill of every prompt to its decode runner."""

    def choose(
        self,
        decode: runners.Runner,
        tokens: int,
        now: float,
        excluded: Collection[ids.RunnerId] = (),
    ) -> runners.Runner | None:
        """Return None for prefill at the decode runner."""
        return None


EXPECTED_COMPLETION = Policy(
    placement.Placement, decode_places.DecodePlaces, prefill_plan.PrefillPlan
)
EXPECTED_WORK = Policy(
    expected_work.WorkPlacement,
    expected_work.WorkDecodePlaces,
    prefill_plan.PrefillPlan,
)
BASELINE = Policy(
    placement.RandomPlacement,
    RandomDecodePlaces,
    NoPrefillPlan,
    retry_share=0.0,
    balances_roles=False,
)
