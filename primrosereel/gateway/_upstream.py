"""Sends one request to one runner and records the outcome in the tables."""

from collections.abc import Iterator
import contextlib
import dataclasses

import anyio

from primrosereel.gateway import _caller_messages as caller_messages
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _final_poll as final_poll
from primrosereel.gateway import _http as http
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _runner_connect as runner_connect
from primrosereel.gateway import _runner_signs as runner_signs
from primrosereel.routing import _availability as availability
from primrosereel.routing import _model as model
from primrosereel.routing import _runners as runners
from primrosereel.routing import _timeouts as timeouts

__all__ = [
    'NotSent',
    'OpenResponse',
    'Rejected',
    'TimeOver',
    'Withdrawn',
    'build_request',
    'check_end',
    'check_time_left',
    'connect',
    'connect_or_reuse',
    'connect_ready',
    'count_in_flight',
    'keep_connection',
    'open_response',
    'refuses_connections',
]

# The time limit of a TCP handshake. A reachable runner accepts within a few
# milliseconds, and a lost SYN is only retransmitted after one second.
CONNECT_TIMEOUT_S = 0.12
# A runner that crashed does not accept connections again before this time.
MIN_RESTART_S = 1.0
MISDIRECTED = 421
UNAVAILABLE = 503


class Rejected(Exception):
    """The runner responded that the request did not run."""

    def __init__(self, head: http.ResponseHead) -> None:
        super().__init__(f'status {head.status}')
        self.head = head


class NotSent(Exception):
    """No connection was established, so nothing was sent to the runner."""


class Withdrawn(Exception):
    """The runner takes no requests now, and the request was not sent."""


class TimeOver(Exception):
    """The time of the request is over, and it was not sent."""


@dataclasses.dataclass(slots=True)
class OpenResponse:
    """A response whose body has not been read."""

    connection: http.HttpConnection
    head: http.ResponseHead
    facts: model.ResponseFacts


def build_request(
    exchange: context_module.Exchange, options: model.RunOptions
) -> http.OutgoingRequest:
    """Return the caller's request with the router's headers added."""
    dialect = exchange.context.dialect
    request = exchange.request
    headers = dialect.forwarded(
        caller_messages.end_to_end(request.headers),
        exchange.table.client_accounts is not None,
    )
    headers.extend(dialect.run_headers(options))
    if exchange.account_name is not None:
        headers.extend(dialect.account_headers(exchange.account_name))
    return http.OutgoingRequest(
        request.method,
        request.target,
        headers,
        request.body,
        exchange.facts.request_id,
        lambda head: _is_unnamed_refusal(dialect, head),
    )


def _is_unnamed_refusal(
    dialect: ports.RequestDialect, head: http.ResponseHead
) -> bool:
    """Tell whether a refusal does not name the request it belongs to.

    On a kept connection it may repeat that of an earlier request, in front of
    the answer to this one. A runner with another role does not name it
    either, but refuses with another status.
    """
    if head.status != UNAVAILABLE:
        return False
    facts = dialect.response_facts(head.status, head.headers)
    return facts.not_run and facts.request_id is None


@contextlib.contextmanager
def count_in_flight(runner: runners.Runner, tokens: int = 0) -> Iterator[None]:
    """Count a request as in flight at a runner while the block runs."""
    runner.in_flight += 1
    runner.tokens += tokens
    try:
        yield
    finally:
        runner.in_flight -= 1
        runner.tokens -= tokens


async def connect(
    exchange: context_module.Exchange, runner: runners.Runner
) -> http.HttpConnection:
    """Open a connection to a runner.

    Raises NotSent if that fails, and Withdrawn if it is not tried, as the
    runner refuses connections.
    """
    limit_s = min(CONNECT_TIMEOUT_S, max(exchange.remaining_s, 0.001))
    try:
        return await runner_connect.connect(exchange.context, runner, limit_s)
    except runner_connect.NotTried as error:
        raise Withdrawn(str(error)) from error
    except http.ConnectRefused as error:
        raise NotSent(str(error)) from error
    except http.ConnectFailed as error:
        runner.observe_failure(exchange.context.clock())
        raise NotSent(str(error)) from error


async def refuses_connections(
    context: context_module.Context, runner: runners.Runner
) -> bool:
    """Tell whether no process listens at a runner's address.

    A runner that is known to be down is not tried again.
    """
    try:
        connection = await runner_connect.connect(
            context, runner, CONNECT_TIMEOUT_S
        )
    except http.ConnectFailed as error:
        return isinstance(error, http.ConnectRefused | runner_connect.NotTried)
    await connection.close()
    return False


