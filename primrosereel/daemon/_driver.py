"""Passes messages to the decision core and executes its effects."""

from collections.abc import Callable
import math
from typing import Any

import anyio
import anyio.abc

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import core as core_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _peers as peers
from primrosereel.daemon import _protocols as protocols

__all__ = ['Answer', 'Driver']

TICK_S = 0.1
# Keeps the loop from spinning when a wake-up time has already passed.
MIN_SLEEP_S = 0.001

# Effects that are part of a response to a caller.
Answer = (
    messages.SendTokens
    | messages.FinishCaller
    | messages.RefuseCaller
    | messages.AbortCaller
    | messages.AnswerPlain
)


class Driver:
    """Owns the core; no other object calls it.

    A caller's request handler registers a sink for its request and passes
    messages to ``handle``; effects for the caller go to the sink in order.
    The composition root sets the adapters before ``run``.
    """

    def __init__(
        self,
        core: core_module.Core,
        clock: protocols.Clock,
        metrics: protocols.Metrics,
        log: Any,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._core = core
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._tasks = tasks
        self._sinks: dict[ids.RequestId, Callable[[Answer], None]] = {}
        self._woken = anyio.Event()
        self._sleeping_until = -math.inf
        self._drained = anyio.Event()
        self._engine: protocols.EngineClient | None = None
        self._plain: protocols.PlainClient | None = None
        self._configuration: protocols.ConfigurationService | None = None
        self._instances: protocols.InstanceList | None = None
        self._peers: protocols.PeerTransport | None = None
        self._carriers: dict[type, Callable[[Any], None]] = {
            messages.SendTokens: self._to_caller,
            messages.FinishCaller: self._to_caller,
            messages.RefuseCaller: self._to_caller,
            messages.AbortCaller: self._to_caller,
            messages.AnswerPlain: self._to_caller,
            messages.StartPrefill: self._prefill,
            messages.StartDecode: self._decode,
            messages.ReattachStream: self._reattach,
            messages.CancelUpstream: self._cancel,
            messages.CallPlain: self._call_plain,
            messages.SendPeer: self._send_peer,
            messages.WatchConfiguration: self._watch,
            messages.ReadInstanceList: self._read_instances,
            messages.Count: self._count,
            messages.DrainFinished: self._drain_finished,
            messages.PollLoad: self._control,
            messages.PollCacheEvents: self._control,
            messages.ListRequests: self._control,
            messages.GiveOrder: self._control,
            messages.ReadRunnerState: self._control,
            messages.PauseUpstream: self._control,
            messages.ResumeUpstream: self._control,
        }

    @property
    def core(self) -> core_module.Core:
        """The core, whose tables may be read but not written."""
        return self._core

    @property
    def drained(self) -> anyio.Event:
        """Set when a drain was requested and no request is in progress."""
        return self._drained

    @property
    def open_answers(self) -> int:
        """The number of requests that have a registered sink."""
        return len(self._sinks)

    def connect(
        self,
        engine: protocols.EngineClient,
        plain: protocols.PlainClient,
        configuration: protocols.ConfigurationService,
        instances: protocols.InstanceList,
        transport: protocols.PeerTransport,
    ) -> None:
        """Set the adapters."""
        self._engine = engine
        self._plain = plain
        self._configuration = configuration
        self._instances = instances
        self._peers = transport

    def open(self, sink: Callable[[Answer], None]) -> ids.RequestId:
        """Register a sink under a new request id and return the id."""
        request = self._core.next_request_id()
        self._sinks[request] = sink
        return request

    def close(self, request: ids.RequestId) -> None:
        """Remove a sink; later effects for its request are dropped."""
        self._sinks.pop(request, None)

    def handle(self, message: messages.Inbound) -> None:
        """Pass one message to the core and execute the resulting effects."""
        effects = self._core.handle(
            message, self._clock.monotonic(), self._clock.wall()
        )
        self._carry(effects)
        if self._core.wake < self._sleeping_until:
            self._woken.set()

    def exchange(self, envelope: peers.Envelope) -> list[messages.PeerMessage]:
        """Pass a peer's messages to the core; return its immediate replies."""
        replies: list[messages.PeerMessage] = []
        others: list[messages.Outbound] = []
        for message in envelope.messages:
            effects = self._core.handle(
                messages.FromPeer(
                    envelope.sender, envelope.incarnation, message
                ),
                self._clock.monotonic(),
                self._clock.wall(),
            )
            for effect in effects:
                if (
                    isinstance(effect, messages.SendPeer)
                    and effect.destination == envelope.sender
                ):
                    replies.append(effect.message)
                else:
                    others.append(effect)
        self._carry(others)
        return replies

    async def run(self) -> None:
        """Tick at a fixed interval, or earlier on request of the core."""
        while True:
            effects = self._core.tick(
                self._clock.monotonic(), self._clock.wall()
            )
            self._carry(effects)
            await self._sleep(self._clock.monotonic() + TICK_S)

    async def _sleep(self, until: float) -> None:
        """Sleep until the given time or the core's wake-up time if earlier."""
        while True:
            self._sleeping_until = min(until, self._core.wake)
            wait_s = self._sleeping_until - self._clock.monotonic()
            if wait_s <= 0:
                await anyio.sleep(MIN_SLEEP_S)
                return
            self._woken = anyio.Event()
            with anyio.move_on_after(wait_s):
                await self._woken.wait()
                continue
            return

    def _carry(self, effects: list[messages.Outbound]) -> None:
        for effect in effects:
            self._carriers[type(effect)](effect)

    def _start(self, call, *args) -> None:
        self._tasks.start_soon(self._guarded, call, *args)

    async def _guarded(self, call, *args) -> None:
        """Run an adapter's call; log an exception instead of raising it."""
        try:
            await call(*args)
        except Exception:
            self._metrics.count('internal.adapter_error')
            self._log.exception('adapter call failed', call=call.__qualname__)

    def _to_caller(self, effect: Any) -> None:
        sink = self._sinks.get(effect.request_id)
        if sink is not None:
            sink(effect)

    def _address(self, runner: ids.RunnerId) -> str | None:
        row = self._core.world.runners.get(runner)
        return None if row is None else row.facts.address

    def _model(self, service: ids.ServiceId) -> str:
        text = self._core.world.text
        if text is None or service not in text.services:
            return ''
        return text.services[service].model or ''

    def _to_runner(self, call, effect: Any, *more: Any) -> None:
        """Call an effect's runner; report a failure if it has no address."""
        address = self._address(effect.runner)
        if address is not None:
            self._start(call, effect, address, *more, self.handle)
            return
        failure = _unreachable(effect)
        if failure is not None:
            self.handle(failure)

    def _prefill(self, effect: messages.StartPrefill) -> None:
        assert self._engine is not None
        model = self._model(effect.service)
        self._to_runner(self._engine.prefill, effect, model)

    def _decode(self, effect: messages.StartDecode) -> None:
        assert self._engine is not None
        model = self._model(effect.service)
        self._to_runner(self._engine.decode, effect, model)

    def _reattach(self, effect: messages.ReattachStream) -> None:
        assert self._engine is not None
        self._to_runner(self._engine.reattach, effect)

    def _cancel(self, effect: messages.CancelUpstream) -> None:
        assert self._engine is not None
        self._to_runner(self._engine.cancel, effect)

    def _control(self, effect: Any) -> None:
        assert self._engine is not None
        self._to_runner(self._engine.control, effect)

    def _call_plain(self, effect: messages.CallPlain) -> None:
        assert self._plain is not None
        self._to_runner(self._plain.call, effect)

    def _send_peer(self, effect: messages.SendPeer) -> None:
        row = self._core.world.listing.instances.get(effect.destination)
        if row is None:
            failed = messages.PeerFailed(effect.destination, (effect.message,))
            # Deferred, because the effects of the last call to the core are
            # still being executed.
            self._start(self._deliver_later, failed)
            return
        assert self._peers is not None
        self._peers.send(effect.destination, row.address, (effect.message,))

    async def _deliver_later(self, message: messages.Inbound) -> None:
        self.handle(message)

    def _watch(self, effect: messages.WatchConfiguration) -> None:
        assert self._configuration is not None
        self._start(self._configuration.watch, effect, self.handle)

    def _read_instances(self, effect: messages.ReadInstanceList) -> None:
        assert self._instances is not None
        self._start(self._instances.read, self.handle)

    def _count(self, effect: messages.Count) -> None:
        self._metrics.count(effect.name, effect.value)

    def _drain_finished(self, effect: messages.DrainFinished) -> None:
        self._drained.set()


def _unreachable(effect: Any) -> messages.Inbound | None:
    """Return the failure message for a call to a runner without address.

    Polls and orders have no failure message; the core repeats them.
    """
    error = states.UpstreamError.CONNECT
    if isinstance(effect, messages.CancelUpstream):
        return messages.CancelFailed(effect.runner, effect.engine_request_id)
    if isinstance(effect, messages.StartDecode | messages.ReattachStream):
        return messages.StreamClosed(
            effect.request_id, effect.attempt, effect.runner, error
        )
    kind: Any
    if isinstance(effect, messages.StartPrefill):
        kind = messages.PrefillFailed
    elif isinstance(effect, messages.CallPlain):
        kind = messages.PlainFailed
    else:
        return None
    return kind(
        effect.request_id,
        effect.attempt,
        effect.runner,
        error,
        states.Ran.NOT_RUN,
    )
