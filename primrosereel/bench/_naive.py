"""A baseline router without reservations or priorities.

It picks a random runner of each role and starts requests in order of arrival.
After a failure it retries the request from the start, unless tokens were sent
already.
"""

import math
import random
from typing import Any

import msgspec

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import core as core_module
from primrosereel.core import _messages as messages

__all__ = ['NaiveRouter', 'naive_router']

MAX_ATTEMPTS = 4
LEASE_S = 10.0
PREFILL_TIMEOUT_S = 60.0


class _Request:
    """One request and its current attempt."""

    def __init__(self, call: messages.CompletionReceived) -> None:
        self.call = call
        self.attempt = 0
        self.sent_tokens = 0
        self.decode: ids.RunnerId | None = None


class NaiveRouter:
    """Routes to random runners; has the interface of the core."""

    def __init__(
        self, identity: core_module.Identity, random_source: random.Random
    ) -> None:
        self._identity = identity
        self._random = random_source
        self._sequence = 0
        self._requests: dict[ids.RequestId | None, _Request] = {}
        self._runners: dict[tuple[str, str], list[ids.RunnerId]] = {}

    @property
    def wake(self) -> float:
        """Infinite, because this router never needs a tick."""
        return math.inf

    def next_request_id(self) -> ids.RequestId:
        """Return an unused request id."""
        self._sequence += 1
        return ids.request_id(
            self._identity.instance, self._identity.incarnation, self._sequence
        )

    def tick(self, now: float, wall: float) -> list[messages.Outbound]:
        """Return no effects."""
        return []

    def handle(
        self, message: messages.Inbound, now: float, wall: float
    ) -> list[messages.Outbound]:
        """Handle one message and return the effects."""
        if isinstance(message, messages.ConfigurationRead):
            self._load_runners(msgspec.json.decode(message.body))
            return []
        if isinstance(message, messages.CompletionReceived):
            self._requests[message.request_id] = _Request(message)
            return self._start_attempt(self._requests[message.request_id])
        reply: Any = message
        request = self._requests.get(getattr(reply, 'request_id', None))
        if request is None or reply.attempt != request.attempt:
            return []
        if isinstance(message, messages.PrefillDone):
            return self._start_decode(request, message)
        if isinstance(message, messages.TokensReceived):
            return self._forward_tokens(request, message)
        return self._start_attempt(request)

    def _load_runners(self, text: dict[str, Any]) -> None:
        for service, service_text in text['services'].items():
            for runner, runner_text in service_text['runners'].items():
                service_and_role = (service, runner_text['role'])
                self._runners.setdefault(service_and_role, []).append(runner)

    def _start_attempt(self, request: _Request) -> list[messages.Outbound]:
        call = request.call
        request.attempt += 1
        if request.attempt > MAX_ATTEMPTS or request.sent_tokens:
            del self._requests[call.request_id]
            return [
                messages.AbortCaller(
                    call.request_id, states.RefusalReason.UPSTREAM_FAILED
                )
            ]
        runner = self._random.choice(self._runners[call.service, 'prefill'])
        return [
            messages.StartPrefill(
                call.request_id,
                request.attempt,
                runner,
                call.service,
                call.prompt,
                '',
                0,
                LEASE_S,
                PREFILL_TIMEOUT_S,
            )
        ]

    def _start_decode(self, request, done: messages.PrefillDone):
        call = request.call
        runner = self._random.choice(self._runners[call.service, 'decode'])
        return [
            messages.StartDecode(
                call.request_id,
                request.attempt,
                runner,
                call.service,
                done.kv,
                call.prompt,
                call.max_tokens,
                0,
                0,
            )
        ]

    def _forward_tokens(self, request, received: messages.TokensReceived):
        call = request.call
        request.sent_tokens += len(received.tokens)
        effects: list[messages.Outbound] = [
            messages.SendTokens(call.request_id, received.tokens)
        ]
        if received.finish is not None:
            del self._requests[call.request_id]
            effects.append(
                messages.FinishCaller(
                    call.request_id,
                    received.finish,
                    call.prompt_tokens,
                    request.sent_tokens,
                )
            )
        return effects


def naive_router(identity: core_module.Identity, seed: int) -> NaiveRouter:
    """Build the baseline router."""
    return NaiveRouter(identity, random.Random(seed))
