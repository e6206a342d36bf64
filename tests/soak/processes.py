"""The gateway processes of a soak run, and what was done to them."""

import contextlib
import dataclasses
import math
import os
import signal
import subprocess
import sys

import anyio

from primrosereel.routing import _model as model
from tests import gateway_fleet
from tests.soak import links
from tests.soak import ports
from tests.soak import spans

__all__ = [
    'CONFIG_APPLY_S',
    'DRAIN_S',
    'GRACE_S',
    'LOSS_SLACK_S',
    'STABLE_WINDOW_S',
    'End',
    'GatewayProcess',
]

# The bounds in the settings.
DRAIN_S = 1.0
CONFIG_APPLY_S = 1.0
# A process learns that a connection to the store is dead when a watch of half
# of this time has timed out.
STABLE_WINDOW_S = 2.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
QUOTA_WINDOW_S = 8.0
QUOTA_OVERAGE = 0.25
# Processes that are cut off from each other may each spend the burst.
QUOTA_SLACK = 6
SETTINGS_TEMPLATE = f"""
nodeName = "soak-{{number}}"
zone = "zone-a"
ip = "{{host}}"
internalPortRange = [{{peer}}, {{peer}}]
seeds = ["127.0.0.1:1"]
[listen]
frontend = "{{host}}:{{callers}}"
ready = "{{host}}:{{readiness}}"
[bounds]
drainMs = {DRAIN_S * 1000:.0f}
configApplyMs = {CONFIG_APPLY_S * 1000:.0f}
stableWindowMs = {STABLE_WINDOW_S * 1000:.0f}
graceS = {GRACE_S:.0f}
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 50
quotaSlack = {QUOTA_SLACK}
[platform]
address = "127.0.0.1:{{store}}"
"""


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """The end of a process, by itself or killed."""

    at: float
    killed: bool


class GatewayProcess:
    """One gateway process with its log and its own link to the store.

    ``starved`` has the periods in which it got little or no processor time,
    ``halted`` these and the periods in which it was killed. ``starts`` and
    ``stops`` are the times of its starts and of the requests to stop.
    """

    def __init__(self, number, folder, store_port, peer_port):
        self.host = f'127.0.0.{number + 1}'
        self.callers = model.Address(self.host, ports.free_port())
        self.readiness = model.Address(self.host, ports.free_port())
        self.log = folder / f'{number}.log'
        self.store_link = links.Link(store_port)
        self.halted = spans.Spans()
        self.starved = spans.Spans()
        self.starts = []
        self.stops = []
        self.ends = []
        self.popen = None
        # Held while the process is replaced.
        self.replacement_lock = anyio.Lock()
        self._pauses = 0
        self._number = number
        self._peer_port = peer_port
        self._settings = folder / f'{number}.toml'

    def write_settings(self):
        """Write the settings; the link to the store has a port by now."""
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(
                number=self._number,
                host=self.host,
                peer=self._peer_port,
                callers=self.callers.port,
                readiness=self.readiness.port,
                store=self.store_link.port,
            )
        )

    def start(self):
        self.starts.append(anyio.current_time())
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'primrosereel.cmd.gateway'],
                env=os.environ | {'PRIMROSEREEL_CONFIG': str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def ask_to_stop(self):
        """Send SIGTERM and return when that was."""
        self.stops.append(anyio.current_time())
        self.signal(signal.SIGTERM)
        return self.stops[-1]

    async def kill(self):
        """Kill the process; return the number of the halted period."""
        number = self.halted.begin()
        self.ends.append(End(anyio.current_time(), killed=True))
        self.signal(signal.SIGKILL)
        await self.wait_exit(2.0)
        return number

    def note_own_end(self):
        """Record that the process has just ended by itself."""
        self.ends.append(End(anyio.current_time(), killed=False))

    def end_after(self, at):
        """Return the first end after a time."""
        never = End(math.inf, killed=False)
        return next((end for end in self.ends if end.at >= at), never)

    async def pause(self, seconds):
        """Suspend the process; it goes on after the last of such periods."""
        with self.starving():
            self._pauses += 1
            self.signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            self._pauses -= 1
            if not self._pauses:
                self.signal(signal.SIGCONT)

    @contextlib.contextmanager
    def starving(self):
        """Record that the process gets little or no processor time."""
        halted, starved = self.halted.begin(), self.starved.begin()
        try:
            yield
        finally:
            self.halted.end(halted)
            self.starved.end(starved)

    def touch_settings(self):
        """Append an empty line, which changes the file but no setting."""
        self._settings.write_text(self._settings.read_text() + '\n')

    async def wait_exit(self, timeout_s):
        """Return the exit status, or None if it still runs at the timeout."""
        with anyio.move_on_after(timeout_s):
            while self.popen.poll() is None:
                await anyio.sleep(0.05)
        return self.popen.poll()

    async def is_ready_within(self, timeout_s):
        """Return whether the process is ready before the timeout."""
        with anyio.move_on_after(timeout_s):
            while not await self._is_ready():
                await anyio.sleep(0.05)
            return True
        return False

    async def _is_ready(self):
        try:
            async with gateway_fleet.Client(self.readiness) as client:
                reply = await client.ask('/v1/readiness', 'ready')
        except OSError:
            return False
        return reply.status == 200

    def runs_calmly(self, start, end):
        """Return whether no start, stop, kill or pause came in that time."""
        return not (
            self.halted.overlap(start, end)
            or any(start <= at <= end for at in (*self.starts, *self.stops))
        )

    def replaced_between(self, start, end):
        """Return whether the process was started or halted in that time."""
        return self.halted.overlap(start, end) or any(
            start <= at <= end for at in self.starts
        )
