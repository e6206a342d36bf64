"""Decides whether a caller's request may be served, by its key.

Nothing else is done for a request before this, so that callers without a key
cost little. No key and no header value is logged.
"""

from primrosereel import _states as states
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _model as model
from primrosereel.routing import _table as table_module
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Unauthenticated', 'authenticate']

Reason = states.RefusalReason

UNAUTHORIZED = 401
UNAVAILABLE = 503


class Unauthenticated(Exception):
    """A request without the key of an account; ``reply`` refuses it."""

    def __init__(self, reply: callers.Reply) -> None:
        super().__init__(str(reply.status))
        self.reply = reply


def authenticate(
    context: context_module.Context,
    request: callers.CallerRequest,
    table: table_module.RoutingTable,
    route: model.Route | None,
) -> client_accounts.ClientAccount | None:
    """Return the account of a request; raise Unauthenticated without one.

    None stands for a request that needs no account: the configuration has
    none, or the route is public. A path without a route is not public.
    """
    accounts = table.client_accounts
    if accounts is None:
        return None
    authorization = context.dialect.authorization(request.headers)
    account = accounts.authenticate(authorization)
    if account is None and (route is None or not route.public):
        raise Unauthenticated(_refusal(context, request, table))
    if account is not None:
        label = context.metrics.account_label(account.name)
        context.count(f'requests_by_account.{label}')
    return account


def _refusal(
    context: context_module.Context,
    request: callers.CallerRequest,
    table: table_module.RoutingTable,
) -> callers.Reply:
    """Return the reply to a request whose key is missing or unknown.

    Where peers have a newer version, its keys are not known here yet.
    """
    reason, status = Reason.UNAUTHENTICATED, UNAUTHORIZED
    headers = context.dialect.challenge()
    peer_version = context.peer_versions.newest(context.clock())
    if peer_version > table.version:
        reason, status = Reason.UNAUTHENTICATED_STALE, UNAVAILABLE
        retry_after_s = timeouts.outage_retry_after_s(0.0)
        headers = [(b'Retry-After', b'%.2f' % retry_after_s)]
    context.count(f'refused.{reason.value}')
    context.log.info(
        'refused',
        request=context.dialect.request_facts(request.headers).request_id,
        reason=reason.value,
        status=status,
        account=None,
        key_fields=len(context.dialect.authorization(request.headers)),
        host=request.host,
        path=request.path[:80],
        version=table.version,
        version_age_s=context.version_age_s,
        peer_version=peer_version,
    )
    return callers.Reply(status, headers=headers)
