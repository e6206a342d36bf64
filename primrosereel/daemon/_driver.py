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

__all__ = ['CallerEffect', 'Driver']

TICK_INTERVAL_S = 0.1
# Keeps the loop from spinning when a wake-up time has already passed.
MIN_SLEEP_S = 0.001

# Effects that are part of a response to a caller.
CallerEffect = (
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
        self._sinks: dict[ids.RequestId, Callable[[CallerEffect], None]] = {}
        self._wake_event = anyio.Event()
        self._sleeping_until = -math.inf
        self._drained = anyio.Event()
        self._engine: protocols.EngineClient | None = None
        self._plain: protocols.PlainClient | None = None
        self._configuration: protocols.ConfigurationService | None = None
        self._instances: protocols.InstanceList | None = None
        self._peers: protocols.PeerTransport | None = None
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            messages.SendTokens: self._send_to_sink,
            messages.FinishCaller: self._send_to_sink,
            messages.RefuseCaller: self._send_to_sink,
            messages.AbortCaller: self._send_to_sink,
            messages.AnswerPlain: self._send_to_sink,
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
            messages.PollLoad: self._control_call,
            messages.PollCacheEvents: self._control_call,
            messages.ListRequests: self._control_call,
            messages.GiveOrder: self._control_call,
            messages.ReadRunnerState: self._control_call,
            messages.PauseUpstream: self._control_call,
            messages.ResumeUpstream: self._control_call,
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
    def sink_count(self) -> int:
        """The number of requests that have a registered sink."""
        return len(self._sinks)

    def set_adapters(
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

    def register_sink(
        self, sink: Callable[[CallerEffect], None]
    ) -> ids.RequestId:
        """Register a sink under a new request id and return the id."""
        request = self._core.next_request_id()
        self._sinks[request] = sink
        return request

    def unregister_sink(self, request: ids.RequestId) -> None:
        """Remove a sink; later effects for its request are dropped."""
        self._sinks.pop(request, None)

    def handle(self, message: messages.Inbound) -> None:
        """Pass one message to the core and execute the resulting effects."""
        effects = self._core.handle(
            message, self._clock.monotonic(), self._clock.wall()
        )
        self._execute(effects)
        if self._core.wake < self._sleeping_until:
            self._wake_event.set()

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
        self._execute(others)
        return replies

    async def run(self) -> None:
        """Tick at a fixed interval, or earlier on request of the core."""
        while True:
            effects = self._core.tick(
                self._clock.monotonic(), self._clock.wall()
            )
            self._execute(effects)
            await self._sleep(self._clock.monotonic() + TICK_INTERVAL_S)

    async def _sleep(self, until: float) -> None:
        """Sleep until the given time or the core's wake-up time if earlier."""
        while True:
            self._sleeping_until = min(until, self._core.wake)
            wait_s = self._sleeping_until - self._clock.monotonic()
            if wait_s <= 0:
                await anyio.sleep(MIN_SLEEP_S)
                return
            self._wake_event = anyio.Event()
            with anyio.move_on_after(wait_s):
                await self._wake_event.wait()
                continue
            return

    def _execute(self, effects: list[messages.Outbound]) -> None:
        for effect in effects:
            self._effect_handlers[type(effect)](effect)

    def _start_call(self, call, *args) -> None:
        self._tasks.start_soon(self._run_logged, call, *args)

    async def _run_logged(self, call, *args) -> None:
        """Run an adapter's call; log an exception instead of raising it."""
        try:
            await call(*args)
        except Exception:
            self._metrics.count('internal.adapter_error')
            self._log.exception('adapter call failed', call=call.__qualname__)

    def _send_to_sink(self, effect: Any) -> None:
        sink = self._sinks.get(effect.request_id)
        if sink is not None:
            sink(effect)

    def _address(self, runner: ids.RunnerId) -> str | None:
        entry = self._core.world.runners.get(runner)
        return None if entry is None else entry.facts.address

    def _model(self, service: ids.ServiceId) -> str:
        text = self._core.world.text
        if text is None or service not in text.services:
            return ''
        return text.services[service].model or ''

    def _call_runner(self, call, effect: Any, *extra_arguments: Any) -> None:
        """Call an effect's runner; report a failure if it has no address."""
        address = self._address(effect.runner)
        if address is not None:
            self._start_call(
                call, effect, address, *extra_arguments, self.handle
            )
            return
        failure = _missing_runner_failure(effect)
        if failure is not None:
            self.handle(failure)

    def _prefill(self, effect: messages.StartPrefill) -> None:
        assert self._engine is not None
        model = self._model(effect.service)
        self._call_runner(self._engine.prefill, effect, model)

    def _decode(self, effect: messages.StartDecode) -> None:
        assert self._engine is not None
        model = self._model(effect.service)
        self._call_runner(self._engine.decode, effect, model)

    def _reattach(self, effect: messages.ReattachStream) -> None:
        assert self._engine is not None
        self._call_runner(self._engine.reattach, effect)

    def _cancel(self, effect: messages.CancelUpstream) -> None:
        assert self._engine is not None
        self._call_runner(self._engine.cancel, effect)

    def _control_call(self, effect: Any) -> None:
        assert self._engine is not None
        self._call_runner(self._engine.control, effect)

    def _call_plain(self, effect: messages.CallPlain) -> None:
        assert self._plain is not None
        self._call_runner(self._plain.call, effect)

    def _send_peer(self, effect: messages.SendPeer) -> None:
        instance = self._core.world.listing.instances.get(effect.destination)
        if instance is None:
            failed = messages.PeerFailed(effect.destination, (effect.message,))
            # Deferred, because the effects of the last call to the core are
            # still being executed.
            self._start_call(self._deliver_later, failed)
            return
        assert self._peers is not None
        self._peers.send(
            effect.destination, instance.address, (effect.message,)
        )

    async def _deliver_later(self, message: messages.Inbound) -> None:
        self.handle(message)

    def _watch(self, effect: messages.WatchConfiguration) -> None:
        assert self._configuration is not None
        self._start_call(self._configuration.watch, effect, self.handle)

    def _read_instances(self, effect: messages.ReadInstanceList) -> None:
        assert self._instances is not None
        self._start_call(self._instances.read, self.handle)

    def _count(self, effect: messages.Count) -> None:
        self._metrics.count(effect.name, effect.value)

    def _drain_finished(self, effect: messages.DrainFinished) -> None:
        self._drained.set()


def _missing_runner_failure(effect: Any) -> messages.Inbound | None:
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
    message_type: Any
    if isinstance(effect, messages.StartPrefill):
        message_type = messages.PrefillFailed
    elif isinstance(effect, messages.CallPlain):
        message_type = messages.PlainFailed
    else:
        return None
    return message_type(
        effect.request_id,
        effect.attempt,
        effect.runner,
        error,
        states.Ran.NOT_RUN,
    )
