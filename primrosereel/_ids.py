"""Identifiers used throughout the router.

A request id names the instance that holds the request, so any daemon can find
in an engine's list of requests those that belong to a lost instance::

    entry-1.1733290000000.17      the 17th request of that incarnation
    entry-1.1733290000000.17.2    the second attempt of it, as engines see it
"""

from typing import NamedTuple
from typing import NewType

__all__ = [
    'AvailabilityZone',
    'CauseKey',
    'ClientAccountId',
    'EngineRequestId',
    'GroupId',
    'Holder',
    'IdempotencyKey',
    'Incarnation',
    'InstanceId',
    'ModelId',
    'PromptPartId',
    'Region',
    'RequestId',
    'Revision',
    'RunnerId',
    'ServiceId',
    'StoreEra',
    'engine_request_id',
    'holder_of',
    'request_id',
]

AvailabilityZone = NewType('AvailabilityZone', str)
CauseKey = NewType('CauseKey', str)
ClientAccountId = NewType('ClientAccountId', str)
EngineRequestId = NewType('EngineRequestId', str)
GroupId = NewType('GroupId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Incarnation = NewType('Incarnation', int)
InstanceId = NewType('InstanceId', str)
ModelId = NewType('ModelId', str)
PromptPartId = NewType('PromptPartId', str)
Region = NewType('Region', str)
RequestId = NewType('RequestId', str)
Revision = NewType('Revision', int)
RunnerId = NewType('RunnerId', str)
ServiceId = NewType('ServiceId', str)
StoreEra = NewType('StoreEra', int)


class Holder(NamedTuple):
    """The instance and incarnation that hold a request."""

    instance: InstanceId
    incarnation: Incarnation


def request_id(
    instance: InstanceId, incarnation: Incarnation, sequence: int
) -> RequestId:
    """Build the id of the ``sequence``-th request of an incarnation."""
    return RequestId(f'{instance}.{incarnation}.{sequence}')


def engine_request_id(request: RequestId, attempt: int) -> EngineRequestId:
    """Build the id under which engines know one attempt of a request."""
    return EngineRequestId(f'{request}.{attempt}')


def holder_of(identifier: str) -> Holder | None:
    """Return the holder that a request id or engine request id names.

    The result is None for an id that this router did not create.
    """
    parts = identifier.split('.')
    if len(parts) not in (3, 4) or not all(p.isdecimal() for p in parts[1:]):
        return None
    return Holder(InstanceId(parts[0]), Incarnation(int(parts[1])))
