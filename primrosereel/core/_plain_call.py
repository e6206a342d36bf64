"""The state of a call to a plain service at its entry instance."""

import dataclasses
import enum
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _claim_requester as claim_requester
from primrosereel.core import _messages as messages
from primrosereel.core import _plain_balancing as plain_balancing
from primrosereel.core import _plain_call_rules as plain_call_rules
from primrosereel.core import _tables as tables
from primrosereel.core import _witness_sets as witness_sets

__all__ = [
    'PlainCall',
    'Stage',
    'headers_with_key',
    'ran_before_acceptance',
    'timeout_failure',
]

KEY_HEADER = 'idempotency-key'


class Stage(enum.Enum):
    """The stage of a plain call."""

    CLAIMING = 'claiming'
    QUEUED = 'queued'
    CALLING = 'calling'


@dataclasses.dataclass(slots=True, eq=False)
class PlainCall:
    """One call in progress.

    ``queue_order`` puts a higher priority first, then the earlier call.

    ``outcome_unknown`` is set once an attempt ended without proof that the
    upstream didn't run it.
    """

    message: messages.PlainReceived
    client_account: ids.ClientAccountId
    queue_order: tuple[int, int]
    rule: text_module.Call
    deadline: float
    claim: claim_requester.ClaimRequester | None = None
    stage: Stage = Stage.QUEUED
    attempt: int = 0
    in_flight: dict[int, ids.RunnerId] = dataclasses.field(
        default_factory=dict
    )
    excluded: set[ids.RunnerId] = dataclasses.field(default_factory=set)
    not_before: float = -math.inf
    hedge_at: float = math.inf
    outcome_unknown: bool = False
    caller_left: bool = False

    @property
    def request_id(self) -> ids.RequestId:
        """The id of the caller's request."""
        return self.message.request_id

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may run more than once."""
        return self.rule.kind is states.CallKind.IDEMPOTENT

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the call, or still may."""
        return self.outcome_unknown or bool(self.in_flight)


def timeout_failure(
    late: plain_balancing.OutstandingCall,
) -> messages.PlainFailed:
    """Return the failure of a call whose adapter reported no result."""
    return messages.PlainFailed(
        late.request_id,
        late.attempt,
        late.runner,
        states.UpstreamError.TIMEOUT,
        states.Ran.UNKNOWN,
    )


def headers_with_key(
    message: messages.PlainReceived,
) -> tuple[tuple[str, str], ...]:
    """Return the headers with the key, which the service may check too."""
    key = message.idempotency_key
    if key is None or any(n.lower() == KEY_HEADER for n, _ in message.headers):
        return message.headers
    return (*message.headers, (KEY_HEADER, key))


def ran_before_acceptance(
    world: tables.World, message: messages.PlainReceived
) -> states.Ran:
    """Return what is known of a call that is refused before its claim.

    An earlier request with the same valid key may have run elsewhere, so a
    non-idempotent call is known not to have run only when it has no key.
    """
    if witness_sets.parse_key(message.idempotency_key or '') is None:
        return states.Ran.NOT_RUN
    service = world.text.services.get(message.service) if world.text else None
    if service is None:
        return states.Ran.UNKNOWN
    rule = plain_call_rules.match(service, message.method, message.path)
    if rule is not None and rule.kind is states.CallKind.IDEMPOTENT:
        return states.Ran.NOT_RUN
    return states.Ran.UNKNOWN
