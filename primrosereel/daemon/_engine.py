"""Calls to engines over HTTP.

A failed call becomes a message with an ``UpstreamError``, never an exception,
whatever an engine sends. Engine output is validated against the request:
another request id, a gap in the offsets or an overlong line ends that stream
only.
"""

from collections.abc import AsyncIterator

import anyio
import httpx
import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.core import _messages as messages
from primrosereel.daemon import _engine_wire as engine_wire
from primrosereel.daemon import _protocols as protocols
from primrosereel.daemon import _responses as responses
from primrosereel.daemon import _sse as sse

__all__ = ['HttpEngineClient']

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 1.0
# Reads have no timeout: the core's progress limit detects stalled streams.
STREAM_TIMEOUT = httpx.Timeout(CONTROL_TIMEOUT_S, read=None, pool=None)
MAX_RESPONSE_BYTES = 4_000_000

Error = states.UpstreamError

# JSON that is nested too deeply raises RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
STATUS_ERRORS = {
    404: Error.NOT_FOUND,
    410: Error.KV_GONE,
    503: Error.FULL,
}


class HttpEngineClient:
    """Calls engines through httpx.

    ``client`` pools connections; ``unpooled_client`` opens one for each call
    and is used where a pooled connection may be dead but not closed.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        unpooled_client: httpx.AsyncClient,
        clock: protocols.Clock,
    ) -> None:
        self._client = client
        self._unpooled_client = unpooled_client
        self._clock = clock
        self._event_decoder = msgspec.json.Decoder(engine_wire.StreamEvent)
        self._cancel_scopes: dict[ids.EngineRequestId, anyio.CancelScope] = {}
        self._control_calls = {
            messages.PollLoad: self._poll_load,
            messages.PollCacheEvents: self._poll_cache_events,
            messages.ListRequests: self._list_requests,
            messages.GiveOrder: self._give_order,
            messages.ReadRunnerState: self._read_state,
            messages.PauseUpstream: self._pause,
            messages.ResumeUpstream: self._resume,
        }

    async def prefill(
        self,
        effect: messages.StartPrefill,
        address: str,
        model: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Run a prefill; deliver PrefillDone or PrefillFailed."""
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        body = {
            'request_id': engine_id,
            'model': model,
            'prompt': effect.prompt,
            'continuation': effect.continuation,
            'priority': effect.priority,
            'lease_s': effect.lease_s,
        }
        started = self._clock.monotonic()
        with self._add_cancel_scope(engine_id):
            result = await self._post_prefill(
                f'http://{address}/v1/prefill', body, effect.timeout_s
            )
            if isinstance(result, states.UpstreamError):
                ran = states.Ran.UNKNOWN
                if result in (Error.CONNECT, Error.FULL):
                    ran = states.Ran.NOT_RUN
                deliver(
                    messages.PrefillFailed(
                        effect.request_id,
                        effect.attempt,
                        effect.runner,
                        result,
                        ran,
                    )
                )
                return
            kv = result.kv
            deliver(
                messages.PrefillDone(
                    effect.request_id,
                    effect.attempt,
                    effect.runner,
                    messages.KvTransfer(
                        kv.handle, effect.runner, kv.tokens, kv.bytes
                    ),
                    result.cached_tokens,
                    self._clock.monotonic() - started,
                )
            )

    async def decode(
        self,
        effect: messages.StartDecode,
        address: str,
        model: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Stream tokens; deliver them and a StreamClosed if it breaks off."""
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        body = {
            'request_id': engine_id,
            'model': model,
            'kv': msgspec.structs.asdict(effect.kv),
            'prompt': effect.prompt,
            'max_tokens': effect.max_tokens,
            'priority': effect.priority,
            'offset': effect.offset,
        }
        request = self._client.build_request(
            'POST',
            f'http://{address}/v1/decode',
            content=msgspec.json.encode(body),
            timeout=STREAM_TIMEOUT,
        )
        await self._run_stream(self._client, request, effect, deliver)

    async def reattach(
        self,
        effect: messages.ReattachStream,
        address: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Continue a stream over a new connection."""
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        request = self._unpooled_client.build_request(
            'GET',
            f'http://{address}/v1/requests/{engine_id}/stream',
            params={'offset': effect.offset},
            timeout=STREAM_TIMEOUT,
        )
        self._cancel_call(engine_id)
        await self._run_stream(self._unpooled_client, request, effect, deliver)

    async def cancel(
        self,
        effect: messages.CancelUpstream,
        address: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Cancel a request on its engine, over a new connection."""
        self._cancel_call(effect.engine_request_id)
        url = f'http://{address}/v1/requests/{effect.engine_request_id}'
        confirmed = False
        try:
            async with self._unpooled_client.stream(
                'DELETE', url, timeout=CONTROL_TIMEOUT_S
            ) as response:
                confirmed = response.status_code in (200, 204, 404)
        except httpx.HTTPError:
            confirmed = False
        outcome = (
            messages.CancelConfirmed if confirmed else messages.CancelFailed
        )
        deliver(outcome(effect.runner, effect.engine_request_id))

    async def control(
        self,
        effect: messages.Outbound,
        address: str,
        deliver: protocols.Deliver,
    ) -> None:
        """Make the control call that an effect names."""
        await self._control_calls[type(effect)](effect, address, deliver)

    def _add_cancel_scope(
        self, engine_id: ids.EngineRequestId
    ) -> anyio.CancelScope:
        """Return a scope by which ``cancel`` ends the call of this id."""
        scope = anyio.CancelScope()
        self._cancel_scopes[engine_id] = scope
        return scope

    def _cancel_call(self, engine_id: ids.EngineRequestId) -> None:
        scope = self._cancel_scopes.pop(engine_id, None)
        if scope is not None:
            scope.cancel()

    async def _post_prefill(
        self, url: str, body: dict, timeout_s: float
    ) -> engine_wire.PrefillResponse | states.UpstreamError:
        try:
            async with self._client.stream(
                'POST',
                url,
                content=msgspec.json.encode(body),
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            ) as streamed:
                response = await responses.read(streamed, MAX_RESPONSE_BYTES)
            if response.status_code != 200:
                return STATUS_ERRORS.get(response.status_code, Error.STATUS)
            result = msgspec.json.decode(
                response.content, type=engine_wire.PrefillResponse
            )
        except (httpx.HTTPError, *DECODE_ERRORS) as error:
            return _classify(error)
        if result.request_id != body['request_id']:
            return Error.PROTOCOL
        return result

    async def _run_stream(self, client, request, effect, deliver) -> None:
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        scope = self._add_cancel_scope(engine_id)
        error: states.UpstreamError | None = Error.BROKEN
        with scope:
            try:
                error = await self._read_stream(
                    client, request, effect, engine_id, deliver
                )
            except httpx.HTTPError as failure:
                error = _classify(failure)
            except (
                *DECODE_ERRORS,
                sse.LineTooLong,
                engine_wire.ProtocolError,
            ):
                error = Error.PROTOCOL
        if self._cancel_scopes.get(engine_id) is scope:
            del self._cancel_scopes[engine_id]
        if error is not None and not scope.cancel_called:
            deliver(
                messages.StreamClosed(
                    effect.request_id, effect.attempt, effect.runner, error
                )
            )

    async def _read_stream(
        self, client, request, effect, engine_id, deliver
    ) -> states.UpstreamError | None:
        """Deliver a stream's tokens; return None when it finished."""
        response = await client.send(request, stream=True)
        try:
            if response.status_code != 200:
                return STATUS_ERRORS.get(response.status_code, Error.STATUS)
            offset = effect.offset
            async for events in self._events(response):
                tokens, finish = engine_wire.validated_tokens(
                    events, engine_id, offset
                )
                deliver(
                    messages.TokensReceived(
                        effect.request_id,
                        effect.attempt,
                        effect.runner,
                        offset,
                        tokens,
                        finish,
                    )
                )
                offset += len(tokens)
                if finish is not None:
                    return None
            return Error.BROKEN
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await response.aclose()

    async def _events(
        self, response: httpx.Response
    ) -> AsyncIterator[list[engine_wire.StreamEvent]]:
        """Yield the events of each received chunk."""
        parser = sse.EventParser()
        async for chunk in response.aiter_raw():
            data = parser.feed(chunk)
            events = [
                self._event_decoder.decode(d) for d in data if d != sse.DONE
            ]
            if events:
                yield events

    async def _request(
        self, method: str, url: str, body: dict | None = None
    ) -> responses.BufferedResponse | None:
        """Make a control call; return None if it fails."""
        content = None if body is None else msgspec.json.encode(body)
        try:
            async with self._client.stream(
                method, url, content=content, timeout=CONTROL_TIMEOUT_S
            ) as response:
                return await responses.read(response, MAX_RESPONSE_BYTES)
        except httpx.HTTPError:
            return None

    async def _get_json(self, url: str, response_type):
        """GET and decode a response; return None if either fails."""
        response = await self._request('GET', url)
        if response is None or response.status_code != 200:
            return None
        try:
            return msgspec.json.decode(response.content, type=response_type)
        except DECODE_ERRORS:
            return None

    async def _poll_load(self, effect, address, deliver) -> None:
        load = await self._get_json(
            f'http://{address}/v1/load', engine_wire.LoadResponse
        )
        if load is None:
            deliver(messages.LoadFailed(effect.runner))
            return
        report = messages.LoadReport(**msgspec.structs.asdict(load))
        deliver(messages.LoadReported(effect.runner, report))

    async def _poll_cache_events(self, effect, address, deliver) -> None:
        url = f'http://{address}/v1/cache-events?since={effect.since}'
        events = await self._get_json(url, engine_wire.CacheEvents)
        if events is None:
            return
        deliver(
            messages.CacheEventsReceived(
                effect.runner,
                effect.since,
                events.first,
                events.next,
                tuple(events.stored),
                tuple(events.evicted),
            )
        )

    async def _list_requests(self, effect, address, deliver) -> None:
        listing = await self._get_json(
            f'http://{address}/v1/requests', engine_wire.RequestsResponse
        )
        if listing is None:
            return
        held = tuple(
            ids.EngineRequestId(request.request_id)
            for request in listing.requests
        )
        deliver(messages.RequestsListed(effect.runner, held))

    async def _give_order(self, effect, address, deliver) -> None:
        body = {
            'fencing_token': effect.fencing_token,
            'kind': effect.kind,
            'value': effect.value,
        }
        response = await self._request(
            'POST', f'http://{address}/v1/orders', body
        )
        accepted = None
        if response is not None and response.status_code in (200, 202, 409):
            accepted = response.status_code != 409
        deliver(
            messages.OrderAnswered(
                effect.runner, effect.fencing_token, accepted
            )
        )

    async def _read_state(self, effect, address, deliver) -> None:
        state = await self._get_json(
            f'http://{address}/v1/state', engine_wire.StateResponse
        )
        if state is None:
            return
        deliver(
            messages.RunnerStateRead(
                effect.runner,
                state.role,
                tuple(state.models),
                tuple(state.adapters),
                state.fencing_token,
            )
        )

    async def _pause(self, effect, address, deliver) -> None:
        if await self._post_stream_control(effect, address, 'pause'):
            deliver(
                messages.StreamPaused(
                    effect.request_id, effect.attempt, effect.runner
                )
            )

    async def _resume(self, effect, address, deliver) -> None:
        if await self._post_stream_control(effect, address, 'resume'):
            deliver(
                messages.StreamResumed(
                    effect.request_id, effect.attempt, effect.runner
                )
            )

    async def _post_stream_control(self, effect, address, action: str) -> bool:
        engine_id = ids.engine_request_id(effect.request_id, effect.attempt)
        response = await self._request(
            'POST', f'http://{address}/v1/requests/{engine_id}/{action}'
        )
        return response is not None and response.status_code in (200, 202)


def _classify(error: Exception) -> states.UpstreamError:
    """Return the UpstreamError for an exception of httpx or msgspec."""
    if isinstance(error, (httpx.ConnectError, httpx.ConnectTimeout)):
        return Error.CONNECT
    if isinstance(error, httpx.TimeoutException):
        return Error.TIMEOUT
    if isinstance(error, (httpx.RemoteProtocolError, *DECODE_ERRORS)):
        return Error.PROTOCOL
    return Error.BROKEN
