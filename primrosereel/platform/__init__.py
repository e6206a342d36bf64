"""The users' platform: its names, formats and calls, decoded once.

Nothing here decides. Store entries, settings and headers become the types of
``primrosereel.routing`` and ``primrosereel.gateway``; what cannot be read
becomes None or a fault with its path.
"""

from primrosereel.platform._dialect import Dialect
from primrosereel.platform._settings import read_settings
from primrosereel.platform._store import Store

__all__ = ['Dialect', 'Store', 'read_settings']
