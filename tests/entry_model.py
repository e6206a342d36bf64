"""Simulation of EntrySystem in virtual time with an owner and engines.

The owner and the engines are simple stand-ins. The network between the entry
and the engines may lose, duplicate, delay and reorder the engines' answers.
"""

import dataclasses
import heapq
import itertools
import random

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _entry_system as entry_module
from primrosereel.core import _messages as messages
from primrosereel.core import _stragglers as stragglers
from primrosereel.core import _tables as tables

__all__ = ['Model', 'Network', 'make_world']

SERVICE = ids.ServiceId('reader')
OWNER = ids.InstanceId('owner-1')
PREFILLS = ('p1', 'p2', 'p3')
DECODES = ('d1', 'd2', 'd3')
PREFILL_S = 0.1
STEP_S = 0.05
TICK_S = 0.1


def make_world():
    """Return a World with one service of two groups and one client account."""
    identity = tables.Identity('entry-1', 7, 'r', 'r-a', '127.0.0.1:1')
    world = tables.World(identity, random.Random(1))
    names = [(n, states.Role.PREFILL) for n in PREFILLS]
    names += [(n, states.Role.DECODE) for n in DECODES]
    runners = {n: text_module.Runner('a:1', 'r-a', role) for n, role in names}
    service = text_module.Service(
        states.ServiceKind.LLM, 'r', runners, model='m'
    )
    client_account = text_module.ClientAccount('key', (SERVICE,))
    world.text = text_module.Text(
        {'m': text_module.Model(10000, STEP_S, 1000, 100000)},
        {SERVICE: service},
        {'c': client_account},
    )
    world.client_accounts = {'c': tables.ClientAccount('c', client_account)}
    world.client_accounts_by_key = {'key': 'c'}
    for name, facts in runners.items():
        world.runners[name] = tables.Runner(name, SERVICE, 'g1', facts)
    world.groups = {'g1': tuple(runners), 'g2': tuple(runners)}
    world.service_groups = {SERVICE: ('g1', 'g2')}
    world.group_regions = {'g1': 'r', 'g2': 'r'}
    world.owners = {'r': {'g1': OWNER, 'g2': OWNER}}
    return world


@dataclasses.dataclass
class Network:
    """Shares of engine answers that are lost, duplicated or late."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


@dataclasses.dataclass
class Decode:
    """A decode at an engine; ``sent`` is the open connection's offset."""

    call: messages.StartDecode
    total: int
    produced: int
    sent: int
    connected: bool = True
    paused: bool = False


@dataclasses.dataclass
class Engine:
    """One engine: exported KV caches by id, decodes by id."""

    name: str
    alive: bool = True
    full: bool = False
    kv: dict = dataclasses.field(default_factory=dict)
    decodes: dict = dataclasses.field(default_factory=dict)

    @property
    def held(self):
        """The engine request ids for which it holds memory."""
        return set(self.kv) | set(self.decodes)


