"""The configuration versions that other instances have in force."""

__all__ = ['PeerVersions']

# Heartbeats name the version each second; two of them may be lost.
VERSION_TIMEOUT_S = 3.0


class PeerVersions:
    """The version that each peer named last, for a short time."""

    def __init__(self) -> None:
        self._by_host: dict[str, tuple[int, float]] = {}

    def observe(self, host: str, version: int, now: float) -> None:
        """Record the version that a peer has in force; 0 without one."""
        self._by_host[host] = version, now

    def newest(self, now: float) -> int:
        """Return the highest version of the peers that were heard lately."""
        for host, (_, heard_at) in list(self._by_host.items()):
            if now - heard_at > VERSION_TIMEOUT_S:
                del self._by_host[host]
        return max(
            (version for version, _ in self._by_host.values()), default=0
        )