async def check_end(
    context: context_module.Context,
    runner: runners.Runner,
    head: http.ResponseHead,
) -> None:
    """Raise BrokenResponse if a body may lack its rest as its runner crashed.

    The system closes the connections of a process that ends, which looks like
    the end of a body without a length. A runner that leaves may have ended
    after its last answer, but not before the time that it serves on. If this
    process was late, another run may accept connections at the address.
    """
    if not head.ends_with_connection:
        return
    if context.loop_late_s() >= MIN_RESTART_S:
        raise http.BrokenResponse(
            f'{runner.listing.address}: the end of the response was noticed '
            'late, and the runner may have been started again'
        )
    if not _may_have_ended(context, runner) and not await _answers(
        context, runner
    ):
        raise http.BrokenResponse(
            f'{runner.listing.address}: the runner ended with its response'
        )


def _may_have_ended(
    context: context_module.Context, runner: runners.Runner
) -> bool:
    """Tell whether a runner's process may have ended as planned."""
    if not runner_signs.has_left(context, runner):
        return False
    record = runner.availability
    now = context.clock()
    return (
        record.state_at(now) is availability.Availability.GONE
        or now - record.since >= context.settings.runner_drain_s
    )


async def _answers(
    context: context_module.Context, runner: runners.Runner
) -> bool:
    """Tell whether a runner answers a check of its health.

    A process that is killed may accept connections for some milliseconds
    after it has closed others, so that an accepted one proves nothing.
    """
    listing = runner.listing
    table = context.table
    service = table.services.get(listing.service) if table else None
    path = service.health_path if service is not None else '/'
    host = str(listing.address).encode()
    request = http.OutgoingRequest(b'GET', path.encode(), [(b'Host', host)])
    try:
        connection = await runner_connect.connect(
            context, runner, CONNECT_TIMEOUT_S
        )
    except http.ConnectFailed as error:
        return not isinstance(
            error, http.ConnectRefused | runner_connect.NotTried
        )
    try:
        with final_poll.move_on_after(timeouts.SOUND_SILENCE_S):
            await connection.send_request(request)
            return True
    except http.BrokenResponse:
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await connection.close()
    return False


async def connect_or_reuse(
    exchange: context_module.Exchange, runner: runners.Runner
) -> http.HttpConnection:
    """Return an idle connection to a runner, or a new one.

    Raises NotSent if none is established, and Withdrawn if the runner has
    begun to leave or to back off meanwhile, or refuses connections.
    """
    context = exchange.context
    connection = await context.pool.get(
        runner.listing.address, context.clock(), exchange.facts.request_id
    )
    if connection is None:
        return await connect_ready(exchange, runner)
    await _check_ready(exchange, runner, connection)
    return connection


async def connect_ready(
    exchange: context_module.Exchange, runner: runners.Runner
) -> http.HttpConnection:
    """Return a new connection to a runner that takes requests.

    Raises the same exceptions as connect_or_reuse.
    """
    connection = await connect(exchange, runner)
    await _check_ready(exchange, runner, connection)
    return connection


async def _check_ready(
    exchange: context_module.Exchange,
    runner: runners.Runner,
    connection: http.HttpConnection,
) -> None:
    """Close a connection to a runner that takes no more requests.

    Raises Withdrawn then.
    """
    if not runner.availability.accepts(exchange.context.clock()):
        await connection.close()
        raise Withdrawn(runner.runner_id)


async def check_time_left(
    exchange: context_module.Exchange, connection: http.HttpConnection
) -> None:
    """Close the connection if the time for an answer is over.

    Raises TimeOver then. A block goes on for some turns after its time limit,
    with what has arrived, but nothing new is begun for it.
    """
    if exchange.remaining_s <= 0:
        with anyio.CancelScope(shield=True):
            await connection.close()
        raise TimeOver(exchange.facts.request_id)


async def open_response(
    exchange: context_module.Exchange,
    runner: runners.Runner,
    options: model.RunOptions,
    connection: http.HttpConnection,
) -> OpenResponse:
    """Send the request and return the response before its body.

    Raises Rejected if the runner states that it did not run the request, and
    BrokenResponse if it may have run.
    """
    context = exchange.context
    connection.watch_input(exchange.time_limit.progressed)
    try:
        head = await connection.send_request(build_request(exchange, options))
        facts = runner_signs.observe_answer(
            context, runner, head, connection.reused
        )
        if head.status == MISDIRECTED:
            runner.observe_replaced(context.clock())
        if not facts.not_run:
            return OpenResponse(connection, head, facts)
        if connection.reused and facts.request_id is None:
            # It may repeat the refusal of an earlier request.
            raise http.BrokenResponse(f'{head.status} without a request id')
        await connection.read_body(http.READ_BYTES)
    except BaseException:
        with anyio.CancelScope(shield=True):
            await connection.close()
        raise
    await keep_connection(context, runner, connection, head.keep_alive_s)
    raise Rejected(head)


async def keep_connection(
    context: context_module.Context,
    runner: runners.Runner,
    connection: http.HttpConnection,
    keep_alive_s: float | None,
) -> None:
    """Keep a connection for other requests, or close that to one leaving."""
    connection.watch_input(None)
    if runner_signs.has_left(context, runner):
        await connection.close()
    else:
        await context.pool.put(connection, keep_alive_s, context.clock())
