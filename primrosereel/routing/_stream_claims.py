"""Which streams get the retry budget first while it is short.

Pattern: priority queue without hand-over. A stream that is denied the budget
stays on the list and asks again; whoever ranks behind it is denied as well.
Broken streams come first, as their callers wait for the next event. Then come
moves of streams that may run only once, which have no other way to go on, and
then moves of streams that can be resumed after their runner has gone. Among
equals the stream with the most events comes first, as most work is lost with
it and it needs the least time to end.
"""

from collections.abc import Callable
import dataclasses
import enum

from primrosereel import _ids as ids

__all__ = ['Claim', 'StreamClaims', 'Urgency']


class Urgency(enum.Enum):
    """Why a stream needs the budget, most urgent first."""

    BROKEN = 'broken'
    ONLY_MOVE = 'only_move'
    RESUMABLE_MOVE = 'resumable_move'


ORDER = tuple(Urgency)


@dataclasses.dataclass(eq=False, slots=True)
class Claim:
    """One stream's need of the budget; ``events`` tells what it has sent.

    It is ``waiting`` once it was denied the budget.
    """

    service: ids.ServiceId
    urgency: Urgency
    events: Callable[[], int]
    waiting: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """The sort key by which claims get the budget, lowest first."""
        return ORDER.index(self.urgency), -self.events()


class StreamClaims:
    """The claims of this instance's streams.

    Example::

        claims = StreamClaims()
        claims.add(claim)
        claims.ahead_of(other)  # 1 if the claim ranks before it
        claims.remove(claim)
    """

    def __init__(self) -> None:
        self._claims: set[Claim] = set()

    def add(self, claim: Claim) -> None:
        """Let a claim count."""
        self._claims.add(claim)

    def remove(self, claim: Claim) -> None:
        """Let a claim count no more, if it does."""
        claim.waiting = False
        self._claims.discard(claim)

    def ahead_of(self, claim: Claim) -> int:
        """Return how many claims are to get the budget before this one.

        More urgent ones count even before they ask, so that moves which can
        be spared do not take what the others will need.
        """
        return sum(
            other.service == claim.service
            and (other.waiting or other.urgency is not claim.urgency)
            and other.rank < claim.rank
            for other in self._claims
        )
