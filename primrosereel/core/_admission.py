"""Admission control: checks before any work is done for a request.

A request that is refused here was not executed.
"""

from typing import NamedTuple

from returns import result

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _rate_limits as rate_limits
from primrosereel.core import _tables as tables

__all__ = ['Admitted', 'Refusal', 'admit']

Reason = states.RefusalReason
DEFAULT_RETRY_AFTER_S = 1.0


class Admitted(NamedTuple):
    """An admitted call: who calls which service, at which priority."""

    client_account: ids.ClientAccountId
    priority: int
    service: text_module.Service


class Refusal(NamedTuple):
    """Why a request is refused."""

    reason: states.RefusalReason
    retry_after_s: float | None = None
    detail: str = ''


def admit(
    world: tables.World,
    call: messages.CompletionReceived | messages.PlainReceived,
    kind: states.ServiceKind,
    now: float,
) -> result.Result[Admitted, Refusal]:
    """Authenticate a call and check the rights and limits of its account."""
    if world.draining:
        return _refuse(Reason.DRAINING, DEFAULT_RETRY_AFTER_S)
    if world.text is None:
        return _refuse(Reason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
    client_account = world.client_accounts_by_key.get(call.key_sha256)
    if client_account is None:
        return _refuse(Reason.UNAUTHENTICATED)
    account = world.client_accounts[client_account].facts
    service = world.text.services.get(call.service)
    if (
        service is None
        or service.kind is not kind
        or call.service not in account.services
    ):
        return _refuse(Reason.UNKNOWN_SERVICE, detail=call.service)
    priority = account.priority if call.priority is None else call.priority
    if priority > account.priority:
        return _refuse(Reason.PRIORITY_NOT_ALLOWED)
    missing = _missing_dependency(world, call.service)
    if missing:
        return _refuse(
            Reason.DEPENDENCY_UNAVAILABLE, DEFAULT_RETRY_AFTER_S, missing
        )
    # The rate limit comes last: a refused call must not count against it.
    wait_s = rate_limits.take_token(world, client_account, now)
    if wait_s > 0:
        return _refuse(Reason.RATE_LIMITED, wait_s)
    return result.Success(Admitted(client_account, priority, service))


def _refuse(reason, retry_after_s=None, detail=''):
    return result.Failure(Refusal(reason, retry_after_s, detail))


def _missing_dependency(world: tables.World, service: ids.ServiceId) -> str:
    """Return a required service without a ready runner, or ''."""
    assert world.text is not None
    for name in (service, *world.text.services[service].depends_on):
        runners = world.text.services[name].runners
        if not any(is_ready(world, r) for r in runners):
            return name
    return ''


def is_ready(world: tables.World, runner: ids.RunnerId) -> bool:
    """Return whether a runner may be given new work."""
    row = world.runners.get(runner)
    return row is not None and not row.leaving
