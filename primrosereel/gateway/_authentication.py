"""Decides whether a caller's request may be served, by its key.

This comes before quotas, queues and runners, so that callers without a key
cost little. No key and no header value is logged.
"""

from primrosereel import _states as states
from primrosereel.gateway import _caller_messages as caller_messages
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
    needs_key = route is None or not route.public
    if context.unconfirmed_s:
        # Any key may have been withdrawn, so none is known.
        account = None
    else:
        authorization = context.dialect.authorization(request.headers)
        account = accounts.authenticate(authorization)
    if account is not None:
        label = context.metrics.account_label(account.name)
        context.count(f'requests_by_account.{label}')
    elif needs_key:
        raise Unauthenticated(_refuse(context, request, table))
    return account


def _refuse(
    context: context_module.Context,
    request: callers.CallerRequest,
    table: table_module.RoutingTable,
) -> callers.Reply:
    """Return the reply to a request without a known key, and log it.

    Where peers have a newer version, its keys are not known here yet.
    """
    unconfirmed_s = context.unconfirmed_s
    peer_version = context.peer_versions.newest(context.clock())
    reason, status = Reason.UNAUTHENTICATED, UNAUTHORIZED
    if unconfirmed_s:
        reason, status = Reason.UNCONFIRMED_VERSION, UNAVAILABLE
    elif peer_version > table.version:
        reason, status = Reason.UNAUTHENTICATED_STALE, UNAVAILABLE
    headers = context.dialect.challenge()
    if status == UNAVAILABLE:
        retry_after_s = timeouts.outage_retry_after_s(unconfirmed_s)
        headers = [caller_messages.retry_after(retry_after_s)]
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
        unconfirmed_s=round(unconfirmed_s, 3),
    )
    return callers.Reply(status, headers=headers)
