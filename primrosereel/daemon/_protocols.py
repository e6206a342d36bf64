"""What the driver needs of the world outside, as protocols.

Each adapter implements one of them; only the composition root constructs
adapters.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from primrosereel import _ids as ids
from primrosereel.core import _messages as messages

__all__ = [
    'Clock',
    'ConfigurationService',
    'Deliver',
    'EngineClient',
    'InstanceList',
    'Metrics',
    'PeerTransport',
    'PlainClient',
]

Deliver = Callable[[messages.Inbound], None]


class Clock(Protocol):
    """Both clocks of the process, in seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back."""

    def wall(self) -> float:
        """Return seconds since 1970."""


class EngineClient(Protocol):
    """Calls to engines; failures come back as messages, never raised."""

    async def prefill(
        self,
        effect: messages.StartPrefill,
        address: str,
        model: str,
        deliver: Deliver,
    ) -> None:
        """Run a prefill; deliver PrefillDone or PrefillFailed."""

    async def decode(
        self,
        effect: messages.StartDecode,
        address: str,
        model: str,
        deliver: Deliver,
    ) -> None:
        """Stream tokens; deliver TokensReceived and at most one end."""

    async def reattach(
        self, effect: messages.ReattachStream, address: str, deliver: Deliver
    ) -> None:
        """Stream tokens again over a new connection."""

    async def cancel(
        self, effect: messages.CancelUpstream, address: str, deliver: Deliver
    ) -> None:
        """Free what an engine holds; deliver whether it is confirmed."""

    async def control(
        self, effect: messages.Outbound, address: str, deliver: Deliver
    ) -> None:
        """Carry out a load poll, a pause, an order or another short call."""


class PlainClient(Protocol):
    """Calls to plain services."""

    async def call(
        self, effect: messages.CallPlain, address: str, deliver: Deliver
    ) -> None:
        """Send a call; deliver PlainAnswered or PlainFailed."""


class ConfigurationService(Protocol):
    """The platform's configuration service, which is only read."""

    async def watch(
        self, effect: messages.WatchConfiguration, deliver: Deliver
    ) -> None:
        """Wait for a newer text; deliver it, a failure, or nothing."""


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self, deliver: Deliver) -> None:
        """Read the list; deliver it, or nothing when it cannot be read."""


class PeerTransport(Protocol):
    """Carries messages to other daemons."""

    def send(
        self,
        peer: ids.InstanceId,
        address: str,
        outgoing: Sequence[messages.PeerMessage],
    ) -> None:
        """Queue messages for a peer; the answer or PeerFailed follows."""


class Metrics(Protocol):
    """Counters and gauges."""

    def count(self, name: str, value: int = 1) -> None:
        """Increment a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def counters(self) -> dict[str, int]:
        """Return the counters since the start."""
