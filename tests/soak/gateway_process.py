"""A gateway process of the soak test, with its settings and its log."""

import os
import subprocess
import sys

import anyio

from primrosereel.routing import _model as model
from tests import gateway_fleet

__all__ = ['HOSTS', 'GatewayProcess']

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')
SETTINGS_TEMPLATE = """
nodeName = "soak-{number}"
zone = "zone-a"
ip = "{host}"
internalPortRange = [{peer}, {peer}]
seeds = ["127.0.0.1:1"]
[listen]
frontend = "{host}:{callers}"
ready = "{host}:{readiness}"
[bounds]
drainMs = 1000
configApplyMs = 1000
stableWindowMs = 1000
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 50
[platform]
address = "127.0.0.1:{store}"
"""


class GatewayProcess:
    """One gateway process and its log."""

    def __init__(self, number, folder, store, peer):
        self.host = HOSTS[number]
        self.callers = gateway_fleet.free_port()
        self.readiness = gateway_fleet.free_port()
        self._settings = folder / f'{number}.toml'
        self.log = folder / f'{number}.log'
        self._settings.write_text(
            SETTINGS_TEMPLATE.format(
                number=number,
                host=self.host,
                peer=peer,
                callers=self.callers,
                readiness=self.readiness,
                store=store,
            )
        )
        self.popen = None
        # Held while a fault is being injected into this process.
        self.fault_lock = anyio.Lock()

    def start(self):
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

    def touch_settings(self):
        """Append an empty line, which changes the file but no setting."""
        self._settings.write_text(self._settings.read_text() + '\n')

    async def wait_exit(self, timeout_s):
        """Return the exit status, or None if it still runs at the timeout."""
        with anyio.move_on_after(timeout_s):
            while self.popen.poll() is None:
                await anyio.sleep(0.05)
        return self.popen.poll()

    async def wait_ready(self, timeout_s):
        address = model.Address(self.host, self.readiness)
        with anyio.fail_after(timeout_s):
            while True:
                try:
                    async with gateway_fleet.Client(address) as client:
                        reply = await client.ask('/v1/readiness', 'ready')
                    if reply.status == 200:
                        return
                except OSError:
                    pass
                await anyio.sleep(0.05)
