"""Opens connections to runners, at most one at a time to one that is down."""

from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _http as http
from primrosereel.routing import _runners as runners

__all__ = ['NotTried', 'connect', 'observe_return']


class NotTried(http.ConnectFailed):
    """The runner refuses connections, and is not to be tried now."""


async def connect(
    context: context_module.Context, runner: runners.Runner, timeout_s: float
) -> http.HttpConnection:
    """Open a connection to a runner, and record whether it is down.

    Raises NotTried if no connect was made, ConnectRefused if no process
    listens at the runner's address, and ConnectFailed for other errors.
    """
    address = runner.listing.address
    outages = context.runners.outages
    with outages.trial(address, context.clock()) as allowed:
        if not allowed:
            context.count('connections.not_tried')
            raise NotTried(f'{address}: refuses connections')
        context.count('connections.opened')
        try:
            connection = await http.connect(
                address, timeout_s, context.response_memory
            )
        except http.ConnectRefused:
            _observe_refusal(context, runner)
            raise
        except http.ConnectFailed:
            outages.observe_timeout(address, context.clock())
            raise
        observe_return(context, runner)
        return connection


def _observe_refusal(
    context: context_module.Context, runner: runners.Runner
) -> None:
    """Record that no process listens, unless the runner was leaving."""
    now = context.clock()
    if not runner.availability.accepts(now):
        return
    listing = runner.listing
    context.runners.availability.observe_run_end(
        listing.runner, listing.born_ms
    )
    if context.runners.outages.observe_refusal(listing, now):
        context.count('outages.begun')
        context.log.info(
            'runner refuses connections',
            runner=runner.runner_id,
            address=str(runner.listing.address),
            service=runner.listing.service,
        )


def observe_return(
    context: context_module.Context, runner: runners.Runner
) -> None:
    """Record that a runner accepts connections, or has answered."""
    lasted_s = context.runners.outages.observe_return(
        runner.listing.address, context.clock()
    )
    if lasted_s is not None:
        context.log.info(
            'runner accepts connections',
            runner=runner.runner_id,
            address=str(runner.listing.address),
            lasted_s=round(lasted_s, 3),
        )
