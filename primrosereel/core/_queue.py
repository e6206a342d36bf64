"""The queue of requests that wait for places in a group.

Requests are ordered by priority, then those that continue earlier work, then
by the client account served least in proportion to its weight, then by age.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages

__all__ = ['Fairness', 'ReleaseRate', 'WaitingQueue', 'WaitingRequest']

# Beyond this number the least served accounts are forgotten; this is harmless,
# since they start at the floor again.
MAX_TRACKED_CLIENT_ACCOUNTS = 4096
# Time constant of the release rate; it spans a few typical stream durations.
RATE_WINDOW_S = 10.0
# Fewer (decayed) releases are too few to estimate a rate.
MIN_RELEASES = 8.0


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A waiting request; ``entry`` is the instance to answer.

    ``latest_start`` is the last time at which a grant can meet the first token
    target; it is set when the request could not be granted at once. A request
    whose prefill is done is never late.
    """

    request: messages.GrantRequest
    entry: ids.InstanceId
    incarnation: ids.Incarnation
    arrived: float
    deadline: float
    sequence: int
    latest_start: float = math.inf
    assessed: bool = False

    def is_late(self, now: float) -> bool:
        """Return whether the first token target can no longer be met."""
        return self.latest_start < now

    @property
    def rank(self) -> int:
        """0 if its prefill is done, 1 for a dependency call, 2 otherwise."""
        if self.request.kv is not None:
            return 0
        return 1 if self.request.parent else 2


class Fairness:
    """Weighted fair sharing: the tokens granted to each client account.

    Tokens are divided by the weight of the account. An account that returns
    after a pause starts at the level of those served now (the floor), so it
    gets no extra capacity for the time it was away.
    """

    def __init__(self, weight: Callable[[ids.ClientAccountId], float]) -> None:
        self._weight = weight
        self._served: dict[ids.ClientAccountId, float] = {}
        self._floor = 0.0

    def served(self, client_account: ids.ClientAccountId) -> float:
        """Return the weighted tokens granted to a client account."""
        return self._served.get(client_account, self._floor)

    def activate(self, client_account: ids.ClientAccountId) -> None:
        """Raise a client account that starts to wait to the floor."""
        self._served[client_account] = max(
            self.served(client_account), self._floor
        )
        if len(self._served) > MAX_TRACKED_CLIENT_ACCOUNTS:
            self._served = {
                c: s for c, s in self._served.items() if s > self._floor
            }

    def charge(self, client_account: ids.ClientAccountId, tokens: int) -> None:
        """Add granted tokens to a client account."""
        before = self.served(client_account)
        self._floor = max(self._floor, before)
        weight = max(self._weight(client_account), 1e-6)
        self._served[client_account] = before + tokens / weight


class QueueKey(NamedTuple):
    """The sort key of a waiting request; the smallest is served first."""

    priority: int
    rank: int
    served: float
    arrived: float
    sequence: int


class WaitingQueue:
    """Waiting requests, each under its request id."""

    def __init__(self, fairness: Fairness) -> None:
        self._fairness = fairness
        self._waiting: dict[ids.RequestId, WaitingRequest] = {}
        self._client_accounts: dict[ids.ClientAccountId, int] = {}
        self._order: list[WaitingRequest] | None = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def next_deadline(self) -> float:
        """The earliest deadline of a waiting request."""
        return min(
            (w.deadline for w in self._waiting.values()), default=math.inf
        )

    def get(self, request: ids.RequestId) -> WaitingRequest | None:
        """Return a waiting request."""
        return self._waiting.get(request)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request; replaces an earlier attempt of it."""
        request = waiting.request
        self.remove(request.request_id)
        client_account = request.client_account
        if client_account not in self._client_accounts:
            self._fairness.activate(client_account)
        self._client_accounts[client_account] = (
            self._client_accounts.get(client_account, 0) + 1
        )
        self._waiting[request.request_id] = waiting
        self._order = None

    def remove(self, request: ids.RequestId) -> WaitingRequest | None:
        """Remove and return a request; idempotent."""
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return None
        client_account = waiting.request.client_account
        self._client_accounts[client_account] -= 1
        if not self._client_accounts[client_account]:
            del self._client_accounts[client_account]
        if self._order is not None:
            self._order.remove(waiting)
        return waiting

    def charge(self, client_account: ids.ClientAccountId, tokens: int) -> None:
        """Charge a grant; other requests of the account move back."""
        self._fairness.charge(client_account, tokens)
        if client_account in self._client_accounts:
            self._order = None

    def in_order(self) -> tuple[WaitingRequest, ...]:
        """Return the requests in the order of service."""
        if self._order is None:
            self._order = sorted(self._waiting.values(), key=self._key)
        return tuple(self._order)

    def priorities(self) -> set[int]:
        """Return the priorities of the waiting requests."""
        return {w.request.priority for w in self._waiting.values()}

    def expired(self, now: float) -> list[WaitingRequest]:
        """Return the requests whose deadline has passed."""
        return [w for w in self._waiting.values() if w.deadline <= now]

    def next_to_shed(self, now: float) -> WaitingRequest:
        """Return the request to refuse first when the queue is too long.

        It is the last in the order among the late requests of the lowest
        priority or, if none of them is late, among all of that priority.
        """
        order = self.in_order()
        next_to_shed = order[-1].request.priority
        candidates = [w for w in order if w.request.priority == next_to_shed]
        late = [w for w in candidates if w.is_late(now)]
        return (late or candidates)[-1]

    def grant_order(
        self, priority: int, late_first: bool, now: float
    ) -> list[WaitingRequest]:
        """Return the requests of a priority in the order of grant attempts.

        On-time requests come before late ones, or after them if
        ``late_first`` is set; each part keeps the order of service.
        """
        late: list[WaitingRequest] = []
        on_time: list[WaitingRequest] = []
        for waiting in self.in_order():
            if waiting.request.priority == priority:
                requests = late if waiting.is_late(now) else on_time
                requests.append(waiting)
        return late + on_time if late_first else on_time + late

    def _key(self, waiting: WaitingRequest) -> QueueKey:
        request = waiting.request
        return QueueKey(
            -request.priority,
            waiting.rank,
            self._fairness.served(request.client_account),
            waiting.arrived,
            waiting.sequence,
        )


class ReleaseRate:
    """The recent rate at which places are released."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = -math.inf

    def record(self, now: float) -> None:
        """Record the release of a place."""
        self._count = self._decayed(now) + 1
        self._at = now

    def estimated_wait_s(self, position: int, now: float) -> float | None:
        """Estimate the seconds until the request at a position gets a place.

        Returns None while too few releases were seen.
        """
        count = self._decayed(now)
        if count < MIN_RELEASES:
            return None
        return (position + 1) * RATE_WINDOW_S / count

    def _decayed(self, now: float) -> float:
        if not self._count:
            return 0.0
        return self._count * math.exp((self._at - now) / RATE_WINDOW_S)
