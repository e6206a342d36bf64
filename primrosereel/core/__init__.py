"""The decision core: no I/O, no clock, typed messages in and out."""

from primrosereel.core._core import Core
from primrosereel.core._tables import Identity

__all__ = ['Core', 'Identity']
