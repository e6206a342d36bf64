"""Simulated engines, plain services and platform for tests and the bench."""

from primrosereel.standin._faults import EngineFaults
from primrosereel.standin._faults import FaultError
from primrosereel.standin._link import WeightStore
from primrosereel.standin._model import EngineModel
from primrosereel.standin._orders import LOAD_ADAPTER
from primrosereel.standin._orders import LOAD_MODEL
from primrosereel.standin._orders import SET_ROLE
from primrosereel.standin._tokens import answer
from primrosereel.standin._tokens import describe
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
    'PrefillEnded',
    'Prompt',
    'Resumed',
    'State',
    'StreamEnded',
    'StreamStarted',
    'WeightStore',
    'answer',
    'describe',
    'token_text',
]
