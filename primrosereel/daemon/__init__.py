"""The daemon: adapters at the edge and the composition root."""

__all__ = ['serve']


async def serve(settings) -> None:
    """Run a daemon with the given settings until it has stopped."""
    # The servers' libraries are loaded only by a process that serves.
    from primrosereel.daemon import _composition as composition

    await composition.serve(settings)
