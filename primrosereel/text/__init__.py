"""The operators' text: its model, parser and checker."""

from primrosereel.text._model import Call
from primrosereel.text._model import Customer
from primrosereel.text._model import Model
from primrosereel.text._model import Runner
from primrosereel.text._model import Service
from primrosereel.text._model import Text

__all__ = ['Call', 'Customer', 'Model', 'Runner', 'Service', 'Text']
