"""A drain is reported as finished exactly once, whatever ends last."""

import random

import hypothesis
from hypothesis import strategies as st

from primrosereel import core as core_module
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _text_tables as text_tables

TEXT = b"""{
  models: {m: {prefill_tokens_s: 25000, decode_step_s: 0.03,
    kv_bytes_per_token: 40000, context_tokens: 100000}},
  services: {
    llm: {kind: 'llm', region: 'r', model: 'm', runners: {
      p: {address: '10.0.0.1:1', availability_zone: 'z', role: 'prefill'},
      d: {address: '10.0.0.1:2', availability_zone: 'z', role: 'decode',
        places: 2, pieces: 9, piece_tokens: 2000}}},
    plain: {kind: 'plain', region: 'r',
      calls: [{method: 'GET', path: '/', kind: 'idempotent'}],
      runners: {
        o: {address: '10.0.0.1:3', availability_zone: 'z', role: 'plain',
          places: 2}}}},
  client_accounts: {c: {key_sha256: '%s', services: ['llm', 'plain'],
    priority: 9, rate: 1000, burst: 1000, weight: 1}}}
""" % (b'0' * 64)

STEPS = st.lists(
    st.sampled_from(('llm', 'plain', 'leave', 'drain', 'wait')),
    min_size=1,
    max_size=15,
)


def _call(service, request):
    if service == 'plain':
        return messages.PlainReceived(
            request, '', '0' * 64, service, 'GET', '/', (), b'', None, 0, None
        )
    return messages.CompletionReceived(
        request, '', '0' * 64, service, 'a prompt', 3, 3, (), None
    )


class _Daemon:
    """A core with all default systems, and callers that disconnect."""

    def __init__(self):
        identity = core_module.Identity('n', 1, 'r', 'z', '10.0.0.2:1')
        self.core = core_module.Core(identity, random.Random(5))
        text = text_module.parse(TEXT).unwrap()
        text_tables.activate_text(self.core.world, text, 1)
        self.now = 0.0
        self.finished_count = 0
        self.open_requests = []

    def handle(self, message):
        self._process_effects(self.core.handle(message, self.now, self.now))

    def wait(self):
        self.now += 0.1
        self._process_effects(self.core.tick(self.now, self.now))

    def call(self, service):
        request = self.core.next_request_id()
        self.open_requests.append(request)
        self.handle(_call(service, request))

    def leave(self):
        if self.open_requests:
            self.handle(messages.CallerLeft(self.open_requests.pop()))

    def _process_effects(self, effects):
        for effect in effects:
            self.finished_count += type(effect) is messages.DrainFinished
            if isinstance(effect, messages.RefuseCaller):
                self.open_requests.remove(effect.request_id)


@hypothesis.settings(max_examples=60)
@hypothesis.given(STEPS)
def test_drain_finishes_once(steps):
    """Guards against a drain that is reported twice, early or never."""
    daemon = _Daemon()
    for step in steps:
        if step == 'drain':
            daemon.handle(messages.DrainRequested())
        elif step in ('leave', 'wait'):
            getattr(daemon, step)()
        else:
            daemon.call(step)
        assert daemon.finished_count <= (
            daemon.core.world.draining
            and not daemon.core.world.active_requests
        )
    daemon.handle(messages.DrainRequested())
    while daemon.open_requests:
        assert not daemon.finished_count
        daemon.leave()
    daemon.wait()
    daemon.wait()
    assert daemon.finished_count == 1
