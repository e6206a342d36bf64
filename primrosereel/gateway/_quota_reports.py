"""Tells peers what this instance spends of quotas, and learns what they do.

Reports are sent with the heartbeats where these go. All other members get a
small datagram each second while an account has a quota, so that each instance
knows which others it cannot reach. Spending of a busy account is told between
two heartbeats.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Set

import anyio
import msgspec

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _quota_datagram as quota_datagram
from primrosereel.routing import _quotas as quotas_module

__all__ = ['QuotaReports']

Send = Callable[[bytes, Set[str]], Awaitable[None]]


class QuotaReports:
    """Encodes and decodes one instance's reports on quotas."""

    def __init__(
        self,
        context: context_module.Context,
        next_sequence: Callable[[], int],
    ) -> None:
        self._context = context
        self._next_sequence = next_sequence
        self._spent = anyio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(quota_datagram.QuotaDatagram)

    def notify_spent(self) -> None:
        """Schedule reports of busy accounts."""
        self._spent.set()

    async def run(self, send: Send) -> None:
        """Send reports of busy accounts until cancelled."""
        context = self._context
        quotas = context.quotas
        while True:
            await self._spent.wait()
            wait_s = quotas.next_report_at - context.clock()
            if wait_s < float('inf'):
                await anyio.sleep(max(0.0, wait_s))
            self._spent = anyio.Event()
            reports = quotas.reports(context.clock())
            if reports:
                await send(self.encode(reports), self._member_hosts())

    def heartbeat_reports(self, now: float) -> list[quotas_module.Report]:
        """Return what the heartbeat tells; called once for each."""
        quotas = self._context.quotas
        quotas.set_members(self._member_hosts(), now)
        return quotas.reports(now, heartbeat=True) if quotas.active else []

    async def send_to_others(
        self,
        data: bytes,
        told: Set[str],
        send: Send,
    ) -> None:
        """Send the heartbeat's reports to the members that got none."""
        if self._context.quotas.active:
            await send(data, self._member_hosts() - told)

    def encode(self, reports: list[quotas_module.Report]) -> bytes:
        """Encode a small datagram."""
        return self._encoder.encode(
            quota_datagram.QuotaDatagram(
                quota_datagram.QUOTA_DATAGRAM_VERSION,
                self._context.incarnation,
                self._next_sequence(),
                self._context.draining,
                quota_datagram.encode_reports(reports),
            )
        )

    def receive(self, host: str, data: bytes) -> None:
        """Apply a small datagram; raise DecodeError if it is none.

        One of an instance that is not known yet is ignored; the next ones
        have the same counters.
        """
        datagram = self._decoder.decode(data)
        members = self._context.members
        if host not in members:
            return
        zone = members[host].availability_zone
        members.observe(host, zone, self._context.clock())
        self.apply(
            host,
            datagram.incarnation,
            datagram.sequence,
            datagram.leaving,
            datagram.quotas,
        )

    def apply(
        self,
        host: str,
        incarnation: int,
        sequence: int,
        leaving: bool,
        notices: list[quota_datagram.QuotaNotice],
    ) -> None:
        """Apply what a datagram tells of its sender."""
        context = self._context
        context.quotas.apply(
            host,
            incarnation,
            sequence,
            quota_datagram.decode_reports(notices),
            context.clock(),
        )
        if leaving:
            context.quotas.set_leaving(host)

    def _member_hosts(self) -> set[str]:
        return {member.host for member in self._context.members}
