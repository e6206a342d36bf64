"""Tables of entities that the systems share, and the outbox.

A table is a dict from an id to a row. Each row is written by one system, which
its docstring names. A table that only one system uses stays inside that
system.
"""

import collections
import dataclasses
import math
import random as random_module
from typing import Protocol
from typing import runtime_checkable

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _retry_budget as retry_budget

__all__ = [
    'ClientAccount',
    'Gauged',
    'Identity',
    'Listing',
    'Peer',
    'Runner',
    'System',
    'TextRefusal',
    'World',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process, read from its settings at start."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    address: str

    def listed(self, leaving: bool = False) -> messages.ListedInstance:
        """Return this instance as an entry of the instance list."""
        return messages.ListedInstance(
            self.instance,
            self.incarnation,
            self.region,
            self.availability_zone,
            self.address,
            leaving,
        )


@dataclasses.dataclass(slots=True)
class Runner:
    """One runner of the text in force; written by the membership system.

    ``suspect`` is written by the straggler system. ``leaving`` is set by any
    source and cleared only by a new incarnation or text.
    """

    runner: ids.RunnerId
    service: ids.ServiceId
    group: ids.GroupId
    facts: text_module.Runner
    leaving: bool = False
    suspect: bool = False
    # The runner was suspect and may take one request as a probe.
    probing: bool = False
    report: messages.LoadReport | None = None
    reported_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon; written by the membership system."""

    listed: messages.ListedInstance
    state: states.PeerState = states.PeerState.LIVE
    heard_at: float = -math.inf
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(slots=True)
class Listing:
    """The newest instance list known; written by the membership system."""

    revision: int = 0
    as_of: float = -math.inf
    instances: dict[ids.InstanceId, messages.ListedInstance] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(slots=True)
class ClientAccount:
    """A client account of the text in force; ``facts`` follow the text.

    Everything else is written by the rate limits system. ``demand`` counts the
    calls requested since the last report, and ``last_call_at`` is when the
    last of them was.
    """

    client_account: ids.ClientAccountId
    facts: text_module.ClientAccount
    tokens: float = 0.0
    rate: float = 0.0
    filled_at: float = -math.inf
    share_until: float = -math.inf
    demand: int = 0
    last_call_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class TextRefusal:
    """A text that failed validation; written by the configuration system."""

    revision: ids.Revision
    faults: tuple[str, ...]


class System(Protocol):
    """One concern of the core; runs over the tables."""

    inputs: tuple[type, ...]

    def receive(self, message, now: float) -> None:
        """Process one message whose type is in ``inputs``."""

    def run(self, now: float) -> None:
        """Run due work; called after each received message and each tick."""


@runtime_checkable
class Gauged(Protocol):
    """A system that exports gauges."""

    def gauges(self) -> dict[str, float]:
        """Return the current values by name."""


class World:
    """The shared tables, the random source and the outbox.

    ``wall`` is the wall clock in seconds at the current message; only keys
    and the instance list, which carry wall-clock times, are compared with it.
    """

    def __init__(
        self, identity: Identity, random: random_module.Random
    ) -> None:
        self.identity = identity
        self.random = random
        self.wall = 0.0
        self.text: text_module.Text | None = None
        self.revision = ids.Revision(0)
        # Why the newest refused text was refused, for operators.
        self.refusal: TextRefusal | None = None
        self.draining = False
        # Monotonic time at which this process last resumed after a pause.
        self.paused_at = -math.inf
        self.listing = Listing()
        # Monotonic time at which ``listing.as_of`` last advanced.
        self.listed_at = -math.inf
        # The ``as_of`` of the first list that showed an instance with its
        # incarnation, for those in the list.
        self.listed_since: dict[
            tuple[ids.InstanceId, ids.Incarnation], float
        ] = {}
        # Incremented whenever the list, a peer's state or draining changes;
        # what is computed from them can be kept until then.
        self.view = 0
        # Monotonic time at which a peer or the configuration service last
        # confirmed the own revision.
        self.confirmed_at = -math.inf
        self.peers: dict[ids.InstanceId, Peer] = {}
        self.runners: dict[ids.RunnerId, Runner] = {}
        self.groups: dict[ids.GroupId, tuple[ids.RunnerId, ...]] = {}
        self.service_groups: dict[ids.ServiceId, tuple[ids.GroupId, ...]] = {}
        self.group_regions: dict[ids.GroupId, ids.Region] = {}
        # Group owners by region, a cache. Code that changes one of its inputs
        # (list, text, a peer's state, draining) clears it.
        self.owners: dict[ids.Region, dict[ids.GroupId, ids.InstanceId]] = {}
        self.client_accounts: dict[ids.ClientAccountId, ClientAccount] = {}
        self.client_accounts_by_key: dict[str, ids.ClientAccountId] = {}
        # Client accounts with calls in the last seconds.
        self.active_client_accounts: set[ids.ClientAccountId] = set()
        # Explanations of recent requests, oldest first.
        self.explanations: collections.OrderedDict[
            ids.RequestId, list[str]
        ] = collections.OrderedDict()
        # Requests in progress, of the entry and the plain system together.
        self.active_requests = 0
        self.drain_finished = False
        self.retry_budget = retry_budget.RetryBudget()
        self.outbox: list[messages.Outbound] = []
        self.wake = math.inf

    def emit(self, effect: messages.Outbound) -> None:
        """Hand an effect to the adapters."""
        self.outbox.append(effect)

    def send(
        self, destination: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        """Send a message to a daemon, which may be this one."""
        self.outbox.append(messages.SendPeer(destination, message))

    def count(self, name: str, value: int = 1) -> None:
        """Increment a counter."""
        self.outbox.append(messages.Count(name, value))

    def count_retry(self, reason: states.RetryReason) -> None:
        """Increment the counter of a retry reason."""
        self.count(f'retry.{reason.value}')

    def wake_at(self, when: float) -> None:
        """Ask for a tick no later than ``when``."""
        self.wake = min(self.wake, when)

    def explain(self, request: ids.RequestId, line: str) -> None:
        """Record a decision about a request, for operators."""
        lines = self.explanations.setdefault(request, [])
        lines.append(line)
        while len(self.explanations) > MAX_EXPLANATIONS:
            self.explanations.popitem(last=False)


# 1,000 requests are four minutes of one daemon's share of the peak.
MAX_EXPLANATIONS = 1000
