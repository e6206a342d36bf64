"""A test harness for the pool system: a world, groups and messages."""

import random

from primrosereel import _registry as registry
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables

__all__ = ['OWNER', 'PoolHarness', 'make_text']

OWNER = 'own'
ZONE = 'z-a'


def make_text(
    groups=1,
    prefill=2,
    decode=2,
    places=2,
    pieces=10,
    queue_limit=4,
    first_token_s=0.36,
):
    """Return a text with one service for each group."""
    model = text_module.Model(10_000.0, 0.03, 100_000, 100_000)
    services = {}
    for number in range(groups):
        runners = {
            f'g{number}-{role.value[0]}{index}': text_module.Runner(
                '127.0.0.1:1', ZONE, role, places, pieces, 1000
            )
            for role, count in (
                (states.Role.PREFILL, prefill),
                (states.Role.DECODE, decode),
            )
            for index in range(count)
        }
        services[f's{number}'] = text_module.Service(
            states.ServiceKind.LLM,
            'r',
            runners,
            'm',
            queue_limit=queue_limit,
            first_token_s=first_token_s,
        )
    return text_module.Text({'m': model}, services, {})


class PoolHarness:
    """Drives a pool system without a daemon and collects its messages."""

    def __init__(self, peers=(), policy='pool', **shape):
        identity = tables.Identity(OWNER, 1, 'r', ZONE, '127.0.0.1:1')
        self.world = tables.World(identity, random.Random(7))
        self.now = 100.0
        self.sent = []
        self.effects = []
        self.system = registry.system(policy)(self.world)
        self.list_instances(OWNER, *peers)
        self.load_text(make_text(**shape))
        self.tick()

    def list_instances(self, *names):
        """Replace the instance list."""
        self.world.listing.revision += 1
        self.world.listing.instances = {
            n: messages.ListedInstance(n, 1, 'r', ZONE, '') for n in names
        }
        self.set_owner()

    def set_owner(self, owner=OWNER):
        """Make an instance the owner of all groups."""
        self.world.owners['r'] = dict.fromkeys(self.world.groups, owner)

    def load_text(self, text):
        """Put a text in force; each service is one group."""
        world = self.world
        world.text = text
        for name, service in text.services.items():
            group = 'g' + name[1:]
            world.groups[group] = tuple(service.runners)
            world.group_regions[group] = service.region
            for runner, facts in service.runners.items():
                world.runners[runner] = tables.Runner(
                    runner, name, group, facts
                )
        self.set_owner()
        self.system.receive(messages.TextChanged(1), self.now)

    def group(self, name='g0'):
        """Return the owner state of a group."""
        return self.system._groups[name]

    def tick(self, seconds=0.0, step=0.1):
        """Advance the time in steps, as the ticks of a daemon do."""
        until = self.now + seconds
        while True:
            self.system.run(self.now)
            self._collect_effects()
            if self.now >= until:
                return
            self.now = min(until, self.now + step)

    def deliver(self, message, sender='e1', incarnation=1):
        """Deliver a peer message and return the messages sent in response."""
        self.sent.clear()
        self.system.receive(
            messages.FromPeer(sender, incarnation, message), self.now
        )
        self.system.run(self.now)
        self._collect_effects()
        return list(self.sent)

    def request_grant(
        self, name, priority=0, attempt=1, sender='e1', **options
    ):
        """Request places and return the messages sent in response."""
        fields = {
            'service': 's0',
            'group': 'g0',
            'client_account': 'c',
            'prompt_tokens': 1000,
            'max_tokens': 1000,
            'prefix_hashes': (),
            'wait_s': 30.0,
            'availability_zone': ZONE,
        } | options
        return self.deliver(
            messages.GrantRequest(
                request_id=name, attempt=attempt, priority=priority, **fields
            ),
            sender,
        )

    def report_progress(self, name, stage, attempt=1, sender='e1', **options):
        """Report progress and return the messages sent in response."""
        return self.deliver(
            messages.Progress(
                name, attempt, options.pop('group', 'g0'), stage, **options
            ),
            sender,
        )

    def start_stream(self, name, **options):
        """Bring a request to its first token."""
        granted = self.granted(self.request_grant(name, **options))
        self.report_progress(name, states.Stage.PREFILL_DONE)
        self.report_progress(name, states.Stage.DECODING)
        return granted[name]

    def granted(self, sent=None):
        """Return the grants among the messages, by request id."""
        return self._by_request_id(messages.Grant, sent)

    def refused(self, sent=None):
        """Return the refusals among the messages, by request id."""
        return self._by_request_id(messages.GrantRefused, sent)

    def paused(self, sent=None):
        """Return the ids of the streams ordered to pause."""
        return set(self._by_request_id(messages.PauseStream, sent))

    def resumed(self, sent=None):
        """Return the ids of the streams ordered to resume."""
        return set(self._by_request_id(messages.ResumeStream, sent))

    def queried_instances(self):
        """Return the instances that were queried for their live grants."""
        return [
            effect.destination
            for effect in self.effects
            if isinstance(effect, messages.SendPeer)
            and isinstance(effect.message, messages.LiveGrantsQuery)
        ]

    def _by_request_id(self, kind, sent):
        sent_messages = self.sent if sent is None else sent
        return {
            message.request_id: message
            for message in sent_messages
            if isinstance(message, kind)
        }

    def _collect_effects(self):
        for effect in self.world.outbox:
            self.effects.append(effect)
            if isinstance(effect, messages.SendPeer):
                self.sent.append(effect.message)
        self.world.outbox.clear()
