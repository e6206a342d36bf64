"""The platform's instance list, built from liveness checks."""

from collections import deque
from collections.abc import Iterable
import time
from typing import NamedTuple

import anyio
import httpx
import msgspec

from primrosereel.standin import _faults as faults
from primrosereel.standin import _http as http

__all__ = ['Candidate', 'Instance', 'InstanceList', 'Listing']

# An instance is removed after this many consecutive failed checks.
FAILED_POLLS_TO_REMOVE = 2
MAX_KEPT_LISTS = 400


class Candidate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A daemon to check for liveness; ``address`` is its peer address."""

    instance: str
    region: str
    availability_zone: str
    address: str
    operator_address: str


class Instance(msgspec.Struct, frozen=True):
    """One daemon that is alive."""

    instance: str
    incarnation: int
    region: str
    availability_zone: str
    address: str
    leaving: bool


class InstanceList(msgspec.Struct, frozen=True):
    """The list; ``as_of`` is the wall-clock time of its liveness checks."""

    revision: int
    as_of: float
    instances: tuple[Instance, ...]


class _Liveness(msgspec.Struct):
    instance: str
    incarnation: int
    leaving: bool = False


class _Sample(NamedTuple):
    time: float
    listing: InstanceList


class Listing:
    """Polls the candidates and keeps the most recent lists."""

    def __init__(self, client: httpx.AsyncClient, poll_s: float) -> None:
        self.frozen = False
        self._client = client
        self._poll_s = poll_s
        self._candidates: dict[str, Candidate] = {}
        self._alive: dict[str, Instance] = {}
        self._failed_polls: dict[str, int] = {}
        # Starts from the wall clock, so that a restarted platform does not
        # reuse revisions.
        first = InstanceList(time.time_ns() // 1_000_000, time.time(), ())
        self._samples = deque(
            [_Sample(anyio.current_time(), first)], maxlen=MAX_KEPT_LISTS
        )

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates.

        Instances that are no longer candidates leave the list at the next
        poll.
        """
        self._candidates = {c.instance: c for c in candidates}
        for removed in self._alive.keys() - self._candidates.keys():
            del self._alive[removed]
            self._failed_polls.pop(removed, None)

    def visible_list(
        self, active_faults: faults.PlatformFaults
    ) -> InstanceList:
        """Return the list that readers get, as of ``list_lag_s`` ago."""
        limit = anyio.current_time() - active_faults.list_lag_s
        for sample in reversed(self._samples):
            if sample.time <= limit:
                return sample.listing
        return self._samples[0].listing

    async def poll(self) -> None:
        """Check all candidates periodically, until cancelled."""
        while True:
            as_of = time.time()
            async with anyio.create_task_group() as group:
                for candidate in self._candidates.values():
                    group.start_soon(self._check, candidate)
            if not self.frozen:
                self._record(as_of)
            await anyio.sleep(self._poll_s)

    def _record(self, as_of: float) -> None:
        previous = self._samples[-1].listing
        instances = tuple(self._alive[name] for name in sorted(self._alive))
        changed = instances != previous.instances
        listing = InstanceList(previous.revision + changed, as_of, instances)
        self._samples.append(_Sample(anyio.current_time(), listing))

    async def _check(self, candidate: Candidate) -> None:
        name = candidate.instance
        liveness = await self._read_liveness(candidate)
        # The candidates may have been replaced during the check.
        if self._candidates.get(name) != candidate:
            return
        if liveness is None:
            self._failed_polls[name] = self._failed_polls.get(name, 0) + 1
            if self._failed_polls[name] >= FAILED_POLLS_TO_REMOVE:
                self._alive.pop(name, None)
            return
        self._failed_polls[name] = 0
        self._alive[name] = Instance(
            instance=name,
            incarnation=liveness.incarnation,
            region=candidate.region,
            availability_zone=candidate.availability_zone,
            address=candidate.address,
            leaving=liveness.leaving,
        )

    async def _read_liveness(self, candidate: Candidate) -> _Liveness | None:
        if not http.is_loopback(candidate.operator_address):
            return None
        url = f'http://{candidate.operator_address}/livez'
        try:
            answer = await self._client.get(url)
            answer.raise_for_status()
            liveness = msgspec.json.decode(answer.content, type=_Liveness)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
        return liveness if liveness.instance == candidate.instance else None
