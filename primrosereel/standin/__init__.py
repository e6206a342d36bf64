"""Stand-ins of engines, plain services and the platform.

The tests and the bench run them in place of the real systems.
"""

from primrosereel.standin._engine import serve_engine
from primrosereel.standin._faults import EngineFaults
from primrosereel.standin._faults import FaultError
from primrosereel.standin._link import WeightStore
from primrosereel.standin._model import EngineModel
from primrosereel.standin._orders import LOAD_ADAPTER
from primrosereel.standin._orders import LOAD_MODEL
from primrosereel.standin._orders import SET_ROLE
from primrosereel.standin._plain import PlainConfig
from primrosereel.standin._plain import serve_plain
from primrosereel.standin._platform import PlatformConfig
from primrosereel.standin._platform import serve_platform
from primrosereel.standin._tokens import describe_prompt
from primrosereel.standin._tokens import expected_answer
from primrosereel.standin._tokens import Prompt
from primrosereel.standin._tokens import token_text
from primrosereel.standin._types import Chunk
from primrosereel.standin._types import Counters
from primrosereel.standin._types import EngineConfig
from primrosereel.standin._types import EngineState
from primrosereel.standin._types import Event
from primrosereel.standin._types import HeldRequest
from primrosereel.standin._types import ImportEnded
from primrosereel.standin._types import Kv
from primrosereel.standin._types import LoadView
from primrosereel.standin._types import OrderEnded
from primrosereel.standin._types import Outcome
from primrosereel.standin._types import Paused
from primrosereel.standin._types import PrefillEnded
from primrosereel.standin._types import Resumed
from primrosereel.standin._types import State
from primrosereel.standin._types import StreamEnded
from primrosereel.standin._types import StreamStarted

__all__ = [
    'LOAD_ADAPTER',
    'LOAD_MODEL',
    'SET_ROLE',
    'Chunk',
    'Counters',
    'EngineConfig',
    'EngineFaults',
    'EngineModel',
    'EngineState',
    'Event',
    'FaultError',
    'HeldRequest',
    'ImportEnded',
    'Kv',
    'LoadView',
    'OrderEnded',
    'Outcome',
    'Paused',
    'PlainConfig',
    'PlatformConfig',
    'PrefillEnded',
    'Prompt',
    'Resumed',
    'State',
    'StreamEnded',
    'StreamStarted',
    'WeightStore',
    'describe_prompt',
    'expected_answer',
    'serve_engine',
    'serve_plain',
    'serve_platform',
    'token_text',
]
