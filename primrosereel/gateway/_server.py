"""Serves caller connections and dispatches their requests to handlers."""

import anyio
import anyio.abc

from primrosereel import _states as states
from primrosereel.gateway import _authentication as authentication
from primrosereel.gateway import _caller_messages as caller_messages
from primrosereel.gateway import _caller_watch as caller_watch
from primrosereel.gateway import _callers as callers
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _crash_reports as crash_reports_module
from primrosereel.gateway import _generation as generation
from primrosereel.gateway import _lingering_close as lingering_close
from primrosereel.gateway import _plain as plain
from primrosereel.gateway import _quota_check as quota_check
from primrosereel.gateway import _socket_options as socket_options
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _model as model
from primrosereel.routing import _table as table_module
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Server']

ERROR_RETRY_AFTER_S = 0.5


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
        self._lingering = lingering_close.LingeringCloses()
        self._caller_watch = caller_watch.CallerWatch(
            context, self._connections
        )
        self._in_progress: dict[
            callers.CallerConnection, callers.CallerRequest
        ] = {}

    async def serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection until it closes."""
        socket_options.detect_lost_peer(stream)
        socket_options.limit_caller_buffers(stream)
        connection = callers.CallerConnection(
            stream,
            lambda: self._context.caller_limits,
            self._context.clock,
            self._lingering,
            self._caller_watch.memory,
        )
        self._connections.add(connection)
        try:
            if self._caller_watch.must_refuse(len(self._lingering)):
                await connection.refuse_unread()
            else:
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
            self._record_close(connection)

    def _record_close(self, connection: callers.CallerConnection) -> None:
        """Log and count a close that can cost a caller an answer."""
        context = self._context
        version = context.version
        if connection.closed_as_idle:
            context.count('connections.closed_idle')
            context.log.info(
                'idle connection closed',
                version=version,
                limit_s=context.caller_limits.idle_timeout_s,
                open_connections=len(self._connections),
            )
        if connection.close_reason is not None:
            reason = connection.close_reason.value
            context.count(f'callers.closed.{reason}')
            context.log.info(
                'caller closed',
                reason=reason,
                version=version,
                held_bytes=self.caller_bytes,
                open_connections=len(self._connections),
            )
        if connection.unreadable_status is not None:
            context.count('requests.not_read')
            context.log.info(
                'request not read',
                status=connection.unreadable_status,
                seconds=round(connection.reading_s, 3),
                version=version,
                version_age_s=context.version_age_s,
            )
        if connection.unread_bytes:
            context.count('connections.closed_unread')
            context.log.info(
                'connection closed with unread bytes',
                version=version,
                unread_bytes=connection.unread_bytes,
                answered=connection.answered,
                idle=connection.closed_as_idle,
            )

    def may_accept(self, opening: int) -> bool:
        """Tell whether one more connection may be accepted."""
        return self._caller_watch.may_accept(opening, len(self._lingering))

    async def watch_callers(self) -> None:
        """Keep callers within memory and descriptors until cancelled."""
        await self._caller_watch.run()

    @property
    def caller_bytes(self) -> int:
        """The memory that is held for callers."""
        return self._caller_watch.memory.held

    @property
    def open_connections(self) -> int:
        """The callers' connections that may carry a request."""
        return len(self._connections)

    @property
    def lingering_connections(self) -> int:
        """The connections whose callers may still read their last answer."""
        return len(self._lingering)

    def close_after_replies(self) -> None:
        """Have the next response on each connection announce its end."""
        for connection in self._connections:
            connection.close_after_reply()

    def close_idle(self) -> None:
        """Have each connection closed once no request is read or served."""
        for connection in self._connections:
            connection.close_when_idle()

    def log_unfinished(self) -> None:
        """Log each request in progress, as the process may be killed."""
        context = self._context
        for connection, request in self._in_progress.items():
            if connection.answered:
                continue
            facts = context.dialect.request_facts(request.headers)
            context.log.info(
                'request unfinished at the stop',
                request=facts.request_id,
                path=request.path[:80],
                seconds=round(context.clock() - request.received_at, 3),
                answer_started=connection.answer_started,
            )

    async def _serve_requests(
        self, connection: callers.CallerConnection
    ) -> None:
        while True:
            request = await connection.next_request()
            if request is None:
                return
            self._context.active += 1
            self._in_progress[connection] = request
            reason: states.EndReason | None = states.EndReason.PROCESS_STOPPED
            try:
                reason = await self._serve_watched(connection, request)
            finally:
                self._context.active -= 1
                del self._in_progress[connection]
                # Work after a complete answer may be cancelled, too.
                if reason is not None and not connection.answered:
                    self._record_unanswered(request, reason)
            if reason is not None or not connection.start_next_cycle():
                return

    async def _serve_watched(
        self,
        connection: callers.CallerConnection,
        request: callers.CallerRequest,
    ) -> states.EndReason | None:
        """Serve a request; cancel its work if the caller disconnects.

        Returns why the answer is not complete; None if it is.
        """
        reason: states.EndReason | None = states.EndReason.CALLER_GONE

        async def watch() -> None:
            await connection.wait_closed()
            self._context.count('callers.gone')
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            reason = await self._serve(connection, request, tasks)
            tasks.cancel_scope.cancel()
        return reason

    def _record_unanswered(
        self, request: callers.CallerRequest, reason: states.EndReason
    ) -> None:
        """Log and count a request whose answer is missing or incomplete."""
        context = self._context
        context.count(f'unanswered.{reason.value}')
        facts = context.dialect.request_facts(request.headers)
        context.log.info(
            'request unanswered',
            request=facts.request_id,
            reason=reason.value,
            path=request.path[:80],
            seconds=round(context.clock() - request.received_at, 3),
            version=context.version,
            version_age_s=context.version_age_s,
        )

    async def _serve(
        self,
        connection: callers.CallerConnection,
        request: callers.CallerRequest,
        tasks: anyio.abc.TaskGroup,
    ) -> states.EndReason | None:
        if self._context.draining:
            connection.close_after_reply()
        exchange: context_module.Exchange | None = None
        check: quota_check.QuotaCheck | None = None
        try:
            routed = self._route_request(request, tasks)
            if isinstance(routed, callers.Reply):
                await connection.reply(routed)
                return None
            exchange = routed
            check = quota_check.QuotaCheck(exchange)
            refusal = check.spend()
            if refusal is not None:
                await connection.reply(refusal)
                return None
            complete = await self._handle(connection, exchange)
            return None if complete else states.EndReason.STREAM_CUT
        except callers.CallerDisconnected:
            return states.EndReason.CALLER_GONE
        except Exception as error:
            self._record_error(request, error)
            return await self._answer_error(connection, exchange)
        finally:
            if exchange is not None:
                exchange.kept_responses.release()
            if check is not None:
                check.settle()

    async def _handle(
        self,
        connection: callers.CallerConnection,
        exchange: context_module.Exchange,
    ) -> bool:
        """Serve a routed request; False if its answer was cut off."""
        if exchange.route.kind is model.RouteKind.STREAMING:
            handler = generation.Generation(
                exchange, connection, self._crash_reports
            )
            return await handler.serve()
        if self._context.response_memory.is_crowded:
            reply = exchange.refusal(
                states.RefusalReason.CALLER_MEMORY, ERROR_RETRY_AFTER_S
            )
            await connection.reply(reply)
            return True
        call = plain.PlainCall(exchange, self._crash_reports)
        await connection.reply(await call.serve())
        return True

    def _record_error(
        self, request: callers.CallerRequest, error: Exception
    ) -> None:
        facts = self._context.dialect.request_facts(request.headers)
        self._context.count('internal_errors')
        self._context.log.error(
            'internal error',
            request=facts.request_id,
            detail=repr(error),
            exc_info=error,
        )

    async def _answer_error(
        self,
        connection: callers.CallerConnection,
        exchange: context_module.Exchange | None,
    ) -> states.EndReason | None:
        """Answer a request that an unexpected error ended.

        Only a response that has begun cannot be answered any more. 503 states
        that the request did not run.
        """
        if connection.answered:
            return None
        if connection.answer_started:
            return states.EndReason.INTERNAL_ERROR
        reason = states.RefusalReason.INTERNAL
        if exchange is None:
            reply = self._refuse(reason, ERROR_RETRY_AFTER_S)
        elif exchange.may_have_run:
            reply = exchange.failure(reason, 502)
        else:
            reply = exchange.refusal(reason, ERROR_RETRY_AFTER_S)
        try:
            await connection.reply(reply)
        except callers.CallerDisconnected:
            return states.EndReason.CALLER_GONE
        return None

    def _refuse(
        self,
        reason: states.RefusalReason,
        retry_after_s: float,
        account: client_accounts.ClientAccount | None = None,
    ) -> callers.Reply:
        self._context.count(f'refused.{reason.value}')
        self._context.log.info(
            'refused',
            account=account.name if account is not None else None,
            reason=reason.value,
            status=503,
            version=self._context.version,
        )
        return callers.Reply(
            503, headers=[caller_messages.retry_after(retry_after_s)]
        )

    def _refuse_unknown(
        self,
        request: callers.CallerRequest,
        table: table_module.RoutingTable,
        account: client_accounts.ClientAccount | None,
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
                account,
            )
        context.count(f'refused.{states.RefusalReason.UNKNOWN_SERVICE.value}')
        return callers.Reply(404)

    def _route_request(
        self,
        request: callers.CallerRequest,
        tasks: anyio.abc.TaskGroup,
    ) -> context_module.Exchange | callers.Reply:
        """Return the routed request, or the reply that refuses it."""
        context = self._context
        table = context.table
        if context.refusing:
            return self._refuse(states.RefusalReason.DRAINING, 0.0)
        if context.active > self._caller_watch.max_active:
            return self._refuse(
                states.RefusalReason.TOO_MANY_CONNECTIONS, ERROR_RETRY_AFTER_S
            )
        if table is None:
            reason = states.RefusalReason.NO_CONFIGURATION
            waited_s = context.clock() - self._started_at
            return self._refuse(
                reason, timeouts.outage_retry_after_s(waited_s)
            )
        route = table.match(request.host, request.path)
        try:
            account = authentication.authenticate(
                context, request, table, route
            )
        except authentication.Unauthenticated as error:
            return error.reply
        if route is None or not route.services:
            return self._refuse_unknown(request, table, account)
        service = table_module.pick_service(route, context.random)
        if service is None:
            return self._refuse(
                states.RefusalReason.NO_RUNNER, ERROR_RETRY_AFTER_S, account
            )
        facts = context.dialect.request_facts(request.headers)
        limit_s = timeouts.time_limit_s(route, facts)
        return context_module.Exchange(
            context,
            request,
            table,
            account,
            route,
            service,
            facts,
            context.time_limits.add(request.received_at + limit_s),
            tasks,
        )
