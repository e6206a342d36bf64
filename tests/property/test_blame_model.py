"""Walks of three instances, two runners, a deadly and a sound request.

Datagrams are lost, instances are cut off and restart. Two assumptions bound
what is asked of the model: an instance that restarts has told what it saw (its
evidence is gone otherwise), and a sound request is in flight beside the deadly
one at no more than two crashes (nothing tells them apart while it is at all).
"""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel.routing import blame

DEADLY, SOUND = [
    blame.Cause(blame.CauseKind.PLAIN_CALL, blame.request_key([name]))
    for name in (b'deadly', b'sound')
]
STABLE_WINDOW_S = 5.0
STEP_S = 0.02
CRASHES = 3
MAX_REQUESTS_AFTER_CRASHES = 3
MAX_SHARED_CRASHES = 2
INSTANCES = st.integers(0, 2)
RUNNERS = st.integers(0, 1)


class Instance:
    """One instance: its knowledge, and whether peers reach it."""

    def __init__(self, number):
        self.quarantine = blame.Quarantine(random.Random(number))
        self.is_cut = False
        # Whether a whole window has passed since it started or came back, and
        # since it last saw a crash.
        self.in_touch = False
        self.told = True


class Walk(stateful.RuleBasedStateMachine):
    """Each rule is one event; ``now`` moves on with it."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.instances = [Instance(number) for number in range(3)]
        # By runner, the requests in flight with their instance and time.
        self.in_flight = [[], []]
        self.runs = 0
        self.crashed_at = []
        self.shared_crashes = 0
        self.late_arrivals = 0

    def _step(self, seconds=STEP_S):
        self.now += seconds

    def _send(self, number, cause, runner):
        instance = self.instances[number]
        self._step()
        blocked = instance.quarantine.blocking_cause([cause], self.now)
        if blocked is None:
            self.in_flight[runner].append((number, cause, self.now))
        return blocked is None

    @stateful.rule(number=INSTANCES, runner=RUNNERS)
    def send_deadly(self, number, runner):
        if not self._send(number, DEADLY, runner):
            return
        is_late = len(self.crashed_at) >= CRASHES and (
            self.now > self.crashed_at[CRASHES - 1] + STABLE_WINDOW_S
        )
        if is_late and self.instances[number].in_touch:
            self.late_arrivals += 1
            assert self.late_arrivals <= MAX_REQUESTS_AFTER_CRASHES
        self._crash(runner)

    @stateful.precondition(
        lambda self: self.shared_crashes < MAX_SHARED_CRASHES
    )
    @stateful.rule(number=INSTANCES, runner=RUNNERS)
    def send_sound(self, number, runner):
        self._send(number, SOUND, runner)

    @stateful.rule(number=INSTANCES, runner=RUNNERS)
    def serve_sound(self, number, runner):
        """A lone sound request is answered, unless it is refused."""
        if self._send(number, SOUND, runner):
            self._answer(runner)

    @stateful.rule(runner=RUNNERS)
    def answer(self, runner):
        self._answer(runner)

    def _answer(self, runner):
        self._step()
        for number, cause, _ in self.in_flight[runner]:
            quarantine = self.instances[number].quarantine
            quarantine.observe_answer([cause], self.now)
        self.in_flight[runner] = []

    def _crash(self, runner):
        self._step()
        self.runs += 1
        crash = blame.Crash(ids.RunnerId(f'r{runner}'), self.runs)
        lost, self.in_flight[runner] = self.in_flight[runner], []
        self.shared_crashes += any(cause is SOUND for _, cause, _ in lost)
        for number, cause, sent_at in lost:
            instance = self.instances[number]
            instance.quarantine.observe_crash(
                [cause], crash, sent_at, self.now
            )
            instance.told = False
        self.crashed_at.append(self.now)

    @stateful.rule(sender=INSTANCES, receiver=INSTANCES)
    def deliver_datagram(self, sender, receiver):
        """Datagrams that are not delivered by this rule were lost."""
        self._step()
        self._tell(self.instances[sender], self.instances[receiver])

    def _tell(self, source, target):
        if source is not target and not source.is_cut and not target.is_cut:
            evidence = source.quarantine.evidence(self.now)
            target.quarantine.merge(evidence, self.now)

    @stateful.rule()
    def wait_for_window(self):
        """Gossip reaches all that are not cut off within a window."""
        self._step(STABLE_WINDOW_S)
        for _ in self.instances:
            for source in self.instances:
                for target in self.instances:
                    self._tell(source, target)
        connected = [i for i in self.instances if not i.is_cut]
        for instance in self.instances:
            instance.in_touch = not instance.is_cut
            if len(connected) > 1 and not instance.is_cut:
                instance.told = True

    @stateful.rule(number=INSTANCES)
    def restart(self, number):
        instance = self.instances[number]
        others = [i for i in self.instances if i is not instance]
        if not instance.told or not any(other.in_touch for other in others):
            return
        self.instances[number] = Instance(number)
        self.instances[number].is_cut = instance.is_cut
        for requests in self.in_flight:
            requests[:] = [r for r in requests if r[0] != number]

    @stateful.rule(number=INSTANCES, is_cut=st.booleans())
    def cut(self, number, is_cut):
        """Cut an instance off, or end that."""
        self._step()
        instance = self.instances[number]
        if is_cut != instance.is_cut:
            instance.is_cut = is_cut
            instance.in_touch = False

    @stateful.invariant()
    def sound_request_is_served(self):
        """Guards against a bystander that is refused for what another did.

        While an instance that is cut off has seen a crash that others have not
        heard of, the sound request may be the only known suspect.
        """
        if not all(instance.told for instance in self.instances):
            return
        for instance in self.instances:
            quarantine = instance.quarantine
            blocked = quarantine.blocking_cause([SOUND], self.now)
            assert not (blocked and instance.in_touch)

    @stateful.invariant()
    def state_is_bounded(self):
        """Guards against memory that grows with the arrivals."""
        for instance in self.instances:
            assert len(instance.quarantine._suspects) <= 2


# Guards against a deadly request that some interleaving lets through again and
# again, and against a sound one that it has refused.
TestWalk = Walk.TestCase
TestWalk.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
