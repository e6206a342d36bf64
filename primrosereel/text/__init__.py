"""The operators' text, which configures the fleet.

Model, parser, checker and differences between two texts.
"""

from primrosereel.text._checker import MAX_GROUP_RUNNERS
from primrosereel.text._differences import apply
from primrosereel.text._differences import decode
from primrosereel.text._differences import decode_text
from primrosereel.text._differences import Difference
from primrosereel.text._differences import difference
from primrosereel.text._differences import digest
from primrosereel.text._differences import encode
from primrosereel.text._differences import encode_text
from primrosereel.text._model import Call
from primrosereel.text._model import ClientAccount
from primrosereel.text._model import Model
from primrosereel.text._model import Runner
from primrosereel.text._model import Service
from primrosereel.text._model import Text
from primrosereel.text._parser import check
from primrosereel.text._parser import MAX_BODY_BYTES
from primrosereel.text._parser import parse

__all__ = [
    'MAX_BODY_BYTES',
    'MAX_GROUP_RUNNERS',
    'Call',
    'ClientAccount',
    'Difference',
    'Model',
    'Runner',
    'Service',
    'Text',
    'apply',
    'check',
    'decode',
    'decode_text',
    'difference',
    'digest',
    'encode',
    'encode_text',
    'parse',
]
