"""Serves caller connections and dispatches their requests to handlers."""

import anyio
import anyio.abc

from primrosereel import _states as states
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _generation as generation
from primrosereel.gateway import _http as http
from primrosereel.gateway import _plain as plain
from primrosereel.routing import _model as model
from primrosereel.routing import _table as table_module
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Server']


class Server:
    """Serves callers' connections."""

    def __init__(
        self,
        context: context_module.Context,
        crash_reports: crash_reports_module.CrashReports,
    ) -> None:
        self._context = context
        self._crash_reports = crash_reports
        self._started_at = context.clock()
        self._connections: set[callers.CallerConnection] = set()

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection until it closes."""
        http.set_socket_options(stream)
        table = self._context.table
        limits = table.limits if table else model.CallerLimits()
        connection = callers.CallerConnection(
            stream, limits, self._context.clock
        )
        self._connections.add(connection)
        try:
            await self._serve_requests(connection)
        except callers.CallerDisconnected:
            self._context.count('callers.gone')
        except Exception as error:
            # An error on one connection must not end the others.
            self._context.count('internal_errors')
            self._context.log.error(
                'connection failed', detail=repr(error), exc_info=error
            )
        finally:
            self._connections.discard(connection)
            await connection.close()

    async def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._connections):
            if connection.idle:
                await connection.close()

    async def _serve_requests(
        self, connection: callers.CallerConnection
    ) -> None:
        while True:
            request = await connection.next_request()
            if request is None:
                return
            self._context.active += 1
            try:
                complete = await self._serve_watched(connection, request)
            finally:
                self._context.active -= 1
            if not complete or not connection.start_next_cycle():
                return

    async def _serve_watched(
        self,
        connection: callers.CallerConnection,
        request: callers.CallerRequest,
    ) -> bool:
        """Serve a request; cancel its work if the caller disconnects."""
        complete = False
        failure: Exception | None = None

        async def watch() -> None:
            await connection.wait_closed()
            self._context.count('callers.gone')
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            try:
                complete = await self._serve(connection, request)
            except callers.CallerDisconnected:
                complete = False
            except Exception as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            self._context.count('internal_errors')
            self._context.log.error(
                'internal error', detail=repr(failure), exc_info=failure
            )
        return complete

    async def _serve(
        self,
        connection: callers.CallerConnection,
        request: callers.CallerRequest,
    ) -> bool:
        if self._context.draining:
            connection.close_after_reply()
        routed = self._route_request(request)
        if isinstance(routed, callers.Reply):
            await connection.reply(routed)
            return True
        if routed.route.kind is model.RouteKind.STREAMING:
            handler = generation.Generation(
                routed, connection, self._crash_reports
            )
            return await handler.serve()
        await connection.reply(await plain.PlainCall(routed).serve())
        return True

    def _refuse(
        self, reason: states.RefusalReason, retry_after_s: float
    ) -> callers.Reply:
        self._context.count(f'refused.{reason.value}')
        self._context.log.info('refused', reason=reason.value, status=503)
        return callers.Reply(
            503, headers=[(b'Retry-After', b'%.2f' % retry_after_s)]
        )

    def _refuse_unknown(
        self,
        request: callers.CallerRequest,
        table: table_module.RoutingTable,
    ) -> callers.Reply:
        """Return the reply to a request for which there is no route.

        Where peers have a newer version, its routes are not known here yet.
        """
        context = self._context
        peer_version = context.peer_versions.newest(context.clock())
        context.log.info(
            'no route',
            host=request.host,
            path=request.path[:80],
            version=table.version,
            peer_version=peer_version,
        )
        if peer_version > table.version:
            return self._refuse(
                states.RefusalReason.NO_CONFIGURATION,
                timeouts.outage_retry_after_s(0.0),
            )
        context.count(f'refused.{states.RefusalReason.UNKNOWN_SERVICE.value}')
        return callers.Reply(404)

    def _route_request(
        self, request: callers.CallerRequest
    ) -> context_module.Exchange | callers.Reply:
        """Return the routed request, or the reply that refuses it."""
        context = self._context
        table = context.table
        if context.refusing:
            return self._refuse(states.RefusalReason.DRAINING, 0.0)
        if table is None:
            reason = states.RefusalReason.NO_CONFIGURATION
            waited_s = context.clock() - self._started_at
            return self._refuse(
                reason, timeouts.outage_retry_after_s(waited_s)
            )
        route = table.match(request.host, request.path)
        if route is None or not route.services:
            return self._refuse_unknown(request, table)
        facts = context.dialect.request_facts(request.headers)
        limit_s = timeouts.time_limit_s(route, facts)
        return context_module.Exchange(
            context,
            request,
            route,
            table_module.pick_service(route, context.random),
            facts,
            request.received_at + limit_s,
        )
