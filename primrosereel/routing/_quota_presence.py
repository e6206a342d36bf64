"""Which peers have gone silent, and for how long.

A peer that is cut off may go on spending. It counts in full for one window
after it went silent, and less and less over another one.
"""

from collections.abc import Iterable

__all__ = ['Presence']

# Each instance sends a datagram to all others each second; one may be late.
SILENT_AFTER_S = 1.6


class Presence:
    """The members by the time when each was last heard from.

    Example::

        presence.hear('10.1.0.2', now)
        for peer in presence.pop_newly_silent(now): ...
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        # In the order in which they were heard.
        self._heard: dict[str, float] = {}
        self._silent: dict[str, float] = {}
        # Members in an orderly stop; they do not spend when they are silent.
        self._leaving: set[str] = set()

    def __len__(self) -> int:
        return len(self._heard) + len(self._silent)

    @property
    def silent(self) -> dict[str, float]:
        """The silent peers, and when each was last heard from."""
        return self._silent

    def set_window(self, window_s: float) -> None:
        """Set the time for which a silent peer counts in full."""
        self._window_s = window_s

    def is_leaving(self, peer: str) -> bool:
        """Tell whether a peer stops in order."""
        return peer in self._leaving

    def set_leaving(self, peer: str, leaving: bool) -> None:
        """Record whether a peer stops in order."""
        if leaving:
            self._leaving.add(peer)
        else:
            self._leaving.discard(peer)

    def hear(self, peer: str, now: float) -> bool:
        """Record a peer's datagram; return True if it was silent."""
        was_silent = self._silent.pop(peer, None) is not None
        self._heard.pop(peer, None)
        self._heard[peer] = now
        return was_silent

    def hear_all(self, now: float) -> list[str]:
        """Treat all as heard; return those that were silent."""
        silent = list(self._silent)
        for peer in [*self._heard, *silent]:
            self.hear(peer, now)
        return silent

    def set_members(self, members: Iterable[str], now: float) -> list[str]:
        """Set the members; return those that are none any more."""
        current = set(members)
        known = self._heard.keys() | self._silent.keys()
        removed = sorted(known - current)
        for peer in removed:
            self._heard.pop(peer, None)
            self._silent.pop(peer, None)
            self._leaving.discard(peer)
        for peer in sorted(current - known):
            self._heard[peer] = now
        return removed

    def pop_newly_silent(self, now: float) -> list[str]:
        """Return the peers that have just become silent."""
        newly: list[str] = []
        for peer, heard_at in self._heard.items():
            if now - heard_at <= SILENT_AFTER_S:
                break
            newly.append(peer)
        for peer in newly:
            self._silent[peer] = self._heard.pop(peer)
        return newly

    def weight(self, peer: str, now: float) -> float:
        """Return how much a silent peer counts, from 1 down to 0."""
        if peer in self._leaving:
            return 0.0
        silent_s = now - self._silent[peer]
        return min(1.0, max(0.0, 2 - silent_s / self._window_s))

    def reachable_share(self, now: float) -> float:
        """Return the share of the instances, with this one, in reach."""
        silent = sum(self.weight(peer, now) for peer in self._silent)
        return 1 - silent / (len(self) + 1)
