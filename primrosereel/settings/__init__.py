"""The daemon's settings: their model, parser and checker."""

from primrosereel.settings._checker import parse
from primrosereel.settings._model import Callers
from primrosereel.settings._model import Drain
from primrosereel.settings._model import Operators
from primrosereel.settings._model import Peers
from primrosereel.settings._model import Platform
from primrosereel.settings._model import Seed
from primrosereel.settings._model import Settings
from primrosereel.settings._model import Tls

__all__ = [
    'Callers',
    'Drain',
    'Operators',
    'Peers',
    'Platform',
    'Seed',
    'Settings',
    'Tls',
    'parse',
]
