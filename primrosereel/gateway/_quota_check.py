"""Spends the units of a request before any work is done for it."""

from primrosereel import _states as states
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _model as model
from primrosereel.routing import _quotas as quotas_module

__all__ = ['QuotaCheck', 'place_deferral', 'request_units']

TOO_MANY_REQUESTS = 429
# For how long newer requests go before those of an account that has used up
# its burst. Requests with a target of about a second wait no longer.
MAX_DEFERRAL_S = 1.0


def request_units(
    quota: client_accounts.Quota, facts: model.RequestFacts
) -> int:
    """Return what a request counts as."""
    if quota.unit is client_accounts.QuotaUnit.REQUESTS:
        return 1
    if not facts.states_tokens:
        return quota.plain_units
    return facts.prompt_tokens + facts.output_tokens


def place_deferral(exchange: context_module.Exchange) -> float:
    """Return for how many seconds newer requests go first to a place."""
    account = exchange.client_account
    if account is None or account.quota is None:
        return 0.0
    context = exchange.context
    drained = context.quotas.drained_share(account.name, context.clock())
    return MAX_DEFERRAL_S * drained


class QuotaCheck:
    """The units of one request.

    Example::

        check = QuotaCheck(exchange)
        refusal = check.spend()
        if refusal is None:
            ...
        check.settle()
    """

    def __init__(self, exchange: context_module.Exchange) -> None:
        self._exchange = exchange
        self._grant: quotas_module.Grant | None = None

    def spend(self) -> callers.Reply | None:
        """Spend the request's units; return the refusal over the quota."""
        account = self._exchange.client_account
        if account is None or account.quota is None:
            return None
        context = self._exchange.context
        quotas = context.quotas
        units = request_units(account.quota, self._exchange.facts)
        answer = quotas.try_spend(account.name, units, context.clock())
        if isinstance(answer, quotas_module.Denied):
            return self._refusal(account, units, answer)
        self._grant = answer
        if quotas.next_report_at < float('inf'):
            context.quota_spent()
        return None

    def settle(self) -> None:
        """Return the units if the request has ended without having run."""
        grant, self._grant = self._grant, None
        if grant is not None and not self._exchange.may_have_run:
            grant.refund(self._exchange.context.clock())

    def _refusal(
        self,
        account: client_accounts.ClientAccount,
        units: int,
        denied: quotas_module.Denied,
    ) -> callers.Reply:
        context = self._exchange.context
        label = context.metrics.account_label(account.name)
        context.count(f'rate_limited_by_account.{label}')
        return self._exchange.refusal(
            states.RefusalReason.RATE_LIMITED,
            denied.retry_after_s,
            f'{units} units; '
            + context.quotas.describe(account.name, context.clock()),
            status=TOO_MANY_REQUESTS,
        )
