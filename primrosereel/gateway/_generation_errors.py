"""How the attempts and the request of a generation end early."""

from primrosereel.gateway import _callers as callers

__all__ = ['RequestEnded', 'StreamBroken', 'StreamMoved', 'StreamTakenOver']


class RequestEnded(Exception):
    """The request ended without a stream; ``reply`` is for the caller."""

    def __init__(self, reply: callers.Reply) -> None:
        super().__init__(str(reply.status))
        self.reply = reply


class StreamBroken(Exception):
    """A stream ended before its last event."""


class StreamMoved(Exception):
    """A stream was stopped; another runner continues it from its copy."""


class StreamTakenOver(Exception):
    """A runner was silent, and another one continues its stream."""