class Model:
    """Runs EntrySystem in virtual time and records what callers receive."""

    def __init__(self, seed=0):
        self.world = make_world()
        self.random = random.Random(seed)
        self.network = Network()
        self.entry = entry_module.EntrySystem(self.world, self._direct)
        self.systems = [
            stragglers.StragglersSystem(self.world),
            self.entry,
        ]
        self.engines = {n: Engine(n) for n in PREFILLS + DECODES}
        self.now = 0.0
        self.owner_mode = 'grant'
        self.queue = []
        self.released = set()
        self.granted = set()
        self.received = {}
        self.ends = {}
        self.disconnected = set()
        self.effects = []
        self.counts = {}
        self._events = []
        self._sequence = itertools.count()
        self._requests = itertools.count(1)
        self._at(TICK_S, self._tick)

    def submit(self, tokens=8):
        """Send a completion request; return its id."""
        name = ids.request_id('entry-1', 7, next(self._requests))
        self.received[name] = []
        self.ends[name] = []
        self.handle(
            messages.CompletionReceived(
                name, name, 'key', SERVICE, 'prompt', 100, tokens, (5,)
            )
        )
        return name

    def leave(self, name):
        """The caller of a request closes its connection."""
        if not self.ends[name]:
            self.disconnected.add(name)
        self.handle(messages.CallerLeft(name))

    def advance(self, seconds):
        """Let virtual time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, step = heapq.heappop(self._events)
            step()
        self.now = until

    def kill(self, name, silent=False):
        """Stop an engine; its memory and streams are lost."""
        engine = self.engines[name]
        engine.alive = False
        for decode in engine.decodes.values():
            if not silent:
                self._close(decode.call, states.UpstreamError.BROKEN)
        engine.kv.clear()
        engine.decodes.clear()

    def cut(self, name, silent=True):
        """Cut the connections of an engine's streams."""
        for decode in self.engines[name].decodes.values():
            decode.connected = False
            if not silent:
                self._close(decode.call, states.UpstreamError.BROKEN)

    def heal(self):
        """End every fault and let the owner grant."""
        self.network = Network()
        self.owner_mode = 'grant'
        for engine in self.engines.values():
            engine.alive = True
            engine.full = False
        for request in list(self.requests.values()):
            self.peer(messages.ResumeStream(request.id, request.attempt))
        self.serve_queue()

    def serve_queue(self):
        """Let the owner grant the requests that it queued."""
        queue, self.queue = self.queue, []
        for grant_request in queue:
            self._grant(grant_request)

    @property
    def requests(self):
        """The entry's requests; tests read them to find running streams."""
        return self.entry._entry.requests

    @property
    def held(self):
        """The ids for which engines hold memory, as (engine, id) pairs."""
        return {
            (e.name, held) for e in self.engines.values() for held in e.held
        }

    def emitted(self, kind):
        """Return the effects of a kind so far."""
        return [e for e in self.effects if isinstance(e, kind)]

    def peer(self, message, sender=OWNER):
        """Deliver a peer's message."""
        self.handle(messages.FromPeer(sender, 1, message))

    def handle(self, message):
        """Deliver a message to the systems and execute the effects."""
        kind = type(message)
        if kind is messages.FromPeer:
            kind = type(message.message)
        for system in self.systems:
            if kind in system.inputs:
                system.receive(message, self.now)
                system.run(self.now)
        self._execute()

    def _tick(self):
        for system in self.systems:
            system.run(self.now)
        self._execute()
        self._at(TICK_S, self._tick)

    def _at(self, delay, step):
        heapq.heappush(
            self._events, (self.now + delay, next(self._sequence), step)
        )

    def _execute(self):
        effects, self.world.outbox = self.world.outbox, []
        if self.world.wake < self.now + TICK_S:
            self._at(max(0, self.world.wake - self.now), self._wake)
        self.world.wake = float('inf')
        for effect in effects:
            self.effects.append(effect)
            step = getattr(self, f'_do_{type(effect).__name__}', None)
            if step is not None:
                step(effect)

    def _wake(self):
        for system in self.systems:
            system.run(self.now)
        self._execute()

    # The owner.

    def _direct(self, world, service, group, exclude, kv):
        prefill = self._pick(PREFILLS, exclude)
        decode = self._pick(DECODES, exclude)
        if decode is None or (kv is None and prefill is None):
            return None
        return (None if kv is not None else prefill, decode)

    def _pick(self, names, exclude):
        usable = [
            n
            for n in names
            if n not in exclude and not self.world.runners[n].leaving
        ]
        return self.random.choice(usable) if usable else None

    def _do_SendPeer(self, effect):
        message = effect.message
        if isinstance(message, messages.Progress):
            if message.stage is states.Stage.RELEASED:
                self.released.add((message.request_id, message.attempt))
        elif isinstance(message, messages.GrantRequest):
            self._at(0.001, lambda: self._on_grant_request(message))

    def _on_grant_request(self, grant_request):
        if self.owner_mode == 'grant':
            self._grant(grant_request)
        elif self.owner_mode == 'queue':
            self._enqueue(grant_request)
        elif self.owner_mode == 'refuse':
            self.peer(
                messages.GrantRefused(
                    grant_request.request_id,
                    grant_request.attempt,
                    states.RefusalReason.NO_CAPACITY,
                    1.0,
                )
            )

    def _enqueue(self, grant_request):
        """Queue a request; repetitions of an attempt get no answer."""
        keys = {(a.request_id, a.attempt) for a in self.queue}
        if (grant_request.request_id, grant_request.attempt) not in keys:
            self.queue.append(grant_request)
            self.peer(
                messages.GrantQueued(
                    grant_request.request_id, grant_request.attempt
                )
            )

    def _grant(self, grant_request):
        choice = self._direct(
            self.world,
            grant_request.service,
            grant_request.group,
            grant_request.exclude,
            grant_request.kv,
        )
        if choice is None:
            reason = states.RefusalReason.NO_RUNNER
            answer = messages.GrantRefused(
                grant_request.request_id, grant_request.attempt, reason, 1.0
            )
        else:
            self.granted.add((grant_request.request_id, grant_request.attempt))
            answer = messages.Grant(
                grant_request.request_id, grant_request.attempt, *choice, 30
            )
        self.peer(answer)

    # The engines. Calls to one engine arrive in order; only cancels are lost.

    def _answer(self, message, delay=0.001):
        """Deliver an engine's answer over the unreliable network."""
        network = self.network
        copies = 1
        if self.random.random() < network.lost:
            copies = 0
        elif self.random.random() < network.doubled:
            copies = 2
        for _ in range(copies):
            late = self.random.random() < network.late
            extra = self.random.uniform(0, 3.0) if late else 0.0
            self._at(delay + extra, lambda: self.handle(message))

    def _close(self, call, error):
        self._answer(
            messages.StreamClosed(
                call.request_id, call.attempt, call.runner, error
            )
        )

    def _do_StartPrefill(self, call):
        engine = self.engines[call.runner]
        if not engine.alive:
            error = states.UpstreamError.CONNECT
            self._answer(
                messages.PrefillFailed(
                    call.request_id,
                    call.attempt,
                    call.runner,
                    error,
                    states.Ran.NOT_RUN,
                )
            )
            return
        sent = ''.join(self.received[call.request_id])
        assert call.continuation == sent, 'wrong continuation'
        name = ids.engine_request_id(call.request_id, call.attempt)
        engine.kv[name] = None
        self._at(PREFILL_S, lambda: self._prefilled(engine, name, call))

    def _prefilled(self, engine, name, call):
        if name not in engine.kv:
            return
        engine.kv[name] = self.now
        kv = messages.KvTransfer(name, engine.name, 100, 100000)
        self._answer(
            messages.PrefillDone(
                call.request_id, call.attempt, engine.name, kv, 0, PREFILL_S
            )
        )

    def _do_StartDecode(self, call):
        assert call.offset == len(self.received[call.request_id])
        engine = self.engines[call.runner]
        exported = self.engines[call.kv.runner].kv
        exported_at = exported.get(call.kv.handle)
        if not engine.alive:
            self._close(call, states.UpstreamError.CONNECT)
        elif engine.full:
            self._close(call, states.UpstreamError.FULL)
        elif exported_at is None or self.now - exported_at > 1.0:
            exported.pop(call.kv.handle, None)
            self._close(call, states.UpstreamError.KV_GONE)
        else:
            del exported[call.kv.handle]
            name = ids.engine_request_id(call.request_id, call.attempt)
            decode = Decode(call, call.max_tokens, call.offset, call.offset)
            engine.decodes[name] = decode
            self._at(STEP_S, lambda: self._step(engine, name, decode))

    def _step(self, engine, name, decode):
        if engine.decodes.get(name) is not decode:
            return
        if not decode.paused:
            decode.produced = min(decode.produced + 1, decode.total)
            if decode.connected and decode.sent < decode.produced:
                self._send_tokens(decode)
            if decode.produced == decode.total:
                del engine.decodes[name]
                return
        self._at(STEP_S, lambda: self._step(engine, name, decode))

    def _send_tokens(self, decode):
        call = decode.call
        fresh = tuple(
            token(call.request_id, n)
            for n in range(decode.sent, decode.produced)
        )
        finish = 'stop' if decode.produced == decode.total else None
        self._answer(
            messages.TokensReceived(
                call.request_id,
                call.attempt,
                call.runner,
                decode.sent,
                fresh,
                finish,
            )
        )
        decode.sent = decode.produced

    def _do_ReattachStream(self, call):
        engine = self.engines[call.runner]
        name = ids.engine_request_id(call.request_id, call.attempt)
        decode = engine.decodes.get(name)
        if not engine.alive:
            self._close(call, states.UpstreamError.CONNECT)
        elif decode is None:
            self._close(call, states.UpstreamError.NOT_FOUND)
        else:
            decode.connected = True
            decode.sent = call.offset

    def _do_CancelUpstream(self, call):
        engine = self.engines[call.runner]
        name = call.engine_request_id
        kind = messages.CancelConfirmed
        if self.random.random() < self.network.lost:
            kind = messages.CancelFailed
        elif engine.alive:
            engine.kv.pop(name, None)
            engine.decodes.pop(name, None)
        else:
            kind = messages.CancelFailed
        self._answer(kind(call.runner, name))

    def _do_PauseUpstream(self, call):
        self._set_paused(call, True, messages.StreamPaused)

    def _do_ResumeUpstream(self, call):
        self._set_paused(call, False, messages.StreamResumed)

    def _set_paused(self, call, paused, answer):
        name = ids.engine_request_id(call.request_id, call.attempt)
        decode = self.engines[call.runner].decodes.get(name)
        if decode is not None:
            decode.paused = paused
            self._answer(answer(call.request_id, call.attempt, call.runner))

    # The callers and the counters.

    def _do_SendTokens(self, effect):
        assert not self.ends[effect.request_id], 'tokens after the end'
        self.received[effect.request_id] += effect.tokens

    def _do_FinishCaller(self, effect):
        self.ends[effect.request_id].append('finish')

    def _do_RefuseCaller(self, effect):
        assert not self.received[effect.request_id], 'refused after tokens'
        self.ends[effect.request_id].append(f'refuse {effect.reason.value}')

    def _do_AbortCaller(self, effect):
        assert self.received[effect.request_id], 'aborted without tokens'
        self.ends[effect.request_id].append(f'abort {effect.reason.value}')

    def _do_Count(self, effect):
        total = self.counts.get(effect.name, 0) + effect.value
        self.counts[effect.name] = total


def token(request, number):
    """Return the token that engines generate at an offset."""
    return f'{request}:{number} '
