"""Runs the quotas of a fleet under virtual time, with delay and loss."""

import collections
import dataclasses
import random

from primrosereel import _ids as ids
from primrosereel.routing import _client_accounts as client_accounts
from primrosereel.routing import _quotas as quotas

STEP_S = 0.01
HEARTBEAT_STEPS = 100
DELAY_STEPS = (1, 10)
ACCOUNT = ids.ClientAccountId('large')
BOUNDS = quotas.QuotaBounds()
SLACK = 190_000


@dataclasses.dataclass(frozen=True)
class Case:
    """A load, as multiples of the rate by time, and disturbances.

    ``cut`` and ``killed`` are shares of the instances with a start and an
    end; ``frozen`` is a span of instance 0, ``lowered`` a time and a factor.
    """

    name: str
    load: tuple = ((0.0, 0.9),)
    callers: int | None = None
    cut: tuple | None = None
    killed: tuple | None = None
    frozen: tuple | None = None
    lowered: tuple | None = None
    seconds: float = 22.0


class SpendFirst:
    """The quotas of the gateway."""

    def __init__(self, fleet, number):
        self.born = 1 + round(1000 * STEP_S) * fleet.step
        self.sequence = 0
        bounds = dataclasses.replace(BOUNDS, instances=fleet.size)
        self.quotas = quotas.Quotas(bounds, self.born, fleet.random)
        now = fleet.step * STEP_S
        self.quotas.set_members(
            [str(n) for n in range(fleet.size) if n != number], now
        )
        self.configure(fleet.quota, now)

    def configure(self, quota, now):
        account = client_accounts.ClientAccount(ACCOUNT, None, quota)
        self.quotas.set_accounts([account], now)

    def try_spend(self, units, now):
        grant = self.quotas.try_spend(ACCOUNT, units, now)
        return isinstance(grant, quotas.Grant)

    def next_report(self):
        return self.quotas.next_report_at

    def message(self, now, heartbeat):
        self.sequence += 1
        reports = self.quotas.reports(now, heartbeat)
        if not reports and not heartbeat:
            return None
        return self.born, self.sequence, reports

    def receive(self, sender, message, now):
        self.quotas.apply(str(sender), *message, now)


class Fleet:
    """Instances of an approach under a case; ``spent`` has time and units."""

    def __init__(self, approach, size, case, quota, units=5_200, seed=1):
        self.size, self.case, self.quota, self.units = size, case, quota, units
        self.random = random.Random(seed)
        self.approach, self.step = approach, 0
        self.instances = [approach(self, n) for n in range(size)]
        self.mail = collections.defaultdict(list)
        self.asked, self.spent, self.messages = [], [], 0

    def side(self, span, number, now):
        """Tell whether an instance is in the share of a span that holds."""
        if span is None:
            return False
        share, start, end = span
        return start <= now < end and number < int(share * self.size)

    def stopped(self, number, now):
        frozen = self.case.frozen
        held = frozen and number == 0 and frozen[0] <= now < frozen[1]
        return held or self.side(self.case.killed, number, now)

    def send(self, sender, message, now):
        for number in range(self.size):
            if number == sender or self.random.random() < 0.02:
                continue
            cut = self.case.cut
            if self.side(cut, sender, now) != self.side(cut, number, now):
                continue
            self.messages += 1
            at = self.step + self.random.randint(*DELAY_STEPS)
            self.mail[at].append((number, sender, message))

    def run(self):
        starts = self.random.choices(range(HEARTBEAT_STEPS), k=self.size)
        for step in range(1, int(self.case.seconds / STEP_S)):
            self.step, now = step, step * STEP_S
            self.disturb(now)
            for number, sender, message in self.mail.pop(self.step, ()):
                if not self.stopped(number, now):
                    self.instances[number].receive(sender, message, now)
            self.arrive(now)
            for number, instance in enumerate(self.instances):
                beat = (self.step - starts[number]) % HEARTBEAT_STEPS == 0
                if self.stopped(number, now) or (
                    not beat and instance.next_report() > now
                ):
                    continue
                message = instance.message(now, beat)
                if message is not None:
                    self.send(number, message, now)
        return self

    def disturb(self, now):
        killed, lowered = self.case.killed, self.case.lowered
        if killed and abs(now - killed[2]) < STEP_S / 2:
            for number in range(int(killed[0] * self.size)):
                self.instances[number] = self.approach(self, number)
        if lowered and abs(now - lowered[0]) < STEP_S / 2:
            self.quota = dataclasses.replace(
                self.quota, rate=lowered[1] * self.quota.rate
            )
            for instance in self.instances:
                instance.configure(self.quota, now)

    def arrive(self, now):
        rate = self.quota.rate * [f for t, f in self.case.load if t <= now][-1]
        due = rate * STEP_S
        while due >= self.units or self.random.random() < due / self.units:
            due -= self.units
            number = self.random.randrange(self.case.callers or self.size)
            self.asked.append((now, self.units))
            if not self.stopped(number, now) and self.instances[
                number
            ].try_spend(self.units, now):
                self.spent.append((now, self.units))


def most_in_window(spent, window_s, since=0.0):
    """Return the most units in any window."""
    most, total, first = 0, 0, 0
    for at, units in spent:
        if at < since:
            first += 1
            continue
        total += units
        while spent[first][0] <= at - window_s:
            total -= spent[first][1]
            first += 1
        most = max(most, total)
    return most


def sum_after(entries, since):
    """Return the units from a time on."""
    return sum(units for at, units in entries if at >= since)
