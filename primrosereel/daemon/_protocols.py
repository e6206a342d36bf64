"""Protocols of the adapters that the driver uses.

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
        """Return seconds of a clock that never goes backwards."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class EngineClient(Protocol):
    """Calls to engines; failures are delivered as messages, not raised."""

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
        """Stream tokens; deliver them and a StreamClosed if it breaks off."""

    async def reattach(
        self, effect: messages.ReattachStream, address: str, deliver: Deliver
    ) -> None:
        """Continue a stream over a new connection."""

    async def cancel(
        self, effect: messages.CancelUpstream, address: str, deliver: Deliver
    ) -> None:
        """Release a request's resources; deliver whether it is confirmed."""

    async def control(
        self, effect: messages.Outbound, address: str, deliver: Deliver
    ) -> None:
        """Make a control call, such as a load poll, a pause or an order."""


class PlainClient(Protocol):
    """Calls to plain services."""

    async def call(
        self, effect: messages.CallPlain, address: str, deliver: Deliver
    ) -> None:
        """Send a call; deliver PlainAnswered or PlainFailed."""


class ConfigurationService(Protocol):
    """The platform's configuration service (read-only)."""

    async def watch(
        self, effect: messages.WatchConfiguration, deliver: Deliver
    ) -> None:
        """Wait for a newer text; deliver the text, no change or a failure."""


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def read(self, deliver: Deliver) -> None:
        """Read the list; deliver nothing if that fails."""


class PeerTransport(Protocol):
    """Sends messages to other daemons."""

    def send(
        self,
        peer: ids.InstanceId,
        address: str,
        outgoing: Sequence[messages.PeerMessage],
    ) -> None:
        """Queue messages; replies or PeerFailed are delivered later."""


class Metrics(Protocol):
    """Counters and gauges."""

    def count(self, name: str, value: int = 1) -> None:
        """Increment a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def counters(self) -> dict[str, int]:
        """Return the counts since the process started."""
