"""Crowds of callers outside the limits, and the process that meets them.

The process has low limits in its settings; what it uses is sampled while the
crowd acts. The bytes that the kernel holds for its callers count as memory
of the process, too.
"""

import asyncio
import contextlib
import dataclasses
import os
import resource
import socket
import subprocess
import sys
import tempfile

import anyio

from primrosereel.routing import _model as model
from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from tests import gateway_fleet

__all__ = ['Crowd', 'Limits', 'Scene', 'head', 'run']

SAMPLE_S = 0.03
START_LIMIT_S = 30.0
ANSWER_LIMIT_S = 60.0
RUN_LIMIT_S = 150.0
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS_RESERVED = 200
MB = 1024 * 1024
SETTINGS = """
nodeName = "crowded"
zone = "zone-a"
seeds = ["127.0.0.1:1"]
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
[limits]
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
[platform]
address = "127.0.0.1:{store}"
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The settings of the process, the limits of callers, and the runners.

    The memory, with the bytes in the kernel, must stay below ``memory_mb``,
    and all descriptors below ``descriptors`` without those for files.
    """

    memory_mb: int = 72
    descriptors: int = 1024
    callers: dict[str, int] = dataclasses.field(default_factory=dict)
    answer_bytes: int = 0
    events: int = 5

    @property
    def max_sockets(self):
        return self.descriptors - FILE_DESCRIPTORS_RESERVED


class Scene:
    """One gateway process between a crowd and stand-ins of runners."""

    def __init__(self, folder, limits):
        self.limits = limits
        self.callers = model.Address('127.0.0.1', gateway_fleet.free_port())
        self.readiness = model.Address('127.0.0.1', gateway_fleet.free_port())
        self.store = metadata_store.MetadataStore()
        self.popen = None
        self.idle_mb = 0.0
        self.peak_mb = 0.0
        self.peak_kernel_mb = 0.0
        self.peak_descriptors = 0
        self._folder = folder

    async def start(self, tasks):
        await tasks.start(self.store.server.serve)
        self.store.put(
            'op/config',
            gateway_fleet.configuration(
                **{'maxBodyBytes': 4 * MB, 'idleTimeoutMs': 15_000}
                | self.limits.callers
            ),
        )
        for name, service, stage in (
            *((f's{n}', 'plain', None) for n in range(3)),
            ('p0', 'llm', 'prefill'),
            *((f'd{n}', 'llm', 'decode') for n in range(2)),
        ):
            runner = listed_runner.ListedRunner(
                listed_runner.RunnerOptions(
                    name,
                    service,
                    stage,
                    events=self.limits.events,
                    event_s=0.0,
                    answer_bytes=self.limits.answer_bytes,
                )
            )
            await tasks.start(runner.server.serve)
            self.store.put(f'servers/{name}', runner.entry('ready'))
        path = os.path.join(self._folder, 'settings.toml')
        with open(path, 'w') as file:
            file.write(
                SETTINGS.format(
                    callers=self.callers.port,
                    readiness=self.readiness.port,
                    memory_mb=self.limits.memory_mb,
                    descriptors=self.limits.descriptors,
                    store=self.store.server.port,
                )
            )
        with open(os.path.join(self._folder, 'log'), 'ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'primrosereel.cmd.gateway'],
                env=os.environ | {'PRIMROSEREEL_CONFIG': path},
                stdout=log,
                stderr=log,
            )
        descriptors = self.limits.descriptors
        resource.prlimit(
            self.popen.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors)
        )
        await self.check_answers(START_LIMIT_S)
        self.idle_mb = self._memory_mb()[0]

    def end(self):
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    async def check_answers(self, limit_s=ANSWER_LIMIT_S):
        """Check that an ordinary request is answered, if it is repeated.

        A caller repeats what was refused as not run.
        """
        number = 0
        with anyio.fail_after(limit_s):
            while not await self._ask(f'ordinary-{number}'):
                assert self.popen.poll() is None, 'the process has ended'
                number += 1
                await anyio.sleep(0.1)

    async def _ask(self, request_id):
        with anyio.move_on_after(5.0):
            try:
                async with gateway_fleet.Client(self.callers) as client:
                    reply = await client.ask('/read/1', request_id)
                    return reply.status == 200 and reply.complete
            except (OSError, anyio.BrokenResourceError):
                return False
        return False

    async def sample(self):
        """Record what the process uses until cancelled."""
        while True:
            self.sample_once()
            await anyio.sleep(SAMPLE_S)

    def sample_once(self):
        resident, kernel = self._memory_mb()
        self.peak_mb = max(self.peak_mb, resident + kernel)
        self.peak_kernel_mb = max(self.peak_kernel_mb, kernel)
        with contextlib.suppress(OSError):
            count = len(os.listdir(f'/proc/{self.popen.pid}/fd'))
            self.peak_descriptors = max(self.peak_descriptors, count)

    def _memory_mb(self):
        """Return what is resident, and what the kernel holds for callers."""
        resident = 0
        with (
            contextlib.suppress(OSError),
            open(f'/proc/{self.popen.pid}/status') as status,
        ):
            for line in status:
                if line.startswith('VmRSS'):
                    resident = int(line.split()[1]) / 1024
        port = f'0100007F:{self.callers.port:04X}'
        queued = 0
        with open('/proc/net/tcp') as sockets:
            for line in sockets:
                if line[6:19] == port:
                    queues = line.split()[4]
                    queued += int(queues[:8], 16) + int(queues[9:], 16)
        return resident, queued / MB

    def check(self):
        """Check that the process lives, and what it used at most."""
        figures = (
            f'idle {self.idle_mb:.0f} MB, peak {self.peak_mb:.0f} MB with '
            f'{self.peak_kernel_mb:.0f} MB in the kernel at most, '
            f'{self.peak_descriptors} descriptors'
        )
        print(figures)
        assert self.popen.poll() is None, f'the process has ended; {figures}'
        assert self.peak_mb < self.limits.memory_mb, figures
        assert self.peak_descriptors <= self.limits.max_sockets, figures


