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
FAILED_POLLS = 2
KEPT_LISTS = 400


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
        self._failed: dict[str, int] = {}
        # Starts from the wall clock, so that a restarted platform does not
        # reuse revisions.
        first = InstanceList(time.time_ns() // 1_000_000, time.time(), ())
        self._samples = deque(
            [_Sample(anyio.current_time(), first)], maxlen=KEPT_LISTS
        )

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates.

        Instances that are no longer candidates leave the list at the next
        poll.
        """
        self._candidates = {c.instance: c for c in candidates}
        for gone in self._alive.keys() - self._candidates.keys():
            del self._alive[gone]
            self._failed.pop(gone, None)

    def shown(self, now_on: faults.PlatformFaults) -> InstanceList:
        """Return the list that readers get, ``list_lag_s`` old."""
        limit = anyio.current_time() - now_on.list_lag_s
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
        last = self._samples[-1].listing
        instances = tuple(self._alive[name] for name in sorted(self._alive))
        changed = instances != last.instances
        listing = InstanceList(last.revision + changed, as_of, instances)
        self._samples.append(_Sample(anyio.current_time(), listing))

    async def _check(self, candidate: Candidate) -> None:
        name = candidate.instance
        found = await self._liveness(candidate)
        # The candidates may have been replaced during the check.
        if self._candidates.get(name) != candidate:
            return
        if found is None:
            self._failed[name] = self._failed.get(name, 0) + 1
            if self._failed[name] >= FAILED_POLLS:
                self._alive.pop(name, None)
            return
        self._failed[name] = 0
        self._alive[name] = Instance(
            instance=name,
            incarnation=found.incarnation,
            region=candidate.region,
            availability_zone=candidate.availability_zone,
            address=candidate.address,
            leaving=found.leaving,
        )

    async def _liveness(self, candidate: Candidate) -> _Liveness | None:
        if not http.is_loopback(candidate.operator_address):
            return None
        url = f'http://{candidate.operator_address}/livez'
        try:
            answer = await self._client.get(url)
            answer.raise_for_status()
            found = msgspec.json.decode(answer.content, type=_Liveness)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None
        return found if found.instance == candidate.instance else None
