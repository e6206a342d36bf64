"""The daemon: network adapters, servers and the composition root."""

__all__ = ['serve']


async def serve(settings) -> None:
    """Run a daemon with the given settings until it has stopped."""
    # Imported here so that only a process that serves loads the server
    # libraries.
    from primrosereel.daemon import _composition as composition

    await composition.serve(settings)