class Crowd:
    """Sockets that act alike; each is served by ``act(loop, socket, n)``."""

    def __init__(self, size, act, stays_s=2.0):
        self._size = size
        self._act = act
        self._stays_s = stays_s
        self._sockets = []

    async def meet(self, scene):
        """Act, and check the process with the crowd still connected."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(scene.sample)
            for number in range(self._size):
                tasks.start_soon(self._member, scene, number)
            await anyio.sleep(self._stays_s)
            try:
                await scene.check_answers()
            finally:
                scene.sample_once()
                tasks.cancel_scope.cancel()
        for member in self._sockets:
            member.close()

    async def _member(self, scene, number):
        loop = asyncio.get_running_loop()
        member = socket.socket()
        self._sockets.append(member)
        # What the process sends stays there and not in the caller's kernel.
        member.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        member.setblocking(False)
        with contextlib.suppress(OSError):
            await loop.sock_connect(member, scene.callers)
            await self._act(loop, member, number)
        await anyio.sleep_forever()


def head(target, *fields, method='GET', version='1.1', host=True):
    """Return the head of a request."""
    lines = [f'{method} {target} HTTP/{version}']
    if host:
        lines.append(f'Host: {gateway_fleet.HOST}')
    return '\r\n'.join([*lines, *fields, '', '']).encode()


def run(crowd, limits):
    """Let a crowd meet a process, and check the process."""

    async def meet():
        with tempfile.TemporaryDirectory() as folder:
            scene = Scene(folder, limits)
            async with anyio.create_task_group() as tasks:
                try:
                    with anyio.fail_after(RUN_LIMIT_S):
                        await scene.start(tasks)
                        await crowd.meet(scene)
                finally:
                    scene.sample_once()
                    ended = scene.popen and scene.popen.poll() is not None
                    if not ended:
                        scene.check()
                    scene.end()
                    tasks.cancel_scope.cancel()
            assert not ended, 'the process has ended'

    anyio.run(meet, backend='asyncio')
